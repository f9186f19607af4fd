package release

// What answers say about the target version, against the version in service on the same routes in the same seconds.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"moleshift/peer"
)

const (
	recentOver = 3 * time.Second // over which answers of the version in service fade: what the target's are compared with
	allRoutes  = ""              // the key of what is counted over all routes
	doubtShare = 0.4             // of a test's limit, from which a release does not go on before the test has decided
	// deadWeight is how many answers without fault the version in service is credited with before any came.
	deadWeight = 10.0
)

// fault of answers: what is counted of one kind, and when it condemns a version.
type badness struct {
	name  string
	count func(c *peer.RouteCounts) int
	floor float64 // a share of the version in service's answers below this one counts as this one
	rise  float64 // what is looked for: so large a share of the target's good answers has become bad
	limit float64 // of the test: the logarithm of how often it is looked for in vain before a false verdict
}

var badnesses = []badness{
	{"failures", func(c *peer.RouteCounts) int { return c.Failed }, 0.03, 0.2, 7.6},
	{"slow answers", func(c *peer.RouteCounts) int { return c.Slow }, 0.08, 0.2, 9},
	{"broken answers", func(c *peer.RouteCounts) int { return c.Broken }, 0.1, 0.35, 10},
}

// answered is how many answers came, of whatever kind.
func answered(c *peer.RouteCounts) int { return c.Good + c.Slow + c.Failed + c.Broken }

// baseline counts the answers of the version in service on one route; it fades.
type baseline struct {
	answers float64
	bad     [3]float64 // by badness
	at      time.Duration
}

func (b *baseline) fade(now time.Duration) {
	keep := math.Exp(-float64(now-b.at) / float64(recentOver))
	b.at = now
	b.answers *= keep
	for i := range b.bad {
		b.bad[i] *= keep
	}
}

// rate is the share of bad answers that is to be expected of a version that is no worse.
func (b *baseline) rate(kind int) float64 {
	return max(b.bad[kind]/(b.answers+deadWeight), badnesses[kind].floor)
}

// sequential is a cumulative sum of log-likelihood ratios (Page 1954): it forgets what spoke for the version, so that one that turns
// bad late is seen as fast as one that was bad from the start.
type sequential struct {
	score float64
	bad   int
	of    int
}

// take adds answers, of which a share usual is expected to be bad at a version that is no worse, and more by rise at a bad one.
func (s *sequential) take(bad, good int, usual, rise float64) {
	worse := usual + rise*(1-usual)
	s.score += float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	if s.score <= 0 {
		*s = sequential{}
		return
	}
	s.bad += bad
	s.of += bad + good
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	usual baseline
	tests [3]sequential // by badness
}

// Evidence is what one node knows of a release's answers. Its zero value knows nothing.
type Evidence struct {
	number  uint64
	routes  map[string]*routeEvidence
	answers int // of the target
}

// Take adds answers to what is known of the release with the given number; what was known of another one is dropped.
func (e *Evidence) Take(now time.Duration, number uint64, counts []peer.RouteCounts) {
	if e.number != number || e.routes == nil {
		*e = Evidence{number: number, routes: map[string]*routeEvidence{}}
	}
	for i := range counts {
		if !counts[i].Target {
			e.route(counts[i].Route).takeUsual(now, &counts[i])
			e.route(allRoutes).takeUsual(now, &counts[i])
		}
	}
	for i := range counts {
		if counts[i].Target {
			e.route(counts[i].Route).takeTarget(&counts[i])
			e.route(allRoutes).takeTarget(&counts[i])
			e.answers += answered(&counts[i])
		}
	}
}

func (e *Evidence) route(name string) *routeEvidence {
	r := e.routes[name]
	if r == nil {
		r = &routeEvidence{}
		e.routes[name] = r
	}
	return r
}

func (r *routeEvidence) takeUsual(now time.Duration, c *peer.RouteCounts) {
	r.usual.fade(now)
	r.usual.answers += float64(answered(c))
	for kind := range badnesses {
		r.usual.bad[kind] += float64(badnesses[kind].count(c))
	}
}

func (r *routeEvidence) takeTarget(c *peer.RouteCounts) {
	for kind := range badnesses {
		bad := badnesses[kind].count(c)
		r.tests[kind].take(bad, answered(c)-bad, r.usual.rate(kind), badnesses[kind].rise)
	}
}

// Answers is how many answers of the target are known.
func (e *Evidence) Answers() int { return e.answers }

// Bad tells whether the target is worse than the version in service, and why.
func (e *Evidence) Bad() (reason string, bad bool) { return e.reaches(1) }

// Doubtful tells whether the target may be worse: a few answers more will tell.
func (e *Evidence) Doubtful() (reason string, doubtful bool) { return e.reaches(doubtShare) }

// reaches tells which test has reached a share of its limit, in a fixed order.
func (e *Evidence) reaches(share float64) (reason string, reached bool) {
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		r := e.routes[name]
		for kind := range badnesses {
			if s := r.tests[kind]; s.score >= share*badnesses[kind].limit {
				where := "all routes"
				if name != allRoutes {
					where = "route " + name
				}
				return fmt.Sprintf("%d %s of %d lately on %s, where %.3f are usual", s.bad, badnesses[kind].name, s.of, where, r.usual.rate(kind)), true
			}
		}
	}
	return "", false
}
