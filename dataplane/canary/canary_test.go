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

// admitted lists the versions of the servers that a request may go to, and how many servers those are.
func admitted(s *Splitter, q *Query) (versions map[string]int) {
	split := s.Split(q)
	versions = map[string]int{}
	for _, server := range q.Servers {
		if split.Admits(server) {
			versions[server.Version]++
		}
	}
	return versions
}

func TestWhereRequestsGoDuringARelease(t *testing.T) {
	s := NewSplitter(0.1, rand.New(rand.NewPCG(1, 1)))
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
		{release.Running, true, 0, map[string]int{"v2": 4}},
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
	s := NewSplitter(0.1, rand.New(rand.NewPCG(1, 1)))
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

// The shares of routers that know nothing of one another add up to less than the share of all, whatever each of them sees.
func TestSharesOfManyRoutersAddUp(t *testing.T) {
	const routers, share, slack = 300, 0.1, 50
	r := &release.Release{Phase: release.Running}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		requests, trials := 0, 0
		for n := range uint64(routers) {
			s := NewSplitter(share, rand.New(rand.NewPCG(seed, n)))
			for range random.IntN(1 + random.IntN(60)) {
				requests++
				if s.Draw(r) {
					trials++
				}
			}
			must.LessEq(t, share*float64(requests)+slack, float64(trials), must.Sprintf("seed %d", seed))
		}
		must.Greater(t, 0, trials)
		r.Phase = release.Switching
		must.False(t, NewSplitter(1, random).Draw(r))
		r.Phase = release.Running
	}
}

// All routers try the same few servers, also while one of them is out.
func TestTrialServersAreTheSameForAll(t *testing.T) {
	r := &release.Release{Target: "v2", Phase: release.Running}
	servers := fleet(60, "v1", "v2")
	choose := func(seed uint64) map[string]bool {
		return NewSplitter(0.1, rand.New(rand.NewPCG(seed, 1))).trial(&Query{Service: "llm", Release: r, Servers: servers})
	}
	first := choose(1)
	must.MapLen(t, 3, first)
	must.Eq(t, first, choose(2))
	for i := range servers {
		if first[servers[i].ID] {
			servers[i].Ready = false
			break
		}
	}
	second, both := choose(1), 0
	must.MapLen(t, 3, second)
	for id := range second {
		if first[id] {
			both++
		}
	}
	must.Eq(t, 2, both)
}

func answer(route string, target bool, pace time.Duration) *Answer {
	return &Answer{Service: "llm", Route: route, Target: target, Outcome: Whole, Pace: pace}
}

func TestLedgerCountsAnswers(t *testing.T) {
	l := NewLedger()
	for range leastSeen {
		l.Note(answer("r", false, 100*time.Millisecond))
	}
	must.SliceEmpty(t, l.Counts("llm"), must.Sprint("no release is under way"))
	l.Follow("llm", 1)
	l.Note(answer("r", true, 250*time.Millisecond))
	l.Note(answer("r", true, 400*time.Millisecond))
	l.Note(answer("r", false, 400*time.Millisecond))
	l.Note(&Answer{Service: "llm", Route: "r", Target: true, Outcome: Failed})
	l.Note(&Answer{Service: "llm", Route: "r", Target: true, Outcome: Broken})
	l.Note(&Answer{Service: "llm", Route: "r", Target: true, Outcome: TimedOut})
	want := []peer.RouteCounts{{Route: "r", Target: true, Good: 1, Slow: 2, Failed: 1, Broken: 1}, {Route: "r", Slow: 1}}
	told := l.Counts("llm")
	must.Eq(t, want, told)

	l.Note(answer("r", true, 100*time.Millisecond))
	l.Told("llm", 1, told)
	must.Eq(t, []peer.RouteCounts{{Route: "r", Target: true, Good: 1}}, l.Counts("llm"), must.Sprint("what came meanwhile is left"))
	l.Told("llm", 2, told)
	must.Len(t, 1, l.Counts("llm"), must.Sprint("of another release"))
	for i := range 100 {
		l.Note(answer(fmt.Sprint("many", i), true, 0))
	}
	must.LessEq(t, 2*mostRoutes+1, len(l.Counts("llm")))
	l.KeepRoutes(func(route string) bool { return route == "r" })
	must.MapLen(t, 1, l.usual)
	l.Forget("llm")
	must.SliceEmpty(t, l.Counts("llm"))
}

// A target that is slow does not become what is usual.
func TestUsualFollowsTheVersionInService(t *testing.T) {
	l := NewLedger()
	for range leastSeen {
		l.Note(answer("r", false, 100*time.Millisecond))
	}
	l.Follow("llm", 1)
	for range 30 {
		l.Note(answer("r", false, 100*time.Millisecond))
		l.Note(answer("r", true, time.Second))
	}
	must.Eq(t, []peer.RouteCounts{{Route: "r", Good: 30}, {Route: "r", Target: true, Slow: 30}}, l.Counts("llm"))
}
