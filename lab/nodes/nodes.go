// Package nodes runs real processes of the system on loopback, each with an address of its own: their settings, disks, logs, start
// and end. It must never leave a process behind, and never signal one that it did not start.
package nodes

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portsOfNode = 6
	firstBlock  = 20_000
	blocks      = 1_500
	endWithin   = 20 * time.Second
	zones       = 3
	logLines    = 40 // of a log behind a sign of a crash
)

// Port is one of a node's ports.
type Port int

// The ports of a node.
const (
	Front Port = iota
	Ready
	Control
	peers // the first of those that nodes use among themselves
)

// Options says what to run.
type Options struct {
	Program   string // moleshiftd
	Dir       string // for settings, disks and logs
	LogLevel  string // empty: info
	Nodes     int
	Core      int // the first so many count for the quorum and keep a disk; they are the seeds
	Heartbeat time.Duration
	Bounds    Bounds
	MaxFDs    int // descriptors of a process
}

// defaultFDs is how many descriptors a process has where that is not said.
const defaultFDs = 1000

// Bounds are figures of the rules that nodes are told; those that are 0 are left to the nodes' defaults.
type Bounds struct {
	Contact, Grace, Version, Lease, Apply time.Duration

	Revoke time.Duration // not 0: nodes also fail closed
}

// Fleet is some nodes. Its methods may be called by several goroutines, for one node by one at a time.
type Fleet struct {
	options Options
	port    int // the first of a block of ports that are free
	list    []*node
}

// node is one process of the system, if it runs.
type node struct {
	ip string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{} // closed once it has ended
	err     error         // how it ended
}

// New finds addresses and ports; nothing is started.
func New(o Options) (*Fleet, error) {
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	if o.MaxFDs == 0 {
		o.MaxFDs = defaultFDs
	}
	f := &Fleet{options: o}
	for i := range o.Nodes {
		f.list = append(f.list, &node{ip: fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, 2+i)})
	}
	for block := range blocks {
		f.port = firstBlock + (os.Getpid()+block)%blocks*portsOfNode
		if f.free() {
			return f, nil
		}
	}
	return nil, errors.New("no block of ports is free on loopback: end what listens there")
}

// free tells whether nobody listens on the block of ports.
func (f *Fleet) free() bool {
	for offset := range portsOfNode {
		l, err := net.Listen("tcp4", f.Address(0, Port(offset)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// Len is the number of nodes, running or not.
func (f *Fleet) Len() int { return len(f.list) }

// Address gives the address of one of a node's ports.
func (f *Fleet) Address(i int, port Port) string {
	return fmt.Sprintf("%s:%d", f.list[i].ip, f.port+int(port))
}

// Data gives the folder of a node's disk.
func (f *Fleet) Data(i int) string { return filepath.Join(f.options.Dir, fmt.Sprint("data-", i)) }

// LogPath gives the file of a node's log: of all its processes, one after the other.
func (f *Fleet) LogPath(i int) string {
	return filepath.Join(f.options.Dir, fmt.Sprintf("node-%d.log", i))
}

// Log gives what a node has written so far.
func (f *Fleet) Log(i int) string {
	text, _ := os.ReadFile(f.LogPath(i)) // it may not have been started
	return string(text)
}

// writeSettings writes a node's settings file; first says that the whole system starts with it.
func (f *Fleet) writeSettings(i int, first bool) (path string, err error) {
	var seeds []string
	for s := range min(f.options.Core, len(f.list)) {
		seeds = append(seeds, fmt.Sprintf("%q", f.Address(s, Control)))
	}
	text := fmt.Sprintf(`node-name: "node-%d"
role: "node"
ip: %q
zone: "z%d"
region: "r"
zones: {z0: "r", z1: "r", z2: "r"}
listen: {front: %q, ready: %q, control: %q}
port-range: [%d, %d]
seeds: [%s]
bootstrap: %v
counts-for-quorum: %v
data-dir: %q
heartbeat-ms: %d
limits: {memory-mb: 256, max-fds: %d, disk-mb: 64}
bounds: {%s}
`, i, f.list[i].ip, i%zones, f.Address(i, Front), f.Address(i, Ready), f.Address(i, Control), f.port+int(peers), f.port+portsOfNode-1,
		strings.Join(seeds, ", "), first, i < f.options.Core, f.Data(i), f.options.Heartbeat.Milliseconds(), f.options.MaxFDs, f.options.Bounds.text())
	path = filepath.Join(f.options.Dir, fmt.Sprintf("node-%d.yaml", i))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// text writes the bounds as the settings file has them.
func (b Bounds) text() string {
	var items []string
	add := func(name string, value int64) {
		if value > 0 {
			items = append(items, fmt.Sprintf("%s: %d", name, value))
		}
	}
	add("contact-ms", b.Contact.Milliseconds())
	add("grace-s", int64(b.Grace.Seconds()))
	add("version-ms", b.Version.Milliseconds())
	add("lease-ms", b.Lease.Milliseconds())
	add("config-apply-ms", b.Apply.Milliseconds())
	add("revoke-ms", b.Revoke.Milliseconds())
	if b.Revoke > 0 {
		items = append(items, "fail-closed: true")
	}
	return strings.Join(items, ", ")
}

// Start starts a node's process; first says that the whole system starts with it. It does not wait until the node is up.
func (f *Fleet) Start(i int, first bool) error {
	path, err := f.writeSettings(i, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(f.LogPath(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	if _, err := os.Stat(f.options.Program); err != nil {
		return fmt.Errorf("%s cannot be started: build it with `make system`: %w", f.options.Program, err)
	}
	// The shell bounds the descriptors and gives way to the program.
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, f.options.MaxFDs), f.options.Program, "--log-level", f.options.LogLevel, "node")
	command.Env = append(os.Environ(), "MOLESHIFT_BOOT="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s cannot be started: build it with `make system`: %w", f.options.Program, err)
	}
	n, ended := f.list[i], make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.ended = command.Process, ended
	go func() {
		err := command.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.err = err
		close(ended)
	}()
	return nil
}

// Signal sends a signal to a node's process, where it has one.
func (f *Fleet) Signal(i int, s syscall.Signal) {
	n := f.list[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s) // fails only where it has ended
	}
}

// Await returns once a node's process has ended, with how it ended; after the given time it is killed.
func (f *Fleet) Await(i int, within time.Duration) error {
	n := f.list[i]
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
	case <-time.After(within):
		f.Signal(i, syscall.SIGKILL)
		<-ended
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Kill ends a node's process at once; its disk stays.
func (f *Fleet) Kill(i int) {
	f.Signal(i, syscall.SIGKILL)
	_ = f.Await(i, endWithin) // it was killed
}

// Wipe empties a node's disk.
func (f *Fleet) Wipe(i int) error { return os.RemoveAll(f.Data(i)) }

// Close ends all processes.
func (f *Fleet) Close() {
	for i := range f.list {
		f.Kill(i)
	}
}

// Crash is what a node's log tells of a data race, a programming error, or an end by itself.
type Crash struct {
	Path  string
	Sign  string
	Lines []string
}

// Crashes looks through the nodes' logs.
func (f *Fleet) Crashes() []Crash {
	var found []Crash
	for i := range f.list {
		text := f.Log(i)
		for _, sign := range []string{"WARNING: DATA RACE", "panic:", "programming error", "\naccept tcp4"} {
			if at := strings.Index(text, sign); at >= 0 {
				found = append(found, Crash{f.LogPath(i), sign, strings.SplitN(text[at:], "\n", logLines)})
			}
		}
	}
	return found
}
