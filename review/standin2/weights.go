package main

// Weights that were named long ago count as named just now at a node that has restarted.

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"moleshift/lab/nodes"
)

const (
	versionMs    = 8 * time.Second  // bounds.version-ms
	versionAllMs = 11 * time.Second // bounds.version-all-ms
	contactMs    = 3 * time.Second  // bounds.contact-ms
	restsFor     = 36 * time.Second // from the naming to the restart
	serverBack   = time.Second      // from the node's start to that of the server
	judgedFor    = 8 * time.Second  // from the node's start
	clockSlack   = 50 * time.Millisecond
)

// playWeights has a model server end as planned, names new weights, and waits until all servers have had them for long. Then the node that
// gave the orders is restarted with SIGTERM, as for planned work, and the server comes back with the weights that it had. No node that is in
// touch may send it a request before it has the new ones: they were named long ago.
func playWeights(p *play) (bool, error) {
	fleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	all := &modelServers{play: p, fleet: fleet}
	var servers []*modelServer
	defer func() {
		for _, s := range servers {
			s.stop()
		}
	}()
	for i := range 3 {
		s, err := all.start(fmt.Sprintf("i-model-%d", i+1), 1)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
		servers = append(servers, s)
	}
	o := newOperator(p, fleet)
	if _, err := o.order("/config/replace", modelConfiguration, "Moleshift-If-Version", "0"); err != nil {
		return false, err
	}
	time.Sleep(contactMs)
	clients := startClients(fleet, modelHost, map[string]string{"Moleshift-Model-Id": modelName, "Moleshift-Token-Count": "200,20"})
	defer clients.stop()
	time.Sleep(2 * time.Second)
	resting := servers[len(servers)-1]
	servers = servers[:len(servers)-1]
	if !resting.leave() {
		return false, fmt.Errorf("%w: the end of a server was not acknowledged", errSetup)
	}
	if _, err := o.order("/version-put", `{"model":"m","version":2}`); err != nil {
		return false, err
	}
	named := time.Now()
	if !until(versionMs, func() bool { return servers[0].now() == 2 && servers[1].now() == 2 }) {
		return false, fmt.Errorf("%w: the servers did not load the new weights", errSetup)
	}
	p.note("the servers that run have version 2; answers to clients so far, by status: %v", clients.take())
	time.Sleep(time.Until(named.Add(restsFor)))
	giver, err := all.giver()
	if err != nil {
		return false, err
	}
	started, stopped := time.Now().Add(-contactMs), time.Now()
	if p.trouble {
		p.note("SIGTERM to node %d, which gave the orders", giver)
		stopped = time.Now()
		fleet.Signal(giver, syscall.SIGTERM)
		p.note("node %d has ended: %v", giver, fleet.Await(giver, grace))
		if err := fleet.Start(giver, false); err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
		started = time.Now()
		p.note("node %d is started again", giver)
		time.Sleep(serverBack)
	}
	back, err := all.start("i-model-4", resting.now())
	if err != nil {
		return false, fmt.Errorf("%w: %w", errSetup, err)
	}
	servers = append(servers, back)
	time.Sleep(judgedFor)
	p.note("answers to clients since, by status: %v", clients.take())
	return all.judge(stopped.Sub(named), started.Add(contactMs+clockSlack)), nil
}

// giver is the node that gave the first order.
func (a *modelServers) giver() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.orders) == 0 {
		return 0, fmt.Errorf("%w: nobody gave an order", errSetup)
	}
	for i := range a.fleet.Len() {
		if host, _, _ := net.SplitHostPort(a.fleet.Address(i, nodes.Control)); host == a.orders[0] {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: no node has the address %s", errSetup, a.orders[0])
}

// judge tells whether requests began on the old weights when all nodes were in touch again, where the time before in which the core was
// stable has reached version-all-ms.
func (a *modelServers) judge(stable time.Duration, inTouch time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var late, before []string
	for _, r := range a.runs {
		if r.server != "i-model-4" || r.version >= 2 {
			continue
		}
		line := fmt.Sprintf("%s from %s at %.3f s", r.id, r.sender, r.at.Sub(a.play.began).Seconds())
		if r.at.Before(inTouch) {
			before = append(before, line)
		} else {
			late = append(late, line)
		}
	}
	a.play.note("the core was stable for %.1f s behind the acknowledgement of version 2, and all nodes are in touch from %.3f s on", stable.Seconds(), inTouch.Sub(a.play.began).Seconds())
	a.play.note("%d requests began on version 1 at the server that came back before that, and are not judged", len(before))
	if len(late) == 0 || stable < versionAllMs {
		a.play.note("none began on version 1 there later")
		return false
	}
	a.play.note("VERSION: %d requests began on version 1, sent by nodes in touch:\n%s", len(late), "              "+strings.Join(late, "\n              "))
	return true
}
