package main

// A node that is told of a changed settings file right after its start.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	leastEnds  = 3               // of processes that end by themselves, for the rule to be broken
	grace      = 8 * time.Second // bounds.grace-s
	catchUp    = 4 * time.Second // bounds.catch-up-s, the nodes' default
	watchedFor = time.Second     // a process that has run for so long has not ended by the signal
)

// playReload restarts one node after the other with SIGTERM, as for planned work. The settings file of each has changed by its start (the
// seeds stand in another order), and SIGHUP says so to the process that has just been started.
func playReload(p *play) (bool, error) {
	fleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	o := newOperator(p, fleet)
	if _, err := o.order("/config/replace", configuration, "Moleshift-If-Version", "0"); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	var started []*exec.Cmd
	defer func() {
		for _, command := range started {
			_ = command.Process.Kill() // fails only where it has ended
			_, _ = command.Process.Wait()
		}
	}()
	ends := 0
	for i := range fleet.Len() {
		p.note("SIGTERM to node %d", i)
		fleet.Signal(i, syscall.SIGTERM)
		p.note("node %d has ended: %v", i, fleet.Await(i, grace))
		command, ended, err := p.restart(i)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
		if ended {
			ends++
			if command, _, err = p.startProcess(i); err != nil { // as the platform does
				return false, fmt.Errorf("%w: %w", errSetup, err)
			}
		}
		started = append(started, command)
		if !until(upWithin, func() bool { status, _ := o.once(i, "GET", "/config/read", ""); return status == 200 }) {
			return false, fmt.Errorf("%w: node %d does not come back", errSetup, i)
		}
		time.Sleep(catchUp)
	}
	p.note("%d processes on %d machines have ended by themselves", ends, ends)
	return ends >= leastEnds, nil
}

// settingsPath is the settings file of a node: that of package nodes.
func (p *play) settingsPath(i int) string {
	return filepath.Join(p.dir, fmt.Sprintf("node-%d.yaml", i))
}

// changeSettings has the seeds in another order, and tells that the system runs already.
func (p *play) changeSettings(i int) error {
	text, err := os.ReadFile(p.settingsPath(i))
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	for n, line := range lines {
		switch {
		case strings.HasPrefix(line, "bootstrap:"):
			lines[n] = "bootstrap: false"
		case strings.HasPrefix(line, "seeds:"):
			list := strings.Split(strings.Trim(strings.TrimPrefix(line, "seeds:"), " []"), ", ")
			lines[n] = "seeds: [" + strings.Join(append(list[1:], list[0]), ", ") + "]"
		}
	}
	return os.WriteFile(p.settingsPath(i), []byte(strings.Join(lines, "\n")), 0o600)
}

// startProcess starts a node's process with the command of the deploy file. When it returns, the program has been loaded.
func (p *play) startProcess(i int) (*exec.Cmd, chan error, error) {
	command := exec.Command(p.program, "node")
	command.Env = append(os.Environ(), "MOLESHIFT_BOOT="+p.settingsPath(i))
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	return command, ended, nil
}

// restart starts a node with changed settings, and tells the process so; ended: it ended by itself.
func (p *play) restart(i int) (command *exec.Cmd, ended bool, err error) {
	if err := p.changeSettings(i); err != nil {
		return nil, false, err
	}
	command, end, err := p.startProcess(i)
	if err != nil {
		return nil, false, err
	}
	p.note("node %d is started again, as process %d", i, command.Process.Pid)
	if p.trouble {
		time.Sleep(signalAfter())
		p.note("SIGHUP to process %d: %v", command.Process.Pid, command.Process.Signal(syscall.SIGHUP))
	}
	select {
	case err := <-end:
		p.note("process %d of node %d has ended by itself: %v", command.Process.Pid, i, err)
		return command, true, nil
	case <-time.After(watchedFor):
		p.note("process %d of node %d runs", command.Process.Pid, i)
		return command, false, nil
	}
}

// signalAfter is how long after the start the signal is sent: at once, unless DELAY_MS says otherwise.
func signalAfter() time.Duration {
	ms, err := strconv.Atoi(os.Getenv("DELAY_MS"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
