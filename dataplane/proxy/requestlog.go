package proxy

// One line of JSON for each step of a request, on at the level debug; an answer that is cut is told at the level info. A request is
// followed by its id through routers, attempts and servers.

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"moleshift/dataplane/attempt"
	"moleshift/fault"
	"moleshift/internal/httphead"
)

// step begins the line of a step of a request; nil where the level is off, at the cost of one comparison.
func (p *Proxy) step(r *request) *zerolog.Event {
	event := p.log.Debug()
	if event == nil {
		return nil
	}
	return event.Str("request", r.id).Str("route", r.route.Name).Int64("config", r.snapshot.Table.Version)
}

// logSent tells that a request goes to a server.
func (p *Proxy) logSent(r *request, to *routed) {
	if event := p.step(r); event != nil {
		event.Str("instance", to.target.id).Int64("weights", to.Version).Int64("named", p.follow().Namings.Newest(r.model)).
			Str("after-event", r.lastID).Str("reason", string(to.Reason)).Str("source", to.Source).Str("salt", to.Salt).
			Str("prompt", to.Prompt.Last).Float64("shared-tokens", to.Prompt.Shared).Float64("kept-tokens", to.Prompt.Kept).
			Float64("fetched-tokens", to.Moves).Float64("work-tokens", to.Size).Bool("saved", to.Save != "").Msg("request sent")
	}
}

// logUnmatched tells of an answer that was not taken for the request's own.
func (p *Proxy) logUnmatched(r *request, a *reply, owner answerOwner) {
	if event := p.step(r); event != nil {
		event.Stringer("owner", owner).Bytes("answered", a.header.Peek(headerRequestID)).Int("status", a.header.StatusCode()).
			Bool("turns-away", turnsAway(&a.header)).Bool("kept-connection", a.conn.kept()).Msg("answer not matched")
	}
}

// noteMalformed counts and tells of bytes in the place of an answer that are none; other errors are no matter of its own.
func (p *Proxy) noteMalformed(r *request, to *routed, err error) {
	var malformed *httphead.Error
	if !errors.As(err, &malformed) {
		return
	}
	p.malformed.Add(1)
	if event := p.step(r); event != nil {
		event.Str("instance", to.target.id).Str("reason", malformed.Reason).Msg("server sent bytes that are no answer: look at the server")
	}
}

// logOutcome tells what became of an attempt, and what follows from that.
func (p *Proxy) logOutcome(r *request, to *routed, outcome attempt.Outcome, action attempt.Action) {
	if event := p.step(r); event != nil {
		if to != nil {
			event = event.Str("instance", to.target.id)
		}
		event.Stringer("outcome", outcome).Stringer("action", action).Bool("started", r.started).Msg("attempt ended")
	}
}

// logEnd tells how a request ended.
func (p *Proxy) logEnd(r *request, action attempt.Action, kind fault.Kind) {
	if action == attempt.Cut && !r.Gone() {
		p.log.Info().Str("request", r.id).Str("route", r.route.Name).Str("instance", r.lastInstance).Str("last-event", r.lastID).
			Stringer("last-outcome", r.lastOutcome).Str("cause", string(r.cutCause(time.Now()))).AnErr("last-error", r.lastError).
			Dur("after-ms", time.Since(r.Arrived)).Msg("answer cut")
		return
	}
	if event := p.step(r); event != nil {
		event.Stringer("action", action).Int("status", kind.Answer().Status).Msg("request ended")
	}
}

// cutCause is why an answer that had begun was cut.
type cutCause string

// The causes of a cut.
const (
	cutByEnd      cutCause = "end of the process"
	cutByDeadline cutCause = "deadline of the client or timeout of the route"
	cutByServer   cutCause = "server broke off"
	cutUnplaced   cutCause = "no server to go on at"
)

// cutCause tells why the answer that had begun is cut now.
func (r *request) cutCause(now time.Time) cutCause {
	switch {
	case r.isExpired():
		return cutByEnd
	case !now.Before(r.deadline):
		return cutByDeadline
	case r.lastOutcome == attempt.Broken || r.lastOutcome.IsFailure():
		return cutByServer
	}
	return cutUnplaced
}
