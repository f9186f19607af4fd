package choice

import (
	"fmt"
	"strings"
	"testing"
)

func anyHalf(s *Settings)    { s.Verticals[0].Need, s.Verticals[0].Floor = 0.5, 0.5 }
func noCopies(s *Settings)   { s.SecondCopies = false }
func sideEffect(s *Settings) { s.Verticals[0].Effect, s.Verticals[0].LateUtility = SideEffecting, 0 }

func queued(n float64) *Report {
	rep := new(Report)
	rep.Set(Waiting, n)
	return rep
}

// answer ends the first calls of a query's parts well.
func (st *stage) answer(query, parts int, rep *Report) {
	for i := range parts {
		st.end(fmt.Sprintf("q%d.%d#0", query, i), OK, rep)
	}
}

// storm sends n queries of four parts whose first calls all meet full queues.
func (st *stage) storm(n int) {
	for range n {
		st.query(0, 0, 0, 0, 0)
		for i := range 4 {
			if name := fmt.Sprintf("q%d.%d#0", st.n, i); st.calls[name] != nil {
				st.end(name, Full, nil)
			}
		}
	}
}

// warm gives the root a history: n queries of two parts, each call 100 ms.
func (st *stage) warm(n int) {
	for range n {
		st.query(0, 0, 0)
		st.pass(100)
		st.answer(st.n, 2, nil)
	}
	st.out.Reset()
}

func TestAllPartsGoWhereReportsAreLeast(t *testing.T) {
	st := play(t, 3, plain(nil))
	st.query(0, 0, 0, 0)
	st.pass(100)
	st.end("q1.0#0", OK, queued(5))
	st.end("q1.1#0", OK, queued(0))
	st.end("q1.2#0", OK, queued(2))
	st.query(0, 0, 0, 0)
	st.check("all-parts")
}

func TestAnyNSendsTheCheapest(t *testing.T) {
	st := play(t, 3, plain(anyHalf))
	st.query(0, 9, 2, 7, 1)
	st.pass(50)
	st.end("q1.3#0", OK, nil)
	st.end("q1.1#0", OK, nil)
	st.check("any-n")
}

func TestTiesAreDrawn(t *testing.T) {
	st := play(t, 3, plain(nil))
	for seed := range uint64(4) {
		st.set.Seed = seed
		st.r = NewRoot(st.set, st, st.now)
		for _, l := range st.leafs {
			*l = Leaf{}
		}
		st.say("seed %d", seed)
		st.list(true, Ready, st.leafs...)
		st.query(0, 0)
	}
	st.check("ties")
}

func TestFailedPartOfAnyNIsReplaced(t *testing.T) {
	st := play(t, 2, plain(anyHalf))
	st.query(0, 4, 1, 1, 4)
	st.pass(5)
	st.end("q1.1#0", Failed, nil) // its other replica is cheaper than an unsent part of four times the work
	st.end("q1.1#1", Failed, nil)
	st.check("any-n-failed")
}

func TestSideEffectingIsNeverSentTwice(t *testing.T) {
	st := play(t, 2, plain(sideEffect))
	st.query(0, 0)
	st.pass(5)
	st.end("q1.0#0", NoConnection, nil) // proved not run
	st.pass(5)
	st.end("q1.0#1", Failed, nil) // may have run
	st.query(0, 0)
	st.pass(1100) // no outcome by the SLO time, after which it is worth nothing
	st.check("side-effecting")
}

func TestSideEffectingIsRejectedWhileNothingRan(t *testing.T) {
	st := play(t, 1, plain(func(s *Settings) { sideEffect(s); s.MaxCalls = 1 }))
	st.query(0, 0)
	st.end("q1.0#0", Full, nil)
	st.check("side-effecting-not-run")
}

func TestDeduplicatedOnlyWithinItsWindow(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.Verticals[0].Effect = Deduplicated }))
	st.query(0, 0)
	st.pass(100)
	st.end("q1.0#0", Failed, nil)
	st.pass(450) // 550 ms since the first: past the window of 500
	st.end("q1.0#1", Failed, nil)
	st.check("deduplicated")
}

// Where second copies are barred the called-off call's outcome is awaited; an answer that crosses it counts.
func TestBarredSecondCopyWaits(t *testing.T) {
	for name, o := range map[string]Outcome{"no-second-copies": Cancelled, "cancel-crosses-answer": OK} {
		st := play(t, 2, plain(noCopies))
		st.warm(4)
		st.query(0, 0)
		st.pass(950)
		st.end("q5.0#0", o, nil)
		st.check(name)
	}
}

func TestBudgetHoldsInEveryWindow(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) {
		s.BudgetSet, s.BudgetSpare, s.BudgetRatio, s.BudgetWindow = true, 1, 0, 10000
		s.Verticals[0].LateUtility = 0.8
	}))
	st.query(0, 0, 0)
	st.end("q1.0#0", Failed, nil)
	st.end("q1.1#0", Failed, nil) // the window has no room for a second
	st.pass(1200)
	st.check("budget")
}

func TestColdLeafGetsOneCallAWindow(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(2)
	st.restart(st.leafs[0])
	for range 6 {
		st.query(0, 0, 0)
		st.pass(10)
	}
	st.check("cold")
}

