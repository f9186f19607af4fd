// Package canary is a router's part in releases: which servers a request may go to while a service is brought to another version, and
// what the answers of both versions are like.
//
// It is pure: it takes the time as an argument, and draws from the source of randomness that it is given. Its caller guards it with a
// lock.
package canary

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"moleshift/controlplane/directory"
	"moleshift/controlplane/release"
)

const (
	// A version on trial gets what is left of its share for the requests of the moments after it takes all, should it turn bad just
	// then: no less than this part of bounds.canary-share, and no more than this share of the requests.
	leastTrial = 0.3
	mostTrial  = 0.25
	// unknownTrial is the part of bounds.canary-share where no request has come yet.
	unknownTrial = 0.8
	// withdrawnIn is how long such a version goes on to get all requests.
	withdrawnIn = 800 * time.Millisecond
	// spentSlack is the part of bounds.canary-slack that is counted on: the rest is for what chance adds over all routers.
	spentSlack = 0.8
	// rateOver is the time over which a router's requests are averaged.
	rateOver = 4 * time.Second
	// leastServers carry what a version gets while it is tried, where there are so many: one may be slow by itself.
	leastServers = 2
	// leastCounted is the mean of requests from which a route is counted.
	leastCounted = 0.01
	// unknownFor is how long servers of one of several versions get nothing where it is not known which of them are in service: word of
	// servers may come before word of that, and of the order that they were started for.
	unknownFor = 3 * time.Second
	// lapseAfter is how long after the last word of the controllers a version that is tried gets nothing more from here.
	lapseAfter = 2500 * time.Millisecond
)

// Server is a server of a service.
type Server struct {
	ID      string
	Version string
	Ready   bool // it takes requests and nothing speaks against it
}

// Settings are the bounds on what a version gets while it is tried.
type Settings struct {
	Share float64 // of a service's requests (bounds.canary-share)
	Slack float64 // requests beyond that (bounds.canary-slack)
}

// rate is a mean of requests over time that fades.
type rate struct {
	requests float64
	routes   map[string]float64 // of the requests, those on each route
	since    time.Duration      // of the first request
	at       time.Duration
}

func (r *rate) note(now time.Duration, route string) {
	keep := math.Exp(-float64(now-r.at) / float64(rateOver))
	r.at = now
	r.requests = r.requests*keep + 1
	for name := range r.routes {
		if r.routes[name] *= keep; r.routes[name] < leastCounted {
			delete(r.routes, name)
		}
	}
	if _, ok := r.routes[route]; ok || len(r.routes) < mostRoutes {
		r.routes[route]++
	}
}

// weight is how much more of a route's requests than of all the version on trial gets: more of those on rare routes, so that one that is
// bad there shows. Over all requests the weights are 1 at the most, as the mean of square roots is no more than the root of the mean.
func (r *rate) weight(route string) float64 {
	own, ok := r.routes[route]
	if !ok {
		return 1
	}
	return math.Sqrt(r.requests / (own * float64(len(r.routes))))
}

// perSecond is the mean; a rate that is young counts what it has seen.
func (r *rate) perSecond(now time.Duration) float64 {
	left := r.requests * math.Exp(-float64(now-r.at)/float64(rateOver))
	seen := rateOver.Seconds() * -math.Expm1(-float64(max(now-r.since, time.Second))/float64(rateOver))
	return left / seen
}

// Splitter decides which servers requests may go to.
type Splitter struct {
	set      Settings
	random   *rand.Rand
	rates    map[string]*rate               // by service
	versions map[string]map[string]sighting // by service and version
	accounts int                            // of servers that were noted
}

// sighting is when a version was first heard of.
type sighting struct {
	since   time.Duration
	account int // in which it was
}

// NewSplitter makes a splitter.
func NewSplitter(set Settings, random *rand.Rand) *Splitter {
	return &Splitter{set: set, random: random, rates: map[string]*rate{}, versions: map[string]map[string]sighting{}}
}

// Request notes a request of a client for a service.
func (s *Splitter) Request(now time.Duration, service, route string) {
	r := s.rates[service]
	if r == nil {
		r = &rate{since: now, at: now, routes: map[string]float64{}}
		s.rates[service] = r
	}
	r.note(now, route)
}

// Seen notes the versions of a service's servers.
func (s *Splitter) Seen(now time.Duration, service string, versions []string) {
	known := s.versions[service]
	if known == nil {
		known = map[string]sighting{}
		s.versions[service] = known
	}
	s.accounts++
	for _, v := range versions {
		if _, ok := known[v]; !ok {
			known[v] = sighting{now, s.accounts}
		}
	}
	for v := range known {
		if !slices.Contains(versions, v) {
			delete(known, v)
		}
	}
}

