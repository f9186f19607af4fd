package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/dataplane/attempt"
)

const (
	maxSurplus   = 2       // surplus answers that are skipped before the request's own
	maxBuffered  = 8 << 20 // of an answer that is not a stream, in bytes
	streamBuffer = 4 << 10
	silentGaps   = 4                // a stream without an event for so many of the route's longest pauses is taken up elsewhere, where it may be
	clientWrite  = 10 * time.Second // how long a client may take nothing
)

// reply is a server's answer as far as it has been read.
type reply struct {
	header fasthttp.ResponseHeader
	body   []byte      // whole, where the answer is no stream
	stream *bodyReader // where it is one
	conn   *serverConn
	odd    bool // the connection must not be used again
}

// send writes the request to a server and reads the answer: its head, and its body unless that is a stream.
func (p *Proxy) send(r *request, to *routed) (*reply, attempt.Outcome) {
	t := to.target
	c := p.connect(t, p.connLimit(r), r.deadline)
	if c == nil {
		return nil, attempt.NotSent
	}
	if !r.setServer(c) || r.over(r.deadline) || !p.maySend(r) {
		r.setServer(nil)
		p.closeConn(t, c)
		return nil, attempt.NotSent
	}
	now := time.Now()
	r.limitServer(c.SetDeadline, r.hangLimit(now))
	p.sent(r, to)
	p.logSent(r, to)
	message := r.message(to, r.deadline.Sub(now))
	if n, err := c.Write(message); err != nil {
		p.endAttempt(r, to, c, false)
		if n == 0 {
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

// readAnswer reads the head, skipping surplus answers to earlier requests, and the body where it is no stream.
func (p *Proxy) readAnswer(r *request, to *routed, a *reply) attempt.Outcome {
	for skipped := 0; ; skipped++ {
		if err := p.readHead(a); err != nil || skipped > maxSurplus {
			return p.failAttempt(r, to, a)
		}
		if string(a.header.Peek(headerRequestID)) == r.id {
			break
		}
		a.odd = true
		if a.header.StatusCode() == fasthttp.StatusMisdirectedRequest || len(a.header.Peek(headerNotExecuted)) > 0 {
			break // turned away before the request was looked at: there is no id in such an answer
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(newBodyReader(a.conn.reader, &a.header), maxBuffered)); err != nil {
			return p.failAttempt(r, to, a)
		}
	}
	p.byteCame(to.target, &a.header)
	body := newBodyReader(a.conn.reader, &a.header)
	status := a.header.StatusCode()
	if isStream(r, &a.header) {
		a.stream = body
		r.limitServer(a.conn.SetDeadline, r.deadline)
		return attempt.Done
	}
	var err error
	if a.body, err = io.ReadAll(io.LimitReader(body, maxBuffered)); err != nil || !body.ended && body.framing != framedByClose {
		return p.failAttempt(r, to, a)
	}
	reusable := !a.odd && body.framing != framedByClose && !a.header.ConnectionClose() && a.conn.reader.Buffered() == 0
	p.endAttempt(r, to, a.conn, reusable)
	return classify(status, &a.header)
}

// isStream tells whether an answer is passed on event by event.
func isStream(r *request, h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusOK && bytes.HasPrefix(h.ContentType(), []byte("text/event-stream"))
}

// classify tells what a whole answer means.
func classify(status int, h *fasthttp.ResponseHeader) attempt.Outcome {
	switch {
	case len(h.Peek(headerNotExecuted)) > 0, status == fasthttp.StatusMisdirectedRequest:
		return attempt.TurnedAway
	case status >= 500:
		return attempt.Failed
	}
	return attempt.Done
}

// readHead reads the head of an answer, past those that only tell to go on.
func (p *Proxy) readHead(a *reply) error {
	for {
		a.header.Reset()
		a.header.SetNoDefaultContentType(true)
		if err := a.header.Read(a.conn.reader); err != nil {
			return err
		}
		if a.header.StatusCode() >= 200 {
			break
		}
	}
	if s := a.header.Peek("Keep-Alive"); len(s) > 0 {
		if d, ok := keepAlive(string(s)); ok {
			a.conn.keep = d
		}
	}
	return nil
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
	if !r.setServer(nil) {
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

// relay passes a stream on, whole events only, as they come. Done: it has ended as it should.
func (p *Proxy) relay(r *request, to *routed, a *reply) attempt.Outcome {
	var events eventBuffer
	piece := make([]byte, streamBuffer)
	byClose := a.stream.framing == framedByClose
	for {
		if r.started && p.mustMove(r, to) {
			p.endAttempt(r, to, a.conn, false)
			return attempt.Moved
		}
		p.boundSilence(r, a)
		n, err := a.stream.Read(piece)
		if n > 0 {
			p.byteCame(to.target, nil)
			events.pending = append(events.pending, piece[:n]...)
			if whole := events.whole(); whole != nil && !p.passEvents(r, to, a, whole) {
				p.endAttempt(r, to, a.conn, false)
				return attempt.Broken
			}
			if events.lastID != "" {
				r.lastID = events.lastID
			}
			r.state.Pin(events.unnumbered)
		}
		if errors.Is(err, io.EOF) && (!byClose || !r.started || r.byClose) {
			break
		}
		if err != nil { // among them a close that cannot be told from a break, in an answer that has an end of its own
			return p.failAttempt(r, to, a)
		}
	}
	if len(events.pending) > 0 || !r.started {
		if !p.passEvents(r, to, a, events.pending) {
			p.endAttempt(r, to, a.conn, false)
			return attempt.Broken
		}
	}
	if !r.byClose {
		p.write(r, []byte("0\r\n\r\n"))
	}
	reusable := !a.odd && !byClose && !a.header.ConnectionClose() && a.conn.reader.Buffered() == 0
	p.endAttempt(r, to, a.conn, reusable)
	return attempt.Done
}

// mustMove tells whether a stream is to be taken up at another server because its own is about to load new weights, and waits for
// its runs to end before that.
func (p *Proxy) mustMove(r *request, to *routed) bool {
	if !r.state.MayMove() {
		return false
	}
	p.mu.Lock()
	loading := to.target.instance.Loading
	p.mu.Unlock()
	return loading && p.room(r, attempt.Moved).Budget
}

// boundSilence bounds the wait for the next piece of a stream that may be taken up elsewhere.
func (p *Proxy) boundSilence(r *request, a *reply) {
	if !r.state.MayMove() {
		return
	}
	silence := max(leastHang, time.Duration(silentGaps*r.route.GapAimMs*float64(time.Millisecond)))
	if limit := time.Now().Add(silence); limit.Before(r.deadline) {
		r.limitServer(a.conn.SetReadDeadline, limit)
	}
}

// passEvents gives the client events, with the head before the first.
func (p *Proxy) passEvents(r *request, to *routed, a *reply, events []byte) bool {
	var b []byte
	if !r.started {
		b = answerHead(&a.header)
		if a.stream.framing == framedByClose {
			r.byClose, r.Closing = true, true
		} else {
			b = appendHeader(b, "Transfer-Encoding", "chunked")
		}
		if r.Closing {
			b = appendHeader(b, "Connection", "close")
		}
		b = append(b, "\r\n"...)
		r.started = true
		r.state.HeadPassed()
		p.promptRead(r, to)
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
