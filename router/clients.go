package router

// clients.go owns the connections of clients: it reads queries, hands them to the owner, and writes the
// answers that the owner gives. It must never answer a query of its own accord once the owner has it, never
// end a connection on which a query is out without a whole answer, and never hold more of them than the
// machine's limit on descriptors leaves room for.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/limits"
)

const (
	servedStatus  = http.StatusOK
	refusedStatus = http.StatusServiceUnavailable
	failedStatus  = http.StatusInternalServerError

	clientRing = 4 << 10
	aheadMost  = 64 << 10 // what a client may send ahead of an answer; it is read so that its leaving shows
	healthPath = "/healthz"
)

// asked is a query as a client sent it.
type asked struct {
	id               string
	from             *caller
	body             *codec.QueryBody
	deadline         choice.Time
	vertical, tenant int
	key              string // what the query is about, where that is recorded
}

// caller is whoever asks queries, one at a time: a connection of the router's own protocol, or a request of
// another front.
type caller struct {
	answer   func(reply)  // one for each query; never blocks
	place    *limits.Conn // in the books; nil: none of its own
	canceled atomic.Bool  // it has left; the owner is told so behind whatever it was told before
	look     func() bool  // has it left by now, though nobody has read that yet? nil: it can't be seen

	// The owner's.
	query *query
	hold  *limits.Hold // of the last query, until its answer is written
}

// reply is what a client is to be answered. Where text is set it stands for the rows.
type reply struct {
	status  int
	holdOff time.Duration
	whole   bool
	rows    []codec.Row
	text    string
	closes  bool
	goOn    bool         // asks for the body; the query's own answer is still to come
	hold    *limits.Hold // given back once the answer is written
}

// door takes in connections of clients.
type door struct {
	cfg       *config.Config
	owner     *owner
	listener  net.Listener
	log       zerolog.Logger
	verticals map[string]int
	tenants   map[string]int
	mu        sync.Mutex
	conns     map[*limits.Conn]*client
	freed     chan struct{} // a connection has ended or become idle
	closed    bool
	ended     bool          // nothing is accepted any more
	posted    func(*client) // between a query's taking and its reader's next look; tests stop it there
	waysMade  int           // connections that have made way and have not ended yet
}

func numbers(names []string) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i
	}
	return m
}

func newDoor(cfg *config.Config, o *owner, l net.Listener, log zerolog.Logger) *door {
	return &door{cfg: cfg, owner: o, listener: l, log: log, verticals: numbers(cfg.Settings.Verticals),
		tenants: numbers(cfg.Settings.Tenants), conns: map[*limits.Conn]*client{}, freed: make(chan struct{}, 1)}
}

// run accepts connections until the program ends.
func (d *door) run(ctx context.Context) error {
	defer d.finished()
	defer context.AfterFunc(ctx, func() {
		d.close()
		d.listener.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, c := range d.conns {
			c.conn.Close()
		}
	})()
	for {
		conn, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // see close
			d.acceptBacklog(ctx)
			return nil
		}
		if err != nil && d.owner.gate.short(ctx, d.listener, err) {
			d.trim()
			continue
		}
		if err != nil { // no descriptors are left, or the client has gone already
			d.log.Warn().Err(err).Msg("could not accept")
			select {
			case <-ctx.Done():
			case <-time.After(d.cfg.Settings.ConnectTimeout):
			}
			continue
		}
		d.admit(ctx, conn)
	}
}

// acceptBacklog takes what the kernel has accepted by now: requests may have come there, and to close the listener would reset
// them. Descriptors bound it.
func (d *door) acceptBacklog(ctx context.Context) {
	defer d.listener.Close()
	for range d.cfg.Limits.Sockets / 8 {
		d.listener.(deadliner).SetDeadline(time.Now().Add(duration(d.cfg.Settings.Module.Tick)))
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.admit(ctx, conn)
	}
}

