package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/release"
	"moleshift/peer"
)

func fleet(perVersion int, versions ...string) []Server {
	var list []Server
	for _, v := range versions {
		for i := range perVersion {
			list = append(list, Server{ID: fmt.Sprint(v, "-", i), Version: v, Ready: true})
		}
	}
	return list
}

var bounds = Settings{Share: 0.1, Slack: 50}

// admitted lists the versions of the servers that a request may go to, and how many servers those are.
func admitted(s *Splitter, q *Query) (versions map[string]int) {
	split := s.Split(q)
	versions = map[string]int{}
	for _, server := range q.Servers {
		if split.Admits(server.ID, server.Version) {
			versions[server.Version]++
		}
	}
	return versions
}

func TestWhereRequestsGoDuringARelease(t *testing.T) {
	s := NewSplitter(bounds, rand.New(rand.NewPCG(1, 1)))
	s.Seen(0, "llm", []string{"v0", "v1", "v2"})
	servers := fleet(40, "v0", "v1", "v2")
	r := &release.Release{Service: "llm", Target: "v2", Barred: []string{"v0"}}
	for _, row := range []struct {
		phase release.Phase
		trial bool
		heard time.Duration
		want  map[string]int
	}{
		{release.Running, false, 0, map[string]int{"v1": 40}},
		{release.Running, true, 0, map[string]int{"v2": 3}},
		{release.Running, true, time.Minute, map[string]int{"v1": 40}},
		{release.Switching, false, 0, map[string]int{"v2": 40}},
		{release.Completed, false, time.Minute, map[string]int{"v2": 40}},
		{release.RolledBack, true, 0, map[string]int{"v1": 40}},
	} {
		r.Phase = row.phase
		q := &Query{Now: time.Hour, Service: "llm", Release: r, Heard: row.heard, Trial: row.trial, Servers: servers}
		must.Eq(t, row.want, admitted(s, q), must.Sprint(row))
	}
	r.Phase = release.Completed
	q := &Query{Now: time.Hour, Service: "llm", Release: r, Servers: fleet(3, "v0", "v1")}
	must.Eq(t, map[string]int{"v1": 3}, admitted(s, q), must.Sprint("none of the target is there: what was not rolled back serves"))
	must.Eq(t, map[string]int{"v0": 40, "v1": 40, "v2": 40}, admitted(s, &Query{Now: time.Hour, Service: "llm", Servers: servers}))
}

// Word of servers may come before word of the order that they were started for: a version that was never seen gets nothing at first.
func TestUnknownVersionGetsNothingAtFirst(t *testing.T) {
	s := NewSplitter(bounds, rand.New(rand.NewPCG(1, 1)))
	s.Seen(time.Minute, "llm", []string{"v1"})
	must.Eq(t, map[string]int{"v1": 2}, admitted(s, &Query{Now: time.Minute, Service: "llm", Servers: fleet(2, "v1")}))
	s.Seen(time.Minute, "llm", []string{"v1", "v2"})
	q := &Query{Now: time.Minute + time.Second, Service: "llm", Servers: fleet(2, "v1", "v2")}
	must.Eq(t, map[string]int{"v1": 2}, admitted(s, q))
	q.Release = &release.Release{Service: "llm", Target: "v2", Phase: release.Switching}
	must.Eq(t, map[string]int{"v2": 2}, admitted(s, q), must.Sprint("a release names it"))
	q.Release, q.Now = nil, time.Minute+unknownFor
	must.Eq(t, map[string]int{"v1": 2, "v2": 2}, admitted(s, q), must.Sprint("nobody ordered anything: it serves in the end"))
	s.Seen(2*time.Minute, "llm", []string{"v3"})
	q = &Query{Now: 2 * time.Minute, Service: "llm", Servers: fleet(2, "v3")}
	must.Eq(t, map[string]int{"v3": 2}, admitted(s, q), must.Sprint("there is no other"))
}

