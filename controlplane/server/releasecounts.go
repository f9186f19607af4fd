package server

// What a member has counted of the releases that are under way, from the routers that poll it and from the other members.

import (
	"slices"
	"time"

	"moleshift/controlplane/release"
	"moleshift/peer"
)

// releaseCounts is what this member has counted of one release. The controller's lock guards it.
type releaseCounts struct {
	number   uint64
	evidence release.Evidence
	own      []peer.RouteCounts        // of the routers that poll here, since this member began to count
	members  map[string]memberTotals   // what other members told last, by their identity
	routers  map[string]routerProgress // of the routers that poll here, by node
}

// memberTotals is what another member told last.
type memberTotals struct {
	node   string // the incarnation that told it: another one counts anew
	totals peer.ReleaseTotals
}

// routerProgress is how far a router has followed a release.
type routerProgress struct {
	phase release.Phase
	open  int // requests under way at servers of other versions
}

// countsOf gives what is counted of a release, from nothing where it is a newer one than before. The lock is held.
func (c *Controller) countsOf(service string, number uint64) *releaseCounts {
	counts := c.releases[service]
	if counts == nil || counts.number < number {
		counts = &releaseCounts{number: number, members: map[string]memberTotals{}, routers: map[string]routerProgress{}}
		c.releases[service] = counts
	}
	return counts
}

// takeReports takes what a router told of the releases that are under way.
func (c *Controller) takeReports(router string, reports []peer.ReleaseReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range reports {
		report := &reports[i]
		counts := c.countsOf(report.Service, report.Number)
		if counts.number != report.Number {
			continue
		}
		counts.routers[router] = routerProgress{release.Phase(report.Phase), report.Open}
		counts.evidence.Take(c.now(), report.Number, report.Counts)
		for j := range report.Counts {
			counts.addOwn(&report.Counts[j])
		}
	}
}

// addOwn adds what a router of this member counted.
func (r *releaseCounts) addOwn(added *peer.RouteCounts) {
	i := slices.IndexFunc(r.own, added.SameKind)
	if i < 0 {
		r.own = append(r.own, *added)
		return
	}
	r.own[i].Add(added)
}

// takeTotals takes what another member has counted.
func (c *Controller) takeTotals(from *peer.Node, list []peer.ReleaseTotals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, told := range list {
		counts := c.countsOf(told.Service, told.Number)
		if counts.number != told.Number {
			continue
		}
		before := counts.members[from.Acceptor]
		if before.node != from.ID {
			before = memberTotals{}
		}
		counts.evidence.Take(c.now(), told.Number, since(before.totals.Counts, told.Counts))
		counts.members[from.Acceptor] = memberTotals{from.ID, told}
	}
}

// since gives what was added to counts that were told before.
func since(before, now []peer.RouteCounts) []peer.RouteCounts {
	added := slices.Clone(now)
	for i := range added {
		if j := slices.IndexFunc(before, added[i].SameKind); j >= 0 {
			added[i] = added[i].Less(&before[j])
		}
	}
	return added
}

// releaseTotals lists what this member has counted of the releases that are under way. The lock is held.
func (c *Controller) releaseTotals(releases []release.Release) []peer.ReleaseTotals {
	var list []peer.ReleaseTotals
	for i := range releases {
		if r := &releases[i]; r.Active() {
			counts := c.countsOf(r.Service, r.Number)
			list = append(list, peer.ReleaseTotals{
				Service: r.Service, Number: r.Number, Waiting: c.routersWaitedFor(counts), Counts: slices.Clone(counts.own),
			})
		}
	}
	return list
}

// routersWaitedFor counts the routers that poll here and may still send requests to servers of the version before, or have some under
// way there. The lock is held.
func (c *Controller) routersWaitedFor(counts *releaseCounts) int {
	n := 0
	for id, s := range c.sessions {
		if !s.here || time.Since(s.last) > sessionKeep {
			continue
		}
		if p := counts.routers[id]; p.phase < release.Switching || p.open > 0 {
			n++
		}
	}
	return n
}

// forgetReleases drops what was counted of releases that are over. The lock is held.
func (c *Controller) forgetReleases(releases []release.Release) {
	for service := range c.releases {
		if r := release.Of(releases, service); r == nil || !r.Active() {
			delete(c.releases, service)
		}
	}
}
