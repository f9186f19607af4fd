package router

// What crosses on real sockets. Each crossing is forced: by a hook between two steps of the router, a stopped owner or a
// queue that is full, never by waiting for luck. docs/design/crossings.md has the table.

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"weak"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/config"
)

const patience = 10 * time.Second // of a test, for what has to happen

// hooked is a connection of a client as the router has it, with hooks between its steps.
type hooked struct {
	*net.TCPConn
	on    *hooks
	n     int // reads so far
	ended sync.Once
}

type hooks struct {
	reading  func(n int)        // before the nth read from any connection
	ending   func(its net.Addr) // before the router ends the client's connection or half of it, once each
	clearing func()             // before a read's deadline is taken away
	asked    func()             // as the router asks who a new connection is from
}

func (h *hooked) Read(p []byte) (int, error) {
	h.n++
	if h.on.reading != nil {
		h.on.reading(h.n)
	}
	return h.TCPConn.Read(p)
}

func (h *hooked) end() {
	if h.on.ending != nil {
		h.ended.Do(func() { h.on.ending(h.TCPConn.RemoteAddr()) })
	}
}

func (h *hooked) Close() error      { h.end(); return h.TCPConn.Close() }
func (h *hooked) CloseWrite() error { h.end(); return h.TCPConn.CloseWrite() }
func (h *hooked) SetReadDeadline(t time.Time) error {
	if h.on.clearing != nil && t.IsZero() {
		h.on.clearing()
	}
	return h.TCPConn.SetReadDeadline(t)
}
func (h *hooked) RemoteAddr() net.Addr {
	if h.on.asked != nil {
		h.on.asked()
	}
	return h.TCPConn.RemoteAddr()
}

type hookedListener struct {
	*net.TCPListener
	on *hooks
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &hooked{TCPConn: conn, on: l.on}, nil
}

// yard is a router on real sockets with two leaves that hold the same shards.
type yard struct {
	t       *testing.T
	p       *program
	door    string
	hooks   hooks
	dial    dialer
	unread  chan struct{} // leaves read nothing before its end; nil: they read at once
	signals chan os.Signal
	ended   chan error
	phases  chan string // as the log tells them

	mu     sync.Mutex
	frames []string   // what the leaves got
	from   []net.Conn // each on this
	conns  []net.Conn // all
	came   chan struct{}
	serves atomic.Bool // leaves answer

	outcomes []int // of calls, as the log tells them
}

func newYard(t *testing.T, change func(*config.Config, *yard)) *yard {
	y := &yard{t: t, signals: make(chan os.Signal, 2), ended: make(chan error, 1), phases: make(chan string, 10), came: make(chan struct{}, 1000), dial: dialTCP}
	set, err := config.DecodeSettings(1, []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{More: config.DefaultFile(), Discovery: "127.0.0.1:1", Settings: set, Silence: time.Second, MostLine: 1000,
		Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64}, DrainFor: 50 * time.Millisecond, AskFor: 50 * time.Millisecond,
		RequestFor: patience, IdleFor: patience, LingerFor: patience, LingerMost: 64 << 10}
	var leaves []net.Listener
	for _, name := range []string{"A", "B"} {
		l := y.listen()
		leaves = append(leaves, l)
		cfg.Known.Servers = append(cfg.Known.Servers, config.Server{ID: name, Address: l.Addr().String(), Zone: "a", Lifecycle: "in_service"})
	}
	if change != nil {
		change(cfg, y)
	}
	for _, l := range leaves {
		if y.unread != nil { // as little as the kernel holds
			raw, err := l.(*net.TCPListener).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		}
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				go y.leaf(conn)
			}
		}()
	}
	l := y.listen()
	y.door = l.Addr().String()
	y.p = newProgram(context.Background(), cfg, hookedListener{l.(*net.TCPListener), &y.hooks}, y.dial, zerolog.New(y))
	go func() { y.ended <- y.p.run(Signals{End: y.signals}) }()
	t.Cleanup(func() {
		select {
		case y.signals <- syscall.SIGTERM:
		default:
		}
		y.p.stop()
		y.until("the program's end", func() bool { return len(y.ended) > 0 })
		y.mu.Lock()
		defer y.mu.Unlock()
		for _, c := range y.conns {
			c.Close()
		}
	})
	return y
}

