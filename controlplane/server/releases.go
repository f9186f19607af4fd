package server

// Releases: a service is brought to another version of its servers' software. What is decided is in package release; this file takes
// the operator's orders and writes decisions to the register that weights stand in too.

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/lo"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/release"
	"moleshift/controlplane/rollout"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	orderRelease     = "release"
	orderReleaseRead = "release-read"

	releaseTick = 100 * time.Millisecond
	// releaseOwner is the key in whose agreed order the first live member decides about releases.
	releaseOwner = "releases"
	// releaseYoung is how long a member that has started hears the others before it decides.
	releaseYoung = 1200 * time.Millisecond
	// lookSwitching is between two looks at the other members while a release switches.
	lookSwitching = 150 * time.Millisecond
	// resumedFor is how long after it stood still a member takes no orders for releases.
	resumedFor = time.Second
)

// releaseBody is the body of an order for a release.
type releaseBody struct {
	Service   string  `json:"service"`
	Target    string  `json:"target-version"`
	DeadlineS float64 `json:"deadline-s"`
}

// releaseState is the answer to a read of a release.
type releaseState struct {
	State  string `json:"state"`
	Target string `json:"target-version"`
}

// releaseID names one release.
type releaseID struct {
	service string
	number  uint64
}

// startRelease takes an order for a release. An order that was taken is acknowledged again for as long as it is carried out, and left without
// a clear answer afterwards, as it may as well be a new one.
func (c *Controller) startRelease(in *configuration.Order, deadline time.Time) error {
	came := time.Now()
	if c.hasJustResumed() {
		return fault.New(fault.Unavailable, "this member stood still: the order may be an old one")
	}
	order, err := readReleaseOrder(in)
	if err != nil {
		return err
	}
	if err := c.checkService(order.Service, deadline); err != nil {
		return err
	}
	never := func(quorum.Value) bool { return false }
	var id releaseID
	err = c.changeWeights(deadline, never, func(s *rollout.State) (*rollout.State, error) {
		if time.Now().After(deadline) || c.hasJustResumed() {
			return nil, fault.New(fault.Unavailable, "the order has waited for too long")
		}
		order.MayBeRepeat = c.mayRepeat(release.Of(s.Releases, order.Service), order.Target, came, s.OrderAges)
		order.Baseline = c.baselineFor(order, s.Baselines)
		next, same, err := release.Start(s.Releases, order)
		if err != nil {
			return nil, err
		}
		id = releaseID{order.Service, release.Of(next, order.Service).Number}
		if same {
			return nil, core.ErrUnchanged
		}
		return s.WithReleases(next), nil
	})
	c.logOrder(order, id, err)
	if errors.Is(err, core.ErrUnchanged) {
		return nil
	}
	if err == nil {
		c.takeOrderAges([]peer.OrderAge{{Service: id.service, Number: id.number, Witnessed: true}})
	}
	return err
}

// readReleaseOrder reads an order for a release.
func readReleaseOrder(in *configuration.Order) (release.Order, error) {
	var body releaseBody
	if err := configuration.Decode(in.Body, &body); err != nil {
		return release.Order{}, err
	}
	return release.Order{
		Service: body.Service, Target: body.Target, Deadline: settings.Seconds(body.DeadlineS), Newest: uint64(in.IfVersion),
	}, nil
}

