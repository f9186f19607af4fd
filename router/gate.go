package router

// gate.go owns the books of package limits: it tells them what connections, queries and frames take and give
// back, under one lock, and answers connections that are turned away. It must never decide what fits, and
// never hold its lock over a read or a write.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime/metrics"
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

// What things take that the book can't see: goroutines with their stacks, timers and the kernel's part left
// out.
const (
	clientBytes = 2*clientRing + 10<<10
	linkBytes   = 2*leafRing + 12<<10
	ghostBytes  = 64
	dueBytes    = 96
	leafBytes   = 1 << 10
	bodyStep    = 4 << 10 // in which a body's room is taken

	gateEvery = time.Second            // counting what is only counted
	refuseFor = 100 * time.Millisecond // to write a refusal
	driftsFor = 10                     // looks on end at which the heap holds too much, before it is told
)

// gate is the driver of the books.
type gate struct {
	clk clock
	log zerolog.Logger

	mu     sync.Mutex
	door   *limits.Door
	book   *limits.Book
	room   *limits.Room
	more   *config.File
	places int
	heap   func() int64 // bytes of objects
	spare  *os.File     // given up for a moment to answer a connection when no descriptor is left

	links    atomic.Int64  // connections to leaves
	refusals chan struct{} // connections that are being answered and let go
	unclear  int           // that could not be answered
	drifts   int
	told     choice.Time // when the book was last logged
}

func newGate(cfg *config.Config, clk clock, log zerolog.Logger) *gate {
	g := &gate{
		places:   placesOf(cfg),
		clk:      clk,
		log:      log,
		more:     cfg.More,
		heap:     heapBytes,
		refusals: make(chan struct{}, max(cfg.More.Admission.Refusals, 1)),
	}
	g.door = limits.NewDoor(doorSettings(cfg), limits.NewKnown(cfg.Seed, g.places))
	g.book = limits.NewBook(wholeOf(cfg), limits.Portions())
	g.room = limits.NewRoom(g.book, len(cfg.Settings.Verticals))
	if cfg.More.Admission.Enabled {
		g.holdSpare()
	}
	return g
}

// placesOf is for how many clients there is room in the table of those who are known: none while nobody asks.
func placesOf(cfg *config.Config) int {
	if !cfg.More.Admission.Enabled {
		return 0
	}
	return cfg.More.Admission.Remembered
}

// doorSettings turns shares of connections into numbers.
func doorSettings(cfg *config.Config) limits.DoorSettings {
	a := &cfg.More.Admission
	most := cfg.Limits.ClientSockets()
	if a.Enabled && a.Connections > 0 {
		most = min(a.Connections, most)
	}
	of := func(share float64) int { return int(share * float64(most)) }
	return limits.DoorSettings{
		Enabled:    a.Enabled,
		Most:       most,
		Reserve:    of(a.Reserve),
		PerAddress: of(a.PerAddress),
		PerNetwork: of(a.PerNetwork),
		Bits4:      a.IPv4,
		Bits6:      a.IPv6,
		Rate:       a.Rate,
		Burst:      a.Burst,
		Listed:     a.Networks(),
	}
}

func wholeOf(cfg *config.Config) int64 {
	if !cfg.More.Memory.Enabled {
		return 0
	}
	return int64(cfg.More.Memory.Portion * float64(int64(cfg.Limits.MemoryMB)<<20))
}

func (g *gate) now() limits.Time { return limits.Time(g.clk.now()) }

// change takes over new settings.
func (g *gate) change(cfg *config.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.more = cfg.More
	g.door.Change(doorSettings(cfg))
	if n := placesOf(cfg); n != g.places { // what was remembered in another number of places is forgotten
		g.places = n
		g.door.Remember(limits.NewKnown(cfg.Seed, n))
	}
	g.book.Resize(wholeOf(cfg), limits.Portions())
	if cfg.More.Admission.Enabled {
		g.holdSpare()
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spare != nil {
		g.spare.Close()
		g.spare = nil
	}
}

// holdSpare keeps a descriptor; the lock is held, or nobody else is there yet.
func (g *gate) holdSpare() {
	if g.spare == nil {
		// Without one a connection can't be answered when descriptors run out.
		g.spare, _ = os.Open(os.DevNull)
	}
}

// ---- connections ----

func addressOf(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// connect asks for a place for a new connection.
func (g *gate) connect(conn net.Conn) (*limits.Conn, limits.Verdict, limits.Why, limits.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.book.Take(limits.Connections, clientBytes) {
		return nil, limits.TurnAway, limits.AllFull, limits.ComeBack
	}
	c, v, why, retry := g.door.Connect(g.now(), addressOf(conn))
	if v == limits.TurnAway {
		g.book.Return(limits.Connections, clientBytes)
	}
	return c, v, why, retry
}

// gone: a connection that had a place is no more.
func (g *gate) gone(c *limits.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.Gone(c)
	g.book.Return(limits.Connections, clientBytes)
}

// admits tells whether admission is on.
func (g *gate) admits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.more.Admission.Enabled
}

func (g *gate) yield(c *limits.Conn, why limits.Why, offered []limits.Standing) *limits.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.door.Yield(c, why, offered)
}

