package duties

// sockets.go owns the same game in real time: instances with gossip between them, and leaves that are probed, all on
// loopback sockets of this process. What the leaves count is judged by the same audit. It must never end a process that
// is not its own, and everything it opens it closes.

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"moleshift/duty"
	"moleshift/member"
)

const (
	sockSlack   = 200 * duty.Millisecond // that a busy machine may be late
	sockProbe   = 250 * time.Millisecond
	sockSettle  = 6 * time.Second // for gossip to find all, before anything counts
	leastDown   = 2 * time.Second
	mostDown    = 10 * time.Second
	queueLength = 4096
)

// game is a run on sockets. Its lock guards the world, which here only keeps the books.
type game struct {
	mu     sync.Mutex
	w      *world
	reals  []*real
	duties map[string]*duty.Duty // for their arithmetic
	leaves map[string]net.Listener
	group  sync.WaitGroup
	seeds  []string
	open   map[net.Conn]bool
}

// real is one instance: a goroutine that owns the node, and its membership.
type real struct {
	g      *game
	i      *instance
	member *member.Member
	node   *duty.Node
	codec  *duty.Codec
	queue  chan func(now duty.Time)
	done   chan struct{}
	ended  sync.WaitGroup
	listen string
}

func unix() duty.Time { return duty.Time(time.Now().UnixMicro() / 100) }

// RunSockets plays one run.
func RunSockets(o Options, progress func(done, of time.Duration)) (*Result, error) {
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), now: unix(), codec: duty.NewCodec(), slack: sockSlack}
	w.audit = newAudit(w)
	g := &game{w: w, duties: map[string]*duty.Duty{}, leaves: map[string]net.Listener{}, open: map[net.Conn]bool{}}
	defer g.end()
	book := duty.New(duty.Settings{Size: o.Instances, Lease: Tenths(o.Lease), Beat: Tenths(o.Lease) / beats}, nil, w.now)
	for range o.Leaves {
		w.made++
		name := fmt.Sprintf("probe/leaf-%04d", w.made)
		w.leaves = append(w.leaves, name)
		g.duties[name] = book.Add(w.now, name, Tenths(o.Interval))
		if err := g.leaf(name); err != nil {
			return nil, err
		}
	}
	for seat := range o.Instances {
		r := &real{g: g, i: &instance{w: w, seat: seat}, listen: "127.0.0.1:0"}
		w.instances, g.reals = append(w.instances, r.i), append(g.reals, r)
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(sockSettle)
	g.mu.Lock()
	w.now = unix()
	begun := w.now
	for _, name := range w.leaves {
		w.audit.added(name, w.now)
	}
	w.audit.changed()
	g.mu.Unlock()
	before := processTime()
	if err := g.play(begun, progress); err != nil {
		return nil, err
	}
	cpu := processTime() - before
	g.mu.Lock()
	defer g.mu.Unlock()
	w.now = unix()
	for _, i := range w.instances {
		i.keepCounts()
	}
	w.audit.end()
	w.cpu = cpu
	return w.result()
}

// processTime is the CPU time of this process, leaves and all.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// play kills instances and brings them back until the time is over.
func (g *game) play(begun duty.Time, progress func(done, of time.Duration)) error {
	o := g.w.o
	type trouble struct {
		at duty.Time
		do func() error
	}
	var queue []trouble
	for range o.Kills {
		queue = append(queue, trouble{at: begun + g.w.random(Tenths(o.For)*9/10)})
	}
	end := begun + Tenths(o.For)
	for now := unix(); now < end; now = unix() {
		if progress != nil {
			progress(time.Duration(now-begun)*time.Millisecond/10, o.For)
		}
		for i := 0; i < len(queue); i++ {
			t := queue[i]
			if t.at > now {
				continue
			}
			queue = append(queue[:i], queue[i+1:]...)
			i--
			if t.do != nil {
				if err := t.do(); err != nil {
					return err
				}
				continue
			}
			g.mu.Lock()
			g.w.now = unix()
			victim := g.w.pick()
			g.mu.Unlock()
			if victim == nil {
				continue
			}
			r := g.reals[victim.seat]
			r.kill()
			down := Tenths(leastDown) + g.w.random(Tenths(mostDown-leastDown))
			queue = append(queue, trouble{now + down, r.start})
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// end closes all.
func (g *game) end() {
	for _, r := range g.reals {
		r.stop()
	}
	for _, l := range g.leaves {
		l.Close()
	}
	g.mu.Lock()
	for c := range g.open {
		c.Close()
	}
	g.mu.Unlock()
	g.group.Wait()
}

// leaf is a stand-in leaf that answers probes for load, in the frames of the router's protocol.
func (g *game) leaf(name string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.leaves[name] = l
	g.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.open[c] = true
			g.mu.Unlock()
			g.group.Go(func() {
				g.answer(name, c)
				c.Close()
				g.mu.Lock()
				delete(g.open, c)
				g.mu.Unlock()
			})
		}
	})
	return nil
}

func (g *game) answer(name string, c net.Conn) {
	c.SetDeadline(time.Now().Add(10 * time.Second))
	var frame [5]byte
	if _, err := io.ReadFull(c, frame[:]); err != nil || frame[4] != 'U' {
		return
	}
	g.mu.Lock()
	g.w.now = unix()
	if d := g.duties[name]; g.w.audit.books[name] != nil {
		g.w.audit.performed(d, -1, d.Number(g.w.now), duty.InTurn)
	}
	g.mu.Unlock()
	c.Write([]byte("\x00\x00\x00\x10Ulatency_ms=10.0"))
}

