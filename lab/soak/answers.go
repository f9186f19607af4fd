package soak

// What the stand-in servers answer to requests that run.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	eventEvery = 40 * time.Millisecond
	batchWork  = 60 * time.Millisecond
)

// answer sends the answer to a request that runs, or what the server's faults make of it.
func (s *modelServer) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, version int64, run *execution) {
	broken := s.faults.drawBreak()
	if broken == beforeAnswer {
		run.breakOff()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Moleshift-Response-Stamp", s.id)
	if head := s.faults.drawBrokenHead(); head != nil {
		s.answerBroken(ctx, w, r, id, version, run, head)
		return
	}
	if s.service != modelService {
		s.answerWhole(ctx, w, id, run, broken)
		return
	}
	if framing := s.faults.drawFraming(); framing != inChunks && broken == noBreak {
		s.streamUnframed(ctx, w, r, id, version, run, framing)
		return
	}
	s.streamEvents(ctx, w, r, id, version, run, broken)
}

// answerWhole works on a request and sends the answer in one.
func (s *modelServer) answerWhole(ctx context.Context, w http.ResponseWriter, id string, run *execution, broken breakPoint) {
	pause(ctx, batchWork)
	if s.isClosed() {
		run.breakOff()
		panic(http.ErrAbortHandler)
	}
	if s.software.bad && s.faults.drawBad() {
		s.writeStatus(w, id, http.StatusInternalServerError)
		return
	}
	if status, failed := s.faults.drawFailure(); failed {
		s.writeStatus(w, id, status)
		return
	}
	s.noteSent(w, id, http.StatusOK)
	answer := answerTo(id)
	if broken == withinAnswer {
		run.breakOff()
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		writeNow(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	writeNow(w, answer)
}

// writeStatus sends an answer that is no success and has no body.
func (s *modelServer) writeStatus(w http.ResponseWriter, id string, status int) {
	s.noteSent(w, id, status)
	w.WriteHeader(status)
}

// writeNow sends what is written at once.
func writeNow(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text) // a caller that has left is noticed by the context
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// streamEvents sends the events of a request from the one behind Last-Event-Id on.
func (s *modelServer) streamEvents(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, version int64, run *execution, broken breakPoint) {
	first, last := eventsOf(r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", strconv.FormatInt(version, 10))
	s.noteSent(w, id, http.StatusOK)
	for n := first; n <= last; n++ {
		if n > first && !pause(ctx, eventEvery) {
			panic(http.ErrAbortHandler) // the connection is cut, so that the answer does not look complete
		}
		if broken == withinAnswer && n > (first-1+last)/2 {
			run.breakOff()
			writeNow(w, fmt.Sprintf("id: %d\nda", n)) // in the middle of an event
			panic(http.ErrAbortHandler)
		}
		writeNow(w, eventText(id, n))
	}
}

// streamUnframed sends the events of a request without a length: the stream ends with its connection.
func (s *modelServer) streamUnframed(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, version int64, run *execution, framing framing) {
	first, last := eventsOf(r)
	fields := append(fieldsOf(w.Header()), streamFields(version)...)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	s.history.addSent(Sent{ID: id, Status: http.StatusOK, Fields: fields})
	fmt.Fprintf(conn, "%s\r\n%s\r\n\r\n", soundStatusLine, strings.Join(fields, "\r\n"))
	for n := first; n <= last; n++ {
		if n > first && !pause(ctx, eventEvery) || framing == unframedReset && n > (first-1+last)/2 {
			run.breakOff()
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(conn, eventText(id, n)); err != nil {
			return // its caller has left
		}
	}
}

// pause waits; false: the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
