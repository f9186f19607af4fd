package proxy

// What this router's promises rest on: a client that gets one is told that its request has not run and never will.

import (
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"moleshift/dataplane/attempt"
	"moleshift/fault"
)

// promiseGround is what a promise given to a client rests on.
type promiseGround int

// The grounds of a promise, from the surest to the least sure.
const (
	neverSent     promiseGround = iota // no byte of the request left this process
	wordWithID                         // each server that it was sent to said that it has not run it, in an answer with its id
	wordWithoutID                      // the same, but one of the answers had no id: it was the first on a connection of its own
	passedStatus                       // a server's own status that promises, with nothing else that says that it has not run
	promiseGrounds
)

// String gives the ground's name in logs and metrics.
func (g promiseGround) String() string {
	return [...]string{"never sent", "servers' word with the id", "servers' word without an id", "status of a server passed on"}[g]
}

// unsentCause is why no byte of an attempt left this process.
type unsentCause string

// The causes of an attempt that was not sent.
const (
	noConnection unsentCause = "no connection came up, or this router's share of them is used up"
	endedBefore  unsentCause = "the request was ended, or may not go to the server any more"
	nothingTaken unsentCause = "the connection took no byte"
)

// serverWord is the answer that an attempt ended with, as far as promises rest on it.
type serverWord struct {
	status  int
	id      string // that the answer carried; empty: none
	kept    bool   // the connection had carried other requests
	message int    // which message on the connection it was, from 1 on
}

// wordOf notes what a promise could rest on of the answer whose head was read last.
func wordOf(a *reply) serverWord {
	return serverWord{
		status: a.header.StatusCode(), id: string(a.header.Peek(headerRequestID)), kept: a.conn.kept(), message: a.conn.heads,
	}
}

// MarshalZerologObject writes what an attempt came to as the ground of a promise.
func (to *routed) MarshalZerologObject(event *zerolog.Event) {
	event.Str("instance", to.target.id).Stringer("outcome", to.outcome)
	if to.outcome == attempt.NotSent {
		event.Str("cause", string(to.unsent))
		return
	}
	event.Int("status", to.word.status).Str("answered", to.word.id).Bool("kept-connection", to.word.kept).Int("message", to.word.message)
}

// groundOf tells what a promise rests on, by the attempts that went before it. passed: it is the last server's status, passed on.
func groundOf(attempts []*routed, passed bool) promiseGround {
	if passed {
		return passedStatus
	}
	ground := neverSent
	for _, to := range attempts {
		switch {
		case to.outcome == attempt.NotSent:
		case to.word.id == "":
			ground = max(ground, wordWithoutID)
		default:
			ground = max(ground, wordWithID)
		}
	}
	return ground
}

// promises tells whether a status promises the client that its request has not run.
func promises(status int) bool {
	for _, kind := range fault.Kinds() {
		if answer := kind.Answer(); answer.Promise && answer.Status == status {
			return true
		}
	}
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusMisdirectedRequest
}

// notePromise counts a promise by its ground, and tells it where the request must not run twice: by its id, with each attempt that was
// made. r is nil where the request was refused before its route was known.
func (p *Proxy) notePromise(e *Exchange, r *request, status int, passed bool) {
	if !promises(status) {
		return
	}
	var attempts []*routed
	if r != nil {
		attempts = r.attempts
	}
	ground := groundOf(attempts, passed)
	p.promised[ground].Add(1)
	if r != nil && r.state.Repeatable {
		return
	}
	event := p.log.Info().Bytes("request", e.Header.Peek(headerRequestID)).Int("status", status).Stringer("ground", ground)
	if r != nil {
		event = event.Str("route", r.route.Name)
	}
	list := zerolog.Arr()
	for _, to := range attempts {
		list.Object(to)
	}
	event.Array("attempts", list).Msg("promised that the request has not run")
}
