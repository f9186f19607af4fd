package server

// What only time shows stands in the register of weights, beside what each process knows by its own steady clock, as a kill of all processes
// takes that: how old orders and namings are, and which versions of a service's servers are in service without an order.

import (
	"slices"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/release"
	"moleshift/controlplane/rollout"
	"moleshift/settings"
)

const (
	// ageStep is by how much an age in the register may lag behind.
	ageStep = time.Second
	// unrecordedAge is what an age in the register is likely to lack behind a restart of all: half of a step, and half of the second within
	// which processes return.
	unrecordedAge = ageStep/2 + 500*time.Millisecond
	// ageTick is between two looks at whether it does.
	ageTick = 250 * time.Millisecond
	// settledAt is how many times ack-timeout-ms old an order is when no repeat of it comes any more: none is sent later than once that
	// time, and it may be on its way for a while.
	settledAt = 1.75
	// ageRest is for how many times as long as a write of ages took the next one is put off: orders and leases are written to the same
	// register, and disks may be slow.
	ageRest = 5
)

// keepAges writes how old orders and namings are for as long as this node is the first live member in the agreed order.
func (c *Controller) keepAges() {
	ticker := time.NewTicker(ageTick)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		c.takeCensus()
		if c.now() < releaseYoung || !c.first(releaseOwner) {
			continue
		}
		began := time.Now()
		if c.recordAges() && !c.pause(ageRest*time.Since(began)) {
			return
		}
	}
}

// takeCensus notes the versions of servers.
func (c *Controller) takeCensus() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var servers []release.Server
	for _, in := range c.table.Remaining() {
		servers = append(servers, release.Server{Service: in.Service, Version: in.Version, Silent: in.Silent})
	}
	c.census.Take(now, servers)
}

// recordAges writes what only time shows where the register lags behind, and tells whether it did.
func (c *Controller) recordAges() bool {
	c.noteNamings()
	k := c.registers.Known(core.Weights)
	state, err := readWeights(k.Value.Data)
	if err != nil || k.Confirmed.IsZero() || c.recorded(state) == nil {
		return false
	}
	never := func(quorum.Value) bool { return false }
	err = c.changeWeights(time.Now().Add(core.CallTimeout), never, func(s *rollout.State) (*rollout.State, error) {
		next := c.recorded(s)
		if next == nil {
			return nil, core.ErrUnchanged
		}
		return next, nil
	})
	if err != nil {
		c.log.Debug().Err(err).Msg("ages of orders and namings are not known to be written") // the next tick sees
	}
	return true
}

// recorded gives a state of the register with the ages of orders and namings and the versions in service as they are now; nil: they stand in
// it.
func (c *Controller) recorded(state *rollout.State) *rollout.State {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTimes.Take(now, state.OrderAges)
	c.namings = c.namings.Take(now, state.NamingAges)
	orders := c.orderTimes.Record(now, state.Releases, c.settledAfter(), ageStep)
	namings := c.namings.Record(now, state.NamingAges, settings.Millis(c.set.Bounds.VersionMs), ageStep)
	next := state.WithAges(orders, namings).WithReleases(c.census.Replace(state.Releases))
	next = next.WithBaselines(c.census.Baselines(state.Baselines, next.Releases))
	if slices.Equal(orders, state.OrderAges) && slices.Equal(namings, state.NamingAges) && next.SameForRouters(state) {
		return nil
	}
	return next
}

// repeatedFor is how long after it was taken an order may be sent again.
func (c *Controller) repeatedFor() time.Duration { return settings.Millis(c.set.Bounds.AckTimeoutMs) }

// settledAfter is how old an order is when no repeat of it comes any more.
func (c *Controller) settledAfter() time.Duration {
	return time.Duration(settledAt * float64(c.repeatedFor()))
}

// noteReleases notes when the releases that are known were ordered: at the latest now, or so long ago as the register tells.
func (c *Controller) noteReleases() []release.Release {
	k := c.registers.Known(core.Weights)
	state, err := readWeights(k.Value.Data)
	if err != nil {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTimes.Take(now, state.OrderAges)
	for i := range state.Releases {
		r := &state.Releases[i]
		if !c.orderTimes.Knows(r.Service, r.Number) {
			c.orderTimes.Note(r.Service, r.Number, now, c.readsReleases)
		}
	}
	c.orderTimes.Keep(state.Releases)
	c.readsReleases = c.readsReleases || !k.Confirmed.IsZero()
	return state.Releases
}
