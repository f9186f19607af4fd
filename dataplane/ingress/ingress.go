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

	"moleshift/dataplane/follower"
	"moleshift/dataplane/proxy"
	"moleshift/fault"
	"moleshift/internal/sock"
)

const (
	writerSize   = 4 << 10
	bodyTime     = 10 * time.Second // for a body to come whole
	drainLeast   = 2500 * time.Millisecond
	drainMargin  = 700 * time.Millisecond // before the platform's grace ends
	drainCheck   = 50 * time.Millisecond
	readyReadBuf = 1024
)

// Server serves clients.
type Server struct {
	proxy  *proxy.Proxy
	follow func() *follower.Snapshot
	ready  func() bool
	log    zerolog.Logger

	draining atomic.Bool
	active   atomic.Int64 // requests being answered

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New makes a server; ready tells whether this node may take clients.
func New(p *proxy.Proxy, follow func() *follower.Snapshot, ready func() bool, log zerolog.Logger) *Server {
	return &Server{proxy: p, follow: follow, ready: ready, log: log, conns: map[net.Conn]struct{}{}}
}

// Serve takes clients until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, most likely: some will be free soon
			continue
		}
		go s.serveConn(c)
	}
}

// ServeReady answers GET /readyz until the listener is closed.
func (s *Server) ServeReady(l net.Listener) error {
	h := &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: readyReadBuf, WriteBufferSize: readyReadBuf, Logger: sock.Quiet{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if s.draining.Load() || !s.ready() {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	return h.Serve(l)
}

// Drain tells the platform to send no more clients, serves those that are there and that still come, and returns when nothing is
// left to answer or the time is over.
func (s *Server) Drain(grace time.Duration) {
	s.draining.Store(true)
	began := time.Now()
	for time.Since(began) < grace-drainMargin {
		if time.Since(began) >= min(drainLeast, grace/2) && s.active.Load() == 0 {
			return
		}
		time.Sleep(drainCheck)
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

func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, s.follow().Table.MaxHeader())
	writer := bufio.NewWriterSize(c, writerSize)
	for s.serveOne(c, reader, writer) {
	}
}

// serveOne serves one request; false: the connection is to be closed.
func (s *Server) serveOne(c net.Conn, reader *bufio.Reader, writer *bufio.Writer) bool {
	table := s.follow().Table
	_ = c.SetReadDeadline(time.Now().Add(table.Idle()))
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	arrived := time.Now()
	_ = c.SetReadDeadline(arrived.Add(table.HeadTime()))
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	e := &proxy.Exchange{Header: &req.Header, Arrived: arrived, Conn: c, Writer: writer}
	if err := req.Header.Read(reader); err != nil {
		return s.refuseHead(e, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTime))
	if err := readBody(req, reader, writer, table.MaxBody()); err != nil {
		return s.refuseBody(e, err)
	}
	e.Body = req.Body()
	e.Closing = req.Header.ConnectionClose() || s.draining.Load()
	_ = c.SetReadDeadline(time.Time{})
	watched := watch(e, reader)
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
