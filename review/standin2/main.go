// Command standin2 plays the cases of the second review against real processes of the system: it starts nodes on loopback addresses with
// the commands of the deploy file, plays clients, servers and the operator, and judges what these saw.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"moleshift/lab/nodes"
)

// The exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// errSetup is the kind of the errors that keep a case from running.
var errSetup = errors.New("the case could not run")

// play is one case under way.
type play struct {
	program string
	trouble bool
	dir     string
	began   time.Time

	mu     sync.Mutex
	record strings.Builder
}

// note writes a line to the record, with the time since the beginning.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(&p.record, "%8.3f s  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each tells whether the rule was broken.
var cases = map[string]func(p *play) (bool, error){
	"release": playRelease,
	"reload":  playReload,
	"weights": playWeights,
	"early":   playEarly,
	"first":   playFirst,
}

func main() {
	program := flag.String("program", "target/moleshiftd", "the program that runs a node")
	name := flag.String("case", "", "the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*program, *name, *record))
}

func run(program, name, record string) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin2: no case %q\n", name)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "moleshift-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	absolute, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	p := &play{program: absolute, trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now()}
	wasBroken, err := playCase(p)
	status := held
	switch {
	case err != nil:
		status = couldNot
		p.note("%v", err)
	case wasBroken:
		status = broken
	}
	p.note("exit status %d", status)
	if err := os.WriteFile(record, []byte(p.record.String()), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	return status
}

const (
	nodesInAll = 3 // all of them count for the quorum
	beatEvery  = 700 * time.Millisecond
	upWithin   = 20 * time.Second
	tryEvery   = 100 * time.Millisecond
)

// fleetOptions are the settings of a small deployment.
func (p *play) fleetOptions() nodes.Options {
	return nodes.Options{
		Program: p.program, Dir: p.dir, Nodes: nodesInAll, Core: nodesInAll, Heartbeat: beatEvery,
		Bounds: nodes.Bounds{Contact: 3 * time.Second, Grace: 8 * time.Second, Version: versionMs, Lease: 3 * time.Second, Apply: 2 * time.Second},
	}
}

// startFleet starts a small deployment, as at the first start of the whole system.
func (p *play) startFleet() (*nodes.Fleet, error) {
	fleet, err := nodes.New(p.fleetOptions())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	for i := range fleet.Len() {
		if err := fleet.Start(i, true); err != nil {
			fleet.Close()
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
	}
	return fleet, nil
}

// until tries something until it is so; false: it was not within the given time.
func until(within time.Duration, so func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(tryEvery) {
		if so() {
			return true
		}
	}
	return false
}
