package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	portsOfNode = 6
	firstBlock  = 20_000
	blocks      = 1_500
	upWithin    = 20 * time.Second
	storyLines  = 40 // of a log behind a sign of a crash
	coreNodes   = 3  // that count for the quorum and keep a disk
)

// node is one process of the system with an address of its own.
type node struct {
	index int
	ip    string
	data  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	ready   atomic.Bool // as the platform sees it
}

// nodes owns the processes: their files, their start and their end. It must never leave one behind, and never signal one that it did
// not start.
type nodes struct {
	options *Options
	port    int // the first of a block of ports that are free on all addresses
	list    []*node
}

func newNodes(o *Options) (*nodes, error) {
	n := &nodes{options: o}
	for i := range o.Nodes {
		n.list = append(n.list, &node{index: i, ip: fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, 2+i), data: filepath.Join(o.Dir, fmt.Sprint("data-", i))})
	}
	for block := range blocks {
		n.port = firstBlock + (os.Getpid()+block)%blocks*portsOfNode
		if n.free() {
			return n, nil
		}
	}
	return nil, errors.New("no block of ports is free on loopback: end what listens there")
}

// free tells whether nobody listens on the block of ports.
func (n *nodes) free() bool {
	for offset := range portsOfNode {
		l, err := net.Listen("tcp4", n.address(0, offset))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// The ports of a node, by their place in the block.
const (
	portFront = iota
	portReady
	portControl
	portPeers
)

func (n *nodes) address(i, port int) string { return fmt.Sprintf("%s:%d", n.list[i].ip, n.port+port) }

// writeSettings writes a node's settings file; first says that the whole system starts with it.
func (n *nodes) writeSettings(i int, first bool) (path string, err error) {
	var seeds []string
	for s := range min(coreNodes, len(n.list)) {
		seeds = append(seeds, fmt.Sprintf("%q", n.address(s, portControl)))
	}
	b := n.options.bounds()
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
limits: {memory-mb: 256, max-fds: 1000, disk-mb: 64}
fault-tolerance: {machines: 1}
bounds: {contact-ms: %d, grace-s: %d, version-ms: %d, lease-ms: 1500, freeze-slack-ms: 300, retry-min: 60}
`, i, n.list[i].ip, i%3, n.address(i, portFront), n.address(i, portReady), n.address(i, portControl), n.port+portPeers, n.port+portsOfNode-1,
		strings.Join(seeds, ", "), first, i < coreNodes, n.list[i].data, heartbeatEvery.Milliseconds(), b.Contact.Milliseconds(),
		int(b.Grace.Seconds()), b.Version.Milliseconds())
	path = filepath.Join(n.options.Dir, fmt.Sprintf("node-%d.yaml", i))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts a node's process.
func (n *nodes) start(i int, first bool) error {
	path, err := n.writeSettings(i, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.options.Dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	command := exec.Command(n.options.Program, "--log-level", n.options.LogLevel, "node")
	command.Env = append(os.Environ(), "MOLESHIFT_BOOT="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s cannot be started: build it with `make system`: %w", n.options.Program, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // how it ended is no matter of this
		close(ended)
	}()
	x := n.list[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	x.process, x.ended = command, ended
	return nil
}

// signal sends a signal to a node's process.
func (n *nodes) signal(i int, s syscall.Signal) {
	x := n.list[i]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.process != nil {
		_ = x.process.Process.Signal(s) // fails only where it has ended
	}
}

// await returns once a node's process has ended; after the given time it is killed.
func (n *nodes) await(i int, within time.Duration) {
	x := n.list[i]
	x.mu.Lock()
	ended := x.ended
	x.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(within):
		n.signal(i, syscall.SIGKILL)
		<-ended
	}
}

// close ends all processes.
func (n *nodes) close() {
	for i := range n.list {
		n.signal(i, syscall.SIGKILL)
		n.await(i, upWithin)
	}
}

// watchReady asks every node each half second whether it takes clients; two answers in a row without a 200 take it out.
func (n *nodes) watchReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := make([]int, len(n.list))
	for {
		for i, x := range n.list {
			resp, err := client.Get("http://" + n.address(i, portReady) + "/readyz")
			if err == nil {
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				missed[i] = 0
			} else {
				missed[i]++
			}
			x.ready.Store(missed[i] < 2)
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// crashes gives what the processes' logs tell of data races and of programming errors.
func (n *nodes) crashes() []Violation {
	var found []Violation
	for i := range n.list {
		path := filepath.Join(n.options.Dir, fmt.Sprintf("node-%d.log", i))
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it never started
		}
		for _, sign := range []string{"WARNING: DATA RACE", "panic:", "programming error"} {
			if at := strings.Index(string(text), sign); at >= 0 {
				found = append(found, Violation{"CRASH", fmt.Sprintf("%q in %s", sign, path), strings.SplitN(string(text[at:]), "\n", storyLines)})
			}
		}
	}
	return found
}
