package server

import (
	"slices"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/peer"
)

// pushWait bounds how long an acknowledgement waits for a majority to keep a change.
const pushWait = 600 * time.Millisecond

// beat takes a heartbeat that came here or was passed on. That a server leaves is acknowledged only once a majority of the members
// knows of it, so that no loss that the system bears makes routers forget it.
func (c *Controller) beat(in *peer.Beat) (*peer.BeatReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	now := c.now()
	id, state := in.Instance.ID, in.Instance.State
	c.mu.Lock()
	known, exists := c.table.Get(id)
	if exists && state == registry.Gone {
		in.Instance = known
		in.Instance.State = registry.Gone
	}
	if state == registry.Gone && !exists {
		c.mu.Unlock()
		// This member has not heard of it, or not any more: others may have.
		if !c.push(in.Instance, false, true) {
			return nil, fault.New(fault.Unavailable, "no majority of the members knows of the instance's end yet")
		}
		return &peer.BeatReply{OK: true}, nil
	}
	changed := c.table.Take(now, in.Instance, true)
	if state != registry.Gone {
		c.heard[id] = true
	}
	current, exists := c.table.Get(id)
	unconfirmed := exists && current.State != registry.Ready && c.confirmed[id] < current.State
	c.mu.Unlock()
	if changed {
		c.notify()
	}
	if (changed || unconfirmed) && !c.push(current, false, unconfirmed) {
		return nil, fault.New(fault.Unavailable, "no majority of the members knows of the instance's end yet")
	}
	if unconfirmed {
		c.mu.Lock()
		c.confirmed[id] = current.State
		c.mu.Unlock()
	}
	return &peer.BeatReply{OK: true, Owner: c.heartbeatAddress(in.Instance.Service)}, nil
}

// heartbeatAddress names the control address of the owner of a service's share of the table.
func (c *Controller) heartbeatAddress(service string) string {
	m, ok := c.owner("instances-" + service)
	if !ok {
		return ""
	}
	return c.controlAddress(m)
}

// push passes an entry on to the other members; load says that Loading is to be taken over. With wait it returns once a majority of
// all members has it, or false.
func (c *Controller) push(in peer.Instance, load, wait bool) bool {
	members := c.registers.Members(core.Config)
	delivered := make(chan struct{}, len(members))
	count := 0
	for _, m := range members {
		if m.ID == c.acceptor.Identity() {
			count++
			continue
		}
		c.outboxOf(m).add(in, load, delivered)
	}
	if !wait {
		return true
	}
	deadline := time.After(pushWait)
	for 2*count <= len(members) {
		select {
		case <-delivered:
			count++
		case <-deadline:
			return false
		}
	}
	return true
}

// instances takes entries from another member.
func (c *Controller) instances(in *peer.Instances) (*peer.Instances, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	c.takeAll(in.List)
	reply := &peer.Instances{}
	c.mu.Lock()
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
