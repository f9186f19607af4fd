package canary

// What answers are like, by route and version, and what of it the controllers have not been told.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"moleshift/peer"
)

const (
	slowPace  = 3.0  // times the usual time between events of a stream, or the usual duration of an answer that is none
	slowFirst = 6.0  // times the usual time to a stream's first event: a server that keeps little of a prompt yet takes longer too
	weightNew = 0.05 // of one more answer in what is usual
	leastSeen = 10   // answers of a route before one can be told to be slow
	// mostRoutes bounds the routes that are counted apart; answers on others are counted as on one.
	mostRoutes = 24
	otherRoute = "others"
)

// Outcome is how a server's answer ended.
type Outcome int

// The outcomes that say something about a server's version.
const (
	Whole    Outcome = iota // a whole answer with success
	Failed                  // a whole answer with a failure of the server's own
	Broken                  // it broke off
	TimedOut                // it was not whole when its time was over
)

// Answer is one answer of a server.
type Answer struct {
	Service string
	Route   string
	Target  bool // of a server of the version on trial
	Outcome Outcome
	First   time.Duration // to the first event of a stream, from the sending; 0: no stream
	Pace    time.Duration // between events of a stream, at the mean, or the duration of an answer that is none; 0: not known
}

// usual is a mean of the logarithm of a time, which fades.
type usual struct {
	mean float64
	seen int
}

// exceeds tells whether a time is so many times what is usual.
func (u *usual) exceeds(d time.Duration, times float64) bool {
	return d > 0 && u.seen >= leastSeen && math.Log(d.Seconds()) > u.mean+math.Log(times)
}

func (u *usual) note(d time.Duration) {
	if d <= 0 {
		return
	}
	u.seen++
	u.mean += (math.Log(d.Seconds()) - u.mean) * max(weightNew, 1/float64(u.seen))
}

// usualOf is what is usual on a route.
type usualOf struct{ first, pace usual }

// place is a route of a service.
type place struct{ service, route string }

// counted is what was counted of a release.
type counted struct {
	number uint64
	counts []peer.RouteCounts
}

// Ledger keeps what answers are like.
type Ledger struct {
	usual    map[place]*usualOf
	releases map[string]*counted // by service: of the release under way
}

// NewLedger makes a ledger.
func NewLedger() *Ledger {
	return &Ledger{usual: map[place]*usualOf{}, releases: map[string]*counted{}}
}

// KeepRoutes forgets what is usual on routes that are not there any more.
func (l *Ledger) KeepRoutes(has func(route string) bool) {
	for at := range l.usual {
		if !has(at.route) {
			delete(l.usual, at)
		}
	}
}

// Follow begins to count for a release that is under way; what was counted for another one of the service is dropped.
func (l *Ledger) Follow(service string, number uint64) {
	if c := l.releases[service]; c == nil || c.number != number {
		l.releases[service] = &counted{number: number}
	}
}

// Forget ends the counting for a service.
func (l *Ledger) Forget(service string) { delete(l.releases, service) }

// Note takes an answer. What is usual follows answers of the version in service alone.
func (l *Ledger) Note(a *Answer) {
	at := place{a.Service, a.Route}
	u := l.usual[at]
	if u == nil {
		u = &usualOf{}
		l.usual[at] = u
	}
	slow := u.first.exceeds(a.First, slowFirst) || u.pace.exceeds(a.Pace, slowPace)
	if !a.Target && a.Outcome == Whole {
		u.first.note(a.First)
		u.pace.note(a.Pace)
	}
	c := l.releases[a.Service]
	if c == nil {
		return
	}
	counts := c.of(a.Route, a.Target)
	switch {
	case a.Outcome == Failed:
		counts.Failed++
	case a.Outcome == Broken:
		counts.Broken++
	case slow || a.Outcome == TimedOut:
		counts.Slow++
	default:
		counts.Good++
	}
}

// of gives the counts of a route and a side.
func (c *counted) of(route string, target bool) *peer.RouteCounts {
	want := peer.RouteCounts{Route: route, Target: target}
	i := slices.IndexFunc(c.counts, want.SameKind)
	if i < 0 && len(c.counts) >= 2*mostRoutes && route != otherRoute {
		return c.of(otherRoute, target)
	}
	if i < 0 {
		c.counts = append(c.counts, want)
		i = len(c.counts) - 1
	}
	return &c.counts[i]
}

// Counts lists what was counted for a release and not yet told.
func (l *Ledger) Counts(service string) []peer.RouteCounts {
	c := l.releases[service]
	if c == nil {
		return nil
	}
	list := slices.Clone(c.counts)
	slices.SortStableFunc(list, func(a, b peer.RouteCounts) int { return cmp.Compare(a.Route, b.Route) })
	return list
}

// Told notes that counts have been told: they are taken off.
func (l *Ledger) Told(service string, number uint64, told []peer.RouteCounts) {
	c := l.releases[service]
	if c == nil || c.number != number {
		return
	}
	for i := range told {
		counts := c.of(told[i].Route, told[i].Target)
		*counts = counts.Less(&told[i])
	}
	c.counts = slices.DeleteFunc(c.counts, func(x peer.RouteCounts) bool { return x.Good|x.Slow|x.Failed|x.Broken == 0 })
}
