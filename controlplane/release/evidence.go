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
	// Answers of the version in service are looked at over two times, and what is worse of both counts: over the short one trouble of
	// the whole fleet shows as soon as at the target, over the long one there is enough of them.
	shortOver = 700 * time.Millisecond
	longOver  = 4 * time.Second
	allRoutes = "" // the key of what is counted over all routes
	// credited is how many good answers the version in service is credited with.
	credited = 10.0
	// leastTimed is how many timed answers of the version in service tell what is usual.
	leastTimed  = 15.0
	slowBuckets = 3 // ranges of time above the usual one from which an answer is slow: 2.5 times
	lateBuckets = 7 // the same for the first event of a stream, which takes longer at a server that keeps little of a prompt: 8 times
)

// badness is one way in which answers are bad, and when it condemns a version.
type badness struct {
	name  string
	count func(c *peer.RouteCounts, slow limits) (bad, of float64)
	floor float64 // a share of the version in service's answers below this one counts as this one
	rise  float64 // what is looked for: so large a share of the target's good answers has become bad
	limit float64 // of the test: the logarithm of how often it is looked for in vain before a false verdict
	doubt float64 // of the test, from which a release does not go on before the test has decided

	// beside tells that the test holds only while most requests go to the version in service: once all go to servers that keep nothing of
	// any prompt, those read more, and every answer is slower.
	beside bool
}

var badnesses = [...]badness{
	{"failures", func(c *peer.RouteCounts, _ limits) (bad, of float64) {
		return float64(c.Failed), float64(c.Answers())
	}, 0.03, 0.2, 7.6, 3.7, false},
	{"failures, if few,", func(c *peer.RouteCounts, _ limits) (bad, of float64) {
		return float64(c.Failed), float64(c.Answers())
	}, 0.005, 0.05, 11, 8, false},
	{"broken answers", func(c *peer.RouteCounts, _ limits) (bad, of float64) {
		return float64(c.Broken), float64(c.Answers())
	}, 0.1, 0.25, 8, 3.2, false},
	{"slow answers", func(c *peer.RouteCounts, slow limits) (bad, of float64) {
		above, all := countAbove(c.Pace, slow.pace)
		return above + float64(c.Late), all + float64(c.Late)
	}, 0.05, 0.25, 8.5, 3.8, true},
	{"hung requests", func(c *peer.RouteCounts, _ limits) (bad, of float64) {
		return float64(c.Hung), float64(c.Hung + c.Soon)
	}, 0.05, 0.25, 9, 4, false},
	{"late first events", func(c *peer.RouteCounts, slow limits) (bad, of float64) {
		return countAbove(c.First, slow.first)
	}, 0.08, 0.3, 9, 4.5, true},
}

// limits are the ranges of time above which answers are slow; peer.TimeBuckets: it is not known yet what is usual.
type limits struct{ first, pace int }

// countAbove counts times above a range, and all of them.
func countAbove(times []int, limit int) (above, all float64) {
	if limit >= peer.TimeBuckets {
		return 0, 0
	}
	for i, n := range times {
		all += float64(n)
		if i > limit {
			above += float64(n)
		}
	}
	return above, all
}

// times counts answers by ranges of time; it fades.
type times [peer.TimeBuckets]float64

func (t *times) fade(keep float64) {
	for i := range t {
		t[i] *= keep
	}
}

func (t *times) take(counts []int) {
	for i, n := range counts {
		if i < len(t) {
			t[i] += float64(n)
		}
	}
}

// limit gives the range so many above the median; peer.TimeBuckets where too little is known.
func (t *times) limit(above int) int {
	all := 0.0
	for _, n := range t {
		all += n
	}
	if all < leastTimed {
		return peer.TimeBuckets
	}
	sum := 0.0
	for i, n := range t {
		if sum += n; sum >= all/2 {
			return i + above
		}
	}
	return peer.TimeBuckets
}

// window counts bad answers of the version in service over a time; it fades.
type window struct {
	over time.Duration
	at   time.Duration
	bad  [len(badnesses)]float64
	of   [len(badnesses)]float64
}

func (w *window) take(now time.Duration, c *peer.RouteCounts, slow limits) {
	keep := math.Exp(-float64(now-w.at) / float64(w.over))
	w.at = now
	for kind := range badnesses {
		bad, of := badnesses[kind].count(c, slow)
		w.bad[kind] = keep*w.bad[kind] + bad
		w.of[kind] = keep*w.of[kind] + of
	}
}

// rate is the share of answers that were bad.
func (w *window) rate(kind int) float64 { return w.bad[kind] / (w.of[kind] + credited) }

