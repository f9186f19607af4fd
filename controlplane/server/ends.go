package server

// The ends of servers on this member's disk: an end that was acknowledged must outlast a kill of all members at once.

import (
	"slices"
	"sync"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/registry"
	"moleshift/peer"
)

const (
	// endsRecord holds the instances that leave or are gone. It is apart from instancesRecord, as it is written before an end is
	// acknowledged.
	endsRecord = "ends"

	mostEnds  = 2048
	endsRetry = 100 * time.Millisecond // after a write that failed
	keptWait  = 200 * time.Millisecond // how long another member waits for this one's disk; less than a call takes at the most
	askWait   = 250 * time.Millisecond // how long the first heartbeat of an instance waits for other members
)

// endKeeper tells which ends are on disk. Those that come while one write is under way go with the next.
type endKeeper struct {
	wake chan struct{} // of one: something is to be written

	mu       sync.Mutex
	revision uint64         // the table's EndsRevision of the last write
	kept     map[string]int // by instance: its state on disk
	changed  chan struct{}  // closed and replaced at each write
}

func newEndKeeper() *endKeeper {
	return &endKeeper{wake: make(chan struct{}, 1), kept: map[string]int{}, changed: make(chan struct{})}
}

// due has the ends written soon.
func (k *endKeeper) due() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// written notes that the ends of a revision are on disk.
func (k *endKeeper) written(revision uint64, list []peer.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.kept = revision, make(map[string]int, len(list))
	for _, in := range list {
		k.kept[in.ID] = in.State
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// has tells whether the ends among some accounts are on disk, and gives the channel that is closed at the next write.
func (k *endKeeper) has(list []peer.Instance) (bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lacks := func(in peer.Instance) bool { return isEnd(in) && k.kept[in.ID] < in.State }
	return !slices.ContainsFunc(list, lacks), k.changed
}

func (k *endKeeper) writtenRevision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// keepEnds writes ends to disk until Close.
func (c *Controller) keepEnds() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.ends.wake:
		}
		for !c.writeEnds() {
			if !c.pause(endsRetry) {
				return
			}
		}
	}
}

// writeEnds writes the ends that are known now; false: the disk did not take them.
func (c *Controller) writeEnds() bool {
	c.mu.Lock()
	revision, list := c.table.EndsRevision(), c.table.Ended()
	c.mu.Unlock()
	if revision == c.ends.writtenRevision() {
		return true
	}
	data, err := (&peer.Instances{List: list}).MarshalMsg(nil)
	if err != nil || c.acceptor.Keep(endsRecord, data) != nil {
		return false
	}
	c.ends.written(revision, list)
	return true
}

// awaitKept returns once the ends among some accounts are on this member's disk; false: they are not within the given time.
func (c *Controller) awaitKept(list []peer.Instance, within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		kept, changed := c.ends.has(list)
		if kept {
			return true
		}
		c.ends.due()
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-c.closed:
			return false
		}
	}
}

// askForEnd asks the other members whether they know that an instance leaves or is gone, and returns once a majority has answered: an
// end that was acknowledged is known to one of them. false: no majority answered within askWait.
func (c *Controller) askForEnd(id string) bool {
	members := c.registers.Members(core.Config)
	answers := make(chan struct{}, len(members))
	count := 0
	for _, m := range members {
		if m.ID == c.acceptor.Identity() {
			if !c.mayLackEnds() {
				count++
			}
			continue
		}
		go func() {
			var reply peer.Instances
			err := c.caller.Call(m.Address, peer.CallInstances, &peer.Instances{Ask: []string{id}}, &reply, askWait)
			if err != nil {
				return
			}
			c.takeAll(reply.List)
			if !reply.Part {
				answers <- struct{}{}
			}
		}()
	}
	return c.awaitMajority(count, len(members), answers, askWait)
}

// awaitMajority counts answers until they are those of a majority; false: they are not within the given time.
func (c *Controller) awaitMajority(count, of int, answers <-chan struct{}, within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for 2*count <= of {
		select {
		case <-answers:
			count++
		case <-timer.C:
			return false
		case <-c.closed:
			return false
		}
	}
	return true
}

// endsAmong lists those of some instances that this member knows to leave or to be gone.
func (c *Controller) endsAmong(ids []string) []peer.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []peer.Instance
	for _, id := range ids {
		if in, ok := c.table.Get(id); ok && in.State != registry.Ready {
			list = append(list, in)
		}
	}
	return list
}

// isEnd tells whether an account says that its instance leaves or is gone.
func isEnd(in peer.Instance) bool { return in.State != registry.Ready }