// baselineFor gives the versions in service beside which an order for a service that was never released begins; empty: they are not known.
// Before they stand in the register they are those that were heard of, but for the target: its servers may have been started for the order.
func (c *Controller) baselineFor(order release.Order, recorded []release.Baseline) []string {
	if versions := release.BaselineOf(recorded, order.Service); len(versions) > 0 {
		return versions
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	initial, _ := c.census.Initial(order.Service)
	return lo.Without(initial, order.Target)
}

// newestRelease gives the number of the newest release that this node knows of the service that an order is for; 0 where it knows none.
func (c *Controller) newestRelease(body []byte) int64 {
	order, err := readReleaseOrder(&configuration.Order{Body: body})
	if err != nil {
		return 0 // the member that takes the order tells what is wrong with it
	}
	r := release.Of(c.releasesHere(), order.Service)
	if r == nil {
		return 0
	}
	return int64(r.Number)
}

// mayRepeat tells whether an order for a version, with which a call came at the given moment, may be the last one for that version, sent
// again. How old that one is at the least is known from members that were there and from the register.
func (c *Controller) mayRepeat(known *release.Release, target string, came time.Time, recorded []peer.OrderAge) bool {
	if known == nil {
		return false
	}
	number, ok := known.LastOrder(target)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTimes.Take(time.Now(), recorded)
	return c.orderTimes.AtLeast(known.Service, number, came) < c.settledAfter()
}

// logOrder tells what became of an order, and what that was decided from.
func (c *Controller) logOrder(order release.Order, id releaseID, err error) {
	now := time.Now()
	c.mu.Lock()
	age := c.orderTimes.AtLeast(id.service, id.number, now)
	c.mu.Unlock()
	event, message := c.log.Info(), "release ordered"
	switch {
	case errors.Is(err, core.ErrUnchanged):
		message = "order for a release changes nothing"
	case err != nil:
		event, message = event.Err(err), "order for a release is not taken"
	}
	event.Str("service", order.Service).Str("version", order.Target).Uint64("release", id.number).Dur("known-for-ms", age).
		Uint64("newest-known", order.Newest).Bool("may-be-repeat", order.MayBeRepeat).Msg(message)
}

// hasJustResumed tells whether this process stood still until lately: what it takes up now may have come long ago.
func (c *Controller) hasJustResumed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stoodStill() || time.Since(c.resumed) < resumedFor
}

// checkService tells whether the configuration in force has a service. What this node knows may be out of date: an order is refused only by
// what a quorum shows to be the newest.
func (c *Controller) checkService(name string, deadline time.Time) error {
	if hasService(c.registers.Known(core.Config), name) {
		return nil
	}
	k, err := c.registers.Refresh(core.Config, deadline)
	if err != nil {
		return err
	}
	if !hasService(k, name) {
		return fault.New(fault.BadConfig, "the configuration in force has no service %q", name)
	}
	return nil
}

// hasService tells whether a value of the configuration's register has a service.
func hasService(k core.Known, name string) bool {
	state, err := readConfiguration(k.Value.Data)
	if err != nil {
		return false
	}
	document, err := configuration.Parse(state.Body)
	return err == nil && document.HasService(name)
}

// releaseAge is how long ago a release was ordered, as far as this node knows, and for how long its answers have been counted. Where no
// process that runs was there when it was ordered, the age is what the register tells, with what it is likely to lack.
func (c *Controller) releaseAge(r *release.Release) (age, watched time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	age = c.orderTimes.AtLeast(r.Service, r.Number, now)
	if c.orderTimes.Witnessed(r.Service, r.Number) {
		return age, age
	}
	age += unrecordedAge
	return age, min(age, now.Sub(c.started))
}

// takeOrderAges notes what another node knows of when releases were ordered.
func (c *Controller) takeOrderAges(told []peer.OrderAge) {
	if len(told) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTimes.Take(time.Now(), told)
}

// lookPause is how long after a look at the other members the next one follows: sooner while a release switches, as every request meets
// the new version then.
func (c *Controller) lookPause() time.Duration {
	for _, r := range c.releasesKnown() {
		if r.Phase == release.Switching {
			return min(c.syncEvery, lookSwitching)
		}
	}
	return c.syncEvery
}

// releasesKnown gives the releases that are known to be chosen.
func (c *Controller) releasesKnown() []release.Release {
	state, err := readWeights(c.registers.Known(core.Weights).Value.Data)
	if err != nil {
		return nil
	}
	return state.Releases
}

// withoutRetired leaves out the servers whose version has gone out of service: they end without a word.
func withoutRetired(list []peer.Instance, releases []release.Release) []peer.Instance {
	return lo.Reject(list, func(in peer.Instance, _ int) bool {
		r := release.Of(releases, in.Service)
		return r != nil && r.Retired(in.Version)
	})
}

