package release

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/peer"
)

// answersOf are the counts of one tenth of a second: of the version in service and of the target.
func answersOf(route string, usual, target peer.RouteCounts) []peer.RouteCounts {
	for _, c := range []*peer.RouteCounts{&usual, &target} {
		if len(c.Pace) == 0 {
			c.Pace = []int{0, 0, 0, c.Good}
		}
	}
	usual.Route, target.Route, target.Target = route, route, true
	return []peer.RouteCounts{usual, target}
}

// tell gives evidence of so many equal tenths of a second, until it speaks against the target.
func tell(e *Evidence, from, tenths int, counts []peer.RouteCounts) (at int, reason string, bad bool) {
	for i := range tenths {
		e.Take(time.Duration(from+i)*100*time.Millisecond, 1, counts)
		if reason, bad = e.Bad(Running); bad {
			return i, reason, true
		}
	}
	return tenths, "", false
}

func TestEvidenceAgainstAVersion(t *testing.T) {
	good := peer.RouteCounts{Good: 20}
	for _, row := range []struct {
		name          string
		usual, target peer.RouteCounts
		within        int // tenths of a second
		bad           bool
	}{
		{"as good", good, peer.RouteCounts{Good: 3}, 600, false},
		{"half fail", good, peer.RouteCounts{Good: 1, Failed: 1}, 5, true},
		{"a third fails", good, peer.RouteCounts{Good: 2, Failed: 1}, 10, true},
		{"half are slow", good, peer.RouteCounts{Good: 2, Pace: []int{0, 0, 0, 1, 0, 0, 0, 0, 1}}, 12, true},
		{"half begin late", peer.RouteCounts{Good: 20, First: []int{0, 20}}, peer.RouteCounts{Good: 2, First: []int{0, 1, 0, 0, 0, 0, 0, 0, 0, 1}}, 15, true},
		{"a little slower", good, peer.RouteCounts{Good: 2, Pace: []int{0, 0, 0, 0, 0, 2}}, 100, false},
		{"half are not whole in time", good, peer.RouteCounts{Good: 1, Late: 1}, 12, true},
		{"half break off", good, peer.RouteCounts{Good: 1, Broken: 1}, 20, true},
		{"trouble of the whole fleet", peer.RouteCounts{Good: 10, Failed: 10}, peer.RouteCounts{Good: 1, Failed: 1}, 600, false},
		{"all slow alike", peer.RouteCounts{Good: 20, Pace: []int{0, 0, 0, 11, 0, 0, 0, 0, 9}}, peer.RouteCounts{Good: 2, Pace: []int{0, 0, 0, 1, 0, 0, 0, 0, 1}}, 600, false},
		{"a little worse", peer.RouteCounts{Good: 98, Failed: 2}, peer.RouteCounts{Good: 97, Failed: 3}, 100, false},
	} {
		var e Evidence
		at, reason, bad := tell(&e, 0, row.within, answersOf("r", row.usual, row.target))
		must.Eq(t, row.bad, bad, must.Sprint(row.name, at, reason))
	}
}

// What spoke for a version before it turned bad delays nothing, and one bad route shows beside many good ones.
func TestEvidenceOfALateAndOfABadRoute(t *testing.T) {
	var e Evidence
	_, _, bad := tell(&e, 0, 100, answersOf("r", peer.RouteCounts{Good: 20}, peer.RouteCounts{Good: 3}))
	must.False(t, bad)
	at, _, bad := tell(&e, 100, 20, answersOf("r", peer.RouteCounts{Good: 20}, peer.RouteCounts{Good: 1, Failed: 2}))
	must.True(t, bad)
	must.Less(t, 6, at)

	e = Evidence{}
	counts := append(answersOf("a", peer.RouteCounts{Good: 90}, peer.RouteCounts{Good: 9}), answersOf("b", peer.RouteCounts{Good: 9}, peer.RouteCounts{Failed: 1})...)
	_, reason, bad := tell(&e, 0, 20, counts)
	must.True(t, bad)
	must.StrContains(t, reason, "route b")

	e.Take(0, 2, nil)
	_, bad = e.Bad(Running)
	must.False(t, bad, must.Sprint("another release begins anew"))
}

