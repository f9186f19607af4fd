package ingress

import (
	"time"

	"moleshift/dataplane/admission"
)

const (
	drainLeast   = 2500 * time.Millisecond // the platform has noticed by then that this router is not ready
	drainCheck   = 50 * time.Millisecond
	lastAnswers  = 150 * time.Millisecond // for the answers to requests that are ended with the process
	answersCheck = 5 * time.Millisecond
)

// Drain tells the platform to send no more clients and serves those that are there and that still come, as far as their requests
// may be over in time (admission.Drain). It returns when nothing is left to answer and released is closed, or when the grace is
// almost over: then what is not answered is ended. No connection is closed with a request on it that was read and not answered.
func (s *Server) Drain(grace time.Duration, released <-chan struct{}) {
	began := time.Now()
	drain := admission.NewDrain(began, grace)
	s.drain.Store(&drain)
	for time.Now().Before(drain.Ends()) {
		if time.Since(began) >= min(drainLeast, grace/2) && isClosed(released) && s.active() == 0 {
			break
		}
		time.Sleep(drainCheck)
	}
	s.stopReading()
	s.awaitClosed(drain.Ends()) // what was read just before is answered
	s.expire()
	s.awaitClosed(time.Now().Add(lastAnswers))
}

// awaitClosed returns when no connection is left, or at the given moment.
func (s *Server) awaitClosed(until time.Time) {
	for s.open() > 0 && time.Now().Before(until) {
		time.Sleep(answersCheck)
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// active counts the connections with a request that is being read or answered.
func (s *Server) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, state := range s.conns {
		if state.active {
			n++
		}
	}
	return n
}

// stopReading closes the connections without a request: what crosses that is not read, and its client knows that it was not.
func (s *Server) stopReading() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if !state.active {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only where the connection is closed already
		}
	}
}

// expire ends the requests that are still being answered, and those that are read from now on.
func (s *Server) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	for _, state := range s.conns {
		if state.exchange != nil {
			state.exchange.Expire()
		}
	}
}

// CloseIdle closes all connections of clients. It is for the end, after Drain.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
