package main

// An order for a release that is acknowledged and never carried out.

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"moleshift/lab/nodes"
)

const (
	serversOfVersion = 2
	deadlineS        = 8
	ackTimeout       = 4 * time.Second // bounds.ack-timeout-ms, the nodes' default
	downFor          = 500 * time.Millisecond
)

// releasePlay is the case under way.
type releasePlay struct {
	*play
	fleet    *nodes.Fleet
	operator *operator
	clients  *clients
	servers  map[string][]*server // by version
	started  int
}

// playRelease brings a service from v1 to v2, back to v1, and to v2 again. Before the last order every process of the system is killed and
// comes back with its disk. The order must be carried out: read as running v2, and in the end as completed or rolled back.
func playRelease(p *play) (bool, error) {
	fleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	r := &releasePlay{play: p, fleet: fleet, operator: newOperator(p, fleet), servers: map[string][]*server{}}
	defer r.stopAll()
	if err := r.start("v1"); err != nil {
		return false, err
	}
	if _, err := r.operator.order("/config/replace", configuration, "Moleshift-If-Version", "0"); err != nil {
		return false, err
	}
	r.clients = startClients(fleet, hostName, nil)
	defer r.clients.stop()
	time.Sleep(3 * time.Second)
	p.note("answers to clients so far, by status: %v", r.clients.take())
	first := time.Now()
	if err := r.bring("v1", "v2"); err != nil {
		return false, err
	}
	if err := r.bring("v2", "v1"); err != nil {
		return false, err
	}
	// An order may be sent again for ack-timeout-ms at most: no call with the first order for v2 can come any more, by a wide margin.
	time.Sleep(max(time.Until(first.Add(3*ackTimeout)), 0))
	if p.trouble {
		r.killAll()
	}
	if !until(upWithin, func() bool { return strings.HasPrefix(r.operator.read(serviceName), "200 ") }) {
		return false, fmt.Errorf("%w: the release cannot be read", errSetup)
	}
	p.note("operator reads %s", r.operator.read(serviceName))
	return r.orderAgain()
}

// start starts servers of a version.
func (r *releasePlay) start(version string) error {
	for range serversOfVersion {
		r.started++
		s, err := startServer(r.play, r.fleet, fmt.Sprintf("i-%s-%d", version, r.started), version)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		r.servers[version] = append(r.servers[version], s)
	}
	time.Sleep(2 * beatEvery)
	return nil
}

func (r *releasePlay) stop(version string) {
	for _, s := range r.servers[version] {
		s.stop()
	}
	delete(r.servers, version)
}

func (r *releasePlay) stopAll() {
	for version := range r.servers {
		r.stop(version)
	}
}

func orderOf(version string) string {
	return fmt.Sprintf(`{"service":%q,"target-version":%q,"deadline-s":%d}`, serviceName, version, deadlineS)
}

// state is the answer to a read of a release.
func state(phase, version string) string {
	return fmt.Sprintf(`%d {"state":%q,"target-version":%q}`, http.StatusOK, phase, version)
}

// bring has the service brought to another version, and ends the servers of the one before.
func (r *releasePlay) bring(from, to string) error {
	if err := r.start(to); err != nil {
		return err
	}
	if _, err := r.operator.order("/rollouts/start", orderOf(to)); err != nil {
		return err
	}
	last := ""
	if !until((deadlineS+2)*time.Second, func() bool {
		if now := r.operator.read(serviceName); now != last {
			last = now
			r.note("operator reads %s", now)
		}
		return last == state("completed", to)
	}) {
		return fmt.Errorf("%w: %s was not completed", errSetup, to)
	}
	r.stop(from)
	r.note("answers to clients since, by status: %v", r.clients.take())
	return nil
}

// killAll kills every process of the system at once; all come back with their disks.
func (r *releasePlay) killAll() {
	r.note("SIGKILL to all %d nodes", r.fleet.Len())
	for i := range r.fleet.Len() {
		r.fleet.Signal(i, syscall.SIGKILL)
	}
	for i := range r.fleet.Len() {
		_ = r.fleet.Await(i, time.Second) // it was killed
	}
	time.Sleep(downFor)
	for i := range r.fleet.Len() {
		if err := r.fleet.Start(i, false); err != nil {
			r.note("node %d: %v", i, err)
		}
	}
	r.note("all nodes are started again")
}

// orderAgain orders v2 once more, and tells whether that was acknowledged and not carried out.
func (r *releasePlay) orderAgain() (bool, error) {
	if err := r.start("v2"); err != nil {
		return false, err
	}
	if _, err := r.operator.order("/rollouts/start", orderOf("v2")); err != nil {
		return false, err
	}
	taken, last := false, ""
	for end := time.Now().Add((deadlineS + 4) * time.Second); time.Now().Before(end); time.Sleep(tryEvery) {
		if now := r.operator.read(serviceName); now != last {
			last = now
			r.note("operator reads %s", now)
		}
		taken = taken || strings.Contains(last, `"target-version":"v2"`)
	}
	runs := int64(0)
	for _, s := range r.servers["v2"] {
		runs += s.runs.Load()
	}
	r.note("servers of v2 ran %d requests behind the order; answers to clients since, by status: %v", runs, r.clients.take())
	if !taken {
		r.note("LOST: the order for v2 was acknowledged, and no read has shown it for %d s: %s", deadlineS+4, last)
	}
	return !taken, nil
}
