package main

// A system that never comes up: its processes were killed once, right after their first start.

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	"moleshift/lab/nodes"
)

const (
	firstWithin = 30 * time.Second     // for the first configuration to be acknowledged; recovery-s is 12
	firstKill   = 3 * time.Millisecond // from the start to the kill
)

// playFirst starts all nodes for the first time, kills every process shortly afterwards, and starts them again with their disks, and with the
// settings that a process has that is not started for the first time. The first configuration must be acknowledged in the end.
func playFirst(p *play) (bool, error) {
	fleet, err := nodes.New(p.fleetOptions())
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSetup, err)
	}
	defer fleet.Close()
	for i := range fleet.Len() {
		if err := fleet.Start(i, true); err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
	}
	p.note("all nodes are started for the first time")
	if p.trouble {
		time.Sleep(killAfter())
		p.note("SIGKILL to all %d nodes", fleet.Len())
		for i := range fleet.Len() {
			fleet.Signal(i, syscall.SIGKILL)
		}
		for i := range fleet.Len() {
			_ = fleet.Await(i, time.Second) // it was killed
			entries, _ := os.ReadDir(fleet.Data(i))
			p.note("node %d has %d files on its disk", i, len(entries))
		}
		time.Sleep(downFor)
		for i := range fleet.Len() {
			if err := fleet.Start(i, false); err != nil {
				return false, fmt.Errorf("%w: %w", errSetup, err)
			}
		}
		p.note("all nodes are started again")
	}
	o := newOperator(p, fleet)
	p.note("operator sends POST /config/replace until it is taken")
	status, answer := o.call(firstWithin, "POST", "/config/replace", configuration, "Moleshift-If-Version", "0")
	p.note("operator gets %d %s", status, answer)
	if status != 200 {
		p.note("Fault: for %v no node takes the first configuration; no request can be served", firstWithin)
		return true, nil
	}
	return false, nil
}

// killAfter is the time from the start to the kill, unless DELAY_MS says otherwise.
func killAfter() time.Duration {
	ms, err := strconv.ParseFloat(os.Getenv("DELAY_MS"), 64)
	if err != nil {
		return firstKill
	}
	return time.Duration(ms * float64(time.Millisecond))
}