// admit takes a new connection, or turns it away.
func (d *door) admit(ctx context.Context, conn net.Conn) {
	place, verdict, why, retry := d.owner.gate.connect(conn)
	if verdict == limits.TurnAway {
		d.owner.gate.turnAway(ctx, conn, why, retry, d.cfg.LingerFor)
		return
	}
	// Where admission is off a connection that is too many is read all the same, and none is accepted
	// until room is made.
	waits := !d.owner.gate.admits()
	if verdict == limits.Displace && !waits && !d.makeRoom(ctx, place, why) {
		if ctx.Err() != nil {
			conn.Close()
			return
		}
		retry := d.owner.gate.refused(place, why, d.offered())
		d.owner.gate.turnAway(ctx, conn, why, retry, d.cfg.LingerFor)
		return
	}
	c := &client{door: d, conn: conn, in: codec.NewRing(clientRing),
		answers: make(chan reply, 2), done: make(chan struct{})}
	c.caller.answer, c.caller.place = c.answer, place
	c.caller.look = func() bool { _, gone := look(conn); return gone }
	c.idleUntil(d.cfg.RequestFor)
	d.mu.Lock()
	d.conns[place] = c
	if d.closed { // a client that has connected sends its request at once, or has sent it
		c.idleUntil(d.cfg.AskFor)
	}
	d.mu.Unlock()
	d.owner.group.Go(func() error { c.read(ctx); return nil })
	d.owner.group.Go(func() error { c.write(); return nil })
	if verdict == limits.Displace && waits {
		d.makeRoom(ctx, place, why)
	}
}

// offered are the connections that could make way. Those that have had their last answer come first, then
// those that have said nothing for longer than a usual client would, then those idle between requests, then
// requests that are long in coming. One that has just connected is not offered, nor one whose request has
// come and only waits to be read: to end it would cost its client the request.
func (d *door) offered() (all []limits.Standing) {
	admits := d.owner.gate.admits()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		rank := -1
		switch at := connState(c.state.Load()); {
		case at == lingering:
			rank = limits.Lingering // unless it has made way already, as the books know
		case at == idle && !c.again.Load() && c.left() <= d.cfg.RequestFor-d.cfg.AskFor:
			rank = limits.Silent
		case at == idle && c.again.Load():
			rank = limits.Idle
		case at == reading && c.left() <= d.cfg.RequestFor-d.cfg.Settings.ConnectTimeout:
			rank = limits.Endless
		case admits && at == idle && c.left() <= d.cfg.RequestFor-d.cfg.AskFor/5:
			rank = limits.Young
		}
		if rank >= 0 {
			all = append(
				all,
				limits.Standing{Conn: c.caller.place, Rank: rank, Until: limits.Time(c.until.Load() / 100)},
			)
		}
	}
	return all
}

// makeRoom has connections make way, one by one as the books name them, until a new one fits. Where none can
// it waits until one can, or, where admission is on, is false.
func (d *door) makeRoom(ctx context.Context, place *limits.Conn, why limits.Why) bool {
	for ctx.Err() == nil {
		offered := d.offered()
		for len(offered) > 0 {
			y := d.owner.gate.yield(place, why, offered)
			if y == nil {
				break
			}
			offered = slices.DeleteFunc(offered, func(s limits.Standing) bool { return s.Conn == y })
			c := d.at(y)
			if c == nil {
				continue
			}
			if connState(c.state.Load()) == reading {
				c.refuse(errNeverEnded)
			} else if !c.makeWay() {
				continue
			}
			if why = d.owner.gate.displaced(y, place); why == limits.Free {
				return true
			}
		}
		if why = d.owner.gate.crowded(place); why == limits.Free {
			return true
		}
		if d.owner.gate.admits() {
			return false
		}
		select {
		case <-ctx.Done():
		case <-d.freed:
		case <-time.After(d.cfg.AskFor):
		}
		if d.closing() {
			return false
		}
	}
	return false
}

// trim has connections go where fewer may be held than are.
func (d *door) trim() {
	offered := d.offered()
	for {
		y := d.owner.gate.trim(offered)
		if y == nil {
			return
		}
		offered = slices.DeleteFunc(offered, func(s limits.Standing) bool { return s.Conn == y })
		if c := d.at(y); c != nil && connState(c.state.Load()) != reading {
			c.makeWay()
		}
	}
}

// at is the client that has a place.
func (d *door) at(place *limits.Conn) *client {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[place]
}

