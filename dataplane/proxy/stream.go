package proxy

// A stream on its way from a server to its client, and its takeover by another server.

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"moleshift/dataplane/admission"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/outlier"
)

const (
	streamBuffer = 4 << 10
	silentGaps   = 4           // a stream without an event for so many of the route's longest pauses is taken over elsewhere, where it may be
	tryAgain     = time.Second // between two tries to have a stream taken over
)

// stream is a stream that is being passed on.
type stream struct {
	to         *routed
	reply      *reply
	events     eventBuffer
	nextTry    time.Time // no takeover is tried before
	silentFrom time.Time // nothing came since
	begun      bool      // something has come from this server: it has read the prompt
}

// relay passes a stream on, whole events only, as they come. It returns the server at which it ended. Done: it ended as it should.
//
// A stream that another server should take over stays at its own until the other one has begun its answer: nothing but the server,
// the client, the deadline and the end of this process breaks a stream off.
func (p *Proxy) relay(r *request, to *routed, a *reply) (*routed, attempt.Outcome) {
	s := &stream{to: to, reply: a, silentFrom: time.Now()}
	piece := make([]byte, streamBuffer)
	for {
		if r.started && p.mustMove(r, s) {
			p.takeOver(r, s, admission.Move)
		}
		p.boundSilence(r, s)
		n, err := s.reply.stream.Read(piece)
		if n > 0 {
			p.pieceCame(r, s)
			if !p.passPiece(r, s, piece[:n]) {
				p.endAttempt(r, s.to, s.reply.conn, false)
				return s.to, attempt.Broken
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !s.brokeOff():
			return s.to, p.endStream(r, s)
		case isTimeout(err) && !r.Gone() && !r.over(r.deadline):
			p.takeOver(r, s, admission.Rescue)
		default:
			r.lastError = err
			p.noteMalformed(r, s.to, err)
			return s.to, p.failAttempt(r, s.to, s.reply)
		}
	}
}

// brokeOff tells whether a stream that ended lacks something: one that ends with its connection has no other end than a whole event.
func (s *stream) brokeOff() bool {
	return s.reply.stream.framing == framedByClose && len(s.events.pending) > 0
}

// pieceCame notes a sign of life of the stream's server, and with the first one that it has read the prompt.
func (p *Proxy) pieceCame(r *request, s *stream) {
	s.silentFrom = time.Now()
	p.byteCame(s.to.target)
	if !s.begun {
		s.begun = true
		p.promptRead(r, s.to)
	}
}

// passPiece takes bytes of a stream and gives the client the events that are whole by now; false: the client does not take them.
func (p *Proxy) passPiece(r *request, s *stream, piece []byte) bool {
	s.events.pending = append(s.events.pending, piece...)
	whole := s.events.whole()
	p.noteEvents(s.to, bytes.Count(whole, []byte("\n\n")))
	if whole != nil && !p.passEvents(r, s, whole) {
		return false
	}
	if s.events.lastID != "" {
		r.lastID = s.events.lastID
	}
	r.state.Pin(s.events.unnumbered)
	return true
}

// endStream passes on what is left at the proper end of a stream, and the end.
func (p *Proxy) endStream(r *request, s *stream) attempt.Outcome {
	if len(s.events.pending) > 0 || !r.started {
		if !p.passEvents(r, s, s.events.pending) {
			p.endAttempt(r, s.to, s.reply.conn, false)
			return attempt.Broken
		}
	}
	if r.byClose {
		r.resetOnClose(false)
	} else {
		p.write(r, []byte("0\r\n\r\n"))
	}
	a := s.reply
	reusable := !a.odd && a.stream.framing != framedByClose && !a.header.ConnectionClose() && a.conn.reader.Buffered() == 0
	p.endAttempt(r, s.to, a.conn, reusable)
	return attempt.Done
}

// mustMove tells whether a stream should be taken over by another server because its own is about to load new weights, and waits for
// its runs to end before that.
func (p *Proxy) mustMove(r *request, s *stream) bool {
	if !r.state.MayMove() || len(s.events.pending) > 0 || time.Now().Before(s.nextTry) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.to.target.instance.Loading || p.mustLeave(r, s.to.target)
}

// takeOver tries to have a stream taken over by another server behind the last event passed on. The server that has it is left only
// once the other one has begun its answer; until then the stream can go on where it is.
func (p *Proxy) takeOver(r *request, s *stream, purpose admission.Purpose) {
	s.nextTry = time.Now().Add(tryAgain)
	if !r.state.MayMove() {
		return
	}
	to := p.choose(r)
	if to == nil || !p.isGood(to.target) || !p.spend(r, purpose) {
		return
	}
	r.tried[to.target.id] = true
	r.attempts = append(r.attempts, to)
	a, outcome := p.send(r, to)
	if outcome == attempt.Done {
		outcome = p.checkTakeover(r, s, to, a)
	}
	to.outcome = outcome
	if outcome != attempt.Done {
		p.learn(r, to, a, outcome)
		p.noteAnswer(r, to, outcome)
		r.state.NotTakenOver(outcome)
		p.logOutcome(r, to, outcome, attempt.Stay)
		return
	}
	r.state.TakenOver()
	p.noteAnswer(r, s.to, attempt.NotSent) // it was left: that says nothing of its server
	p.logOutcome(r, s.to, outcome, attempt.Resume)
	p.endAttempt(r, s.to, s.reply.conn, false)
	if purpose == admission.Rescue {
		p.broke(s.to.target)
	}
	*s = stream{to: to, reply: a, nextTry: s.nextTry, silentFrom: time.Now()}
}

// checkTakeover ends an answer that cannot go on the client's: a whole one, or one that ends with its connection where that of the
// server that has the stream has an end of its own, so that a break would show.
func (p *Proxy) checkTakeover(r *request, s *stream, to *routed, a *reply) attempt.Outcome {
	if a.stream == nil {
		return attempt.Failed
	}
	if a.stream.framing == framedByClose && s.reply.stream.framing != framedByClose {
		p.endAttempt(r, to, a.conn, false)
		return attempt.Failed
	}
	return attempt.Done
}

// spend draws on the retry budget for one more attempt, where there is room for it.
func (p *Proxy) spend(r *request, purpose admission.Purpose) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(r.service.Name).Spend(p.now(), p.placer.Routers(), purpose)
}