// Draw decides whether a request that was noted is part of the share that the version on trial gets. Each of so many routers draws by
// itself.
func (s *Splitter) Draw(now time.Duration, r *release.Release, route string, routers int) bool {
	if r == nil || r.Phase != release.Running {
		return false
	}
	share := s.trialShare(now, r, routers)
	if own := s.rates[r.Service]; own != nil {
		share *= own.weight(route)
	}
	return s.random.Float64() < share
}

// trialShare is the share of the requests that the version on trial gets. Where there are few requests, the slack allows for more: a
// version must be seen to be bad by a few answers.
func (s *Splitter) trialShare(now time.Duration, r *release.Release, routers int) float64 {
	own := s.rates[r.Service]
	if own == nil {
		return unknownTrial * s.set.Share
	}
	all := own.perSecond(now) * float64(routers) * r.Deadline().Seconds()
	free := s.set.Share + spentSlack*s.set.Slack/max(all, 1) - withdrawnIn.Seconds()/max(r.Deadline().Seconds(), 1)
	return min(max(free, leastTrial*s.set.Share), mostTrial)
}

// Query is what depends on a release when a request is placed.
type Query struct {
	Now     time.Duration
	Service string
	Release *release.Release // the newest of the service; nil: none was ever ordered
	// Baseline are the versions in service where no release was ever ordered; empty: they are not known.
	Baseline []string
	Heard    time.Duration // how long ago the controllers were heard
	Routers  int           // that send requests, this one included
	Trial    bool          // the request is part of the share of the version on trial
	Servers  []Server      // where NeedsServers tells that they are wanted
}

// NeedsServers tells whether the servers of the service are wanted in a query.
func (q *Query) NeedsServers() bool {
	return q.Release != nil && (q.Release.Phase == release.Completed || q.Release.Phase == release.Running && q.Trial)
}

// Split tells which servers of a service a request may go to.
type Split struct {
	query *Query
	known map[string]sighting
	trial map[string]bool // the servers that carry the share of the version on trial
	only  bool            // servers of the version in service are left, or no others may serve
}

// Split decides a query. Whoever was heard too long ago errs towards the version before.
func (s *Splitter) Split(q *Query) *Split {
	split := &Split{query: q, known: s.versions[q.Service], only: true}
	r := q.Release
	if r == nil {
		return split
	}
	if q.Trial && r.Phase == release.Running && q.Heard < lapseAfter {
		split.trial = s.trial(q)
	}
	if r.Phase == release.Completed {
		split.only = slices.ContainsFunc(q.Servers, func(server Server) bool { return server.Version == r.Target })
	}
	return split
}

// Admits tells whether the request may go to a server.
func (s *Split) Admits(id, version string) bool {
	r := s.query.Release
	switch {
	case len(s.trial) > 0:
		return s.trial[id]
	case r == nil && len(s.query.Baseline) > 0:
		return slices.Contains(s.query.Baseline, version)
	case r != nil && s.only && !r.InService(version):
		return false
	case r != nil && s.only && (version == r.Target || len(r.Before) > 0):
		return true
	case r != nil && slices.Contains(r.Barred, version):
		return false
	}
	seen, ok := s.known[version]
	return ok && s.query.Now-seen.since >= unknownFor || s.cameFirst(version)
}

// cameFirst tells whether a version was known before every other one.
func (s *Split) cameFirst(version string) bool {
	seen, ok := s.known[version]
	for other, o := range s.known {
		if other != version && (!ok || o.account <= seen.account) {
			return false
		}
	}
	return true
}

// trial gives the servers of the version on trial that carry its share: as few as bear each no less than a server in service, so that a
// version that is bad under load only shows it. All routers find the same ones, by rendezvous hash.
func (s *Splitter) trial(q *Query) map[string]bool {
	var ready, others []Server
	inService := 0
	for _, server := range q.Servers {
		switch {
		case q.Release.InService(server.Version):
			inService++
		case server.Version != q.Release.Target:
		case server.Ready:
			ready = append(ready, server)
		default:
			others = append(others, server)
		}
	}
	if len(ready) == 0 {
		ready = others
	}
	slices.SortFunc(ready, func(a, b Server) int {
		return cmp.Compare(directory.Weight(b.ID, q.Service), directory.Weight(a.ID, q.Service))
	})
	most := max(int(s.trialShare(q.Now, q.Release, q.Routers)*float64(inService)), leastServers)
	chosen := map[string]bool{}
	for _, server := range ready[:min(most, len(ready))] {
		chosen[server.ID] = true
	}
	return chosen
}
