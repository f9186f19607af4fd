package main

// Servers of a version that was never ordered get requests.

import (
	"fmt"
	"time"
)

// earlyFor is how long servers of the new version stand ready beside the old ones before the operator would order the release.
const earlyFor = 8 * time.Second

// playEarly starts servers of v2 beside those of v1, as for a release. The order for it is never sent: none of them may run a request.
func playEarly(p *play) (bool, error) {
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
	if status, answer := r.operator.call(upWithin, "GET", "/rollouts/"+serviceName+"/read", ""); status != 404 {
		return false, fmt.Errorf("%w: a release was ordered: %d %s", errSetup, status, answer)
	}
	p.note("operator reads that no release of the service was ever ordered")
	r.clients = startClients(fleet, hostName, nil)
	defer r.clients.stop()
	time.Sleep(contactMs)
	r.clients.take()
	if p.trouble {
		if err := r.start("v2"); err != nil {
			return false, err
		}
	}
	for second := range int(earlyFor / time.Second) {
		time.Sleep(time.Second)
		p.note("after %d s: servers of v1 ran %d requests, servers of v2 %d", second+1, r.ran("v1"), r.ran("v2"))
	}
	p.note("answers to clients, by status: %v", r.clients.take())
	if n := r.ran("v2"); n > 0 {
		p.note("ROUTE: servers of v2 ran %d requests, and no order ever named v2", n)
		return true, nil
	}
	return false, nil
}

// ran counts what the servers of a version ran.
func (r *releasePlay) ran(version string) (n int64) {
	for _, s := range r.servers[version] {
		n += s.runs.Load()
	}
	return n
}