func TestRestartedRootLeavesColdLeavesAlone(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.leafs[0].started = st.now - 1
	st.list(true, Ready, st.leafs...)
	st.query(0, 0, 0)
	st.pass(2100)
	st.query(0, 0, 0)
	st.check("cold-after-restart")
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	st := play(t, 3, plain(nil))
	st.list(false, Draining, st.leafs[0])
	st.list(false, Gone, st.leafs[1])
	st.query(0, 0, 0, 0)
	st.list(false, Draining, st.leafs[2])
	st.query(0, 0)
	st.check("drain")
}

func TestNothingToSendTo(t *testing.T) {
	st := play(t, 0, plain(nil))
	st.query(0, 0)
	st.list(true, Ready, new(Leaf))
	st.set.Verticals[0].Deadline = -1 // out of time when it comes
	st.query(0, 0)
	st.check("no-replica")
}

func TestPartialAnswerAtTheSLOTime(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) {
		v := &s.Verticals[0]
		v.Floor, v.PartialEarns, v.LateUtility, s.SecondCopies, s.MayCancel = 0.5, 0.8, 0, false, false
	}))
	st.query(0, 0, 0)
	st.pass(100)
	st.end("q1.0#0", OK, nil)
	st.pass(1000)
	st.check("partial")
}

func TestSecondStep(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.Verticals[0].SecondStep = 1 }))
	q := st.query(0, 0)
	st.end("q1.0#0", OK, nil)
	p := &Part{Shard: 0, Weight: 1}
	st.names[p] = "q1.step"
	st.r.SecondStep(st.now, q, []*Part{p})
	st.pass(20)
	st.end("q1.step#0", OK, nil)
	st.query(0, 0)
	st.end("q2.0#0", OK, nil) // its second step never comes
	st.pass(3000)
	st.check("second-step")
}

// One server takes parts and answers none: its parts go elsewhere, it gets one trial after a while, and an
// answer that does come makes good.
func TestStalledLeafIsFoundOutAndTried(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	l := st.leafs[0]
	st.list(false, Draining, st.leafs[1])
	st.query(0, 0)
	st.list(false, Ready, st.leafs[1])
	st.pass(450)
	st.say("strikes of %s: %.0f", st.names[l], l.trust(0).strikes)
	st.end("q7.0#1", OK, nil)
	for range 4 {
		st.query(0, 0, 0)
		st.pass(60)
		st.answer(st.n, 2, nil)
	}
	st.end("q7.0#0", OK, nil)
	st.say("strikes of %s: %.0f", st.names[l], l.trust(0).strikes)
	st.query(0, 0, 0)
	st.check("stalled")
}

// When every server is slow none of them is to blame.
func TestSharedFailureCondemnsNone(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(2)
	st.query(0, 0, 0)
	st.end("q3.0#0", Failed, nil)
	st.end("q3.1#0", Failed, nil)
	st.query(0, 0, 0)
	st.check("shared-failure")
}

func TestOverloadTurnsAwayTheLeastUseful(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) {
		s.Verticals = append(s.Verticals, s.Verticals[0])
		s.Verticals[1].Utility = 9
	}))
	st.warm(16)
	for range 12 {
		st.query(0, 0)
		st.query(1, 0)
		st.pass(10)
	}
	st.check("overload")
}

// Incident 1: clients that leave long before the SLO time, and come again, cost work that answers nobody.
func TestImpatientClientsAreTurnedAway(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(16)
	st.set.Verticals[0].Deadline = 2000
	for range 5 {
		st.query(0, 0, 0)
	}
	st.check("impatient")
}

// A late answer earns little here: what could not be had by the SLO time is not asked for again.
func TestNothingIsBegunForALateAnswer(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(4)
	st.query(0, 0, 0)
	st.pass(90)
	st.end("q5.0#0", OK, nil)
	st.pass(920)
	st.end("q5.1#0", TimedOut, nil)
	st.end("q5.1#1", TimedOut, nil)
	st.check("late")
}

// A server seen at its worst reports no more, as it gets no more parts; it must not be shunned for ever.
func TestOldReportsFade(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(4)
	st.query(0, 0)
	st.query(0, 0)
	st.end("q5.0#0", OK, queued(9))
	st.end("q6.0#0", OK, queued(1))
	for range 4 {
		st.say("Q: %.1f and %.1f", st.r.queue(st.leafs[0]), st.r.queue(st.leafs[1]))
		st.pass(1000)
	}
	st.check("old-reports")
}

func TestListThatCannotBeReached(t *testing.T) {
	st := play(t, 1, plain(func(s *Settings) { s.AskForList = true }))
	for range 4 {
		st.say("list failed")
		st.r.ListFailed(st.now)
		st.pass(6000)
	}
	st.check("list-failed")
}

// Incident 6: a query that fails at once calls its other parts off; that must not look like speed.
func TestCutOffCallsAreNotQuickOnes(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(8)
	before := len(st.r.times)
	for range 4 {
		st.query(0, 0)
		st.pass(1)
		st.end(fmt.Sprintf("q%d.0#0", st.n), Cancelled, nil)
	}
	st.say("calls noted meanwhile: %d", len(st.r.times)-before)
	st.storm(12)
	st.check("cut-off")
}

