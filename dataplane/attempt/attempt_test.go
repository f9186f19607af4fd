package attempt

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/fault"
)

var all = Room{Time: true, Server: true, Budget: true}

// The table of a request's states: what one more outcome leads to.
func TestTable(t *testing.T) {
	fresh := Request{MaxAttempts: 1}
	once := Request{MaxAttempts: 2, Repeatable: true}
	ran := Request{MaxAttempts: 2, Repeatable: true, runs: 1, turns: 1}
	spent := Request{MaxAttempts: 2, Repeatable: true, runs: 1, turns: 1, passed: true}
	streaming := Request{MaxAttempts: 2, Repeatable: true, passed: true}
	unsafeStream := Request{MaxAttempts: 1, passed: true}
	pinned := Request{MaxAttempts: 2, Repeatable: true, passed: true, pinned: true}
	tired := Request{MaxAttempts: 2, Repeatable: true, turns: maxTurns - 1}
	no := func(r Room, what string) Room {
		switch what {
		case "time":
			r.Time = false
		case "server":
			r.Server = false
		case "budget":
			r.Budget = false
		}
		return r
	}
	for _, row := range []struct {
		name    string
		request Request
		outcome Outcome
		room    Room
		action  Action
		kind    fault.Kind
	}{
		{"served", fresh, Done, all, Pass, fault.None},
		{"not sent: another server", fresh, NotSent, all, Again, fault.None},
		{"not sent needs no budget", fresh, NotSent, no(all, "budget"), Again, fault.None},
		{"not sent, no server left", fresh, NotSent, no(all, "server"), Answer, fault.NoServer},
		{"not sent, no time left", fresh, NotSent, no(all, "time"), Answer, fault.TimedOutIdle},
		{"not sent too often", tired, NotSent, all, Answer, fault.NoServer},
		{"turned away: another server", fresh, TurnedAway, all, Again, fault.None},
		{"turned away, no budget", fresh, TurnedAway, no(all, "budget"), Answer, fault.Overloaded},
		{"turned away, no server left", fresh, TurnedAway, no(all, "server"), Answer, fault.Overloaded},
		{"turned away after it may have run", ran, TurnedAway, no(all, "server"), Answer, fault.Uncertain},
		{"own failure, not repeatable", fresh, Failed, all, Pass, fault.None},
		{"own failure, repeatable", once, Failed, all, Again, fault.None},
		{"own failure, no budget", once, Failed, no(all, "budget"), Pass, fault.None},
		{"own failure on the last attempt", ran, Failed, all, Pass, fault.None},
		{"own failure within a stream", spent, Failed, all, Cut, fault.None},
		{"a status that promises, not repeatable", fresh, Unpromised, all, Answer, fault.Uncertain},
		{"a status that promises, repeatable", once, Unpromised, all, Again, fault.None},
		{"a status that promises, repeatable, no server left", once, Unpromised, no(all, "server"), Pass, fault.None},
		{"a status that promises, within a stream", spent, Unpromised, all, Cut, fault.None},
		{"broken, not repeatable", fresh, Broken, all, Answer, fault.Uncertain},
		{"broken, no time", fresh, Broken, no(all, "time"), Answer, fault.TimedOut},
		{"broken, repeatable", once, Broken, all, Again, fault.None},
		{"broken, no budget", once, Broken, no(all, "budget"), Answer, fault.Uncertain},
		{"broken on the last attempt", ran, Broken, all, Answer, fault.Uncertain},
		{"stream broken, not resumable", unsafeStream, Broken, all, Cut, fault.None},
		{"stream broken, resumable", streaming, Broken, all, Resume, fault.None},
		{"stream broken on the last attempt", spent, Broken, all, Cut, fault.None},
		{"stream broken, no time", streaming, Broken, no(all, "time"), Cut, fault.None},
		{"stream taken up, turned away", spent, TurnedAway, all, Resume, fault.None},
		{"stream taken up, no connection", spent, NotSent, all, Resume, fault.None},
		{"stream broken behind an event without an id", pinned, Broken, all, Cut, fault.None},
	} {
		t.Run(row.name, func(t *testing.T) {
			request := row.request
			action, kind := request.Next(row.outcome, row.room)
			must.Eq(t, row.action, action)
			must.Eq(t, row.kind, kind)
		})
	}
}

// Another attempt beside the one that runs needs a request that may run once more; where it comes to nothing, the one that runs goes
// on, and only an attempt that may have run counts.
func TestTakeover(t *testing.T) {
	may := Request{MaxAttempts: 2, Repeatable: true, passed: true}
	must.True(t, may.MayMove())
	pinned := may
	pinned.Pin(true)
	must.False(t, pinned.MayMove(), must.Sprint("behind an event without an id"))
	must.False(t, (&Request{MaxAttempts: 2, passed: true}).MayMove(), must.Sprint("not repeatable"))
	must.False(t, (&Request{MaxAttempts: 1, Repeatable: true}).MayMove())

	over := may
	over.TakenOver()
	must.False(t, over.MayMove(), must.Sprint("it runs on its second server"))
	action, _ := over.Next(Broken, all)
	must.Eq(t, Cut, action)

	for outcome, again := range map[Outcome]bool{NotSent: true, TurnedAway: true, Failed: false, Broken: false} {
		stays := may
		stays.NotTakenOver(outcome)
		must.Eq(t, again, stays.MayMove(), must.Sprint(outcome))
		action, _ := stays.Next(Done, all)
		must.Eq(t, Pass, action, must.Sprint("the one that ran goes on"))
	}
	tried := may
	for tried.MayMove() {
		tried.NotTakenOver(TurnedAway)
	}
	must.Eq(t, maxTurns-1, tried.turns)
}

// Whatever happens: a promise is given only where no attempt may have run, a request runs on as many servers as it may, and one that
// is not repeatable runs once.
func TestPromisesAndRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxAttempts: rapid.IntRange(0, 3).Draw(t, "most")}
		runs := 0
		for turn := 0; ; turn++ {
			if turn > maxTurns {
				t.Fatal("goes round for ever")
			}
			o := Outcome(rapid.IntRange(int(NotSent), int(Done)).Draw(t, "outcome"))
			for r.MayMove() && rapid.Bool().Draw(t, "another beside it") {
				switch beside := Outcome(rapid.IntRange(int(NotSent), int(Done)).Draw(t, "outcome beside it")); beside {
				case Done:
					r.TakenOver()
					runs++
				default:
					r.NotTakenOver(beside)
					if mayHaveRun(beside) {
						runs++
					}
				}
			}
			if o != NotSent && o != TurnedAway {
				runs++
			}
			room := Room{rapid.Bool().Draw(t, "time"), rapid.Bool().Draw(t, "server"), rapid.Bool().Draw(t, "budget")}
			action, kind := r.Next(o, room)
			if runs > max(r.MaxAttempts, 1) || (!r.Repeatable && runs > 1) {
				t.Fatalf("%d runs of %+v", runs, r)
			}
			if action == Answer && kind.Answer().Promise && runs > 0 {
				t.Fatalf("kind %d promises after %d runs", kind, runs)
			}
			if action == Pass && o == Unpromised && !r.Repeatable {
				t.Fatal("a promise that nobody gave is passed on")
			}
			if action != Again && action != Resume {
				return
			}
			if action == Resume != r.passed {
				t.Fatal("taken up is just what has begun")
			}
			if rapid.Bool().Draw(t, "head") {
				r.HeadPassed()
			}
		}
	})
}