func (y *yard) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { l.Close() })
	return l
}

// Write takes the log.
func (y *yard) Write(p []byte) (int, error) {
	if _, to, is := strings.Cut(string(p), `"to":"`); is {
		y.phases <- to[:strings.IndexByte(to, '"')]
	}
	var ended struct{ Outcome *int }
	if json.Unmarshal(p, &ended) == nil && ended.Outcome != nil {
		y.mu.Lock()
		y.outcomes = append(y.outcomes, *ended.Outcome)
		y.mu.Unlock()
	}
	return len(p), nil
}

func (y *yard) phase(name string) {
	for {
		select {
		case p := <-y.phases:
			if p == name {
				return
			}
		case <-time.After(patience):
			y.t.Fatalf("never %s", name)
		}
	}
}

// leaf is one connection of a leaf: it notes what it gets, and answers where it serves.
func (y *yard) leaf(conn net.Conn) {
	y.mu.Lock()
	y.conns = append(y.conns, conn)
	y.mu.Unlock()
	defer conn.Close()
	if y.unread != nil {
		<-y.unread
	}
	for {
		var head [4]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		rest := make([]byte, int(head[2])<<8|int(head[3]))
		if _, err := io.ReadFull(conn, rest); err != nil {
			return
		}
		y.mu.Lock()
		y.frames, y.from = append(y.frames, string(rest)), append(y.from, conn)
		serves := y.serves.Load()
		y.mu.Unlock()
		y.came <- struct{}{}
		if serves {
			answers(0, string(rest), conn)
		}
	}
}

// sent is how many calls the leaves got that hold a part of a query.
func (y *yard) sent(id string) (n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, f := range y.frames {
		if f[0] == 'D' && strings.Contains(f, id+".") {
			n++
		}
	}
	return n
}

func (y *yard) until(what string, holds func() bool) {
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			y.t.Fatalf("it never came to: %s", what)
		}
	}
}

// owner has something looked up in the owner's turn.
func (y *yard) owner(look func(*owner) int) int {
	found := make(chan int, 1)
	y.p.owner.queue <- func(o *owner) { found <- look(o) }
	return <-found
}

func (y *yard) open() int { return y.owner(func(o *owner) int { return len(o.queries) }) }

// queued is how many frames wait for a connection of the first leaf, or behind one that it takes nothing of.
func (y *yard) queued() int {
	return y.owner(func(o *owner) (n int) {
		for _, c := range o.listed[0].conns {
			c.mu.Lock()
			n += len(c.queue)
			c.mu.Unlock()
		}
		return n
	})
}

// stopOwner has the owner stand still until it is let go.
func (y *yard) stopOwner() (letGo func()) {
	stood, wait := make(chan struct{}), make(chan struct{})
	y.p.owner.queue <- func(*owner) { close(stood); <-wait }
	<-stood
	return func() { close(wait) }
}

func (y *yard) connect() net.Conn {
	conn, err := net.Dial("tcp", y.door)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn
}

// answer reads one whole answer.
func answer(conn net.Conn) (int, error) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

func (y *yard) expect(conn net.Conn, status int) {
	y.t.Helper()
	if got, err := answer(conn); got != status || err != nil {
		y.t.Errorf("answered %d, %v, not %d", got, err, status)
	}
}

// clients counts connections that the door holds.
func (y *yard) clients() int {
	d := y.p.owner.door
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// Connections that the kernel has accepted count as taken, as do requests on them: the listener is not closed over
// them. Here the door stands still over a full house until the program closes.
func TestBacklogAtTheEnd(t *testing.T) {
	y := newYard(t, func(c *config.Config, _ *yard) { c.Limits.Sockets = 16 })
	var all []net.Conn
	for i := range 7 { // four have places, the next is read and waits for one, two are in the backlog
		conn := y.connect()
		io.WriteString(conn, request(fmt.Sprint("q", i), "search", 2400, 0))
		all = append(all, conn)
	}
	y.until("five queries open", func() bool { return y.open() == 5 })
	y.signals <- syscall.SIGTERM
	y.phase("closing")
	y.mu.Lock()
	y.serves.Store(true)
	for i, f := range y.frames {
		if f[0] == 'D' {
			answers(0, f, y.from[i])
		}
	}
	y.mu.Unlock()
	for i, conn := range all {
		if status, err := answer(conn); status != http.StatusOK && status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("query %d: %d, %v", i, status, err)
		}
	}
}