// All replicas of the shard fail, those of others do not: its queries are turned away but for a trial now and
// then.
func TestShardOutOfReach(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.Cells, s.MaxCalls = 3, 1 }))
	for i, l := range st.leafs {
		l.cell = i
		st.r.List(st.now, []Entry{{Leaf: l, Cell: i, Condition: Ready}}, false, false)
	}
	st.query(0, 0)
	st.end("q1.0#0", Failed, nil)
	for range 3 {
		st.query(0, 0)
		st.pass(80)
	}
	st.check("shard-out-of-reach")
}

// Incident 7: after a storm of full queues nothing more is sent, so nothing new is learnt; the root must come
// back.
func TestPressureIsForgottenWhenNothingIsSent(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.MaxCalls = 1 }))
	st.warm(8)
	st.storm(6)
	st.out.Reset()
	for range 3 {
		st.say("pressure of %.0f ms, and nothing is sent", st.r.pressure()/10)
		st.pass(600)
	}
	st.query(0, 0)
	st.check("forgotten")
}

// A jam leaves a blind root with the belief that all calls are slow and all queues long. It turns everything away and so makes
// no call that could tell it better: beliefs that nothing tests fade to those of quiet times, and it lets a query in again.
func TestUntestedBeliefsFade(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.Roots = 300 }))
	st.warm(8)
	calm := st.r.pace
	jammed := 8 * calm
	st.r.pace, st.r.usual = jammed, 10*st.r.unit
	if q := st.query(0, 0, 0); q.state != rejected {
		t.Fatalf("in the jam the root lets a query in: pace %.0f, %.0f before", jammed, calm)
	}
	for range 6 { // while calls come back that found their leaves full it holds
		st.r.call(&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 9000, Deadline: st.now + 30000, state: merged}}, st.leafs[0])
		st.pass(int(st.r.horizon / Millisecond / 2))
		st.r.Outcome(st.now, st.leafs[0].out[0], Full, 2, false, nil)
	}
	if st.r.pace != jammed {
		t.Errorf("under calls that meet full leaves the pace fades from %.0f to %.0f", jammed, st.r.pace)
	}
	st.pass(int(6 * st.r.horizon / Millisecond))
	if q := st.query(0, 0, 0); q.state != gathering {
		t.Errorf("six horizons later the root still turns queries away: pace %.0f, %.0f in the jam, %.0f before", st.r.pace, jammed, calm)
	}
}

// Many calls fail at once: a leaf that is not known is no better a choice than the rest, but if it answers it is not expected to
// take longer for it.
func TestFailuresDoNotMakeTheFleetSlow(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.Roots = 300 }))
	st.warm(6)
	sound := st.leafs[2]
	sound.pace = tempo{}
	before := st.r.expected(sound)
	for range 10 {
		st.r.strike(st.leafs[0], mostStruck, &st.leafs[0].trusts[0])
	}
	if after := st.r.expected(sound); st.r.common < 1.5 || after > 1.01*before {
		t.Errorf("common tempo %.1f; a sound leaf was expected to take %.0f, now %.0f", st.r.common, before, after)
	}
}

// Incident 10: right after a start the least service time is next to nothing; that must not make all others
// look jammed. Incident 29: nor must the times of 0 that leaves report which have served nothing yet, or
// queries are turned away from a fleet that stands idle.
func TestServiceTimeIsHeldAgainstThePeers(t *testing.T) {
	for name, times := range map[string][]float64{"service-time": {0.1, 150, 100}, "nothing-served": {0, 0, 0, 40}} {
		t.Run(name, func(t *testing.T) {
			st := play(t, 3, plain(nil))
			st.query(0, make([]float64, len(times))...)
			st.pass(100)
			for i, ms := range times {
				rep := new(Report)
				rep.Set(ServiceTime, ms)
				st.end(fmt.Sprintf("q1.%d#0", i), OK, rep)
			}
			for _, l := range st.leafs {
				st.say("Q of %s: %.1f", st.names[l], st.r.queue(l))
			}
			st.check(name)
		})
	}
}

// zones puts every leaf but the first into another zone.
func (st *stage) zones() {
	for i, l := range st.leafs {
		st.r.List(st.now, []Entry{{Leaf: l, Zone: min(i, 1), Condition: Ready}}, false, false)
	}
}

// The way to a zone loses calls: that is the link's fault, no leaf's behind it, and parts stay near.
func TestLinkIsBlamedNotTheLeavesBehindIt(t *testing.T) {
	st := play(t, 5, plain(func(s *Settings) { s.Roots = 40 }))
	st.zones()
	st.warm(3)
	for range 6 {
		st.query(0, 0, 0, 0)
		for i := range 3 {
			name := fmt.Sprintf("q%d.%d#0", st.n, i)
			if st.calls[name].Leaf.zone == 1 {
				st.end(name, NoConnection, nil)
			} else {
				st.end(name, OK, nil)
			}
		}
	}
	st.out.Reset()
	for _, l := range st.leafs {
		st.say("%s: zone %d, strikes %.0f, the way there %.1f times as slow", st.names[l], l.zone,
			l.trust(0).strikes, st.r.way(l))
	}
	st.query(0, 0, 0)
	st.check("link")
}

