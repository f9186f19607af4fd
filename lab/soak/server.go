package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"moleshift/lab/nodes"
)

const (
	heartbeatEvery = 700 * time.Millisecond // a server is taken for silent later than its nodes are in touch after a kill of all
	modelName      = "m"
	modelService   = "llm"
	batchService   = "batch"

	releasedService = "released"
	queueOfServer   = 8 // requests that may wait for a slot
)

// modelServer is a stand-in for a model server: slots and a queue in which requests wait, weights that take time to load, heartbeats.
type modelServer struct {
	serverOptions
	slots    int
	history  *History
	fleet    *nodes.Fleet
	http     *http.Server
	listener net.Listener

	mu       sync.Mutex
	changed  *sync.Cond
	running  int
	queued   int
	version  int64
	ordered  int64 // the version that is being loaded; 0: none
	sequence int64
	fence    int64
	parts    map[string]string // of prompts, by salt and part: the tenant whose request made it

	life   context.Context // ends when the server ends
	end    context.CancelFunc
	closed chan struct{}  // closed when the server ends
	ended  bool           // the same, under the lock
	loads  sync.WaitGroup // under way
}

// serverOptions describe a stand-in server.
type serverOptions struct {
	id       string
	service  string
	software software
	loadTime time.Duration // that new weights take
	faults   serverFaults
}

// newModelServer starts a stand-in server, which nobody is told of yet.
func newModelServer(o serverOptions, h *History, f *nodes.Fleet) (*modelServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &modelServer{serverOptions: o, slots: slotsOfServer, history: h, fleet: f, listener: l, parts: map[string]string{}, closed: make(chan struct{})}
	if s.service == modelService {
		s.version = 1
	}
	s.changed = sync.NewCond(&s.mu)
	s.life, s.end = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /order", s.order)
	mux.HandleFunc("GET /kv-events", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	mux.HandleFunc("/", s.work)
	s.http = &http.Server{Handler: mux, ConnContext: withConnection}
	if s.faults.idle {
		s.http.IdleTimeout = idleTimeout
	}
	go func() { _ = s.http.Serve(&fullListener{l, s.resetsNew}) }() // returns when the server is closed
	return s, nil
}

// resetsNew tells whether a connection that comes now is reset.
func (s *modelServer) resetsNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.resets && s.isFull()
}

// isFull tells whether a request that comes now gets no place. The lock is held.
func (s *modelServer) isFull() bool { return s.running >= s.slots && s.queued >= queueOfServer }

// close ends the server, with what it loads.
func (s *modelServer) close() {
	s.mu.Lock()
	s.ended = true
	s.changed.Broadcast()
	s.mu.Unlock()
	close(s.closed)
	s.end()
	s.http.Close()
	s.loads.Wait()
}

// isClosed tells whether the server has ended.
func (s *modelServer) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// newCaller makes the client of a server's own calls.
func newCaller() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// heartbeats tells the nodes of this server until the context ends.
func (s *modelServer) heartbeats(ctx context.Context) {
	client := newCaller()
	for at, sequence := rand.IntN(s.fleet.Len()), 1; ; sequence++ {
		for range s.fleet.Len() {
			if s.beat(ctx, client, at, sequence, stateReady) {
				break
			}
			at = (at + 1) % s.fleet.Len()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// The states that a heartbeat tells.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (s *modelServer) beat(ctx context.Context, client *http.Client, node, sequence int, state string) bool {
	s.mu.Lock()
	body := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": "z0", "version": s.software.version, "slots": s.slots, "state": state,
		"sequence": sequence,
	}
	if s.version > 0 {
		body["models"] = []map[string]any{{"name": modelName, "version": s.version}}
	}
	s.mu.Unlock()
	status, _ := call(ctx, client, "POST", "http://"+s.fleet.Address(node, nodes.Control)+"/instances/"+s.id+"/heartbeat", body)
	return status == http.StatusOK
}

// enter waits for a slot. Where the request is turned away instead, or its caller leaves, ok is false.
func (s *modelServer) enter(ctx context.Context, expected int64) (version int64, ok bool) {
	stop := context.AfterFunc(ctx, s.changed.Broadcast)
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isFull() {
		return 0, false
	}
	s.queued++
	defer func() { s.queued-- }()
	for s.ordered == 0 && s.running >= s.slots && ctx.Err() == nil {
		s.changed.Wait()
	}
	if s.ordered > 0 || ctx.Err() != nil || (expected > 0 && expected != s.version) {
		return 0, false
	}
	s.running++
	return s.version, true
}

func (s *modelServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.changed.Broadcast()
}

// work serves a request.
func (s *modelServer) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Moleshift-Request-Id")
	s.setHead(w, id)
	if s.faults.drawEarly(r.ContentLength) {
		w.Header().Set("Moleshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return // the body is read behind the answer
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn := connectionOf(r)
	spoilt := conn.sendSurplus()
	conn.keepSurplus(&s.faults, s.id, id)
	if r.Header.Get("Moleshift-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := s.contextOf(r)
	defer cancel()
	expected, _ := strconv.ParseInt(r.Header.Get("Expect-Version"), 10, 64)
	version, ok := s.enter(ctx, expected)
	if !ok {
		w.Header().Set("Moleshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	run := s.history.begin(Execution{
		ID: id, Server: s.id, Version: version, Began: s.history.Now(), Software: s.software.version,
		Broken: spoilt, CallerLeft: r.Context().Err() != nil,
	})
	defer run.end()
	s.useParts(r, id)
	s.answer(ctx, w, r, id, version, run)
}

// setHead sets what every answer to a request carries.
func (s *modelServer) setHead(w http.ResponseWriter, id string) {
	w.Header().Set("Moleshift-Request-Id", id)
	name, value := s.faults.drawOddField()
	w.Header()[name] = []string{value}
	if s.faults.idle {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%.0f", idleTimeout.Seconds()))
	}
	if s.faults.drawLast() {
		w.Header().Set("Connection", "close")
	}
}

// contextOf gives the context of a request: it ends at its deadline and with its server, and for most servers when its caller leaves.
func (s *modelServer) contextOf(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if s.faults.goesOn {
		ctx = s.life
	}
	ms, err := strconv.Atoi(r.Header.Get("Moleshift-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// useParts reads a prompt: parts that are kept under its salt, as long as all before them are, are used; the others are made.
func (s *modelServer) useParts(r *http.Request, id string) {
	tenant := r.Header.Get("Moleshift-Tenant-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := true
	for part := range strings.SplitSeq(r.Header.Get("Moleshift-Prompt-Prefix"), ",") {
		key := r.Header.Get("Cache-Salt") + " " + part
		maker, kept := s.parts[key]
		if whole = whole && kept; whole {
			s.history.addUse(Use{ID: id, Tenant: tenant, Maker: maker})
			continue
		}
		s.parts[key] = tenant
	}
}
