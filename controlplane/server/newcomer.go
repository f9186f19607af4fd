package server

// What a member that came with an empty disk lacks: the ends that were acknowledged before it was taken in.

import (
	"time"

	"github.com/gravitational/trace"

	"moleshift/controlplane/core"
	"moleshift/peer"
)

// lacksEndsRecord stands on disk from the start of a node that comes to a running system with an empty disk until it has the ends that
// were acknowledged before.
const lacksEndsRecord = "lacks-ends"

// PrepareNewcomer notes in an empty store that its node has nothing of what a running system has acknowledged. It is to be called before
// the acceptor is made, on a node that was not started together with the whole system.
func PrepareNewcomer(store core.Store) error {
	if !core.IsEmpty(store) {
		return nil
	}
	return trace.Wrap(store.Put(lacksEndsRecord, []byte{1}))
}

func (c *Controller) mayLackEnds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lacksEnds
}

// lacksNoEnds notes that this node has all ends that were acknowledged before it became a member; false: the disk did not take that.
func (c *Controller) lacksNoEnds() bool {
	if c.mayLackEnds() && c.acceptor.Keep(lacksEndsRecord, nil) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lacksEnds = false
	return true
}

// gatherEnds asks the other members for their tables until it has all ends that were acknowledged before this node became a member. What was
// acknowledged longer ago than ends are remembered need not be known.
func (c *Controller) gatherEnds() {
	var member time.Time // since when this node is one
	for c.mayLackEnds() {
		if c.isMember() {
			if member.IsZero() {
				member = time.Now()
			}
			if (c.hasEnoughTables() || time.Since(member) > keepEntries) && c.lacksNoEnds() {
				return
			}
		}
		if !c.pause(c.syncEvery) {
			return
		}
	}
}

// hasEnoughTables asks the other members for their tables, and tells whether so many have answered that one of them has any end that a
// majority had, also where this node took the place of another one of that majority.
func (c *Controller) hasEnoughTables() bool {
	members := c.registers.Members(core.Config)
	majority := len(members)/2 + 1
	answered := 0
	for _, m := range members {
		if m.ID == c.acceptor.Identity() {
			continue
		}
		var theirs peer.Instances
		err := c.caller.Call(m.Address, peer.CallInstances, &peer.Instances{Want: true}, &theirs, core.CallTimeout)
		if err != nil {
			continue
		}
		c.takeAll(theirs.List)
		if !theirs.Part {
			answered++
		}
	}
	return answered > len(members)-majority
}