// displaced: a connection has made way for another. Does that fit now?
func (g *gate) displaced(y, c *limits.Conn) limits.Why {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.Displaced(y)
	return g.door.Crowded(c)
}

func (g *gate) crowded(c *limits.Conn) limits.Why {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.door.Crowded(c)
}

// refused takes the place of a connection back for which nobody made way.
func (g *gate) refused(c *limits.Conn, why limits.Why, offered []limits.Standing) limits.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Return(limits.Connections, clientBytes)
	return g.door.Refused(g.now(), c, why, offered)
}

func (g *gate) leaving(c *limits.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.Leaving(c)
}

func (g *gate) request(c *limits.Conn, tenant int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.Request(g.now(), c, tenant)
}

func (g *gate) answered(c *limits.Conn, tenant int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.Answered(g.now(), c, tenant)
}

// ---- memory ----

func (g *gate) take(p limits.Purpose, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Take(p, int64(n))
}

func (g *gate) put(p limits.Purpose, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Return(p, int64(n))
}

// query takes room for a query.
func (g *gate) query(now choice.Time, vertical, text, parts int) (*limits.Hold, choice.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, retry := g.room.Take(limits.Time(now), vertical, int64(text), parts)
	return h, choice.Time(retry)
}

func (g *gate) value(h *limits.Hold, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return h.Value(int64(n))
}

func (g *gate) over(h *limits.Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.Answered()
}

func (g *gate) done(h *limits.Hold) {
	if h == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h.Done(g.now())
}

// ---- connections that are turned away ----

// refuse writes why a connection is turned away, and when to come back: into an empty socket buffer, so it does
// not wait.
func refuse(conn net.Conn, why limits.Why, retry limits.Time) error {
	text := why.String() + "\n"
	more := fmt.Sprintf("Retry-After: %.3f\r\n", duration(choice.Time(retry)).Seconds())
	conn.SetWriteDeadline(time.Now().Add(refuseFor))
	_, err := conn.Write(append(codec.AppendResponse(nil, refusedStatus, len(text), true, more), text...))
	return err
}

// turnAway answers a connection that has no place, and lets it go once the client has had time to read that.
// Answers are bounded: what comes beyond is closed with at most a try to tell.
func (g *gate) turnAway(
	ctx context.Context,
	conn net.Conn,
	why limits.Why,
	retry limits.Time,
	lingers time.Duration,
) {
	err := refuse(conn, why, retry)
	half, can := conn.(interface{ CloseWrite() error })
	if err != nil || !can || half.CloseWrite() != nil {
		conn.Close()
		return
	}
	select {
	case g.refusals <- struct{}{}:
	default:
		g.mu.Lock()
		g.unclear++
		g.mu.Unlock()
		conn.Close()
		return
	}
	go func() {
		defer func() { <-g.refusals }()
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		conn.SetReadDeadline(time.Now().Add(lingers))
		io.Copy(io.Discard, io.LimitReader(conn, clientRing)) // what it sends is of no interest
	}()
}

// noFiles tells whether an error says that there are no descriptors, or no memory for them in the kernel.
func noFiles(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM)
}

// shortage tells the books that descriptors have run out.
func (g *gate) shortage() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.more.Admission.Enabled {
		g.door.Short(g.now(), int(g.links.Load()))
	}
}

// mostLinks is how many connections to leaves there may be at most.
func (g *gate) mostLinks(stated int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := g.door.Links(g.now()); n > 0 {
		return min(n, stated)
	}
	return stated
}

func (g *gate) trim(offered []limits.Standing) *limits.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.door.Trim(offered)
}

// short: no descriptor was left to accept with. The spare one is given up for as long as it takes to answer
// one connection, at a bounded rate, so that the client hears when to come back.
func (g *gate) short(ctx context.Context, l net.Listener, err error) bool {
	if !noFiles(err) || !g.admits() {
		return false
	}
	g.shortage()
	g.mu.Lock()
	spare := g.spare
	g.spare = nil
	g.mu.Unlock()
	if spare == nil {
		return false
	}
	spare.Close()
	pause := duration(choice.Time(limits.ShortPause))
	if conn, err := l.Accept(); err == nil {
		err := refuse(conn, limits.Exhausted, limits.ComeBack)
		if half, can := conn.(interface{ CloseWrite() error }); can && err == nil {
			half.CloseWrite()
			conn.SetReadDeadline(time.Now().Add(pause)) // a moment, or unread bytes would take the answer back
			io.Copy(io.Discard, io.LimitReader(conn, clientRing))
		}
		conn.Close()
	}
	g.mu.Lock()
	g.holdSpare()
	g.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return true
}