// A connection that has been accepted and has no place yet counts as one, as the program asks whether all have ended.
func TestAcceptedAsTheProgramEnds(t *testing.T) {
	reached, goOn := make(chan struct{}), make(chan struct{})
	y := newYard(t, func(_ *config.Config, y *yard) {
		y.serves.Store(true)
		y.hooks.asked = func() { close(reached); <-goOn }
	})
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2000, 0))
	<-reached
	y.signals <- syscall.SIGTERM
	y.phase("closing")
	select { // where it counts for nothing the program ends here
	case err := <-y.ended:
		y.ended <- err
		t.Error("ended over a connection that it had accepted")
	case <-time.After(100 * time.Millisecond):
	}
	close(goOn)
	y.expect(conn, http.StatusOK)
}

// Bytes that come in the instant in which a connection is ended for being idle: the client sees its end, not a reset,
// and nothing of them is sent on. However it is ended.
func TestRequestAsAConnectionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*config.Config)
		end    func(*yard)
		others int // clients
	}{
		"idle for its time": {func(c *config.Config) { c.IdleFor = 20 * time.Millisecond }, func(*yard) {}, 0},
		"drain":             {func(*config.Config) {}, func(y *yard) { y.signals <- syscall.SIGTERM }, 0},
		"makes way": {func(c *config.Config) { c.Limits.Sockets = 16 }, func(y *yard) {
			for range 4 {
				y.connect()
			}
		}, 4},
		"answered with an end": {func(c *config.Config) { c.DrainFor = 0 }, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var conn net.Conn
			wrote := make(chan struct{})
			y := newYard(t, func(cfg *config.Config, y *yard) {
				c.change(cfg)
				cfg.AskFor = patience // the others have only just come, and don't make way
				y.serves.Store(true)
				y.hooks.ending = func(its net.Addr) {
					if conn == nil || its.String() != conn.LocalAddr().String() {
						return
					}
					io.WriteString(conn, request("late", "search", 2000, 0))
					close(wrote)
				}
			})
			conn = y.connect()
			raw := request("q1", "search", 2000, 0)
			if c.end == nil {
				raw = strings.Replace(raw, "X-Trace-Id", "Connection: close\r\nX-Trace-Id", 1)
			}
			io.WriteString(conn, raw)
			in := bufio.NewReader(conn)
			res, err := http.ReadResponse(in, nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatal(res, err)
			}
			io.Copy(io.Discard, res.Body)
			if c.end != nil {
				c.end(y)
			}
			select {
			case <-wrote:
			case <-time.After(patience):
				t.Fatal("never ended")
			}
			if n, err := in.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("got %d bytes, %v: not a plain end", n, err)
			}
			conn.Close()
			y.until("the client gone", func() bool { return y.clients() <= c.others })
			if n := y.sent("late"); n > 0 {
				t.Errorf("sent on %d times after the shutdown", n)
			}
		})
	}
}

// A request that has come as a connection is about to be ended for being idle, and is not read yet, is served.
func TestRequestBeforeAConnectionEnds(t *testing.T) {
	held, goOn := make(chan struct{}), make(chan struct{})
	y := newYard(t, func(_ *config.Config, y *yard) {
		y.serves.Store(true)
		y.hooks.reading = func(n int) {
			if n == 1 {
				close(held)
				<-goOn
			}
		}
	})
	conn := y.connect()
	<-held
	io.WriteString(conn, request("q1", "search", 2000, 0))
	y.signals <- syscall.SIGTERM
	y.phase("closing")
	y.until("the door closed", y.p.owner.door.closing)
	close(goOn)
	y.expect(conn, http.StatusOK)
}

