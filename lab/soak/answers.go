package soak

// What the stand-in servers answer to requests that run.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if status, failed := s.faults.drawFailure(); failed {
		w.WriteHeader(status)
		return
	}
	answer := "answer to " + id
	if broken == withinAnswer {
		run.breakOff()
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		writeNow(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	writeNow(w, answer)
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
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", strconv.FormatInt(version, 10))
	for n := last + 1; n <= events; n++ {
		if n > last+1 && !pause(ctx, eventEvery) {
			panic(http.ErrAbortHandler) // the connection is cut, so that the answer does not look complete
		}
		if broken == withinAnswer && n > (last+events)/2 {
			run.breakOff()
			writeNow(w, fmt.Sprintf("id: %d\nda", n)) // in the middle of an event
			panic(http.ErrAbortHandler)
		}
		writeNow(w, fmt.Sprintf("id: %d\ndata: %s\n\n", n, id))
	}
}

// streamUnframed sends the events of a request without a length: the stream ends with its connection.
func (s *modelServer) streamUnframed(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, version int64, run *execution, framing framing) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: %s\r\nContent-Type: text/event-stream\r\nVersions: %d\r\n\r\n", id, s.id, version)
	for n := last + 1; n <= events; n++ {
		if n > last+1 && !pause(ctx, eventEvery) || framing == unframedReset && n > (last+events)/2 {
			run.breakOff()
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", n, id); err != nil {
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