// look tells, without reading, whether bytes have come on a connection that nobody has read yet, and whether its other
// end has gone.
func look(conn net.Conn) (pending, gone bool) {
	raw, can := conn.(syscall.Conn)
	if !can {
		return false, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false, true
	}
	n := 0
	var said error
	err = control.Control(func(fd uintptr) {
		n, _, said = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	waits := errors.Is(said, syscall.EAGAIN) || errors.Is(said, syscall.EINTR)
	return err == nil && said == nil && n > 0, err != nil || said != nil && !waits || said == nil && n == 0
}

// deadliner is a listener that can be told to stop waiting.
type deadliner interface{ SetDeadline(time.Time) error }

// close stops taking connections and ends those that are idle; the others end with their next answer.
func (d *door) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if l, can := d.listener.(deadliner); !can || l.SetDeadline(time.Now()) != nil {
		d.listener.Close()
	}
	for _, c := range d.conns {
		c.closeIdle()
	}
}

// finished: nothing more is accepted, and what was has a place.
func (d *door) finished() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.owner.post(d.owner.ctx, func(*owner) {})
}

func (d *door) closing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

func (d *door) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended && len(d.conns) == 0
}

func (d *door) gone(ctx context.Context, c *client) {
	c.caller.canceled.Store(true)
	d.mu.Lock()
	delete(d.conns, c.caller.place)
	if c.madeWay {
		d.waysMade--
	}
	d.mu.Unlock()
	d.owner.gate.gone(c.caller.place)
	d.owner.gate.put(limits.Bodies, c.room+c.ahead)
	poke(d.freed)
	d.owner.post(ctx, func(o *owner) { o.leave(&c.caller) })
}

// connState is where a connection stands with its client.
type connState int32

const (
	idle      connState = iota // between requests, nothing read
	reading                    // part of a request has been read
	waiting                    // the request is whole, its answer is not out yet
	lingering                  // the last answer is out; what still comes is thrown away, for a while
	ending
)

// client is one connection. Its reader and its writer are a goroutine each.
type client struct {
	door    *door
	conn    net.Conn
	in      *codec.Ring
	parser  codec.Parser
	answers chan reply // one is owed at most, and one that asks for the body
	done    chan struct{}
	state   atomic.Int32
	behind  atomic.Bool  // bytes that came before the answer was out wait in the ring
	over    atomic.Bool  // more came than may wait, and was thrown away: the connection ends with the answer
	madeWay bool         // for a new connection; the door's
	until   atomic.Int64 // in microseconds: when it has been idle, has been asking or has lingered for long enough
	caller  caller
	room    int // taken for the body that is coming
	size    int // of the body so far
	ahead   int // taken for what the client sends ahead

	began time.Time   // the request's first byte
	again atomic.Bool // a request has ended here before
	asked *asked      // nil where it is no query
	bad   error       // why the request can't be taken, once its framing is sure
}

// turnTo changes where the connection stands, if it stood where it was thought to.
func (c *client) turnTo(from, to connState) bool {
	return c.state.CompareAndSwap(int32(from), int32(to))
}

// closeIdle begins the end of a connection on which nothing of a request has come.
func (c *client) closeIdle() bool {
	pending, _ := look(c.conn)
	return !pending && c.halfClose(idle)
}

// halfClose ends the side that the client hears, if the connection stands where it was thought to, and leaves the other
// to the reader for a while: to close it over bytes that are just coming would reset it, and might take the last answer
// from the client. What comes then is thrown away: the client sees the end, and asks again on another connection.
func (c *client) halfClose(from connState) bool {
	if !c.turnTo(from, lingering) {
		return false
	}
	c.idleUntil(c.door.cfg.LingerFor)
	if half, can := c.conn.(interface{ CloseWrite() error }); !can || half.CloseWrite() != nil {
		c.conn.Close()
	}
	return true
}

// makeWay gives the connection's place to another, if nothing of a request has come, or nothing will be read. Some may
// linger without a place; beyond those it ends at once.
func (c *client) makeWay() bool {
	if c.turnTo(lingering, ending) {
		c.conn.Close()
	} else if !c.closeIdle() {
		return false
	}
	d := c.door
	d.mu.Lock()
	if d.conns[c.caller.place] == c {
		c.madeWay = true
		if d.waysMade++; d.waysMade > d.cfg.Limits.LingerSockets() {
			c.conn.Close()
		}
	}
	d.mu.Unlock()
	d.owner.gate.leaving(c.caller.place)
	return true
}