// Guards against ROUTE: servers of a version that nobody ordered got requests, from 3 s on, and at once at a router that started.
func TestVersionThatNobodyOrderedGetsNothing(t *testing.T) {
	servers := fleet(2, "v1", "v2")
	later := func(s *Splitter, after time.Duration, baseline []string, r *release.Release) map[string]int {
		return admitted(s, &Query{Now: after, Service: "llm", Servers: servers, Baseline: baseline, Release: r})
	}
	s := NewSplitter(bounds, rand.New(rand.NewPCG(1, 1)))
	s.Seen(0, "llm", []string{"v1", "v2"})
	must.MapEmpty(t, later(s, time.Second, nil, nil), must.Sprint("which of them is in service is not known yet"))
	must.Eq(t, map[string]int{"v1": 2}, later(s, 0, []string{"v1"}, nil))
	must.Eq(t, map[string]int{"v1": 2}, later(s, time.Hour, []string{"v1"}, nil))
	must.Eq(t, map[string]int{"v1": 2, "v2": 2}, later(s, 0, []string{"v1", "v2"}, nil))

	other := &release.Release{Service: "llm", Target: "v3", Before: []string{"v1"}, Phase: release.Running}
	must.Eq(t, map[string]int{"v1": 2}, later(s, time.Hour, nil, other), must.Sprint("while another one is tried"))
	other.Phase, other.Barred = release.RolledBack, []string{"v3"}
	must.Eq(t, map[string]int{"v1": 2}, later(s, time.Hour, nil, other))
}

// The shares of routers that know nothing of one another add up to less than the share of all, whatever each of them sees.
func TestSharesOfManyRoutersAddUp(t *testing.T) {
	const routers, share, slack = 300, 0.1, 50
	r := &release.Release{Phase: release.Running}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		requests, trials := 0, 0
		for n := range uint64(routers) {
			s := NewSplitter(Settings{share, slack}, rand.New(rand.NewPCG(seed, n)))
			for range random.IntN(1 + random.IntN(60)) {
				requests++
				if s.Draw(0, r, "r", routers) {
					trials++
				}
			}
			must.LessEq(t, share*float64(requests)+slack, float64(trials), must.Sprintf("seed %d", seed))
		}
		must.Greater(t, 0, trials)
		r.Phase = release.Switching
		must.False(t, NewSplitter(Settings{1, 0}, random).Draw(0, r, "r", 1))
		r.Phase = release.Running
	}
}

// The same with rates that routers measure themselves, from a request in minutes to many a second, uneven over the routers.
func TestMeasuredSharesAddUp(t *testing.T) {
	r := &release.Release{Service: "llm", Phase: release.Running, DeadlineMs: 12000}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 5))
		routers := 1 + random.IntN(200)
		perStep := random.ExpFloat64() * 20 // requests of all in a tenth of a second
		weights := make([]float64, routers)
		sum := 0.0
		for i := range weights {
			weights[i] = random.ExpFloat64()
			sum += weights[i]
		}
		var splitters []*Splitter
		for i := range routers {
			splitters = append(splitters, NewSplitter(bounds, rand.New(rand.NewPCG(seed, uint64(i)))))
		}
		requests, trials := 0, 0
		for now := time.Duration(0); now < r.Deadline(); now += 100 * time.Millisecond {
			for i, s := range splitters {
				for rest := perStep * weights[i] / sum; rest > 0 && random.Float64() < rest; rest-- {
					requests++
					s.Request(now, "llm", "r")
					if s.Draw(now, r, "r", routers) {
						trials++
					}
				}
			}
			must.LessEq(t, bounds.Share*float64(requests)+bounds.Slack, float64(trials), must.Sprintf("seed %d, %d routers, %.1f a step", seed, routers, perStep))
		}
	}
}

// All routers try the same few servers, also while one of them is out.
func TestTrialServersAreTheSameForAll(t *testing.T) {
	r := &release.Release{Target: "v2", Phase: release.Running}
	servers := fleet(60, "v1", "v2")
	choose := func(seed uint64) map[string]bool {
		return NewSplitter(bounds, rand.New(rand.NewPCG(seed, 1))).trial(&Query{Service: "llm", Release: r, Servers: servers})
	}
	first := choose(1)
	must.MapLen(t, 4, first)
	must.Eq(t, first, choose(2))
	for i := range servers {
		if first[servers[i].ID] {
			servers[i].Ready = false
			break
		}
	}
	second, both := choose(1), 0
	must.MapLen(t, 4, second)
	for id := range second {
		if first[id] {
			both++
		}
	}
	must.Eq(t, 3, both)
}

