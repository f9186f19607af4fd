package explore

import (
	"errors"
	"fmt"

	"moleshift/dataplane/attempt"
	"moleshift/fault"
)

// ResetIsNotSent is a fault: a connection that is reset after the request was sent is taken for one that never came up.
const ResetIsNotSent Fault = "takes a reset for a request that was not sent"

// attemptWorld is one request over everything that a connection can bring.
type attemptWorld struct {
	fault    Fault
	request  attempt.Request
	runs     int // servers on which it may have run
	ended    bool
	passed   bool
	unlisted bool // events without ids were passed on
	err      error
}

// NewAttempt makes the world of a request.
func NewAttempt(repeatable bool, most int, f Fault) World {
	return &attemptWorld{fault: f, request: attempt.Request{Repeatable: repeatable, MaxAttempts: most}}
}

// Key prints the state.
func (w *attemptWorld) Key() string { return fmt.Sprintf("%+v", *w) }

// Check gives what was broken.
func (w *attemptWorld) Check() error { return w.err }

var outcomes = []struct {
	name    string
	outcome attempt.Outcome
	mayRun  bool
}{
	{"no connection comes up", attempt.NotSent, false},
	{"the server turns it away", attempt.TurnedAway, false},
	{"the server answers with a failure", attempt.Failed, true},
	{"the connection is reset after the request", attempt.Broken, true},
	{"the answer comes whole", attempt.Done, true},
}

// Moves lists what the next attempt can come to.
func (w *attemptWorld) Moves() []Move {
	if w.ended {
		return nil
	}
	var moves []Move
	if !w.passed {
		moves = append(moves, Move{"the head and the first events are passed on", func() World {
			c := *w
			c.passed = true
			c.request.HeadPassed()
			return &c
		}})
	}
	for pinned := range 2 {
		if w.passed && (pinned == 1) != w.unlisted {
			moves = append(moves, Move{fmt.Sprintf("events pass, without ids: %v", pinned == 1), func() World {
				c := *w
				c.unlisted = pinned == 1
				c.request.Pin(c.unlisted)
				return &c
			}})
		}
	}
	if w.passed && w.request.MayMove() {
		moves = append(moves, w.takeovers()...)
	}
	for _, o := range outcomes {
		for bits := range 8 {
			room := attempt.Room{Time: bits&1 > 0, Server: bits&2 > 0, Budget: bits&4 > 0}
			moves = append(moves, Move{fmt.Sprintf("%s (time %v, server %v, budget %v)", o.name, room.Time, room.Server, room.Budget), func() World {
				return w.after(o.outcome, o.mayRun, room)
			}})
		}
	}
	return moves
}

// takeovers lists what an attempt beside the one that runs can come to.
func (w *attemptWorld) takeovers() []Move {
	var moves []Move
	for _, o := range outcomes {
		moves = append(moves, Move{"beside the stream that runs: " + o.name, func() World {
			c := *w
			if o.mayRun {
				c.runs++
			}
			if c.unlisted {
				c.err = errors.New("a stream is taken over behind an event without an id")
			}
			if o.outcome == attempt.Done {
				c.request.TakenOver()
			} else {
				c.request.NotTakenOver(o.outcome)
			}
			return &c
		}})
	}
	return moves
}

func (w *attemptWorld) after(o attempt.Outcome, mayRun bool, room attempt.Room) World {
	c := *w
	if mayRun {
		c.runs++
	}
	told := o
	if o == attempt.Broken && c.fault == ResetIsNotSent {
		told = attempt.NotSent
	}
	action, kind := c.request.Next(told, room)
	c.ended = action != attempt.Again && action != attempt.Resume
	switch {
	case c.runs > max(c.request.MaxAttempts, 1):
		c.err = errors.New("a request runs on more servers than it may")
	case !c.ended && c.runs > 0 && !c.request.Repeatable:
		c.err = errors.New("a request that may not run twice is tried again")
	case action == attempt.Resume && c.unlisted:
		c.err = errors.New("a stream goes on behind an event without an id")
	case action == attempt.Answer && kind.Answer().Promise && c.runs > 0:
		c.err = fmt.Errorf("%d promises that the request has not run", kind.Answer().Status)
	case c.ended && c.passed && (action == attempt.Answer || (action == attempt.Pass && o != attempt.Done)):
		c.err = errors.New("an answer follows one that has begun")
	case action == attempt.Answer && kind == fault.None:
		c.err = errors.New("an answer of no kind")
	}
	return &c
}