// Where all leaves are in one zone there is no better link to hold it against: refused calls are their leaf's fault,
// however many there are, and a part does not spend all its calls on that leaf.
func TestOneZoneIsNeverAtFault(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.Roots = 100 }))
	st.warm(3)
	for range 30 { // evidence that would condemn the zone, were it held against none
		st.r.learnLink(st.leafs[1], mostSlow)
	}
	bad := st.leafs[0]
	st.query(0, 0, 0, 0, 0)
	for range 4 {
		for name, c := range st.calls {
			if c.Leaf == bad && !c.Ended() {
				st.end(name, NoConnection, nil)
				break
			}
		}
	}
	if way := st.r.way(bad); way != 1 || bad.trust(0).strikes == 0 {
		t.Errorf("the way there is %.1f times as slow, %.0f strikes; want 1 and some", way, bad.trust(0).strikes)
	}
	for name, c := range st.calls {
		if first := c.Part.calls[0]; first != c && first.Leaf == bad && c.Leaf == bad {
			t.Errorf("%s went to the leaf that had refused the part", name)
		}
	}
}

// A leaf fails one vertical: its answers to the other do not clear it, and the other does not lose it.
func TestLeafThatFailsOneVertical(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.Verticals = append(s.Verticals, s.Verticals[0]) }))
	st.warm(4)
	l := st.leafs[0]
	for v, o := range []Outcome{Failed, OK} {
		st.list(false, Draining, st.leafs[1])
		st.query(v, 0)
		st.list(false, Ready, st.leafs[1])
		st.pass(20)
		st.end(fmt.Sprintf("q%d.0#0", st.n), o, nil)
		st.say("%s is sound for vertical 0: %v, for vertical 1: %v", st.names[l], st.r.sound(l, 0), st.r.sound(l, 1))
	}
	st.check("one-vertical")
}

// A query of many parts of which a tenth is lost needs that many second copies at once, also of a root that sees little.
func TestCopiesFollowTheSizeOfAQuery(t *testing.T) {
	const parts = 40
	st := play(t, parts, plain(func(s *Settings) { s.Roots, s.Shards = 300, parts }))
	st.warm(8)
	st.pass(600000) // in which it has called each leaf but a few times
	st.query(0, make([]float64, parts)...)
	if blind := st.r.blind(); blind < 0.5 {
		t.Fatalf("the root is to see little: %.2f", blind)
	}
	lost := 0
	for i := range parts {
		if i%10 == 0 {
			lost++ // never answered
			continue
		}
		st.pass(1)
		st.end(fmt.Sprintf("q%d.%d#0", st.n, i), OK, nil)
	}
	st.pass(900)
	copies := 0
	for name := range st.calls {
		if strings.HasPrefix(name, fmt.Sprintf("q%d.", st.n)) && strings.HasSuffix(name, "#1") {
			copies++
		}
	}
	if copies < lost {
		t.Errorf("%d second copies for %d lost parts of %d", copies, lost, parts)
	}
}

// A leaf that was out of reach is probed when its time is up, before a part is risked on it; an answer lets parts go there again.
func TestSilentLeafIsProbedBeforeItIsTried(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.MayProbe, s.MaxCalls = true, 1 }))
	st.warm(6)
	bad := st.leafs[0]
	st.list(false, Draining, st.leafs[1])
	st.query(0, 0)
	st.list(false, Ready, st.leafs[1])
	st.pass(10)
	st.end(fmt.Sprintf("q%d.0#0", st.n), NoConnection, nil)
	st.out.Reset()
	st.pass(1000)
	if !bad.probing || st.r.shunned(bad, 0) == false {
		t.Fatalf("after 1 s: probe out %v, shunned %v", bad.probing, st.r.shunned(bad, 0))
	}
	st.r.Probed(st.now, bad, NoConnection, nil)
	st.pass(2000)
	if !bad.probing || bad.trust(0).strikes != 2 {
		t.Fatalf("after a probe that failed: the next out %v, %.0f strikes", bad.probing, bad.trust(0).strikes)
	}
	st.r.Probed(st.now, bad, OK, nil)
	if st.r.shunned(bad, 0) {
		t.Error("the leaf has answered a probe and is still left out")
	}
	st.check("silent")
}

// A report of a queue is forgotten as the queue drains, long before the horizon; and what is not known is thought to be as most
// leaves are, however long the queue of the few that jam.
func TestQueueIsForgottenAsItDrains(t *testing.T) {
	st := play(t, 10, plain(func(s *Settings) { s.Verticals[0].SLO, s.Verticals[0].Deadline = 100000, 300000 }))
	st.warm(6)
	l, r := st.leafs[0], st.r
	for range 20 {
		r.report(l, queued(3))
	}
	drained := Time(r.pace*(3+2)*r.unit) / Millisecond
	st.pass(int(3 * drained))
	if q := r.queue(l); q > r.usual+0.2*r.unit {
		t.Errorf("three times the %d ms in which it drains later a queue of 3 is still %.1f, the usual one being %.1f", drained, q, r.usual)
	}
	r.usual = 0
	for range 10 {
		for _, l := range st.leafs[1:] {
			r.report(l, queued(0))
		}
		r.report(l, queued(40))
	}
	if r.usual > r.unit {
		t.Errorf("one leaf in ten has a queue of 40, the others none: the usual queue is thought to be %.1f", r.usual)
	}
}