// A client that sends far ahead and goes is seen to go, and no further attempt is made for it.
func TestLeavesFarAhead(t *testing.T) {
	for _, ahead := range []int{clientRing, aheadMost, 4 * aheadMost} {
		y := newYard(t, nil)
		conn := y.connect()
		io.WriteString(conn, request("q1", "search", 2400, 0))
		<-y.came
		sent := make(chan struct{})
		go func() {
			for n := 0; n < ahead+1000; {
				more, err := io.WriteString(conn, request("ahead", "search", 2400, 0))
				if n += more; err != nil {
					break
				}
			}
			close(sent)
		}()
		select {
		case <-sent:
		case <-time.After(patience):
			t.Errorf("%d bytes ahead: nobody reads on", ahead)
		}
		conn.Close()
		y.until("the query's end", func() bool { return y.open() == 0 })
		y.mu.Lock()
		for _, c := range y.conns { // which would have it asked elsewhere
			c.Close()
		}
		y.mu.Unlock()
		y.until("no calls out", func() bool { return y.owner(func(o *owner) int { return len(o.calls) }) == 0 })
		if n := y.sent("q1") + y.sent("ahead"); n != 1 {
			t.Errorf("%d bytes ahead: %d attempts", ahead, n)
		}
	}
}

// Nothing holds a query that is over: neither the connections that its calls went over nor those that queries before it did.
func TestQueriesAreLetGo(t *testing.T) {
	y := newYard(t, func(_ *config.Config, y *yard) { y.serves.Store(true) })
	var first []*leafConn // of the first query: as if they were kept and not used again
	var all []weak.Pointer[query]
	var told atomic.Int32
	y.p.owner.door.posted = func(c *client) { // the owner stands still meanwhile, or may have answered already
		y.p.owner.queue <- func(o *owner) {
			for _, q := range o.queries {
				all = append(all, weak.Make(q))
			}
		}
		told.Add(1)
	}
	const rounds = 60
	for i := range int32(rounds) {
		letGo := y.stopOwner()
		conn := y.connect()
		// What may run once takes a new connection to its leaf in place of one, and the next query goes over old and new ones: so the
		// last queries of all connections hang together.
		if i%2 == 0 {
			io.WriteString(conn, request(fmt.Sprint("q", i), "search", 2000, 0, 1, 2, 3))
		} else {
			io.WriteString(conn, request(fmt.Sprint("q", i), "file", 2000, 0))
		}
		y.until("the query told, and the look behind it", func() bool { return told.Load() == i+1 })
		letGo()
		y.expect(conn, http.StatusOK)
		conn.Close()
		if i == 0 {
			y.owner(func(o *owner) int {
				for _, l := range o.listed {
					first = append(first, l.conns...)
				}
				return 0
			})
		}
	}
	y.until("all clients gone", func() bool { return y.clients() == 0 })
	held := func() (n int) {
		y.owner(func(*owner) int { return 0 })
		runtime.GC()
		for _, q := range all {
			if q.Value() != nil {
				n++
			}
		}
		return n
	}
	// Due times hold a query until its deadline; then each connection may hold the last that went over it.
	y.until("no more held than there are connections", func() bool { return len(all) == rounds && held() <= 8 })
	runtime.KeepAlive(first)
}