// idleUntil sets the end of the time for which the connection may stand as it does.
func (c *client) idleUntil(limit time.Duration) {
	end := time.Now().Add(limit)
	c.until.Store(c.door.owner.clk.micros(end))
	c.conn.SetReadDeadline(end)
}

// left is how much of that time is left.
func (c *client) left() time.Duration {
	return time.Duration(c.until.Load()-c.door.owner.clk.micros(time.Now())) * time.Microsecond
}

// answer hands the writer what to say. It never blocks, as one answer at most is owed.
func (c *client) answer(r reply) {
	select {
	case c.answers <- r:
	default:
		c.conn.Close()
	}
}

// read reads requests until the connection ends.
func (c *client) read(ctx context.Context) {
	defer c.door.gone(ctx, c)
	defer close(c.done)
	defer c.conn.Close()
	for {
		switch connState(c.state.Load()) {
		case idle, reading:
			if c.over.Load() { // nobody knows where a next request begins
				c.in.Skip(c.in.Len())
				if c.halfClose(idle) {
					continue
				}
			} else if !c.parse(ctx) {
				return
			}
			c.shrink()
			if connState(c.state.Load()) == idle && c.in.Len() > 0 { // answered already, and more has come
				continue
			}
		case lingering:
			c.linger()
			return
		case ending:
			return
		}
		if connState(c.state.Load()) == waiting {
			c.behind.Store(c.in.Len() > 0)
			if c.in.Len() > 0 && connState(c.state.Load()) != waiting { // the answer went out just now
				continue
			}
			if c.in.Free() == 0 && !c.grow() {
				c.over.Store(true)
				c.in.Skip(c.in.Len())
			}
		}
		_, err := c.in.Fill(c.conn)
		if at := connState(c.state.Load()); at == lingering || at == ending {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // the writer woke the reader, or time is up
			switch at := connState(c.state.Load()); {
			case at == waiting:
				c.conn.SetReadDeadline(time.Time{})
			case c.left() > 0:
				c.conn.SetReadDeadline(time.Now().Add(c.left()))
			case at == idle:
				if !c.closeIdle() { // a request has come just now
					c.idleUntil(c.door.cfg.AskFor)
				}
			case at == reading:
				c.conn.SetReadDeadline(time.Time{})
				c.refuse(errNeverEnded)
			}
			continue
		}
		if err != nil {
			return
		}
	}
}

// grow makes room for more of what a client sends ahead of its answer. It is false where that is too much.
func (c *client) grow() bool {
	size := c.in.Len()
	if size >= aheadMost || !c.door.owner.gate.take(limits.Bodies, size) {
		return false
	}
	c.in.Resize(2 * size)
	c.ahead += size
	return true
}

// shrink gives back what was taken for that, once it is not needed.
func (c *client) shrink() {
	if c.ahead > 0 && c.in.Len() < clientRing {
		c.in.Resize(clientRing)
		c.door.owner.gate.put(limits.Bodies, c.ahead)
		c.ahead = 0
	}
}

var errNeverEnded = &codec.Fault{Status: http.StatusRequestTimeout, Text: "the request never ended"}

// linger reads on for a while and throws away what comes: to end a connection with bytes unread would reset
// it, and the client might lose the answer that says why.
func (c *client) linger() {
	c.idleUntil(c.door.cfg.LingerFor) // once more: the reader may have taken away what halfClose has set
	for n := 0; n < c.door.cfg.LingerMost && connState(c.state.Load()) == lingering; {
		c.in.Skip(c.in.Len())
		more, err := c.in.Fill(c.conn)
		if n += more; err != nil {
			return
		}
	}
}

