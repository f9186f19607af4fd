package router

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/config"
	"moleshift/duty"
	"moleshift/internal/golden"
	"moleshift/limits"
	"moleshift/member"
)

const settings = `{"tick":5,"zones":["a"],"caps":{"cancel":true,"connect_timeout":250,"conn_idle":30000,"open_cap":40,
"max_streams":100,"max_attempts":2,"second_copies":true,"retry_after":true,"max_retry_after":1000},
"classes":[{"name":"search","aim":1000,"deadline":2500,"effect":"repeatable","worth":1,"late_worth":0.1},
{"name":"file","aim":1000,"deadline":2500,"effect":"once","worth":1}],
"family_info":{"sets":1,"slices":4,"span":1,"batch":16},"tenants":[{"name":"acme"}]}`

// stage plays a router among stand-ins, on connections without sockets and on a clock of its own, and prints
// what they see. Lines of one moment are sorted, as goroutines run in any order.
type stage struct {
	t       *testing.T
	cfg     *config.Config
	start   time.Time
	mu      sync.Mutex
	out     []string
	sorted  int
	places  map[string]func(net.Conn) error // who is at an address; an error refuses the connection
	doorway chan net.Conn
	shut    chan struct{}
	once    sync.Once
	signals chan os.Signal
	reloads chan os.Signal
	load    func() (*config.Config, error)
	ended   chan error
	feed    chan string // lines of the watch
	tags    int
	owner   *owner
	handler member.Handler // where messages of other instances go
	told    bool           // to end, by the scene
	muted   bool
	heard   func(line string)                                                                // of the log, where a test listens; nil: nobody does
	through func(pair func() (here, there net.Conn), gone <-chan struct{}) (net.Conn, error) // the way to discovery; nil: as to all
}

// play runs a scene and compares what was seen with what is kept.
func play(t *testing.T, name string, leaves int, change func(*config.Config), scene func(*stage)) {
	t.Helper()
	var out string
	synctest.Test(t, func(t *testing.T) {
		set, err := config.DecodeSettings(1, []byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		st := newStage(t, set)
		for i := range leaves {
			st.cfg.Known.Servers = append(st.cfg.Known.Servers, server(string(rune('A'+i)), "in_service", 0))
		}
		st.places["list"] = st.discovery
		if change != nil {
			change(st.cfg)
		}
		scene(st)
		if st.step(); !st.told {
			st.muted = true
			st.signals <- syscall.SIGTERM
		}
		err = <-st.ended
		st.say("ended: %v", err)
		st.step()
		if st.owner != nil && err == nil { // one that is told twice to end lets go of all at once
			st.even()
		}
		out = strings.Join(st.out, "\n") + "\n"
	})
	golden.Check(t, name, out)
}

// newStage makes one; its router is not started yet.
func newStage(t *testing.T, set *config.Settings) *stage {
	st := &stage{t: t, start: time.Now(), places: map[string]func(net.Conn) error{}, doorway: make(chan net.Conn),
		shut: make(chan struct{}), signals: make(chan os.Signal, 2), reloads: make(chan os.Signal, 1), ended: make(chan error, 1),
		feed: make(chan string)}
	st.cfg = &config.Config{More: config.DefaultFile(), Name: "n", Listen: "door", Discovery: "list", Settings: set, Silence: 3 * time.Second,
		MostLine: 1000, Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64},
		DrainFor: 700 * time.Millisecond, KeepFor: 400 * time.Millisecond,
		AskFor: 50 * time.Millisecond, RequestFor: 2200 * time.Millisecond, IdleFor: 10 * time.Second}
	st.cfg.Known = config.List{Generation: 1, Whole: true}
	return st
}

func server(name, lifecycle string, started float64) config.Server {
	return config.Server{ID: name, Address: at(name), Zone: "a", Lifecycle: lifecycle, StartedMS: started}
}

// at is the address of the leaf of a name.
func at(name string) string { return "leaf-" + name }

// serve starts the router.
func (st *stage) serve() {
	log := zerolog.New(st).Level(zerolog.DebugLevel)
	p := newProgram(context.Background(), st.cfg, st, st.dial, log)
	st.owner = p.owner
	p.owner.gate.heap = func() int64 { return 0 } // that of tests is not the router's
	p.owner.gate.book.Strict = true               // every scene is one for the books, too
	if st.cfg.More.Shards.Enabled {
		if err := p.owner.enableShards(); err != nil {
			st.t.Error(err)
		}
		p.group.Go(func() error { return p.owner.ranging.run(p.ctx) })
		p.group.Go(func() error { return p.owner.ranging.keep(p.ctx, log) })
	}
	var err error
	if p.owner.list.pace, err = paceOf(st.cfg); err != nil {
		st.t.Error(err)
	}
	if st.cfg.More.Subset.Enabled {
		if err := p.owner.enableSubset(); err != nil {
			st.t.Error(err)
		}
	}
	if st.cfg.More.Members.Enabled {
		if err := p.owner.share(func(set member.Settings, h member.Handler) (peers, error) {
			st.say("joins as seat %d", set.Seat)
			st.handler = h
			return st, nil
		}); err != nil {
			st.t.Error(err)
		}
	}
	go func() {
		st.ended <- p.run(Signals{End: st.signals, Reload: st.reloads, Load: func() (*config.Config, error) { return st.load() }})
	}()
	st.step()
}