func TestDecisions(t *testing.T) {
	r := &Release{Service: "llm", Target: "v2", Number: 1, DeadlineMs: 12000, Phase: Running}
	plan := PlanOf(r.Deadline())
	var good, bad, doubtful Evidence
	tell(&good, 0, 50, answersOf("r", peer.RouteCounts{Good: 20}, peer.RouteCounts{Good: 3}))
	tell(&bad, 0, 50, answersOf("r", peer.RouteCounts{Good: 20}, peer.RouteCounts{Failed: 3}))
	tell(&doubtful, 0, 1, answersOf("r", peer.RouteCounts{Good: 20}, peer.RouteCounts{Failed: 2}))
	for _, row := range []struct {
		name  string
		phase Phase
		s     Situation
		to    Phase // 0: it goes on as it is
	}{
		{"young", Running, Situation{Target: 4, InService: 4, Evidence: &good}, 0},
		{"bad", Running, Situation{Target: 4, InService: 4, Evidence: &bad}, RolledBack},
		{"time to decide", Running, Situation{Age: plan.Decide, Target: 4, InService: 4, Evidence: &good}, Switching},
		{"no answer came: there is no traffic", Running, Situation{Age: plan.Decide, Target: 4, InService: 4, Evidence: &Evidence{}}, Switching},
		{"doubtful", Running, Situation{Age: plan.Decide, Target: 4, InService: 4, Evidence: &doubtful}, 0},
		{"doubtful for too long", Running, Situation{Age: plan.Doubt, Target: 4, InService: 4, Evidence: &doubtful}, RolledBack},
		{"no servers", Running, Situation{Age: plan.Decide, InService: 4, Evidence: &Evidence{}}, RolledBack},
		{"few servers", Running, Situation{Age: plan.Decide, Target: 1, InService: 4, Evidence: &good}, RolledBack},
		{"nobody decided in time", Running, Situation{Age: r.Deadline(), Target: 4, InService: 4, Evidence: &good}, RolledBack},
		{"members restarted lately", Running, Situation{Age: plan.Decide, Watched: leastWatch - 1, Target: 4, InService: 4, Evidence: &good}, 0},
		{"members restarted a while ago", Running, Situation{Age: plan.Decide, Watched: leastWatch, Target: 4, InService: 4, Evidence: &good}, Switching},
		{"members restarted, and it is late", Running, Situation{Age: plan.Doubt, Watched: leastWatch - 1, Target: 4, InService: 4, Evidence: &good}, RolledBack},
		{"members restarted while it switched", Switching, Situation{Age: plan.Complete, Watched: 1, Target: 4, InService: 4, Evidence: &Evidence{}}, Completed},
		{"requests under way", Switching, Situation{Age: plan.Decide, Target: 4, InService: 4, Evidence: &good}, 0},
		{"none under way", Switching, Situation{Age: plan.Decide, Target: 4, Evidence: &good, Ended: true}, Completed},
		{"time to tell", Switching, Situation{Age: plan.Complete, Target: 4, InService: 4, Evidence: &good}, Completed},
		{"bad once it has all", Switching, Situation{Age: plan.Decide, Target: 4, InService: 4, Evidence: &bad, Ended: true}, RolledBack},
		{"over", RolledBack, Situation{Age: plan.Complete, Target: 4, InService: 4, Evidence: &good, Ended: true}, 0},
		{"completed is final", Completed, Situation{Age: time.Hour, Target: 4, Evidence: &bad, Ended: true}, 0},
	} {
		r.Phase = row.phase
		if row.s.Watched == 0 {
			row.s.Watched = row.s.Age
		}
		decision := r.Decide(row.s)
		if row.to == 0 {
			must.Nil(t, decision, must.Sprint(row.name))
			continue
		}
		must.NotNil(t, decision, must.Sprint(row.name))
		must.Eq(t, row.to, decision.To, must.Sprint(row.name))
		must.NotEq(t, "", decision.Reason)
	}
}

// Whatever the deadline, there is time to watch, to switch and to tell, in this order.
func TestPlanFitsEveryDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Hour)).Draw(t, "deadline"))
		p := PlanOf(deadline)
		must.True(t, 0 < p.Decide && p.Decide <= p.Doubt && p.Doubt <= p.Complete && p.Complete < deadline, must.Sprint(p))
		must.GreaterEq(t, deadline/4, p.Decide)
	})
}