// A leaf that refused a connection may be a new process of which no list speaks yet: it gets one part a window at first, and more
// as the time goes by in which it would have become warm.
func TestLeafThatWasOutOfReachMayBeCold(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.Roots, s.SecondCopies = 100, false }))
	st.warm(40)
	l := st.leafs[0]
	in := func() (n int) {
		st.r.bears = 2 // what a warm leaf answers in a window
		for range 8 {
			if p := (&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 9000, Deadline: st.now + 30000, state: gathering}}); st.r.may(p, l) {
				st.r.call(p, l)
				n++
			}
		}
		for len(l.out) > 0 {
			st.r.Outcome(st.now, l.out[0], OK, 1, true, nil)
		}
		return n
	}
	before := in()
	st.pass(10)
	st.r.call(&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 9000, Deadline: st.now + 30000, state: merged}}, l)
	st.r.Outcome(st.now, l.out[0], Refused, 2, false, nil)
	st.pass(10)
	at, again := in(), in()
	st.pass(int(st.set.ColdTime / Millisecond / 2))
	half := in()
	st.pass(int(st.set.ColdTime/Millisecond/2) + 400)
	if warm := in(); before != 8 || at != 1 || again != 0 || half <= 1 || half >= 8 || warm != 8 {
		t.Errorf("of 8 parts it takes %d before, %d and %d at once after, %d at half of the cold time, %d after it; want 8, 1, 0, some, 8",
			before, at, again, half, warm)
	}
}

// A connection that never came up tells nothing of the leaf's process, however soon a call that waited for it ends: it is not taken
// for cold.
func TestNeverUpIsNoStart(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	l := st.leafs[0]
	for _, c := range []struct {
		took Time
		how  Outcome
		cold bool
	}{{2500, NoConnection, false}, {2, NoConnection, false}, {2, Refused, true}} {
		st.r.call(&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 5000, Deadline: st.now + 9000, state: merged}}, l)
		st.r.Outcome(st.now, l.out[0], c.how, c.took, false, nil)
		if cold := st.r.capacity(l) < 1; cold != c.cold {
			t.Errorf("outcome %d after %d: cold %v", c.how, c.took, cold)
		}
	}
}

// A failed connect to a leaf whose start was told opens no new books for it: what it was sent still counts, nor is it owed a part.
func TestToldStartKeepsItsBooks(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	l := st.leafs[0]
	st.restart(l)
	l.sent = []amount{{st.now, 1}}
	st.r.call(&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 5000, Deadline: st.now + 9000, state: merged}}, l)
	st.r.Outcome(st.now, l.out[0], Refused, 2, false, nil)
	if l.unreachedAt != 0 || len(l.sent) == 0 {
		t.Errorf("unreached at %d, %d entries left in the books of a start that was told", l.unreachedAt, len(l.sent))
	}
}

// The last of many parts is asked elsewhere at half of its time, long before its call is overdue, but not while much of the query is out.
func TestLastPartIsCopiedAtHalfOfItsTime(t *testing.T) {
	for in, want := range map[int]int{18: 2, 12: 0} {
		st := play(t, 20, plain(func(s *Settings) { s.Shards = 20 }))
		st.warm(8)
		st.r.dev = 2 * st.r.pace // overdue after 1.1 s
		st.query(0, make([]float64, 20)...)
		for i := range in {
			st.end(fmt.Sprintf("q%d.%d#0", st.n, i), OK, nil)
		}
		st.pass(550)
		copies := 0
		for name := range st.calls {
			if strings.HasPrefix(name, fmt.Sprintf("q%d.", st.n)) && strings.HasSuffix(name, "#1") {
				copies++
			}
		}
		if copies != want {
			t.Errorf("%d of 20 parts in: %d copies at half of the time, want %d", in, copies, want)
		}
	}
}

// A refused connection costs no time: three refusals must not make a leaf look slow, only distrusted.
func TestRefusalIsNoSlowness(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	l := st.leafs[0]
	for range 3 {
		st.r.call(&Part{query: &Query{v: &st.set.Verticals[0], slo: st.now + 5000, Deadline: st.now + 9000, state: merged}}, l)
		st.pass(1)
		st.r.Outcome(st.now, l.out[0], NoConnection, 2, false, nil)
	}
	if slow := st.r.expected(l) / st.r.pace; slow > 1.5 || l.trust(0).strikes != 3 {
		t.Errorf("refused three times: expected to be %.1f times as slow, %.0f strikes; want about 1, 3", slow, l.trust(0).strikes)
	}
}

