package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a router of a service, after PROTOCOL.md: slots and a short queue, one request at a time on a connection,
// heartbeats, an end. What it does beyond that is set by the case.
type server struct {
	id, service string
	slots       int
	queue       int // requests that may wait for a slot
	record      *record
	fleet       *fleet
	listener    net.Listener

	answer func(s *server, c *exchange) // answers a request that has a slot; it ends within it
	before func(s *server, c *exchange) // is called when a request has come, before anything else
	behind func(s *server, c *exchange, answer string)
	calls  map[string]func(e *exchange) // answers to calls that are no requests, by path
	models string                       // what a heartbeat says of them

	mu       sync.Mutex
	changed  *sync.Cond
	running  int
	waiting  int
	open     map[net.Conn]bool
	sequence int
	ended    bool
	runs     map[string]int
	ranAt    map[string]time.Duration
}

// exchange is one request at a server.
type exchange struct {
	conn    net.Conn
	link    *link
	request *http.Request
	id      string
	left    bool // its caller has closed the connection; guarded by the server's lock
}

// link is what a server keeps of one connection.
type link struct {
	surplus string // an answer that is still to be sent a second time
}

func newServer(id, service string, slots, queue int, r *record, f *fleet) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, slots: slots, queue: queue, record: r, fleet: f, listener: l, open: map[net.Conn]bool{},
		runs: map[string]int{}, ranAt: map[string]time.Duration{}}
	s.changed = sync.NewCond(&s.mu)
	return s, nil
}

// serve takes connections until the server is closed.
func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.open {
		c.Close()
	}
	s.changed.Broadcast()
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	reader, l := bufio.NewReader(c), &link{}
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		e := &exchange{conn: c, link: l, request: req, id: req.Header.Get("Moleshift-Request-Id")}
		watched := s.watch(e, reader)
		good := s.serveOne(e)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only where the connection is closed already
		<-watched
		_ = c.SetReadDeadline(time.Time{})
		if !good {
			return
		}
	}
}

// watch notices a caller that closes its connection while its request waits or runs. The channel is closed when it has ended, after the
// connection's read deadline has passed.
func (s *server) watch(e *exchange, reader *bufio.Reader) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var timeout net.Error
		if _, err := reader.Peek(1); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		e.left = true
		s.changed.Broadcast()
	}()
	return done
}

// serveOne answers a request; false: the connection is closed.
func (s *server) serveOne(e *exchange) bool {
	if call := s.calls[e.request.URL.Path]; call != nil {
		call(e)
		return true
	}
	switch {
	case e.request.URL.Path == "/healthz":
		return write(e.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nMoleshift-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id))
	case e.request.Header.Get("Moleshift-Expect-Instance") != s.id:
		return write(e.conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nMoleshift-Request-Id: %s\r\nMoleshift-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, s.id))
	}
	s.record.note("server %s: request %s arrives", s.id, e.id)
	if s.before != nil {
		s.before(s, e)
	}
	entered, full := s.enter(e)
	if !entered && !full {
		s.record.note("server %s: request %s is dropped, not run: its caller has left", s.id, e.id)
		return false
	}
	if !entered {
		s.record.note("server %s: request %s is turned away, not run", s.id, e.id)
		text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nMoleshift-Request-Id: %s\r\nMoleshift-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", e.id)
		good := write(e.conn, text)
		if s.behind != nil {
			s.behind(s, e, text)
		}
		return good
	}
	s.mu.Lock()
	s.runs[e.id]++
	s.ranAt[e.id] = s.record.now()
	s.mu.Unlock()
	s.record.note("server %s: request %s runs", s.id, e.id)
	defer s.leave()
	s.answer(s, e)
	return true
}

// enter waits for a slot. Where it gets none, full tells that the server has no place; else the caller has left, or the server ends.
func (s *server) enter(e *exchange) (entered, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false, true
	}
	s.waiting++
	for s.running >= s.slots && !s.ended && !e.left {
		s.changed.Wait()
	}
	s.waiting--
	if s.ended || e.left {
		return false, false
	}
	s.running++
	return true, false
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.changed.Broadcast()
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// beat sends one heartbeat, to one node after the other until one acknowledges it.
func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"terminal-a","version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0%s,"sequence":%d}`,
		s.service, s.listener.Addr(), s.slots, s.models, s.sequence)
	s.mu.Unlock()
	first := rand.IntN(s.fleet.size())
	for n := range s.fleet.size() {
		if status, _ := s.fleet.call((first+n)%s.fleet.size(), http.MethodPost, "/instances/"+s.id+"/heartbeat", body); status/100 == 2 {
			return
		}
	}
}

// sentBefore makes the next heartbeat one that was sent before the newest and comes late: its sequence is lower.
func (s *server) sentBefore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence -= 2
}

// heartbeats registers the server and keeps it registered until stop is closed.
func (s *server) heartbeats(stop <-chan struct{}) {
	for {
		s.beat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat - 50*time.Millisecond + rand.N(100*time.Millisecond)):
		}
	}
}

// work waits for as long as a request of a batch service takes.
func work(mean time.Duration) { time.Sleep(mean/2 + rand.N(mean)) }

// stamp is the header by which an answer is known to be a server's own.
func stamp(s *server) string {
	return "Moleshift-Response-Stamp: " + s.id + strings.Repeat("0", 4) + "\r\n"
}