// What a client sends ahead within the bound is answered, each in turn; beyond it the connection ends with the answer.
func TestSentAhead(t *testing.T) {
	y := newYard(t, nil)
	conn := y.connect()
	raw := ""
	for i := range 40 { // three times the ring
		raw += request(fmt.Sprint("q", i), "search", 2400, 0)
	}
	io.WriteString(conn, raw)
	<-y.came
	y.serves.Store(true)
	y.mu.Lock()
	answers(0, y.frames[0], y.from[0])
	y.mu.Unlock()
	in := bufio.NewReader(conn)
	for i := range 40 {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("query %d: %v, %v", i, res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
}

// The reader takes its deadline away, as it was woken for nothing, in the instant in which the writer ends the connection: what
// lingers still ends, though the client keeps its side open for good.
func TestDeadlineClearedAsAConnectionEnds(t *testing.T) {
	var one atomic.Pointer[client]
	y := newYard(t, func(c *config.Config, y *yard) {
		c.LingerFor = 50 * time.Millisecond
		y.serves.Store(true)
		y.hooks.clearing = func() {
			if c := one.Load(); c != nil {
				y.until("the connection's end", func() bool { return connState(c.state.Load()) == lingering })
			}
		}
	})
	y.p.owner.door.posted = func(c *client) { // the reader's next step is a read
		c.conn.SetReadDeadline(time.Unix(1, 0))
		one.Store(c)
	}
	conn := y.connect()
	io.WriteString(conn, strings.Replace(request("q1", "search", 2000, 0), "X-Trace-Id", "Connection: close\r\nX-Trace-Id", 1))
	y.expect(conn, http.StatusOK)
	y.until("the client gone", func() bool { return y.clients() == 0 })
}

// An answer that is out before the reader has looked again: what came behind the request is not left lying.
func TestAnsweredBeforeTheNextLook(t *testing.T) {
	y := newYard(t, func(_ *config.Config, y *yard) { y.serves.Store(true) })
	y.p.owner.door.posted = func(c *client) {
		y.until("the answer out", func() bool { return connState(c.state.Load()) != waiting })
	}
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2000, 0)+request("q2", "search", 2000, 0))
	in := bufio.NewReader(conn)
	for range 2 {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
}

// A client has gone and the owner's queue is full before it can be told: nothing of its query is begun, though a
// connection to the leaf stands ready and the owner is long in coming to the news.
func TestLeavesBehindAFullQueue(t *testing.T) {
	y := newYard(t, func(c *config.Config, y *yard) {
		c.Known.Servers = c.Known.Servers[:1]
		y.serves.Store(true)
	})
	first := y.connect()
	io.WriteString(first, request("q0", "search", 2000, 0))
	y.expect(first, http.StatusOK)
	<-y.came
	letGo := y.stopOwner()
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2000, 0))
	y.until("the query told", func() bool { return len(y.p.owner.queue) == 1 })
	for len(y.p.owner.queue) < queueLength {
		y.p.owner.queue <- func(*owner) {}
	}
	for range 3 { // and others wait before it, of which one gives the writer all the time it needs
		go func() {
			y.p.owner.queue <- func(*owner) {
				select {
				case <-y.came:
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
	y.until("three waiting", func() bool {
		stacks := make([]byte, 1<<20)
		return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "[chan send") >= 3
	})
	conn.Close()
	y.until("the client gone", func() bool { return y.clients() == 1 })
	letGo()
	y.until("the query's end", func() bool { return y.open() == 0 })
	if n := y.sent("q1"); n > 0 {
		t.Errorf("%d attempts after it had gone", n)
	}
}

// A client that has sent its query and gone while this router stood still: what is read of it is never begun.
func TestCameAndWentMeanwhile(t *testing.T) {
	goOn, turned := make(chan struct{}), make(chan struct{})
	y := newYard(t, func(_ *config.Config, y *yard) {
		y.hooks.reading = func(n int) {
			if n == 1 {
				<-goOn
			} else { // its end is read only once the owner has had a turn with what was read before
				<-turned
			}
		}
	})
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2000, 0))
	conn.Close()
	close(goOn)
	y.until("the query taken, or its client gone", func() bool { return y.open() == 1 || y.clients() == 0 })
	y.open() // one more turn
	close(turned)
	y.until("the client gone", func() bool { return y.clients() == 0 })
	y.until("the query's end", func() bool { return y.open() == 0 })
	if n := y.sent("q1"); n > 0 {
		t.Errorf("%d attempts after it had gone", n)
	}
}

// A client has gone while this router stood still, and what had its part elsewhere asked is told before anybody has read that:
// nothing more is begun.
func TestLeftWhileItStoodStill(t *testing.T) {
	goOn := make(chan struct{})
	y := newYard(t, func(_ *config.Config, y *yard) {
		y.hooks.reading = func(n int) {
			if n > 1 { // the reader stands still behind the query
				<-goOn
			}
		}
	})
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2400, 0))
	<-y.came
	conn.Close()
	y.until("its end at the router, and a later turn", func() bool {
		return y.owner(func(o *owner) int {
			if q := o.queries["q1"]; o.now > q.taken && q.from.look() {
				return 1
			}
			return 0
		}) == 1
	})
	y.mu.Lock()
	y.conns[0].Close()
	y.mu.Unlock()
	y.until("the call's end", func() bool { return y.owner(func(o *owner) int { return len(o.calls) }) == 0 })
	close(goOn)
	y.until("the query's end", func() bool { return y.open() == 0 })
	if n := y.sent("q1"); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A call waits for its connection, its client goes, and the connection comes up before the owner is told, or before anybody has