// A root that stood still finds its due times before the answers that came meanwhile: no verdict until they are
// read, and nothing is learnt from times that hold the pause.
func TestPauseOfTheRootIsNoLeafsFault(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	pace := st.r.pace
	st.query(0, 0, 0)
	st.now += 900 * Millisecond
	st.say("stood still")
	st.r.Awake(st.now)
	st.answer(st.n, 2, nil)
	st.say("strikes %.0f and %.0f, pace as before: %v", st.leafs[0].trust(0).strikes, st.leafs[1].trust(0).strikes,
		pace == st.r.pace)
	st.check("pause")
}

// While many calls fail, a leaf that has answered is a better choice than one of which nothing is known; what
// nobody has reported is the usual queue, not an empty one.
func TestUnknownLeafIsNoBetterThanTheRest(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.MaxCalls = 1 }))
	a, b, c := st.leafs[0], st.leafs[1], st.leafs[2]
	for range 4 {
		for i, o := range []Outcome{OK, Failed} {
			st.list(false, Draining, a, b, c)
			st.list(false, Ready, st.leafs[i])
			st.query(0, 0)
			st.pass(50)
			if call := st.calls[fmt.Sprintf("q%d.0#0", st.n)]; call != nil {
				st.r.Outcome(st.now, call, o, 500, false, queued(3))
			}
		}
	}
	st.out.Reset()
	st.list(false, Ready, a, b, c)
	for _, l := range st.leafs {
		st.say("%s: slowness %.1f, Q %.1f", st.names[l], st.r.slowness(l, 0), st.r.queue(l))
	}
	st.check("unknown-leaf")
}

// The more calls are never answered, the sooner a call is held lost.
func TestOverdueSoonerWhileCallsAreLost(t *testing.T) {
	st := play(t, 2, plain(nil))
	st.warm(6)
	for range 4 {
		st.query(0, 0)
		st.pass(1100)
		if c := st.calls[fmt.Sprintf("q%d.0#0", st.n)]; !c.ended {
			st.end(fmt.Sprintf("q%d.0#0", st.n), TimedOut, nil)
		}
		st.say("lost %.2f, overdue after %.1f deviations", st.r.lost, st.r.lateBy())
	}
	st.check("lost")
}

// A hundred roots with little to send see a cold leaf start: together they send it a few calls in a window, not
// one each, and queries that have no other leaf are turned away at once.
func TestManyRootsAndOneColdLeaf(t *testing.T) {
	for seed, roots := range []int{1, 100} {
		sent, rejected := 0, 0
		for i := range roots {
			st := play(t, 2, plain(func(s *Settings) { s.Seed, s.Roots = uint64(1000*seed+i), roots }))
			for range 2 {
				st.query(0, 0)
				st.pass(50)
				st.answer(st.n, 1, nil)
			}
			st.pass(1000)
			st.list(false, Draining, st.leafs[1])
			st.restart(st.leafs[0])
			st.out.Reset()
			st.query(0, 0)
			sent += strings.Count(st.out.String(), "call q")
			rejected += strings.Count(st.out.String(), "reject q")
		}
		t.Logf("%d roots: %d calls, %d rejections", roots, sent, rejected)
		if roots == 1 && sent != 1 || roots > 1 && (sent == 0 || sent > roots/5) || sent+rejected != roots {
			t.Errorf("%d roots sent %d calls and turned %d queries away", roots, sent, rejected)
		}
	}
}

// Reports come with probes alone: a query asks the replicas it may go to, and waits a few ticks for them, but not
// for one that is silent.
func TestQueryProbesWhatItMayGoTo(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) { s.MayProbe, s.ProbeReports = true, true }))
	st.r.probes = 20
	st.query(0, 0, 0)
	st.pass(5)
	for i, n := range []float64{4, 0} {
		st.say("%s reports %.0f waiting", st.names[st.leafs[i]], n)
		st.r.Probed(st.now, st.leafs[i], OK, queued(n))
	}
	st.pass(40)
	st.check("probes")
}

// A part that leaves with another for the same leaf saves the overhead of a call.
func TestPartJoinsACallOfThisTurn(t *testing.T) {
	st := play(t, 2, plain(func(s *Settings) { s.Batch, s.Overhead = 2, 30 }))
	st.query(0, 10, 10, 10, 10)
	for _, l := range st.leafs {
		st.say("%s: D sent %.0f", st.names[l], l.own)
	}
	st.check("joined")
}

// A leaf whose reported service time is far over its peers' is slow, whatever its queue.
func TestSlowLeafIsKnownByItsReport(t *testing.T) {
	st := play(t, 3, plain(nil))
	for i, ms := range []float64{100, 120, 800} {
		rep := queued(0)
		rep.Set(ServiceTime, ms)
		st.r.Probed(st.now, st.leafs[i], OK, rep)
	}
	for _, l := range st.leafs {
		st.say("%s: tempo %.1f", st.names[l], st.r.tempo(l))
	}
	st.check("slow-report")
}