// sequential is a cumulative sum of log-likelihood ratios (Page 1954): it forgets what spoke for the version, so that one that turns
// bad late is seen as fast as one that was bad from the start.
type sequential struct {
	score float64
	bad   float64
	of    float64
}

// take adds answers, of which a share usual is expected to be bad at a version that is no worse, and more by rise at a bad one.
func (s *sequential) take(bad, of, usual, rise float64) {
	worse := usual + rise*(1-usual)
	s.score += bad*math.Log(worse/usual) + (of-bad)*math.Log((1-worse)/(1-usual))
	if s.score <= 0 {
		*s = sequential{}
		return
	}
	s.bad += bad
	s.of += of
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	short, long window
	first, pace times // of the version in service, over the long time
	at          time.Duration
	tests       [len(badnesses)]sequential
}

// slow gives from where answers are slow on the route.
func (r *routeEvidence) slow() limits {
	return limits{first: r.first.limit(lateBuckets), pace: r.pace.limit(slowBuckets)}
}

// usual is the share of bad answers to be expected of a version that is no worse.
func (r *routeEvidence) usual(kind int) float64 {
	return max(r.short.rate(kind), r.long.rate(kind), badnesses[kind].floor)
}

func (r *routeEvidence) takeInService(now time.Duration, c *peer.RouteCounts) {
	keep := math.Exp(-float64(now-r.at) / float64(longOver))
	r.at = now
	r.first.fade(keep)
	r.pace.fade(keep)
	r.first.take(c.First)
	r.pace.take(c.Pace)
	slow := r.slow()
	r.short.take(now, c, slow)
	r.long.take(now, c, slow)
}

func (r *routeEvidence) takeTarget(c *peer.RouteCounts) {
	slow := r.slow()
	for kind := range badnesses {
		bad, of := badnesses[kind].count(c, slow)
		r.tests[kind].take(bad, of, r.usual(kind), badnesses[kind].rise)
	}
}

// Evidence is what one node knows of a release's answers. Its zero value knows nothing.
type Evidence struct {
	number uint64
	routes map[string]*routeEvidence

	target, inService peer.RouteCounts // in all
}

// String sums up what is known, for the log.
func (e *Evidence) String() string {
	told := func(c *peer.RouteCounts) string {
		return fmt.Sprintf("%d answers, %d failed, %d broken, %d late, %d hung", c.Answers(), c.Failed, c.Broken, c.Late, c.Hung)
	}
	return "target: " + told(&e.target) + "; in service: " + told(&e.inService)
}

// Take adds answers to what is known of the release with the given number; what was known of another one is dropped.
func (e *Evidence) Take(now time.Duration, number uint64, counts []peer.RouteCounts) {
	if e.number != number || e.routes == nil {
		*e = Evidence{number: number, routes: map[string]*routeEvidence{}}
	}
	for i := range counts {
		if !counts[i].Target {
			e.inService.Add(&counts[i])
			e.route(now, counts[i].Route).takeInService(now, &counts[i])
			e.route(now, allRoutes).takeInService(now, &counts[i])
		}
	}
	for i := range counts {
		if counts[i].Target {
			e.target.Add(&counts[i])
			e.route(now, counts[i].Route).takeTarget(&counts[i])
			e.route(now, allRoutes).takeTarget(&counts[i])
		}
	}
}

func (e *Evidence) route(now time.Duration, name string) *routeEvidence {
	r := e.routes[name]
	if r == nil {
		r = &routeEvidence{short: window{over: shortOver, at: now}, long: window{over: longOver, at: now}, at: now}
		e.routes[name] = r
	}
	return r
}

// Bad tells whether the target is worse than the version in service, and why.
func (e *Evidence) Bad(phase Phase) (reason string, bad bool) {
	return e.reaches(func(b *badness) float64 {
		if b.beside && phase != Running {
			return math.Inf(1)
		}
		return b.limit
	})
}

// Doubtful tells whether the target may be worse: a few answers more will tell.
func (e *Evidence) Doubtful() (reason string, doubtful bool) {
	return e.reaches(func(b *badness) float64 { return b.doubt })
}

// reaches tells which test has reached a score, in a fixed order.
func (e *Evidence) reaches(score func(b *badness) float64) (reason string, reached bool) {
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		r := e.routes[name]
		for kind := range badnesses {
			s := r.tests[kind]
			if s.score < score(&badnesses[kind]) {
				continue
			}
			where := "all routes"
			if name != allRoutes {
				where = "route " + name
			}
			return fmt.Sprintf("%.0f %s of %.0f lately on %s, where a share of %.3f is usual", s.bad, badnesses[kind].name, s.of, where, r.usual(kind)), true
		}
	}
	return "", false
}
