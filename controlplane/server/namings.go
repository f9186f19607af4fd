package server

import (
	"time"

	"moleshift/controlplane/core"
	"moleshift/peer"
)

// namingsKeep is how many times version-ms a naming is told of and remembered after it was followed by another one.
const namingsKeep = 4

// noteNamings notes when weights were named: at the latest now, or so long ago as the register tells, where it holds something new.
func (c *Controller) noteNamings() {
	k := c.registers.Known(core.Weights)
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.Ballot == c.namingsFrom {
		return
	}
	state, err := readWeights(k.Value.Data)
	if err != nil {
		return
	}
	c.namingsFrom = k.Ballot
	if c.weightsRead == nil || !c.weightsRead.SameForRouters(state) {
		c.weightsNews = k.Ballot
	}
	c.weightsRead = state
	now := time.Now()
	c.namings = c.namings.Take(now, state.NamingAges)
	for _, m := range state.Versions {
		c.namings, _ = c.namings.Note(m.Name, m.Version, now)
	}
	c.namings = c.namings.Without(now.Add(-c.namingsKept()))
}

// takeNamings notes what another node knows of namings: it may have heard of them before this one did.
func (c *Controller) takeNamings(told []peer.Naming) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.namings = c.namings.Take(time.Now(), told)
}

// toldNamings lists the namings that others are told of. The lock is held.
func (c *Controller) toldNamings() []peer.Naming {
	return c.namings.Tell(time.Now(), c.namingsKept())
}

func (c *Controller) namingsKept() time.Duration {
	return time.Duration(namingsKeep * c.set.Bounds.VersionMs * float64(time.Millisecond))
}