func (st *stage) say(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.muted {
		return
	}
	st.out = append(st.out, fmt.Sprintf("%7.1f  %s", float64(time.Since(st.start).Microseconds())/1000,
		fmt.Sprintf(format, args...)))
}

// even fails unless all that was taken for clients, bodies and open queries has come back. What the last answers took may
// still stand in the book, as nobody is told anything any more.
func (st *stage) even() {
	b := st.owner.gate.book
	for _, p := range []limits.Purpose{limits.Connections, limits.Bodies, limits.Queries} {
		if held := b.Accounts[p].Held; held != 0 {
			st.t.Errorf("%v: %d held at the end", p, held)
		}
	}
	if st.owner.gate.door.Held() != 0 || b.Uneven > 0 {
		st.t.Errorf("%d connections held at the end, %d returns too many", st.owner.gate.door.Held(), b.Uneven)
	}
}

// step waits until all have done what they can do now.
func (st *stage) step() {
	synctest.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	slices.Sort(st.out[st.sorted:])
	st.sorted = len(st.out)
}

// pass lets time go by.
func (st *stage) pass(ms int) {
	st.step()
	time.Sleep(time.Duration(ms) * time.Millisecond)
	st.step()
}

// Write takes the router's log.
func (st *stage) Write(p []byte) (int, error) {
	var line map[string]any
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	words := fmt.Sprint("log ", line["level"], ": ", line["message"])
	if line["level"] == "info" { // whether its reader or its writer was first to see a connection end is chance
		delete(line, "error")
	}
	for _, key := range []string{"query", "status", "part", "leaf", "outcome", "calls", "from", "to", "entries", "generation", "taken", "keys", "error"} {
		if v, found := line[key]; found {
			words += fmt.Sprintf(" %s=%v", key, v)
		}
	}
	if o, found := line["outcome"]; found {
		words = strings.Replace(words, fmt.Sprintf("outcome=%v", o), outcomeNames[choice.Outcome(o.(float64))], 1)
	}
	if st.heard != nil {
		st.heard(words)
	}
	st.say("%s", words)
	return len(p), nil
}

var outcomeNames = []string{"OK", "FAILED", "FULL", "TIMED OUT", "NO CONNECTION", "RESET", "CANCELLED", "MOOT", "REFUSED"}

// The stage is the router's listener.
func (st *stage) Accept() (net.Conn, error) {
	select {
	case c := <-st.doorway:
		return c, nil
	case <-st.shut:
		return nil, net.ErrClosed
	}
}
func (st *stage) Close() error   { st.once.Do(func() { close(st.shut) }); return nil }
func (st *stage) Addr() net.Addr { return &net.UnixAddr{Name: "door"} }

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// dial connects the router with who is at an address. Where nobody is, the connection never comes up.
func (st *stage) dial(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	if st.through != nil {
		ctx, stop := context.WithTimeout(ctx, limit)
		defer stop()
		return st.through(net.Pipe, ctx.Done())
	}
	place := st.places[address]
	if place == nil {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(limit):
			return nil, errors.New("never came up")
		}
	}
	here, there := net.Pipe()
	if err := place(there); err != nil {
		return nil, err
	}
	return here, nil
}

// discovery is the stand-in for the agent: it sends the lines of the feed on a watch.
func (st *stage) discovery(conn net.Conn) error {
	go func() {
		defer conn.Close()
		in := bufio.NewReader(conn)
		first, err := in.ReadString('\n')
		if err != nil {
			return
		}
		st.say("list: asked %s", strings.TrimSpace(first))
		for line := first; strings.TrimSpace(line) != ""; {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		gone := make(chan struct{})
		go func() { io.Copy(io.Discard, in); close(gone) }()
		for {
			line := ""
			select {
			case <-gone:
				return
			case line = <-st.feed:
			case <-time.After(2 * time.Second):
			}
			switch line {
			case "cut":
				return
			case "drip": // a line that never ends
				for err == nil {
					_, err = io.WriteString(conn, "1\r\n{\r\n")
					time.Sleep(time.Second)
				}
				return
			}
			for line == "hush" {
				<-gone
				return
			}
			fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line)
		}
	}()
	return nil
}

func (st *stage) news(generation int, whole bool, servers ...config.Server) {
	text, _ := json.Marshal(config.List{Generation: int64(generation), Whole: whole, Servers: servers})
	st.feed <- string(text)
	st.step()
}