// parse goes through what the ring holds, up to the end of one request. It is false where the connection has
// to end.
func (c *client) parse(ctx context.Context) bool {
	for {
		if c.in.Len() > 0 && c.turnTo(idle, reading) {
			// From here on a request's time counts; the first one's has counted since the client connected.
			c.noBody()
			if c.began = time.Now(); c.again.Load() || c.door.closing() {
				c.idleUntil(c.door.cfg.RequestFor)
			}
		} else if at := connState(c.state.Load()); at == lingering || at == ending {
			return true // it was closed as this came
		}
		step, piece, err := c.parser.Next(c.in)
		if err != nil {
			c.refuse(err) // nobody can find the request's end: the connection ends with the answer
			return true
		}
		switch step {
		case codec.More:
			if c.parser.Between() && c.in.Len() == 0 {
				c.turnTo(reading, idle)
			}
			return true
		case codec.Begun:
			c.asked, c.bad = c.check()
			if c.parser.Head.Continues() {
				if c.bad != nil { // the body may come or not, so nobody knows where a next request begins
					c.refuse(c.bad)
					return true
				}
				c.answer(reply{goOn: true})
			}
		case codec.Data:
			if c.bad == nil && c.asked != nil && !c.fits(len(piece)) {
				c.bad = errNoRoom
			}
			if c.bad == nil && c.asked != nil {
				c.bad = c.asked.body.Feed(piece)
			}
		case codec.Ended:
			c.conn.SetReadDeadline(time.Time{})
			c.again.Store(true)
			return c.ended(ctx)
		}
	}
}

// fits takes room for more of a body.
func (c *client) fits(more int) bool {
	c.size += more
	for c.room < c.size {
		if !c.door.owner.gate.take(limits.Bodies, bodyStep) {
			return false
		}
		c.room += bodyStep
	}
	return true
}

// noBody gives back what was taken for a body.
func (c *client) noBody() {
	if c.room > 0 {
		c.door.owner.gate.put(limits.Bodies, c.room)
	}
	c.room, c.size = 0, 0
}

var errNoRoom = &codec.Fault{Status: refusedStatus, Text: "no room for the request's body"}

// refuse answers a request that can't be taken, and ends the connection with it.
func (c *client) refuse(err error) {
	if c.turnTo(reading, waiting) {
		c.answer(reply{status: statusOf(err), text: err.Error(), closes: true})
	}
}

func statusOf(err error) int {
	var f *codec.Fault
	if errors.As(err, &f) {
		return f.Status
	}
	return http.StatusBadRequest
}

// check looks at a request's head. What it returns is nil for a look at the health.
func (c *client) check() (*asked, error) {
	h := &c.parser.Head
	path, _, _ := strings.Cut(h.Target, "?")
	if path == healthPath {
		if h.Method != http.MethodGet {
			return nil, &codec.Fault{Status: http.StatusMethodNotAllowed, Text: "GET only"}
		}
		return nil, nil
	}
	if h.Method != http.MethodPost {
		if _, known := c.vertical(); !known {
			return nil, &codec.Fault{Status: http.StatusNotFound, Text: "nothing is here"}
		}
		return nil, &codec.Fault{Status: http.StatusMethodNotAllowed, Text: "POST only"}
	}
	_, lengths := h.Get("content-length")
	if _, codings := h.Get("transfer-encoding"); lengths+codings == 0 {
		return nil, &codec.Fault{Status: http.StatusLengthRequired, Text: "a query has a body with a length"}
	}
	return c.head()
}

func (c *client) vertical() (int, bool) {
	path, rooted := strings.CutPrefix(c.parser.Head.Target, "/")
	name, _, _ := strings.Cut(path, "/")
	name, _, _ = strings.Cut(name, "?")
	v, known := c.door.verticals[name]
	return v, known && rooted
}

// head reads what the head says of a query.
func (c *client) head() (*asked, error) {
	h := &c.parser.Head
	a := &asked{from: &c.caller, body: codec.NewQueryBody(c.door.cfg.Settings.Module.Shards)}
	var known bool
	if a.vertical, known = c.vertical(); !known {
		return nil, &codec.Fault{Status: http.StatusNotFound, Text: "no such vertical"}
	}
	id, ids := h.Get("x-trace-id")
	if ids != 1 || !sane(id) {
		return nil, errors.New("X-Trace-Id: missing or malformed")
	}
	a.id = id
	if c.door.cfg.More.Capture.Enabled {
		a.key = keyOf(c.parser.Head.Target)
	}
	if name, times := h.Get("x-customer"); len(c.door.tenants) > 0 {
		if a.tenant, known = c.door.tenants[name]; !known || times != 1 {
			return nil, errors.New("X-Customer: unknown")
		}
	}
	c.door.owner.gate.request(c.caller.place, a.tenant)
	left, times := h.Get("x-expires-in-ms")
	ms, err := codec.Millis(left)
	if times != 1 || err != nil {
		return nil, errors.New("X-Expires-In-Ms: missing or malformed")
	}
	// A client's whole wait is stated for its vertical; one that claims more would hold its query for as
	// long.
	most := c.door.cfg.Settings.Module.Verticals[a.vertical].Deadline
	a.deadline = c.door.owner.clk.at(c.began) - 1 + min(choice.Time(ms)*choice.Millisecond, most)
	return a, nil
}