// isGood tells whether nothing speaks against a server.
func (p *Proxy) isGood(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standing(t, p.now()) == outlier.Good
}

// boundSilence bounds the wait for the next piece of a stream: by the request's deadline, and where it may be taken over, by the
// silence after which that is tried.
func (p *Proxy) boundSilence(r *request, s *stream) {
	limit := r.deadline
	if r.state.MayMove() {
		silence := max(leastHang, time.Duration(silentGaps*r.route.GapAimMs*float64(time.Millisecond)))
		next := s.silentFrom.Add(silence)
		if next.Before(s.nextTry) {
			next = s.nextTry
		}
		if next.Before(limit) {
			limit = next
		}
	}
	r.limitServer(s.reply.conn.SetReadDeadline, limit)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// passEvents gives the client events, with the head before the first.
func (p *Proxy) passEvents(r *request, s *stream, events []byte) bool {
	var b []byte
	if !r.started {
		b = r.beginStream(s.reply)
	}
	if r.byClose {
		b = append(b, events...)
	} else if len(events) > 0 {
		b = strconv.AppendInt(b, int64(len(events)), 16)
		b = append(b, "\r\n"...)
		b = append(b, events...)
		b = append(b, "\r\n"...)
	}
	return p.write(r, b)
}

// beginStream gives the head of a stream. It goes in chunks however the server frames it, so that no break looks like its end. A client
// that knows no chunks has the end told by its connection: that is reset wherever the answer ends too early.
func (r *request) beginStream(a *reply) []byte {
	b := answerHead(&a.header)
	if r.Header.IsHTTP11() {
		b = appendHeader(b, "Transfer-Encoding", "chunked")
	} else {
		r.byClose, r.Closing = true, true
		r.resetOnClose(true)
	}
	if r.Closing {
		b = appendHeader(b, "Connection", "close")
	}
	r.started = true
	r.state.HeadPassed()
	return append(b, "\r\n"...)
}
