package server

import (
	"maps"
	"slices"
	"sync"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

const (
	outboxPause = 80 * time.Millisecond // after a call that failed
	outboxKeep  = 3 * time.Second       // what could not be delivered for so long is left to the background scrub
)

// outbox gathers entries for one member and delivers them in order, those that come meanwhile together: a burst of changes costs
// one call at a time.
type outbox struct {
	controller *Controller
	to         quorum.Member

	mu      sync.Mutex
	pending map[string]outgoing
	sending bool
}

// news tells what an entry is passed on for.
type news int

const (
	accountOnly news = iota
	beatCame         // its heartbeat has just come here
	loadChanged      // Loading is to be taken over too
)

type outgoing struct {
	instance  peer.Instance
	kind      news
	since     time.Time
	delivered []chan<- struct{} // told when the member has it; each has room for it
}

// outboxOf gives the outbox for a member.
func (c *Controller) outboxOf(m quorum.Member) *outbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.outboxes[m.ID]
	if o == nil {
		o = &outbox{controller: c, to: m, pending: map[string]outgoing{}}
		c.outboxes[m.ID] = o
	}
	return o
}

// add queues an entry; a newer account of the same instance takes the place of one that waits.
func (o *outbox) add(in peer.Instance, kind news, delivered chan<- struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.pending[in.ID]
	out.instance, out.since = later(out.instance, in), time.Now()
	out.kind = max(out.kind, kind)
	out.delivered = append(out.delivered, delivered)
	o.pending[in.ID] = out
	if !o.sending {
		o.sending = true
		go o.run()
	}
}

// later gives the newer one of two accounts of an instance, which never takes an end of the older one back: whoever waits for that end is
// told of what is delivered in its place.
func later(older, newer peer.Instance) peer.Instance {
	newer.State = max(older.State, newer.State)
	return newer
}

// run delivers until nothing is left.
func (o *outbox) run() {
	for {
		batch, message := o.take()
		if batch == nil {
			return
		}
		reply := &peer.Instances{}
		err := o.controller.caller.Call(o.to.Address, peer.CallInstances, message, reply, core.CallTimeout)
		if err == nil {
			batch = confirm(batch, reply.Kept)
			if len(batch) == 0 {
				continue
			}
		}
		o.putBack(batch)
		if !o.controller.pause(outboxPause) {
			return
		}
	}
}

// confirm tells those who wait what the member has, and gives what is to be sent again: ends that are not on its disk.
func confirm(batch map[string]outgoing, kept bool) map[string]outgoing {
	left := map[string]outgoing{}
	for id, out := range batch {
		if isEnd(out.instance) && !kept {
			left[id] = out
			continue
		}
		for _, d := range out.delivered {
			d <- struct{}{}
		}
	}
	return left
}

// take empties the outbox; nil: there was nothing, and the sender has ended.
func (o *outbox) take() (map[string]outgoing, *peer.Instances) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) == 0 {
		o.sending = false
		return nil, nil
	}
	batch := o.pending
	o.pending = map[string]outgoing{}
	message := &peer.Instances{}
	for _, id := range slices.Sorted(maps.Keys(batch)) {
		message.List = append(message.List, batch[id].instance)
		switch batch[id].kind {
		case loadChanged:
			message.Load = append(message.Load, id)
		case beatCame:
			message.Beat = append(message.Beat, id)
		}
	}
	return batch, message
}

// putBack keeps what was not delivered, unless something newer waits already.
func (o *outbox) putBack(batch map[string]outgoing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, out := range batch {
		if time.Since(out.since) > outboxKeep {
			continue
		}
		if newer, ok := o.pending[id]; ok {
			newer.instance = later(out.instance, newer.instance)
			newer.kind = max(newer.kind, out.kind)
			newer.delivered = append(newer.delivered, out.delivered...)
			o.pending[id] = newer
			continue
		}
		o.pending[id] = out
	}
}