// Where copies are barred an unsent part takes the place of an overdue one at once; nothing is called off for it.
func TestUnsentPartTakesThePlaceOfAnOverdueOne(t *testing.T) {
	st := play(t, 3, plain(func(s *Settings) {
		noCopies(s)
		s.Verticals = append(s.Verticals, s.Verticals[0])
		s.Verticals[1].Need, s.Verticals[1].Floor = 0.5, 0.5
	}))
	st.warm(6)
	st.query(1, 1, 1, 2, 2)
	st.pass(50)
	st.end("q7.0#0", OK, nil)
	st.pass(400)
	st.check("unsent-part")
}

// Leaves are replaced a thousand times over: what is kept stays with those that are listed, what a warm leaf
// bears is learnt all the same, and one that comes back is known again.
func TestLeavesThatAreGoneAreForgotten(t *testing.T) {
	st := play(t, 3, plain(nil))
	for i := range 1000 {
		old, fresh := st.leafs[i%3], new(Leaf)
		st.leafs[i%3], st.names[fresh] = fresh, "a new leaf"
		st.list(false, Ready, fresh)
		st.list(false, Gone, old)
		st.query(0, 0, 0)
		st.pass(100)
		st.answer(st.n, 2, nil)
	}
	back := st.leafs[0]
	st.list(false, Gone, back)
	st.out.Reset()
	st.say("known %d, ready %d, holders %d; bears some work: %v", len(st.r.leaves), st.r.ready, len(st.r.holders[0]), st.r.bears > 0)
	st.list(false, Ready, back)
	st.say("known %d, ready %d, holders %d", len(st.r.leaves), st.r.ready, len(st.r.holders[0]))
	st.check("replaced")
}

// Calls that are lost with one connection come back in one turn: that is one failure of their leaf, not several.
func TestCallsLostTogetherAreOneFailure(t *testing.T) {
	st := play(t, 1, plain(nil))
	st.query(0, 0, 0, 0, 0)
	st.pass(10)
	for i := range 3 {
		st.end(fmt.Sprintf("q1.%d#0", i), Reset, nil)
	}
	st.out.Reset()
	st.say("strikes %.0f", st.leafs[0].trusts[0].strikes)
	st.pass(10)
	st.end("q1.3#0", Reset, nil)
	st.say("strikes %.0f", st.leafs[0].trusts[0].strikes)
	st.check("lost-together")
}

// What others found counts with its age: a younger report of one's own stands, what was sent since is added, and one that
// is older than the horizon is no news. No instance's word makes a leaf much worse than usual.
func TestHearsay(t *testing.T) {
	st := play(t, 3, plain(nil))
	st.warm(10)
	a, b, c := st.leafs[0], st.leafs[1], st.leafs[2]
	hear := func(l *Leaf, from int, o Outcome, rep *Report, age Time) {
		st.r.Heard(st.now, l, from, o, rep, age)
		st.say("seat %d has found %s %v %.1f ms ago: queue %.2f, slowness %.2f", from, st.names[l], o, float64(age)/10,
			st.r.queue(l), st.r.slowness(l, 0))
	}
	hear(a, 1, OK, queued(3), 50)
	hear(a, 1, OK, queued(2), 100)   // older than what is known
	hear(b, 1, OK, queued(1e9), 0)   // a lie, or a leaf in great trouble: some parts more than usual
	hear(b, 2, OK, queued(0), 0)     // of the same moment: no news
	hear(c, 1, OK, queued(1), 20000) // too old
	st.query(0, 0)
	st.pass(1)
	hear(c, 2, OK, queued(0), 500) // the call that is out was sent since
	st.end("q11.0#0", OK, queued(0))
	st.pass(10)
	hear(c, 1, TimedOut, nil, 0) // one instance's word
	hear(c, 1, TimedOut, nil, 0)
	hear(c, 2, Reset, nil, 0) // a second one's: it looks slower, and is not struck
	hear(c, 3, Reset, nil, 0)
	hear(c, 3, OK, queued(0), 0) // who has doubted it takes that back
	hear(c, 2, Reset, nil, 0)
	st.list(false, Gone, b)
	hear(b, 1, OK, queued(3), 0)
	st.query(0, 0)
	st.check("hearsay")
}

// An answer to a call of one's own outweighs what others say they saw before it.
func TestOwnAnswerOutweighsHearsay(t *testing.T) {
	st := play(t, 1, plain(nil))
	st.warm(10)
	l := st.leafs[0]
	before := st.r.slowness(l, 0)
	st.r.Heard(st.now, l, 1, TimedOut, nil, 500)
	st.r.Heard(st.now, l, 2, TimedOut, nil, 400)
	if after := st.r.slowness(l, 0); after != before {
		t.Errorf("slowness %v, was %v", after, before)
	}
}

// All roots hear of a leaf at once. None takes that while its own news is young, some do as that ages, and all do once it
// is old: so not all of them send to a leaf that looks idle at the same moment.
func TestHearsayIsTakenByFewAtOnce(t *testing.T) {
	taken := map[float64]int{}
	for seed := range uint64(40) {
		for _, age := range []float64{0.3, 0.75, 1.1} {
			st := play(t, 1, plain(func(s *Settings) { s.Seed = seed }))
			st.warm(10)
			l := st.leafs[0]
			st.r.report(l, queued(1))
			st.now += Time(float64(st.r.fresh()) * age)
			st.r.Heard(st.now, l, 1, OK, queued(0), 0)
			if l.reportAt == st.now {
				taken[age]++
			}
		}
	}
	if taken[0.3] != 0 || taken[0.75] < 10 || taken[0.75] > 30 || taken[1.1] != 40 {
		t.Errorf("taken of 40: %v", taken)
	}
}

