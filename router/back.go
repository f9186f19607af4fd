package router

// back.go owns connections to leaves that speak the form of OpenSearch: one call at a time, a request and its
// answer. It must never repeat a request, and never end a connection for a part that was given up while
// another part of the same call is waited for.

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	back "moleshift/back/opensearch"
	"moleshift/choice"
	"moleshift/codec"
	"moleshift/limits"
)

const mostAnswer = 16 // times a frame of the router's own protocol that an answer to a whole call may have

var (
	errGivenUp = errors.New("all that the call asked for was given up")
	errNoCall  = fault{errors.New("an answer came though nothing was asked")}
)

// flight is the request that is out on a connection.
type flight struct {
	frame  *frame
	parts  []codec.PartSent // as they were written
	gone   []string         // given up since
	answer []byte
	room   int // taken for it
	cut    bool
}

// writeSearches writes requests, each once the one before is answered.
func (c *leafConn) writeSearches(o *owner, conn net.Conn) error {
	w := codec.NewWriter(conn, leafRing)
	for {
		c.mu.Lock()
		over, busy := c.over, c.flight
		var f *frame
		if len(c.queue) > 0 && (busy == nil || c.queue[0].letter == codec.LetterGiveUp) {
			f, c.queue = c.queue[0], c.queue[1:]
		}
		c.mu.Unlock()
		switch {
		case over:
			return nil
		case f == nil:
			<-c.wake
			continue
		case f.letter == codec.LetterGiveUp:
			f.of = nil
			if c.givenUp(f.rest) {
				return errGivenUp
			}
			continue
		}
		if err := c.request(o, w, f); err != nil {
			return err
		}
	}
}

// givenUp notes that a part is no longer waited for, and tells whether that holds for all of its call.
func (c *leafConn) givenUp(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight == nil {
		return false
	}
	c.flight.gone = append(c.flight.gone, id)
	return len(c.flight.parts) > 0 &&
		!slices.ContainsFunc(
			c.flight.parts,
			func(p codec.PartSent) bool { return !slices.Contains(c.flight.gone, p.ID) },
		)
}

// request writes one request.
func (c *leafConn) request(o *owner, w *codec.Writer, f *frame) error {
	c.mu.Lock()
	never := f.dropCanceled(o.clk.now()-f.made > o.cfg.Settings.Module.Tick)
	defer c.tellNeverSent(o, never)
	if f.stage == dropped {
		c.mu.Unlock()
		return nil
	}
	f.wait(o.clk.now())
	f.stage, f.calls = given, nil
	parts := slices.Clone(f.parts)
	c.flight = &flight{frame: f, parts: parts}
	c.mu.Unlock()
	raw := back.AppendProbe(nil, c.address)
	if f.letter == 0 {
		var err error
		if raw, err = back.AppendCall(nil, c.address, parts); err != nil { // a text that no server of the form could read
			c.mu.Lock()
			c.flight = nil
			c.mu.Unlock()
			o.post(o.ctx, func(o *owner) {
				for _, p := range parts {
					c.answered(o, codec.Answer{ID: p.ID, Outcome: choice.Moot})
				}
			})
			return nil
		}
	}
	w.Write(raw)
	err := w.Flush()
	c.mu.Lock()
	if w.Taken == w.Given {
		f.stage = written
	}
	c.mu.Unlock()
	return err
}

// readSearches reads answers until the connection ends.
func (c *leafConn) readSearches(o *owner, conn net.Conn) error {
	ring, parser := codec.NewRing(leafRing), codec.Parser{Responses: true}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.flight != nil {
			o.gate.put(limits.Frames, c.flight.room)
			c.flight.room = 0
		}
	}()
	for {
		step, piece, err := parser.Next(ring)
		if err != nil {
			return fault{err}
		}
		switch step {
		case codec.More:
			if _, err := ring.Fill(conn); err != nil {
				return err
			}
		case codec.Begun: // an answer that is begun and does not end would hold up all that come behind
			conn.SetReadDeadline(time.Now().Add(o.cfg.Settings.Longest))
		case codec.Data:
			if err := c.piece(o, piece); err != nil {
				return err
			}
		case codec.Ended:
			conn.SetReadDeadline(time.Time{})
			if err := c.landed(o, &parser.Head); err != nil {
				return err
			}
			if parser.Head.Closes() {
				return errEnded
			}
		}
	}
}

// piece takes more of an answer, while there is room for it.
func (c *leafConn) piece(o *owner, piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flight
	switch {
	case f == nil:
		return errNoCall
	case len(f.answer)+len(piece) > mostAnswer*codec.MostFrame:
		return fault{errors.New("an answer is too long")}
	case f.cut:
		return nil
	}
	for f.room < len(f.answer)+len(piece) {
		if !o.gate.take(limits.Frames, bodyStep) {
			f.cut, f.answer = true, nil
			return nil
		}
		f.room += bodyStep
	}
	f.answer = append(f.answer, piece...)
	return nil
}

// landed takes a whole answer: each part of the call has an outcome of its own.
func (c *leafConn) landed(o *owner, h *codec.Head) error {
	c.mu.Lock()
	f := c.flight
	c.flight = nil
	c.mu.Unlock()
	if f == nil {
		return errNoCall
	}
	status := h.Status
	if f.frame.letter != 0 {
		outcome := choice.OK
		if status >= http.StatusInternalServerError {
			outcome = choice.Failed
		}
		o.post(o.ctx, func(o *owner) {
			c.probeAnswered(o, outcome, nil)
			o.gate.put(limits.Frames, f.room)
		})
		poke(c.wake)
		return nil
	}
	answers := back.ParseAnswer(status, f.answer, f.parts)
	if f.cut { // it has run, and there was no room for what it said
		for i := range answers {
			answers[i].Outcome = choice.Cancelled
		}
	}
	o.post(o.ctx, func(o *owner) {
		for _, a := range answers {
			c.answered(o, a)
		}
		o.gate.put(limits.Frames, f.room)
	})
	poke(c.wake)
	return nil
}
