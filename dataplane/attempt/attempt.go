// Package attempt is the state machine of one request: what its attempts came to, whether another may follow, and which answer is
// allowed. It alone knows when a request may have run.
//
// It is pure: the proxy tells it the outcome of each attempt and does what it says.
package attempt

import "moleshift/fault"

// Outcome is what became of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	NotSent    Outcome = iota // no byte of the request left this process
	TurnedAway                // the server says that it has not run the request: Moleshift-Not-Executed, or 421
	Failed                    // a whole answer with a failure of the server's own: it counts as run
	Unpromised                // the same, with a status that would promise the client that it has not run
	Broken                    // sent, and then a reset, a close, silence or bytes that are no answer
	Done                      // a whole answer with success
)

// String gives the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"not sent", "turned away", "failed", "unpromised", "broken", "done"}[o]
}

// IsFailure tells whether the outcome is a whole answer with a failure of the server's own.
func (o Outcome) IsFailure() bool { return o == Failed || o == Unpromised }

// Action is what to do next.
type Action int

// The actions.
const (
	Again  Action = iota // another attempt, at another server where there is one
	Resume               // another attempt that goes on after the last event passed on
	Pass                 // pass the server's answer on
	Answer               // an answer of our own, of the kind given
	Cut                  // end the answer that has begun, so that it does not look complete
	Stay                 // the attempt that runs goes on: no other one took its place
)

// String gives the action's name in logs.
func (a Action) String() string {
	return [...]string{"again", "resume", "pass", "answer", "cut", "stay"}[a]
}

// maxTurns bounds the attempts that came to nothing, so that a request does not go round for ever.
const maxTurns = 6

// Request is the state of one request.
type Request struct {
	Repeatable  bool // it may run more than once
	MaxAttempts int  // servers on which it may run

	runs   int  // attempts that may have run
	turns  int  // attempts in all
	passed bool // the head of an answer has been passed on
	pinned bool // what was passed on ends where no other attempt could go on
}

// MayHaveRun tells whether some attempt may have run. Until then, and only then, a promise that it has not is true.
func (r *Request) MayHaveRun() bool { return r.runs > 0 }

// MayMove tells whether another attempt may be made beside the one that runs, to take its place at another server.
func (r *Request) MayMove() bool {
	return r.repeatable() && r.runs+1 < max(r.MaxAttempts, 1) && r.turns+1 < maxTurns
}

// TakenOver notes that a further attempt has begun to answer in the place of the one that ran, which is ended.
func (r *Request) TakenOver() {
	r.turns++
	r.runs++
}

// NotTakenOver notes a further attempt that was to take the place of the one that runs, and did not: that one goes on.
func (r *Request) NotTakenOver(o Outcome) {
	r.turns++
	if mayHaveRun(o) {
		r.runs++
	}
}

// mayHaveRun tells whether a server may have run the request in an attempt with that outcome.
func mayHaveRun(o Outcome) bool { return o != NotSent && o != TurnedAway }

// Pin notes whether the answer passed on so far ends where no other attempt could go on: then the request must not run again.
func (r *Request) Pin(pinned bool) { r.pinned = pinned }

func (r *Request) repeatable() bool { return r.Repeatable && !r.pinned }

// HeadPassed notes that the client has got the head of an answer.
func (r *Request) HeadPassed() { r.passed = true }

// Room is what the world allows: whether time, another server and the retry budget are there for one more attempt.
type Room struct {
	Time, Server, Budget bool
}

// Next takes the outcome of an attempt and says what to do. The kind goes with Answer.
func (r *Request) Next(o Outcome, room Room) (Action, fault.Kind) {
	r.turns++
	if mayHaveRun(o) {
		r.runs++
	}
	switch o {
	case Done:
		return Pass, fault.None
	case Failed, Unpromised:
		if r.repeatable() && !r.passed && r.mayRunAgain(room) {
			return Again, fault.None
		}
		if r.passed {
			return Cut, fault.None
		}
		if o == Unpromised && !r.Repeatable {
			return Answer, fault.Uncertain
		}
		return Pass, fault.None
	case Broken:
		if r.repeatable() && r.mayRunAgain(room) {
			return r.again()
		}
	default:
		if r.turns < maxTurns && !r.pinned && room.Time && room.Server && (o == NotSent || room.Budget) {
			return r.again()
		}
	}
	return r.End(room, o)
}

func (r *Request) again() (Action, fault.Kind) {
	if r.passed {
		return Resume, fault.None
	}
	return Again, fault.None
}

func (r *Request) mayRunAgain(room Room) bool {
	return r.runs < max(r.MaxAttempts, 1) && r.turns < maxTurns && room.Time && room.Server && room.Budget
}

// End is how a request ends that gets no further attempt.
func (r *Request) End(room Room, last Outcome) (Action, fault.Kind) {
	switch {
	case r.passed:
		return Cut, fault.None
	case !room.Time && r.MayHaveRun():
		return Answer, fault.TimedOut
	case !room.Time:
		return Answer, fault.TimedOutIdle
	case r.MayHaveRun():
		return Answer, fault.Uncertain
	case last == TurnedAway:
		return Answer, fault.Overloaded
	}
	return Answer, fault.NoServer
}