// ---- an instance ----

func (r *real) start() error {
	r.queue, r.done, r.codec = make(chan func(duty.Time), queueLength), make(chan struct{}), duty.NewCodec()
	now := unix()
	o := r.g.w.o
	r.node = duty.New(duty.Settings{Seat: r.i.seat, Size: o.Instances, Skew: Tenths(o.Skew), Lease: Tenths(o.Lease),
		Beat: Tenths(o.Lease) / beats, Seed: o.Seed}, r, now)
	for _, name := range r.g.w.leaves {
		r.node.Add(now, name, Tenths(o.Interval))
	}
	var err error
	for range 50 { // its port may take a moment to be free again
		r.member, err = member.Start(member.Settings{Name: fmt.Sprintf("i%d", r.i.seat), Seat: r.i.seat, Boot: int64(now),
			Listen: r.listen, Seeds: r.g.seeds, Cluster: "lab"}, r, nil, zerolog.Nop())
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.listen = r.member.Address()
	r.g.mu.Lock()
	if len(r.g.seeds) < 3 {
		r.g.seeds = append(r.g.seeds, r.listen)
	}
	w := r.g.w
	w.now = unix()
	r.i.node, r.i.grantsAt = r.node, w.now+Tenths(o.Lease)+Tenths(o.Skew)
	w.audit.up(r.i.seat, true)
	w.log("instance %d starts", r.i.seat)
	w.audit.changed()
	r.g.mu.Unlock()
	r.ended.Go(r.run)
	return nil
}

// run owns the node.
func (r *real) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := unix()
		if r.node.Next() <= now {
			r.node.Awake(now)
		}
		timer.Reset(max(time.Duration(r.node.Next()-unix())*time.Millisecond/10, 0))
		select {
		case <-r.done:
			return
		case f := <-r.queue:
			f(unix())
		case <-timer.C:
		}
	}
}

// kill ends the instance without a word to anybody.
func (r *real) kill() {
	r.g.mu.Lock()
	w := r.g.w
	w.now = unix()
	w.log("instance %d dies", r.i.seat)
	w.audit.dead[r.i.seat] = w.now
	w.audit.lost(r.i.seat)
	w.audit.up(r.i.seat, false)
	r.g.mu.Unlock()
	r.stop()
	r.g.mu.Lock()
	w.now = unix()
	r.i.keepCounts()
	r.i.node = nil
	w.audit.changed()
	r.g.mu.Unlock()
}

func (r *real) stop() {
	if r.done == nil {
		return
	}
	close(r.done)
	r.ended.Wait()
	if r.member != nil {
		r.member.Close()
	}
	r.done = nil
}

func (r *real) post(f func(duty.Time)) {
	select {
	case r.queue <- f:
	default:
	}
}

// Message is part of member.Handler.
func (r *real) Message(b []byte) {
	if m, err := r.codec.Decode(b); err == nil {
		r.post(func(now duty.Time) { r.node.Hear(now, m) })
	}
}

// Viewed is part of member.Handler.
func (r *real) Viewed(member.View) {}

// Send is part of duty.Port.
func (r *real) Send(seat int, m *duty.Message) {
	r.give(m, 1, func(b []byte) { r.member.Send(seat, b) })
}

// Broadcast is part of duty.Port.
func (r *real) Broadcast(m *duty.Message) {
	if m.Kind == duty.Ask {
		r.g.mu.Lock()
		r.g.w.audit.planned(m.Plan)
		r.g.mu.Unlock()
	}
	r.give(m, r.g.w.o.Instances-1, r.member.Broadcast)
}

func (r *real) give(m *duty.Message, copies int, send func([]byte)) {
	b, err := r.codec.Encode(m)
	if err != nil {
		return
	}
	r.g.mu.Lock()
	r.i.sent += copies
	r.i.bytes += copies * len(b)
	r.g.mu.Unlock()
	send(b)
}

// Perform is part of duty.Port: the leaf is probed over a socket.
func (r *real) Perform(d *duty.Duty, k int64, why duty.Why) {
	r.g.mu.Lock()
	r.g.w.audit.begun(why, unix()-d.Begin(k))
	r.g.mu.Unlock()
	at := r.g.leaves[d.Name()].Addr().String()
	r.g.group.Go(func() {
		result := []byte("no")
		if c, err := net.DialTimeout("tcp", at, sockProbe); err == nil {
			c.SetDeadline(time.Now().Add(sockProbe))
			if _, err := c.Write([]byte("\x00\x00\x00\x01U")); err == nil {
				var length [4]byte
				if _, err := io.ReadFull(c, length[:]); err == nil && binary.BigEndian.Uint32(length[:]) > 0 {
					result = []byte("ok")
				}
			}
			c.Close()
		}
		r.post(func(now duty.Time) { r.node.Performed(now, d, k, why, result) })
	})
}

// Heard is part of duty.Port.
func (r *real) Heard(d *duty.Duty, seat int, at duty.Time, result []byte) {
	r.g.mu.Lock()
	r.g.w.audit.heard(unix() - at)
	r.g.mu.Unlock()
}

// Note is part of duty.Port.
func (r *real) Note(n duty.Note) {
	if n.Event == duty.Led && n.Seat == r.i.seat {
		r.g.mu.Lock()
		r.g.w.now = unix()
		r.g.w.audit.elections++
		r.g.w.log("instance %d leads", n.Seat)
		r.g.mu.Unlock()
	}
}
