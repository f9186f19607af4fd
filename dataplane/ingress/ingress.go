// Package ingress takes clients' connections: it reads requests within the configuration's limits, hands each to the proxy, and
// notices clients that go. It answers the platform's question whether this router is ready.
package ingress

import (
	"bufio"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"moleshift/dataplane/admission"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/proxy"
	"moleshift/fault"
	"moleshift/internal/httphead"
	"moleshift/internal/sock"
)

const (
	writerSize   = 4 << 10
	bodyTime     = 10 * time.Second // for a body to come whole
	readyReadBuf = 1024
)

// Server serves clients.
type Server struct {
	proxy  *proxy.Proxy
	follow func() *follower.Snapshot
	ready  func() bool
	log    zerolog.Logger
	scarce zerolog.Logger // for what a flood of connections would tell too often

	drain  atomic.Pointer[admission.Drain] // nil: the process was not told to end
	ending atomic.Bool                     // no further request is read

	mu      sync.Mutex
	conns   map[net.Conn]*connection
	most    int  // connections that may be held
	closing int  // of conns: those that rested and were told to end
	expired bool // the time of the process is over: requests that come now are ended at once

	counts connectionCounts
}

// New makes a server that holds at most so many connections of clients; ready tells whether this node may take clients.
func New(p *proxy.Proxy, follow func() *follower.Snapshot, most int, ready func() bool, log zerolog.Logger) *Server {
	return &Server{
		proxy: p, follow: follow, ready: ready, most: most, conns: map[net.Conn]*connection{},
		log: log, scarce: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: scarceLogEvery}),
	}
}

// Serve takes clients until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if state := s.admit(c, time.Now()); state != nil {
			go s.serveConn(c, state)
		}
	}
}

// ServeReady answers GET /readyz until the listener is closed.
func (s *Server) ServeReady(l net.Listener) error {
	h := &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: readyReadBuf, WriteBufferSize: readyReadBuf, Logger: sock.Quiet{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if s.drain.Load() != nil || !s.ready() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	return h.Serve(l)
}

func (s *Server) serveConn(c net.Conn, state *connection) {
	defer c.Close()
	defer s.forget(c, state)
	stream := newStream(c, s.follow().Table.MaxHeader())
	for s.serveOne(stream, state) {
	}
}

// set notes what a connection is at.
func (s *Server) set(state *connection, active bool, e *proxy.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.active, state.exchange = active, e
	s.rests(state, !active)
	if e != nil && s.expired {
		e.Expire()
	}
}

// serveOne serves one request; false: the connection is to be closed. Deadlines are set for one exchange and cleared behind it.
func (s *Server) serveOne(c *stream, state *connection) bool {
	_ = c.SetReadDeadline(time.Now().Add(s.follow().Table.Idle()))
	// Looked at behind the deadline: whoever sets it ends the read that follows. What was read already, while the last answer was under
	// way, is answered: its client could not know that it was not taken.
	if (s.ending.Load() || s.givesWay(state)) && c.reader.Buffered() == 0 {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	s.set(state, true, nil)
	defer s.set(state, false, nil)
	arrived := time.Now()
	table := s.follow().Table // its limits hold for the whole request
	c.limitHead(table.MaxHeader())
	_ = c.SetReadDeadline(arrived.Add(table.HeadTime()))
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }() // fails only where the connection is closed already
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	e := &proxy.Exchange{Header: &req.Header, Arrived: arrived, Conn: c.Conn, Writer: c.writer}
	if err := readHead(&req.Header, c.reader); err != nil {
		return s.refuseHead(e, err)
	}
	_ = c.SetDeadline(time.Now().Add(bodyTime))
	if err := readBody(req, c.reader, c.writer, table.MaxBody()); err != nil {
		return s.refuseBody(e, err)
	}
	e.Body, e.Complete = req.Body(), time.Now()
	e.Closing = req.Header.ConnectionClose()
	if drain := s.drain.Load(); drain != nil {
		e.Closing, e.Drain = true, *drain
	}
	s.set(state, true, e)
	_ = c.SetReadDeadline(time.Time{})
	watched := watch(e, c.reader)
	s.serve(e)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-watched
	return !e.Closing && !e.Gone()
}

// serve has the request answered. A programming error ends this request alone: its connection is closed, which promises nothing.
func (s *Server) serve(e *proxy.Exchange) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error().Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("request failed by a programming error: report it")
			e.Closing = true
			e.ClientGone()
		}
	}()
	s.proxy.Serve(e)
}

// readHead reads the head of a request. One whose fields the parser would forgive is refused: servers may read it otherwise.
func readHead(h *fasthttp.RequestHeader, reader *bufio.Reader) error {
	if err := httphead.PeekRequest(reader); err != nil {
		return err
	}
	return h.Read(reader)
}

func readBody(req *fasthttp.Request, reader *bufio.Reader, writer *bufio.Writer, most int) error {
	if req.MayContinue() {
		if _, err := writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
	return req.ContinueReadBody(reader, most, false)
}

// watch notices a client that closes its connection while its request is worked on. The channel is closed when it has ended, after
// the connection's read deadline has passed.
func watch(e *proxy.Exchange, reader *bufio.Reader) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := reader.Peek(1) // the next request may come early: then nothing more is watched
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			e.ClientGone()
		}
	}()
	return done
}

// refuseHead answers a head that cannot be read, where there is anyone to answer.
func (s *Server) refuseHead(e *proxy.Exchange, err error) bool {
	e.Closing = true
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		s.proxy.Refuse(e, fault.TooLarge, "head of the request is over max-header-bytes")
	case errors.As(err, &timeout) && timeout.Timeout():
		s.proxy.Refuse(e, fault.SlowHead, "")
	case errors.As(err, &nothing):
	default:
		s.proxy.Refuse(e, fault.BadRequest, "")
	}
	return false
}

func (s *Server) refuseBody(e *proxy.Exchange, err error) bool {
	e.Closing = true
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		s.proxy.Refuse(e, fault.TooLarge, "body of the request is over max-body-bytes")
	} else {
		s.proxy.Refuse(e, fault.BadRequest, "body of the request did not come whole")
	}
	return false
}
