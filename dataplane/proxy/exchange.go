package proxy

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/dataplane/attempt"
)

const (
	maxSurplus  = 2                // surplus answers that are skipped before the request's own
	maxBuffered = 8 << 20          // of an answer that is not a stream, in bytes
	clientWrite = 10 * time.Second // how long a client may take nothing
)

// reply is a server's answer as far as it has been read.
type reply struct {
	header   fasthttp.ResponseHeader
	body     []byte      // whole, where the answer is no stream
	stream   *bodyReader // where it is one
	conn     *serverConn
	odd      bool  // the connection must not be used again
	holdsTwo bool  // another answer begins within the head that was read last
	err      error // that ended the reading of the head
}

// send writes the request to a server and reads the answer: its head, and its body unless that is a stream.
func (p *Proxy) send(r *request, to *routed) (*reply, attempt.Outcome) {
	t := to.target
	c := p.connect(t, p.connLimit(r), r.deadline)
	if c == nil {
		to.unsent = noConnection
		return nil, attempt.NotSent
	}
	if !r.addServer(c) || r.over(r.deadline) || !p.maySend(r) || !p.sent(r, to) {
		r.removeServer(c)
		p.closeConn(t, c)
		to.unsent = endedBefore
		return nil, attempt.NotSent
	}
	now := time.Now()
	r.limitServer(c.SetDeadline, p.headLimit(r, to, now))
	p.logSent(r, to)
	message := r.message(to, r.deadline.Sub(now))
	if n, err := c.Write(message); err != nil {
		p.endAttempt(r, to, c, false)
		if n == 0 {
			to.unsent = nothingTaken
			return nil, attempt.NotSent
		}
		p.broke(t)
		return nil, attempt.Broken
	}
	a := &reply{conn: c}
	if outcome := p.readAnswer(r, to, a); outcome != attempt.Done {
		return a, outcome
	}
	return a, attempt.Done
}

// readAnswer reads the head of the request's own answer, past surplus ones to earlier requests, and the body where it is no stream.
func (p *Proxy) readAnswer(r *request, to *routed, a *reply) attempt.Outcome {
	if !p.readOwnHead(r, to, a) {
		to.gaveUp = isTimeout(a.err)
		return p.failAttempt(r, to, a)
	}
	p.byteCame(to.target)
	body := newBodyReader(a.conn.reader, &a.header)
	status := a.header.StatusCode()
	if isStream(r, &a.header) {
		a.stream = body
		r.limitServer(a.conn.SetDeadline, r.deadline)
		return attempt.Done
	}
	var err error
	if a.body, err = io.ReadAll(io.LimitReader(body, maxBuffered)); err != nil || !body.ended {
		p.noteMalformed(r, to, err)
		return p.failAttempt(r, to, a)
	}
	reusable := !a.odd && body.framing != framedByClose && !a.header.ConnectionClose() && a.conn.reader.Buffered() == 0
	p.endAttempt(r, to, a.conn, reusable)
	return classify(status, &a.header)
}

// readOwnHead reads heads until that of the request's own answer; false: none came that is known to be its own. An answer that is
// passed over leaves the connection unfit for another request.
func (p *Proxy) readOwnHead(r *request, to *routed, a *reply) bool {
	bounded := false
	for range maxSurplus + 1 {
		if a.err = p.readHead(a); a.err != nil {
			p.noteMalformed(r, to, a.err)
			return false
		}
		to.word = wordOf(a)
		owner := ownerOf(&a.header, r.id, a.conn.kept(), a.holdsTwo)
		if owner == ownRequest {
			if bounded {
				r.limitServer(a.conn.SetReadDeadline, r.deadline)
			}
			a.odd = len(a.header.Peek(headerRequestID)) == 0 || a.odd
			return true
		}
		a.odd = true
		p.unmatched[owner].Add(1)
		p.logUnmatched(r, a, owner)
		if !mayPrecedeOwn(r, a, owner) {
			return false
		}
		if owner == unknownRequest {
			bounded = true
			r.limitServer(a.conn.SetReadDeadline, r.firstByteLimit(time.Now()))
		}
		surplus := newBodyReader(a.conn.reader, &a.header)
		if _, err := io.Copy(io.Discard, io.LimitReader(surplus, maxBuffered)); err != nil || !surplus.ended {
			return false
		}
	}
	return false
}

// mayPrecedeOwn tells whether the request's own answer is waited for behind one with the given owner. One without an id may have been the
// own one: then none follows, so it is waited for on a connection that has carried other requests only, and only where no other attempt
// could be made instead.
func mayPrecedeOwn(r *request, a *reply, owner answerOwner) bool {
	return owner == earlierRequest || owner == unknownRequest && a.conn.kept() && !r.state.MayMove()
}

// isStream tells whether an answer is passed on event by event.
func isStream(r *request, h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(h.ContentType(), []byte("text/event-stream"))
}

// classify tells what a whole answer means.
func classify(status int, h *fasthttp.ResponseHeader) attempt.Outcome {
	switch {
	case turnsAway(h):
		return attempt.TurnedAway
	case promises(status):
		return attempt.Unpromised
	case status >= 500:
		return attempt.Failed
	}
	return attempt.Done
}

// failAttempt ends an attempt that broke after it was sent.
func (p *Proxy) failAttempt(r *request, to *routed, a *reply) attempt.Outcome {
	p.endAttempt(r, to, a.conn, false)
	if !r.Gone() {
		p.broke(to.target)
	}
	return attempt.Broken
}

// endAttempt takes the request off the server's books and keeps or closes the connection.
func (p *Proxy) endAttempt(r *request, to *routed, c *serverConn, reusable bool) {
	if !r.removeServer(c) {
		reusable = false
	}
	p.ended(to)
	if reusable {
		p.keepConn(to.target, c)
	} else {
		p.closeConn(to.target, c)
	}
}

// pass gives the client a whole answer of a server, status and body as they came.
func (p *Proxy) pass(r *request, a *reply) {
	b := answerHead(&a.header)
	b = appendHeader(b, "Content-Length", strconv.Itoa(len(a.body)))
	if r.Closing {
		b = appendHeader(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	b = append(b, a.body...)
	p.write(r, b)
}

// write gives the client bytes at once; false: the client does not take them.
func (p *Proxy) write(r *request, b []byte) bool {
	_ = r.Conn.SetWriteDeadline(time.Now().Add(clientWrite))
	_, err := r.Writer.Write(b)
	if err == nil {
		err = r.Writer.Flush()
	}
	if err != nil {
		r.Closing = true
		r.ClientGone()
	}
	return err == nil
}