// pass lets time go by at a router that runs: it reports every quarter of a second.
func pass(l *Ledger, from, to time.Duration) {
	const reportEvery = 250 * time.Millisecond
	for at := from; at < to; at += reportEvery {
		l.Counts(at, "llm")
	}
}

// play has the ledger follow one request, begun at a given moment: when each event came, when it ended and how.
func play(l *Ledger, route string, target bool, end time.Duration, outcome Outcome, events ...time.Duration) {
	a := &Attempt{Service: "llm", Route: route, Target: target, Release: 1}
	began := l.called
	l.Begin(began, a)
	for _, at := range events {
		l.Event(began+at, a, 1)
	}
	pass(l, began, began+end)
	l.End(began+end, a, outcome)
}

func TestLedgerCountsAnswers(t *testing.T) {
	const ms = time.Millisecond
	l := NewLedger()
	play(l, "r", false, 100*ms, Whole)
	must.SliceEmpty(t, l.Counts(time.Hour, "llm"), must.Sprint("no release is under way"))
	l.Follow("llm", 1)
	play(l, "r", true, ms, Whole)
	play(l, "r", true, 6*ms, Whole, ms, 3*ms) // two events of a stream
	play(l, "r", true, 2*time.Second, Failed)
	play(l, "r", true, ms, Broken)
	play(l, "r", true, 3*time.Second, TimedOut)
	play(l, "r", true, ms, Unknown)
	play(l, "r", false, ms, Whole)
	told := l.Counts(time.Hour, "llm")
	must.Eq(t, []peer.RouteCounts{
		{Route: "r", Target: true, Good: 2, Late: 1, Failed: 1, Broken: 1, Soon: 3, Hung: 2, First: []int{1}, Pace: told[0].Pace},
		{Route: "r", Good: 1, Soon: 1, Pace: []int{1}},
	}, told)

	play(l, "r", true, ms, Whole)
	l.Told("llm", 1, told)
	left := l.Counts(time.Hour, "llm")
	must.Len(t, 1, left, must.Sprint("what came meanwhile is left"))
	must.Eq(t, 1, left[0].Good)
	must.Eq(t, 1, left[0].Pace[0])
	l.Told("llm", 2, told)
	must.Len(t, 1, l.Counts(time.Hour, "llm"), must.Sprint("of another release"))
	for i := range 100 {
		play(l, fmt.Sprint("many", i), true, ms, Whole)
	}
	must.LessEq(t, 2*mostRoutes+1, len(l.Counts(time.Hour, "llm")))
	l.Forget("llm")
	must.SliceEmpty(t, l.Counts(time.Hour, "llm"))
	must.MapEmpty(t, l.open)
}

// What is slow shows before it has ended: a request without a first event after a second, a stream by its first events.
func TestSlowAttemptsShowBeforeTheyEnd(t *testing.T) {
	l := NewLedger()
	l.Follow("llm", 1)
	silent, stream := &Attempt{Service: "llm", Route: "r", Target: true, Release: 1}, &Attempt{Service: "llm", Route: "r", Target: true, Release: 1}
	l.Begin(0, silent)
	l.Begin(0, stream)
	for i := range paceAfter {
		l.Event(time.Duration(i+1)*100*time.Millisecond, stream, 1)
	}
	pass(l, 500*time.Millisecond, 2*time.Second)
	counts := l.Counts(2*time.Second, "llm")
	must.Eq(t, 1, counts[0].Hung)
	must.Eq(t, 1, counts[0].Soon)
	must.Eq(t, 0, counts[0].Good)
	must.Eq(t, 1, counts[0].Pace[peer.TimeBucket(100*time.Millisecond)])
	pass(l, 2*time.Second, 3*time.Second)
	l.End(3*time.Second, silent, Unknown)
	l.End(3*time.Second, stream, Whole)
	counts = l.Counts(3*time.Second, "llm")
	must.Eq(t, 1, counts[0].Hung, must.Sprint("counted once"))
	must.Eq(t, 1, counts[0].Good)
}