// spread is a stage of two sets of two leaves, one shard each, that a root calls as rarely as one of hundreds does:
// queries with a silence before each, whose calls take so long at the first set, and 100 ms at the second.
func spread(t *testing.T, seed uint64, slow, silence int) *stage {
	st := play(t, 0, plain(func(s *Settings) { s.Seed, s.Shards, s.Cells, s.UtilityByWork = seed, 2, 2, true }))
	var es []Entry
	for i := range 4 {
		l := new(Leaf)
		st.names[l] = fmt.Sprintf("leaf %c", 'A'+i)
		es = append(es, Entry{Leaf: l, Cell: i / 2, Condition: Ready})
	}
	st.r.List(st.now, es, true, false)
	for range 60 {
		st.pass(silence)
		st.query(0, 0, 0)
		for _, end := range []string{"1#0", "0#0", "0#1"} { // a query may be turned away, a call be made again
			st.pass(map[string]int{"1#0": 100, "0#0": slow - 100}[end])
			if c := st.calls[fmt.Sprintf("q%d.%s", st.n, end)]; c != nil && !c.ended {
				st.end(fmt.Sprintf("q%d.%s", st.n, end), OK, nil)
			}
		}
	}
	st.out.Reset()
	return st
}

// A root is blind where jams come and go between two of its calls to a leaf.
func TestBlind(t *testing.T) {
	for _, c := range []struct {
		silence  int
		from, to float64
	}{{0, 0, 0}, {1500, 0.1, 0.7}, {60000, 0.95, 1}} {
		if b := spread(t, 1, 200, c.silence).r.blind(); b < c.from || b > c.to {
			t.Errorf("calls every %d ms: blind to %.2f, want %v to %v", c.silence, b, c.from, c.to)
		}
	}
}

// What three hundred roots do that each see little of a jam: queries that need the jammed set are turned away, those
// that do not are served, however long the last calls took; and a call that could not be back in time is not made, as
// the same call of every root is what keeps the set jammed. A root that sees its leaves often goes on as ever.
func TestBlindRootsKeepAwayFromAJam(t *testing.T) {
	const roots = 40
	tried := func(silence, shard int) (away, again int) {
		for seed := range roots {
			st := spread(t, uint64(seed+1), 900, silence)
			st.n++
			q, p := &Query{Deadline: st.now + 30000}, &Part{Shard: shard, Weight: 1}
			st.names[q], st.names[p] = "q", "p"
			if st.r.Take(st.now, q, []*Part{p}); q.Over() {
				away++
				continue
			}
			st.pass(500)
			st.end("p#0", Full, nil)
			again += len(p.calls) - 1
		}
		return away, again
	}
	for _, c := range []struct {
		name                  string
		silence, shard        int
		awayLeast, awayMost   int
		againLeast, againMost int
	}{
		{"jammed set, seen often", 0, 0, 0, 0, roots, roots},
		{"other set, seen often", 0, 1, 0, 0, roots, roots},
		{"jammed set, seen rarely", 60000, 0, roots / 3, roots, 0, 0},
		{"other set, seen rarely", 60000, 1, 0, 0, roots / 2, roots},
	} {
		if away, again := tried(c.silence, c.shard); away < c.awayLeast || away > c.awayMost || again < c.againLeast ||
			again > c.againMost {
			t.Errorf("%s: %d of %d turned away, %d asked again", c.name, away, roots, again)
		}
	}
}

// What a root sent to a leaf's new process before it was told of the start counts, and where it is told late it draws for no part
// in the window of which it knows nothing. With one root, that knows no share, a draw always says yes.
func TestSentBeforeToldCounts(t *testing.T) {
	for _, c := range []struct {
		sent     float64
		late     float64 // windows
		at, next bool    // may it take a part as it is told, and a window later?
	}{{0, 0, true, true}, {1, 0, false, true}, {0, 0.5, false, true}} {
		st := play(t, 2, plain(func(s *Settings) { s.Roots = 1 }))
		st.warm(6)
		l, start := st.leafs[0], st.now
		if l.sent = nil; c.sent > 0 {
			l.sent = []amount{{start, c.sent}}
		}
		st.pass(int(c.late*float64(st.set.FallTime/Millisecond)) + 1)
		st.r.List(st.now, []Entry{{Leaf: l, Zone: l.zone, Cell: l.cell, Condition: Ready, Started: start}}, false, false)
		st.r.bears = 0
		at := st.r.warmEnough(l, 1)
		st.r.enter(start + st.set.FallTime + 100)
		if next := st.r.warmEnough(l, 1); at != c.at || next != c.next {
			t.Errorf("%.0f sent, told %.1f windows late: takes a part %v and a window later %v; want %v, %v", c.sent, c.late, at, next, c.at, c.next)
		}
	}
}
