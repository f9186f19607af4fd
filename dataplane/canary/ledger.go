package canary

// What answers are like, by route and version, and what of it the controllers have not been told.

import (
	"cmp"
	"slices"
	"time"

	"moleshift/peer"
)

const (
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
	Unknown                 // it was ended from here, or there was none
)

const (
	// soon is how long after a request was sent its first event, or its whole answer, is to be there: what does not come is not counted
	// as slow before it has come, and that would be too late.
	soon = time.Second
	// mostGap is the longest time between two calls at a router that runs: it reports more often while a release is under way.
	mostGap = 400 * time.Millisecond
	// paceAfter is how many events tell the pace of a stream.
	paceAfter = 5
)

// Attempt is one request on its way at a server, as far as the ledger follows it.
type Attempt struct {
	Service string
	Route   string
	Target  bool          // at a server of the version on trial
	Release uint64        // number of the newest release when it was sent; 0: there was none
	sent    time.Duration // when, by the time in which the router ran
	first   time.Duration // when the first event came, likewise; 0: none did
	events  int
	started bool // counted as Soon or Hung
	paced   bool // its pace is counted
}

// counted is what was counted of a release.
type counted struct {
	number uint64
	counts []peer.RouteCounts
}

// Ledger counts answers while releases are under way. It measures by the time in which its router ran: one that stood still has not read
// what came meanwhile.
type Ledger struct {
	releases map[string]*counted // by service: of the release under way
	open     map[*Attempt]bool
	called   time.Duration // when it was last called
	stood    time.Duration // for how long in all its router has stood still
}

// NewLedger makes a ledger.
func NewLedger() *Ledger {
	return &Ledger{releases: map[string]*counted{}, open: map[*Attempt]bool{}}
}

// Follow begins to count for a release that is under way; what was counted for another one of the service is dropped.
func (l *Ledger) Follow(service string, number uint64) {
	if c := l.releases[service]; c == nil || c.number != number {
		l.releases[service] = &counted{number: number}
	}
}

// Forget ends the counting for a service.
func (l *Ledger) Forget(service string) { delete(l.releases, service) }

// running gives the time in which the router has run, from the steady clock's.
func (l *Ledger) running(now time.Duration) time.Duration {
	if gap := now - l.called; gap > mostGap {
		l.stood += gap - mostGap
	}
	l.called = now
	return now - l.stood
}

// Begin follows a request that is sent to a server.
func (l *Ledger) Begin(now time.Duration, a *Attempt) {
	a.sent = l.running(now)
	l.open[a] = true
}

// Event notes events of an attempt's stream.
func (l *Ledger) Event(now time.Duration, a *Attempt, events int) {
	now = l.running(now)
	if a.first == 0 {
		a.first = now
		l.start(now, a)
	}
	a.events += events
	if !a.paced && a.events >= paceAfter {
		l.pace(now, a)
	}
}

// Drop ends the following of an attempt.
func (l *Ledger) Drop(a *Attempt) { delete(l.open, a) }

// End notes how an attempt ended. One that says nothing of its server's version is only forgotten.
func (l *Ledger) End(now time.Duration, a *Attempt, outcome Outcome) {
	now = l.running(now)
	l.Drop(a)
	if outcome != Unknown || a.first == 0 && now-a.sent > soon {
		l.start(now, a)
	}
	if outcome == Unknown {
		return
	}
	if !a.paced {
		l.pace(now, a)
	}
	l.note(a, outcome)
}

// countsFor gives the counts that a request belongs to; nil: the release in which it was sent is not under way. What was sent before an
// order tells nothing of the version that is ordered.
func (l *Ledger) countsFor(a *Attempt) *counted {
	if c := l.releases[a.Service]; c != nil && c.number == a.Release {
		return c
	}
	return nil
}

// pace counts the pace of an attempt's stream, or the duration of an answer that is none.
func (l *Ledger) pace(now time.Duration, a *Attempt) {
	a.paced = true
	c := l.countsFor(a)
	if c == nil {
		return
	}
	pace := now - a.sent
	if a.first > 0 {
		if a.events < 2 {
			return
		}
		pace = (now - a.first) / time.Duration(a.events-1)
	}
	peer.CountTime(&c.of(a.Route, a.Target).Pace, max(pace, 1))
}

// start counts whether an attempt has brought something soon.
func (l *Ledger) start(now time.Duration, a *Attempt) {
	c := l.countsFor(a)
	if a.started || c == nil {
		return
	}
	a.started = true
	if counts := c.of(a.Route, a.Target); now-a.sent <= soon {
		counts.Soon++
	} else {
		counts.Hung++
	}
}

// countHung counts the attempts that have brought nothing for too long.
func (l *Ledger) countHung(now time.Duration) {
	for a := range l.open {
		if a.first == 0 && now-a.sent > soon {
			l.start(now, a)
		}
	}
}

// note counts how an attempt ended.
func (l *Ledger) note(a *Attempt, outcome Outcome) {
	c := l.countsFor(a)
	if c == nil {
		return
	}
	counts := c.of(a.Route, a.Target)
	switch outcome {
	case Failed:
		counts.Failed++
	case Broken:
		counts.Broken++
	case TimedOut:
		counts.Late++
	default:
		counts.Good++
		if a.first > a.sent {
			peer.CountTime(&counts.First, a.first-a.sent)
		}
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
func (l *Ledger) Counts(now time.Duration, service string) []peer.RouteCounts {
	l.countHung(l.running(now))
	c := l.releases[service]
	if c == nil {
		return nil
	}
	list := make([]peer.RouteCounts, len(c.counts))
	for i := range c.counts {
		list[i] = peer.RouteCounts{Route: c.counts[i].Route, Target: c.counts[i].Target}
		list[i].Add(&c.counts[i])
	}
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
	c.counts = slices.DeleteFunc(c.counts, func(x peer.RouteCounts) bool { return x.IsZero() })
}
