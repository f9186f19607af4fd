package proxy

// Releases of a service to another version of its servers' software, as far as requests go: to which servers one may be sent, and what
// their answers tell the controllers.

import (
	"time"

	"moleshift/controlplane/registry"
	"moleshift/controlplane/release"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/canary"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/outlier"
	"moleshift/peer"
)

// split tells which servers a request may go to. The lock is held.
func (p *Proxy) split(r *request, snapshot *follower.Snapshot, now time.Time, steady time.Duration) *canary.Split {
	service := r.service.Name
	query := &canary.Query{
		Now: steady, Service: service, Release: release.Of(snapshot.Releases, service), Heard: now.Sub(snapshot.Confirmed),
		Routers: p.placer.Routers(), Baseline: release.BaselineOf(snapshot.Baselines, service),
	}
	if !r.drawn {
		r.drawn, r.trial = true, p.splitter.Draw(steady, query.Release, r.route.Name, query.Routers)
	}
	query.Trial = r.trial && len(r.tried) == 0
	if query.NeedsServers() {
		for _, t := range p.services[service] {
			query.Servers = append(query.Servers, p.canaryServer(t, steady))
		}
	}
	return p.splitter.Split(query)
}

// canaryServer describes a server to package canary. The lock is held.
func (p *Proxy) canaryServer(t *target, steady time.Duration) canary.Server {
	return canary.Server{
		ID: t.instance.ID, Version: t.instance.Version,
		Ready: t.instance.State == registry.Ready && p.standing(t, steady) <= outlier.Busy,
	}
}

// mayGo tells whether a request may still be sent to a server, by the release as it is known now: it may have gone on since the request
// was placed. The lock is held.
func (p *Proxy) mayGo(r *request, t *target) bool {
	current := release.Of(p.follow().Releases, r.service.Name)
	if current == nil {
		return true
	}
	switch current.Phase {
	case release.Switching:
		return current.InService(t.instance.Version)
	case release.RolledBack:
		return t.instance.Version != current.Target
	}
	return true
}

// mustLeave tells whether a stream should be taken over by another server because its own is of a version that goes out of service.
// The lock is held.
func (p *Proxy) mustLeave(r *request, t *target) bool {
	current := release.Of(p.follow().Releases, r.service.Name)
	return current != nil && current.Phase == release.Switching && t.instance.Version != current.Target
}

// followReleases begins and ends the counting for releases, and notes the versions of servers. The lock is held.
func (p *Proxy) followReleases(s *follower.Snapshot) {
	steady := p.now()
	for service, instances := range s.Instances {
		var versions []string
		for i := range instances {
			versions = append(versions, instances[i].Version)
		}
		p.splitter.Seen(steady, service, versions)
	}
	for i := range s.Releases {
		if r := &s.Releases[i]; r.Active() {
			p.ledger.Follow(r.Service, r.Number)
		} else {
			p.ledger.Forget(r.Service)
		}
	}
}

// beginAttempt has the ledger follow a request that is sent to a server. The lock is held.
func (p *Proxy) beginAttempt(r *request, to *routed) {
	to.attempt = canary.Attempt{Service: r.service.Name, Route: r.route.Name}
	if current := release.Of(p.follow().Releases, r.service.Name); current != nil {
		to.attempt.Target = to.target.instance.Version == current.Target
		to.attempt.Release = current.Number
	}
	p.ledger.Begin(p.now(), &to.attempt)
}

// noteEvents tells the ledger of events of a stream.
func (p *Proxy) noteEvents(to *routed, events int) {
	if events == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Event(p.now(), &to.attempt, events)
}

// noteAnswer tells the ledger how a request ended at a server.
func (p *Proxy) noteAnswer(r *request, to *routed, outcome attempt.Outcome) {
	ended := canary.Unknown
	switch {
	case outcome == attempt.Done:
		ended = canary.Whole
	case outcome.IsFailure():
		ended = canary.Failed
	case outcome != attempt.Broken || r.Gone() || r.isExpired() || to.gaveUp:
	case r.over(r.deadline):
		ended = canary.TimedOut
	default:
		ended = canary.Broken
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.End(p.now(), &to.attempt, ended)
}

// ReleaseReports tells what the controllers are to know of the releases that are under way.
func (p *Proxy) ReleaseReports() []peer.ReleaseReport {
	var reports []peer.ReleaseReport
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.follow().Releases {
		if !r.Active() {
			continue
		}
		open := 0
		for _, t := range p.services[r.Service] {
			if t.instance.Version != r.Target {
				open += p.placer.Loads().Own(t.instance.ID).Requests
			}
		}
		reports = append(reports, peer.ReleaseReport{
			Service: r.Service, Number: r.Number, Phase: int(r.Phase), Open: open, Counts: p.ledger.Counts(p.now(), r.Service),
		})
	}
	return reports
}

// ReleasesReported notes that controllers have taken reports.
func (p *Proxy) ReleasesReported(reports []peer.ReleaseReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range reports {
		p.ledger.Told(reports[i].Service, reports[i].Number, reports[i].Counts)
	}
}