// read that the client went, as after a standstill: its frame is not written.
func TestLeavesAsAConnectionComesUp(t *testing.T) {
	for name, unread := range map[string]bool{"the owner is not told": false, "nobody has read it": true} {
		t.Run(name, func(t *testing.T) {
			dialing, up, goOn := make(chan struct{}, 2), make(chan struct{}), make(chan struct{})
			y := newYard(t, func(c *config.Config, y *yard) {
				c.Known.Servers = c.Known.Servers[:1]
				c.Settings.ConnectTimeout = patience
				y.dial = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
					if address == c.Known.Servers[0].Address {
						dialing <- struct{}{}
						<-up
					}
					return dialTCP(ctx, address, limit)
				}
				y.hooks.reading = func(n int) {
					if unread && n > 1 {
						<-goOn
					}
				}
			})
			conn := y.connect()
			io.WriteString(conn, request("q1", "search", 2400, 0))
			<-dialing
			if unread { // so that the frame has waited, and the end is there to be seen
				conn.Close()
				y.until("its end at the router, some ticks later", func() bool {
					return y.owner(func(o *owner) int {
						if q := o.queries["q1"]; o.now > q.taken+2*o.cfg.Settings.Module.Tick && q.from.look() {
							return 1
						}
						return 0
					}) == 1
				})
			}
			letGo := y.stopOwner()
			if !unread {
				conn.Close()
				y.until("the client gone", func() bool { return y.clients() == 0 })
			}
			close(up)
			y.until("a connection at the leaf", func() bool {
				y.mu.Lock()
				defer y.mu.Unlock()
				return len(y.conns) == 1
			})
			// What the leaf gets next on this connection comes behind the frame, if that was written.
			y.p.owner.queue <- func(o *owner) { o.Probe(o.listed[0].l) }
			letGo()
			select {
			case <-y.came:
			case <-time.After(patience):
				t.Fatal("no probe")
			}
			close(goOn)
			if n := y.sent("q1"); n > 0 {
				t.Errorf("%d attempts after it had gone", n)
			}
		})
	}
}

// A connection that does not come up in its time ends what waits for it as never run, and one of a leaf serves later calls
// if it comes up yet. So where connections are slow to come up, not every call has to wait for one of its own.
func TestConnectionComesUpLate(t *testing.T) {
	up, dials := make(chan struct{}), atomic.Int32{}
	y := newYard(t, func(c *config.Config, y *yard) {
		c.Known.Servers = c.Known.Servers[:1]
		c.Settings.ConnectTimeout = 20 * time.Millisecond
		y.serves.Store(true)
		y.dial = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
			if address != c.Known.Servers[0].Address {
				return dialTCP(ctx, address, limit)
			}
			dials.Add(1)
			select {
			case <-up:
				return dialTCP(ctx, address, limit)
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(limit):
				return nil, os.ErrDeadlineExceeded
			}
		}
	})
	conn := y.connect()
	io.WriteString(conn, request("q1", "search", 2400, 0))
	y.expect(conn, http.StatusServiceUnavailable)
	close(up)
	y.until("one connection up", func() bool {
		return y.owner(func(o *owner) (n int) {
			for _, c := range o.listed[0].conns {
				if c.upSince() > 0 {
					n++
				}
			}
			return n
		}) == 1
	})
	before := dials.Load()
	io.WriteString(conn, request("q2", "search", 2400, 0))
	y.expect(conn, http.StatusOK)
	if n := dials.Load(); n != before || y.sent("q1") > 0 {
		t.Errorf("%d dials and %d for the next call; q1 sent %d times", before, n-before, y.sent("q1"))
	}
}