// Requests on rare routes are drawn more often, and all of them together no more often for it.
func TestRareRoutesAreSampledMore(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		r := rate{routes: map[string]float64{}}
		for range 400 {
			r.note(0, fmt.Sprint("r", int(random.ExpFloat64()*float64(1+random.IntN(8)))))
		}
		drawn, rarest, most := 0.0, "", ""
		for name, n := range r.routes {
			drawn += n * r.weight(name)
			if rarest == "" || n < r.routes[rarest] {
				rarest = name
			}
			if most == "" || n > r.routes[most] {
				most = name
			}
		}
		must.LessEq(t, r.requests*1.000001, drawn)
		must.GreaterEq(t, r.weight(most), r.weight(rarest))
	}
	must.Eq(t, 1, (&rate{}).weight("never seen"))
}

// Where there are many requests, what a version gets while it is tried leaves room for those of the moments after it takes all.
func TestTrialShareFollowsTheTraffic(t *testing.T) {
	r := &release.Release{Service: "llm", Phase: release.Running, DeadlineMs: 12000}
	s := NewSplitter(bounds, rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, unknownTrial*bounds.Share, s.trialShare(0, r, 100), must.Sprint("no request came"))
	now := time.Duration(0)
	for range 40 {
		now += 250 * time.Millisecond
		s.Request(now, "llm", "r")
	}
	before := 1.0
	for _, routers := range []int{5, 20, 90, 300} {
		share := s.trialShare(now, r, routers)
		perSecond := 4 * float64(routers)
		must.LessEq(t, before, share)
		must.LessEq(t, bounds.Share*perSecond*12+bounds.Slack, share*perSecond*11+perSecond*withdrawnIn.Seconds())
		before = share
	}
}

// Guards against a good version rolled back at once: requests sent before its order, at servers that an earlier release had brought into
// service, were counted as its own.
func TestRequestsOfAnEarlierReleaseAreNoEvidence(t *testing.T) {
	l := NewLedger()
	l.Follow("llm", 1)
	var sent []*Attempt
	for _, number := range []uint64{0, 1} { // before any release, and while the last one was the newest
		for range 20 {
			a := &Attempt{Service: "llm", Route: "r", Target: number == 1, Release: number}
			l.Begin(0, a)
			sent = append(sent, a)
		}
	}
	l.Forget("llm")
	l.Follow("llm", 2)
	pass(l, 0, 2*time.Second)
	must.SliceEmpty(t, l.Counts(2*time.Second, "llm"), must.Sprint("they hang since before the order"))
	for i, a := range sent {
		l.Event(3*time.Second, a, paceAfter)
		l.End(4*time.Second, a, Outcome(i%4))
	}
	must.SliceEmpty(t, l.Counts(5*time.Second, "llm"))
	a := &Attempt{Service: "llm", Route: "r", Target: true, Release: 2}
	l.Begin(5*time.Second, a)
	pass(l, 5*time.Second, 7*time.Second)
	must.Eq(t, 1, l.Counts(7*time.Second, "llm")[0].Hung, must.Sprint("a version that hangs from its first request on shows"))
}

// Guards against a good version rolled back by a router that stood still: requests on their way then counted as hung before it had read what
// came meanwhile. A version that hangs is seen all the same, once the router runs.
func TestTimeInWhichTheRouterStoodStillDoesNotCount(t *testing.T) {
	const every = 250 * time.Millisecond
	l := NewLedger()
	l.Follow("llm", 1)
	var answered, silent []*Attempt
	for range 20 {
		good, hangs := &Attempt{Service: "llm", Route: "r", Target: true, Release: 1}, &Attempt{Service: "llm", Route: "h", Target: true, Release: 1}
		l.Begin(0, good)
		l.Begin(0, hangs)
		answered, silent = append(answered, good), append(silent, hangs)
	}
	must.SliceEmpty(t, l.Counts(every, "llm"))
	thawed := 5 * time.Second
	must.SliceEmpty(t, l.Counts(thawed, "llm"), must.Sprint("it has read nothing since it went on"))
	for _, a := range answered {
		l.Event(thawed+time.Millisecond, a, 1)
		l.End(thawed+2*time.Millisecond, a, Whole)
	}
	for i := range 4 {
		l.Counts(thawed+time.Duration(i)*every, "llm")
	}
	counts := l.Counts(thawed+soon, "llm")
	must.Len(t, 2, counts)
	must.Eq(t, "h", counts[0].Route)
	must.Eq(t, len(silent), counts[0].Hung)
	must.Eq(t, 0, counts[1].Hung)
	must.Eq(t, len(answered), counts[1].Soon)
}