// leafAt puts a stand-in leaf in its place: it prints each frame and does with it what act says.
func (st *stage) leafAt(name string, act func(n int, frame string, conn net.Conn)) {
	n := 0
	var one sync.Mutex // a leaf does one thing at a time, whatever connections there are
	st.places[at(name)] = func(conn net.Conn) error {
		st.say("leaf %s: connection", name)
		go func() {
			defer conn.Close()
			for {
				var head [4]byte
				if _, err := io.ReadFull(conn, head[:]); err != nil {
					st.say("leaf %s: connection ends", name)
					return
				}
				rest := make([]byte, binary.BigEndian.Uint32(head[:]))
				if _, err := io.ReadFull(conn, rest); err != nil {
					return
				}
				st.say("leaf %s: gets %q", name, rest)
				one.Lock()
				act(n, string(rest), conn)
				n++
				one.Unlock()
			}
		}()
		return nil
	}
}

// ids are the parts that a frame asks for.
func ids(frame string) []string {
	var found []string
	for frame = frame[1:]; frame != ""; {
		var id string
		var shard, length int
		line, rest, _ := strings.Cut(frame, "\n")
		wait := ""
		if _, err := fmt.Sscan(line, &id, &shard, &wait, &length); err != nil {
			break
		}
		found, frame = append(found, id), rest[length:]
	}
	return found
}

func sendFrame(conn net.Conn, rest string) {
	conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(rest))), rest...))
}

// answers serves every part at once with a value made of its id.
func answers(_ int, frame string, conn net.Conn) {
	switch frame[0] {
	case 'D':
		for _, id := range ids(frame) {
			sendFrame(conn, "O"+id+" 200 1 latency_ms=10\nvalue of "+id)
		}
	case 'I', 'U':
		sendFrame(conn, frame[:1]+"200")
	}
}

// holding keeps every answer back for the scene to give.
func holding(held *[]func()) func(int, string, net.Conn) {
	return func(n int, frame string, conn net.Conn) {
		*held = append(*held, func() { answers(n, frame, conn) })
	}
}

// from is a connection that comes from an address.
type from struct {
	net.Conn
	at net.Addr
}

func (f from) RemoteAddr() net.Addr { return f.at }

// connect opens a client's connection; what comes back on it is printed.
func (st *stage) connect() net.Conn { return st.connectFrom("") }

// connectFrom does so from an address.
func (st *stage) connectFrom(address string) net.Conn {
	here, there := net.Pipe()
	if address != "" {
		there = from{there, net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(address), 4000))}
	}
	st.tags++
	name := fmt.Sprintf("client %d", st.tags)
	select {
	case st.doorway <- there:
	case <-st.shut:
		st.say("%s: refused", name)
		return here
	}
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := here.Read(buf)
			if n > 0 {
				st.say("%s: gets %q", name, buf[:n])
			}
			if err != nil {
				st.say("%s: connection ends", name)
				return
			}
		}
	}()
	return here
}

// request is a query for some shards.
func request(id, vertical string, ms int, shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%g}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"parts":[%s],"expr":"text"}`, strings.Join(parts, ","))
	return fmt.Sprintf("POST /%s/k HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Customer: acme\r\nX-Expires-In-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", vertical, id, ms, len(body), body)
}

// ask sends a request on a connection.
func (st *stage) ask(conn net.Conn, raw string) {
	io.WriteString(conn, raw)
	st.step()
}

// The stage is the other instances, too: it prints what they are sent, and says what the scene has them say.

func (st *stage) Send(seat int, b []byte) { st.sent(fmt.Sprintf("seat %d", seat), b) }
func (st *stage) Broadcast(b []byte)      { st.sent("all", b) }
func (st *stage) Leave()                  { st.say("leaves the instances") }
func (st *stage) Reload() error           { st.say("reads its keys"); return nil }
func (st *stage) View() member.View {
	return member.View{Revision: 1, Peers: []member.Peer{{Name: "n", Seat: 0}, {Name: "o", Seat: 1}}}
}

func (st *stage) sent(to string, b []byte) {
	m, err := duty.NewCodec().Decode(b)
	if err != nil {
		st.t.Error(err)
		return
	}
	words := [...]string{"", "asks for a lease", "grants a lease", "has done", "leaves", "says hello", "gives its grants back"}[m.Kind]
	for _, it := range m.Items {
		words += fmt.Sprintf(" %s (%v, %x)", it.Name, it.Why, it.Result)
	}
	st.say("to %s: %s", to, words)
}

// tell has another seat say something.
func (st *stage) tell(m *duty.Message) {
	m.Size, m.Boot = 3, 1
	b, err := duty.NewCodec().Encode(m)
	if err != nil {
		st.t.Fatal(err)
	}
	st.handler.Message(b)
	st.step()
}