// A leaf reads nothing and its connection is full: what has not begun to go out is taken back as its client leaves. When the leaf
// reads on it gets only what had begun, and what is still waited for. All of it goes to the connection at once, as that comes up.
func TestLeavesWhileALeafDoesNotRead(t *testing.T) {
	up, read := make(chan struct{}), make(chan struct{})
	y := newYard(t, func(c *config.Config, y *yard) {
		y.unread = read
		c.Known.Servers = c.Known.Servers[:1]
		c.Settings.ConnPrice, c.Settings.ConnectTimeout = 1, patience // calls share one, which may take its time
		v := &c.Settings.Module.Verticals[0]
		v.SLO, v.Deadline = tenths(patience), tenths(patience) // nothing is given up meanwhile
		y.dial = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
			if address != c.Known.Servers[0].Address {
				return dialTCP(ctx, address, limit)
			}
			<-up
			conn, err := dialTCP(ctx, address, limit)
			if err == nil {
				conn.(*net.TCPConn).SetWriteBuffer(1)
			}
			return conn, err
		}
	})
	// What fills the connection, then two behind it.
	var conns []net.Conn
	for i, id := range []string{"full", "gone", "stays"} {
		size := 100
		if i == 0 {
			size = leafRing - 1000
		}
		body := `{"parts":[{"id":0,"w":1}],"expr":"` + strings.Repeat("x", size) + `"}`
		conn := y.connect()
		fmt.Fprintf(conn, "POST /search/k HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Customer: acme\r\nX-Expires-In-Ms: 10000\r\nContent-Length: %d\r\n\r\n%s",
			id, len(body), body)
		conns = append(conns, conn)
		y.until("its frame waits", func() bool { return y.open() == i+1 && y.queued() == i+1 })
	}
	close(up)
	y.until("two that were taken back, behind one that has begun", func() bool { return y.queued() == 2 })
	conns[1].Close()
	y.until("one of them gone", func() bool { return y.open() == 2 })
	y.serves.Store(true)
	close(read)
	y.expect(conns[0], http.StatusOK)
	y.expect(conns[2], http.StatusOK)
	if y.sent("full") != 1 || y.sent("gone") != 0 || y.sent("stays") != 1 {
		t.Errorf("sent %d, %d and %d times; want 1, 0, 1", y.sent("full"), y.sent("gone"), y.sent("stays"))
	}
}

// stuck is a connection that takes nothing of its first write, until the write's time is up.
type stuck struct {
	*net.TCPConn
	writing, goOn chan struct{}
	once          sync.Once
}

func (s *stuck) Write(p []byte) (n int, err error) {
	first := false
	s.once.Do(func() { first = true })
	if first {
		close(s.writing)
		<-s.goOn
		return 0, os.ErrDeadlineExceeded
	}
	return s.TCPConn.Write(p)
}

// A call is given up, or its client goes, while its frame is with a connection that takes nothing of it: neither the frame goes out
// later nor what gives it up, no answer is waited for, and the leaf is not blamed. Where cancels are barred as well.
func TestGivenUpWhileAConnectionTakesNothing(t *testing.T) {
	for name, cancels := range map[string]bool{"given up": true, "cancels are barred": false} {
		t.Run(name, func(t *testing.T) {
			writing, goOn := make(chan struct{}), make(chan struct{})
			y := newYard(t, func(c *config.Config, y *yard) {
				c.Known.Servers = c.Known.Servers[:1]
				c.Settings.Module.MayCancel = cancels
				v := &c.Settings.Module.Verticals[0]
				v.SLO, v.Deadline = tenths(patience), tenths(patience)
				y.dial = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
					conn, err := dialTCP(ctx, address, limit)
					if err == nil && address == c.Known.Servers[0].Address {
						conn = &stuck{TCPConn: conn.(*net.TCPConn), writing: writing, goOn: goOn}
					}
					return conn, err
				}
			})
			conn := y.connect()
			io.WriteString(conn, request("q1", "search", 10000, 0))
			<-writing
			conn.Close()
			y.until("the query's end", func() bool {
				return y.open() == 0 && (!cancels || y.owner(func(o *owner) int { return len(o.calls) }) == 0)
			})
			close(goOn)
			y.until("nothing waited for", func() bool {
				return y.owner(func(o *owner) int { return len(o.calls) + len(o.listed[0].conns[0].ghosts) }) == 0
			})
			y.p.owner.queue <- func(o *owner) { o.Probe(o.listed[0].l) }
			<-y.came
			y.mu.Lock()
			defer y.mu.Unlock()
			if len(y.frames) != 1 || y.frames[0] != "I" || len(y.outcomes) != 1 || y.outcomes[0] == int(choice.NoConnection) {
				t.Errorf("the leaf got %q, the call ended as %v", y.frames, y.outcomes)
			}
		})
	}
}
