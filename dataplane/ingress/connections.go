package ingress

// How many connections of clients are held, and which give way.

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"moleshift/dataplane/proxy"
)

// scarceLogEvery is between two lines of the log about connections that give way or are refused.
const scarceLogEvery = time.Second

// connection is what is known of a client's connection. The server's lock guards it.
type connection struct {
	active   bool            // a request is being read or answered
	exchange *proxy.Exchange // the request that is being answered, once it was read
	since    time.Time       // it rests since, where it is not active
	closing  bool            // it rested, and was told to end
}

// connectionCounts counts what became of connections where too many came.
type connectionCounts struct {
	closed, refused atomic.Uint64
}

// admit takes a client's connection. Where too many are held, the one that has rested for longest gives way; where none rests, the new one is
// refused: it is reset, so that its client knows that nothing of it was read. nil: refused.
func (s *Server) admit(c net.Conn, now time.Time) *connection {
	s.mu.Lock()
	full := len(s.conns)-s.closing >= s.most
	if full && !s.closeLongestIdle() {
		s.mu.Unlock()
		s.counts.refused.Add(1)
		s.scarce.Warn().Int("most", s.most).Msg("connection of a client refused: all that may be held are in use; add nodes, or raise limits.max-fds")
		resetClient(c)
		return nil
	}
	state := &connection{since: now}
	s.conns[c] = state
	s.mu.Unlock()
	if full {
		s.counts.closed.Add(1)
		s.scarce.Warn().Int("most", s.most).Msg("resting connections of clients are closed for new ones: add nodes, or raise limits.max-fds")
	}
	return state
}

// closeLongestIdle ends the connection that has rested for longest; false: none rests. The lock is held.
func (s *Server) closeLongestIdle() bool {
	var longest net.Conn
	var since time.Time
	for c, state := range s.conns {
		if !state.active && !state.closing && (longest == nil || state.since.Before(since)) {
			longest, since = c, state.since
		}
	}
	if longest == nil {
		return false
	}
	s.conns[longest].closing = true
	s.closing++
	_ = longest.SetReadDeadline(time.Unix(1, 0)) // fails only where it is closed already
	return true
}

// givesWay tells whether a connection was told to end for a new one.
func (s *Server) givesWay(state *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state.closing
}

// rests notes that a connection rests from now on, or that a request has come on it: then it does not give way. The lock is held.
func (s *Server) rests(state *connection, resting bool) {
	if resting {
		state.since = time.Now()
	} else if state.closing {
		state.closing = false
		s.closing--
	}
}

// forget drops a connection that ends.
func (s *Server) forget(c net.Conn, state *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if state.closing {
		s.closing--
	}
}

// resetClient closes a connection so that its client is told at once.
func resetClient(c net.Conn) {
	if lingers, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingers.SetLinger(0) // fails only where it is closed already
	}
	c.Close()
}

// WriteMetrics writes the figures of clients' connections as text, in the form of Prometheus.
func (s *Server) WriteMetrics(w io.Writer) {
	metrics.WriteGaugeUint64(w, "moleshift_client_connections", uint64(s.open()))
	metrics.WriteGaugeUint64(w, "moleshift_client_connections_most", uint64(s.most))
	metrics.WriteCounterUint64(w, "moleshift_client_connections_closed_idle_total", s.counts.closed.Load())
	metrics.WriteCounterUint64(w, "moleshift_client_connections_refused_total", s.counts.refused.Load())
}
