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
	// sentShare is the part of the share that a version may get while it is tried that is sent to it: every router draws for each
	// request by itself. The rest is for what chance adds over all, and for the requests of the moments after the target takes all,
	// should it turn bad just then.
	sentShare = 0.45
	// unknownFor is how long servers of a version that was never seen before get nothing unless a release names it: word of servers may
	// come before word of the order that they were started for.
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

// Splitter decides which servers requests may go to.
type Splitter struct {
	share    float64 // of a service's requests that a version gets at the most while it is tried
	random   *rand.Rand
	versions map[string]map[string]time.Duration // by service and version: since when it is known
}

// NewSplitter makes a splitter; share is bounds.canary-share.
func NewSplitter(share float64, random *rand.Rand) *Splitter {
	return &Splitter{share: share, random: random, versions: map[string]map[string]time.Duration{}}
}

// Seen notes the versions of a service's servers. Those that come first are known for as long as need be.
func (s *Splitter) Seen(now time.Duration, service string, versions []string) {
	known := s.versions[service]
	first := known == nil
	if first {
		known = map[string]time.Duration{}
		s.versions[service] = known
	}
	for _, v := range versions {
		if _, ok := known[v]; ok {
			continue
		}
		since := now
		if first {
			since -= unknownFor
		}
		known[v] = since
	}
	for v := range known {
		if !slices.Contains(versions, v) {
			delete(known, v)
		}
	}
}

// Draw decides whether a request is part of the share that the version on trial gets.
func (s *Splitter) Draw(r *release.Release) bool {
	return r != nil && r.Phase == release.Running && s.random.Float64() < sentShare*s.share
}

// Query is what depends on a release when a request is placed.
type Query struct {
	Now     time.Duration
	Service string
	Release *release.Release // the newest of the service; nil: none was ever ordered
	Heard   time.Duration    // how long ago the controllers were heard
	Trial   bool             // the request is part of the share of the version on trial
	Servers []Server
}

// Split tells which servers of a service a request may go to.
type Split struct {
	query *Query
	known map[string]time.Duration
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
func (s *Split) Admits(server Server) bool {
	r := s.query.Release
	if len(s.trial) > 0 {
		return s.trial[server.ID]
	}
	if r != nil && s.only {
		if !r.InService(server.Version) {
			return false
		}
		if server.Version == r.Target {
			return true
		}
	} else if r != nil && slices.Contains(r.Barred, server.Version) {
		return false
	}
	since, ok := s.known[server.Version]
	return ok && s.query.Now-since >= unknownFor || len(s.known) <= 1
}

// trial gives the servers of the version on trial that carry its share: as few as bear each what a server in service bears, so that a
// version that is bad under load only shows it. All routers find the same ones, by rendezvous hash.
func (s *Splitter) trial(q *Query) map[string]bool {
	var ready, others []Server
	inService := 0
	for _, server := range q.Servers {
		switch {
		case server.Version != q.Release.Target:
			inService++
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
	most := max(int(math.Ceil(sentShare*s.share*float64(inService))), 1)
	chosen := map[string]bool{}
	for _, server := range ready[:min(most, len(ready))] {
		chosen[server.ID] = true
	}
	return chosen
}