// readRelease tells how the newest release of a service stands.
func (c *Controller) readRelease(service string, deadline time.Time) ([]byte, error) {
	k, err := c.registers.Refresh(core.Weights, deadline)
	if err != nil {
		return nil, err
	}
	state, err := readWeights(k.Value.Data)
	if err != nil {
		return nil, err
	}
	r := release.Of(state.Releases, service)
	if r == nil {
		return nil, fault.New(fault.NoRelease, "service %q", service)
	}
	return json.Marshal(releaseState{State: r.Phase.String(), Target: r.Target})
}

// runReleases decides about the releases that are under way for as long as this node is the first live member in the agreed order.
// Two that take themselves for it do no harm: each decision is written over the phase that it follows.
func (c *Controller) runReleases() {
	ticker := time.NewTicker(releaseTick)
	defer ticker.Stop()
	var known []release.Release
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		releases := c.noteReleases()
		c.logReleases(known, releases)
		known = releases
		c.mu.Lock()
		c.forgetReleases(releases)
		c.mu.Unlock()
		if c.now() < releaseYoung || !c.first(releaseOwner) {
			continue
		}
		for i := range releases {
			if decision := c.decideRelease(&releases[i]); decision != nil {
				c.moveRelease(&releases[i], decision)
			}
		}
	}
}

// decideRelease tells what becomes of a release now; nil: it goes on as it is.
func (c *Controller) decideRelease(r *release.Release) *release.Decision {
	if !r.Active() {
		return nil
	}
	age, watched := c.releaseAge(r)
	situation := release.Situation{Age: age, Watched: watched}
	members := c.registers.Members(core.Config)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.table.Live() {
		switch {
		case in.Service != r.Service || in.State != registry.Ready:
		case in.Version == r.Target:
			situation.Target++
		case r.InService(in.Version):
			situation.InService++
		}
	}
	counts := c.countsOf(r.Service, r.Number)
	situation.Evidence = &counts.evidence
	situation.Ended = r.Phase == release.Switching && c.allRoutersEnded(counts, members)
	return r.Decide(situation)
}

// allRoutersEnded tells whether every live member has said that none of its routers is waited for. The lock is held.
func (c *Controller) allRoutersEnded(counts *releaseCounts, members []quorum.Member) bool {
	if c.routersWaitedFor(counts) > 0 {
		return false
	}
	for _, m := range members {
		if m.ID == c.acceptor.Identity() || c.registers.Silence(m.ID) > 3*c.syncEvery {
			continue
		}
		if told, ok := counts.members[m.ID]; !ok || told.totals.Waiting > 0 {
			return false
		}
	}
	return true
}

// moveRelease writes a decision, unless another node has decided meanwhile.
func (c *Controller) moveRelease(r *release.Release, decision *release.Decision) {
	never := func(quorum.Value) bool { return false }
	err := c.changeWeights(time.Now().Add(core.CallTimeout), never, func(s *rollout.State) (*rollout.State, error) {
		next, same := release.Move(s.Releases, r.Service, r.Number, r.Phase, decision.To, decision.Reason)
		if same {
			return nil, core.ErrUnchanged
		}
		return s.WithReleases(next), nil
	})
	if err != nil {
		c.log.Debug().Str("service", r.Service).Err(err).Msg("decision about a release is not known to be written") // the next tick sees
	}
}

// logReleases tells of releases that have moved on, whichever member decided it.
func (c *Controller) logReleases(before, now []release.Release) {
	for i := range now {
		r := &now[i]
		known := release.Of(before, r.Service)
		if known != nil && known.Number == r.Number && known.Phase == r.Phase {
			continue
		}
		age, _ := c.releaseAge(r)
		c.log.Info().Str("service", r.Service).Str("version", r.Target).Uint64("release", r.Number).Stringer("state", r.Phase).
			Bool("switching", r.Phase == release.Switching).Str("reason", r.Reason).Dur("age-ms", age).Msg("release")
	}
}