// ---- the owner's part ----

// watch counts what is only counted, and tells what an operator should know. It is called by the owner about
// once a second.
func (g *gate) watch(o *owner) {
	ghosts := 0
	for _, l := range o.listed {
		for _, c := range l.conns {
			ghosts += len(c.ghosts)
		}
	}
	var captured int64
	if o.recording != nil {
		captured = o.recording.rec.Held()
	}
	g.mu.Lock()
	g.book.Set(limits.GivenUp, int64(ghosts)*ghostBytes)
	g.book.Set(limits.Dues, int64(len(o.dues))*dueBytes+queueLength*8)
	g.book.Set(limits.List, int64(len(o.listed))*leafBytes)
	g.book.Set(limits.Captures, captured)
	near := g.book.Warnings()
	held, whole, heap := g.book.Held(), g.book.Whole, g.heap()
	drifts := g.book.Drifts(heap)
	var lines []string
	if o.now-g.told >= tenths(g.more.Memory.LogEvery) {
		g.told = o.now
		for _, p := range limits.Purposes() {
			a := g.book.Accounts[p]
			lines = append(lines, fmt.Sprintf("%v %d peak %d of %d", p, a.Held, a.Peak, a.Cap))
		}
	}
	var says []string
	for _, p := range near {
		a := g.book.Accounts[p]
		says = append(says, fmt.Sprintf("%v %d of %d", p, a.Held, a.Cap))
	}
	largest := g.door.Largest(3)
	g.mu.Unlock()
	if len(near) > 0 {
		e := g.log.Warn().Strs("purposes", says).Int64("held", held).Int64("whole", whole)
		for i, s := range largest {
			e = e.Str(fmt.Sprintf("holder_%d", i), fmt.Sprintf("%s: %d connections", s.Holder, s.Count))
		}
		e.Msg("memory is near a cap")
	}
	if len(lines) > 0 {
		g.log.Info().Int64("held", held).Int64("whole", whole).Int64("heap", heap).Strs("book", lines).Msg("memory")
	}
	if drifts {
		if g.drifts++; g.drifts == driftsFor { // once
			g.log.Warn().Int64("heap", heap).Int64("held", held).Msg("the heap holds more than the book")
		}
	} else {
		g.drifts = 0
	}
}

func heapBytes() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64())
}

// LimitsStatus is the whole book, as the page for operators has it.
type LimitsStatus struct {
	Admission   bool             `json:"admission"`
	Memory      bool             `json:"memory"`
	Connections int              `json:"connections"`
	Most        int              `json:"most"`
	Reserve     int              `json:"reserve"`
	Turned      map[string]int   `json:"turned_away"`
	Displaced   int              `json:"displaced"`
	Unclear     int              `json:"not_answered"`
	Known       int              `json:"known_places"`
	Largest     []limits.Share   `json:"largest"`
	Held        int64            `json:"held"`
	Whole       int64            `json:"whole"`
	Heap        int64            `json:"heap"`
	Uneven      int              `json:"uneven"`
	Open        int              `json:"open_queries"`
	Purposes    map[string]Entry `json:"purposes"`
}

// Entry is one purpose's line.
type Entry struct {
	Held    int64 `json:"held"`
	Peak    int64 `json:"peak"`
	Floor   int64 `json:"floor"`
	Cap     int64 `json:"cap"`
	Refused int   `json:"refused"`
}

const tellLargest = 8

func (g *gate) status() *LimitsStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &LimitsStatus{
		Admission:   g.more.Admission.Enabled,
		Memory:      g.more.Memory.Enabled,
		Connections: g.door.Held(),
		Most:        g.door.Most(),
		Reserve:     g.door.Reserve(),
		Turned:      map[string]int{},
		Displaced:   g.door.Counts.Displaced,
		Unclear:     g.unclear,
		Known:       g.door.Places(),
		Largest:     g.door.Largest(tellLargest),
		Held:        g.book.Held(),
		Whole:       g.book.Whole,
		Heap:        g.heap(),
		Uneven:      g.book.Uneven,
		Open:        g.room.Open(),
		Purposes:    map[string]Entry{},
	}
	for why, n := range g.door.Counts.Turned {
		if n > 0 {
			s.Turned[limits.Why(why).String()] = n
		}
	}
	for _, p := range limits.Purposes() {
		a := g.book.Accounts[p]
		s.Purposes[p.String()] = Entry{a.Held, a.Peak, a.Floor, a.Cap, a.Refused}
	}
	return s
}
