package server

import (
	"slices"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/peer"
)

// pushWait bounds how long an acknowledgement waits for a majority to keep an end.
const pushWait = 600 * time.Millisecond

// beat takes a heartbeat that came here or was passed on. That a server leaves is acknowledged only once a majority of the members has it
// on disk, so that neither a loss that the system bears nor a kill of all makes routers forget it.
func (c *Controller) beat(in *peer.Beat) (*peer.BeatReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	id := in.Instance.ID
	if in.Instance.State != registry.Gone && !c.knowsInstance(id) && !c.askForEnd(id) {
		return nil, fault.New(fault.Unavailable, "no majority of the members can tell whether the instance has left")
	}
	c.mu.Lock()
	changed := c.table.Take(c.now(), in.Instance, true)
	current, known := c.table.Get(id)
	if in.Instance.State != registry.Gone {
		c.heard[id] = true
	}
	unconfirmed := isEnd(current) && c.confirmed[id] < current.State
	c.mu.Unlock()
	if !known {
		return nil, fault.New(fault.Unavailable, "too many instances have ended lately: this end is not remembered")
	}
	if changed {
		c.notify()
	}
	if (changed || unconfirmed) && !c.push(current, beatCame, unconfirmed) {
		return nil, fault.New(fault.Unavailable, "no majority of the members keeps the instance's end yet")
	}
	if unconfirmed {
		c.mu.Lock()
		c.confirmed[id] = current.State
		c.mu.Unlock()
	}
	return &peer.BeatReply{OK: true, Owner: c.heartbeatAddress(current.Service)}, nil
}

func (c *Controller) knowsInstance(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.table.Get(id)
	return known
}

// heartbeatAddress names the control address of the owner of a service's share of the table.
func (c *Controller) heartbeatAddress(service string) string {
	m, ok := c.owner("instances-" + service)
	if !ok {
		return ""
	}
	return c.controlAddress(m)
}

// push passes an entry on to the other members. With wait it returns once a majority of
// all members has it, an end on disk, or false.
func (c *Controller) push(in peer.Instance, kind news, wait bool) bool {
	members := c.registers.Members(core.Config)
	delivered := make(chan struct{}, len(members))
	for _, m := range members {
		if m.ID != c.acceptor.Identity() {
			c.outboxOf(m).add(in, kind, delivered)
		} else if wait {
			go func() {
				if c.awaitKept([]peer.Instance{in}, pushWait) {
					delivered <- struct{}{}
				}
			}()
		}
	}
	return !wait || c.awaitMajority(0, len(members), delivered, pushWait)
}

// instances takes entries from another member.
func (c *Controller) instances(in *peer.Instances) (*peer.Instances, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	c.takeAll(in.List)
	reply := &peer.Instances{List: c.endsAmong(in.Ask), Part: c.mayLackEnds()}
	reply.Kept = c.awaitKept(in.List, keptWait)
	c.mu.Lock()
	for _, id := range in.Beat {
		c.table.Heard(c.now(), id)
	}
	for i := range in.List {
		if slices.Contains(in.Load, in.List[i].ID) {
			c.table.SetLoading(c.now(), in.List[i].ID, in.List[i].Loading)
		}
	}
	if in.Want {
		reply.List, _ = c.table.Since(0)
	}
	c.mu.Unlock()
	if len(in.Load) > 0 {
		c.notify()
	}
	return reply, nil
}

func (c *Controller) takeAll(list []peer.Instance) {
	now := c.now()
	changed := false
	c.mu.Lock()
	for i := range list {
		if c.table.Take(now, list[i], false) {
			changed = true
		}
	}
	c.mu.Unlock()
	if changed {
		c.notify()
	}
}