// keyOf is the last part of a target's path, if there is one behind the vertical.
func keyOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if i := strings.LastIndexByte(path, '/'); i > 0 {
		return path[i+1:]
	}
	return ""
}

// sane: a trace id stands in the lines of frames, so it must be a short word.
func sane(id string) bool {
	for _, b := range []byte(id) {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= 64
}

// ended takes a whole request. It is false where the connection has to end.
func (c *client) ended(ctx context.Context) bool {
	if !c.turnTo(reading, waiting) {
		return false
	}
	if c.bad == nil && c.asked == nil {
		status, phase := http.StatusOK, c.door.owner.phase.now()
		if phase != Serving {
			status = http.StatusServiceUnavailable
		}
		c.answer(reply{status: status, text: phase.String()})
		return true
	}
	if c.bad == nil {
		c.bad = c.asked.body.End()
	}
	if c.bad != nil {
		c.door.log.Debug().Err(c.bad).Str("target", c.parser.Head.Target).Msg("malformed request")
		r := reply{status: statusOf(c.bad), text: c.bad.Error(), closes: true}
		if c.bad == errNoRoom {
			r.holdOff = duration(choice.Time(limits.ComeBack))
		}
		c.noBody()
		c.answer(r)
		return true
	}
	a := c.asked
	c.asked = nil
	room := c.room
	c.room, c.size = 0, 0
	if _, gone := look(c.conn); gone { // while this router stood still: it is never begun
		c.door.owner.gate.put(limits.Bodies, room)
		return false
	}
	c.door.owner.post(ctx, func(o *owner) {
		o.take(a)
		o.gate.put(limits.Bodies, room) // from here on its text counts with the query
	})
	if c.door.posted != nil {
		c.door.posted(c)
	}
	return true
}

// write writes answers until the connection ends.
func (c *client) write() {
	lingers := false
	defer func() {
		if !lingers {
			c.conn.Close()
		}
	}()
	w := codec.NewWriter(c.conn, clientRing)
	for {
		select {
		case <-c.done:
			return
		case r := <-c.answers:
			c.conn.SetWriteDeadline(time.Now().Add(c.door.cfg.Settings.Longest))
			if r.goOn {
				w.Write(codec.AppendContinue(nil))
				if w.Flush() != nil {
					return
				}
				continue
			}
			closes := r.closes || c.parser.Head.Closes() || c.over.Load() || c.door.closing()
			var body []byte
			switch {
			case r.text != "":
				body = fmt.Appendf(nil, "%s\n", r.text)
			case r.status == servedStatus:
				body = codec.AppendAnswer(nil, r.whole, r.rows)
				r.rows = nil // a client that reads slowly holds its answer once, not twice
			}
			more := ""
			if r.holdOff > 0 {
				more = fmt.Sprintf("Retry-After: %.3f\r\n", r.holdOff.Seconds())
			}
			w.Write(codec.AppendResponse(nil, r.status, len(body), closes, more))
			w.Write(body)
			if w.Flush() != nil {
				return
			}
			c.door.owner.gate.done(r.hold)
			if closes {
				lingers = c.halfClose(waiting)
				return
			}
			c.idleUntil(c.door.cfg.IdleFor)
			if !c.turnTo(waiting, idle) {
				return
			}
			if c.behind.Swap(false) || c.over.Load() {
				c.conn.SetReadDeadline(time.Now())
			}
			poke(c.door.freed)
			if c.door.closing() {
				c.closeIdle()
			}
		}
	}
}
