package router

// leaves.go owns the connections to leaves: it dials, writes frames, reads answers, and classes how each call
// ended. It must never choose a leaf, never repeat a call, and never say of a part that it has not run unless
// the last byte of its frame was not written.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/limits"
	"moleshift/subset"
)

const (
	leafRing   = 8 << 10
	mostGhosts = 512                   // answers still expected on a connection for calls that were given up
	holdsFor   = 25 * time.Millisecond // a connection that takes nothing holds what it was given: none begins 0.1 s after its client left
)

// leaf is one server as the list has it, with the connections to it. All of it is the owner's.
type leaf struct {
	id      string
	address string
	started choice.Time
	l       *choice.Leaf
	conns   []*leafConn
	sends   []*call // of this turn
	gone    bool    // from the list; forgotten with the last connection
	serving bool    // it is in service
	cell    int
	last    choice.Entry // as the list has it
}

// news takes what the list says.
func (o *owner) news(list config.List, cached bool) {
	entries := make([]choice.Entry, 0, len(list.Servers))
	barred := map[*leaf]bool{} // takes nothing new
	if list.Whole {
		for _, l := range o.listed {
			barred[l], l.gone, l.serving = true, true, false
		}
	}
	for _, s := range list.Servers {
		l := o.leaves[s.ID]
		if l == nil {
			l = &leaf{id: s.ID, l: new(choice.Leaf)}
			o.leaves[s.ID], o.doors[l.l], o.listed = l, l, append(o.listed, l)
		}
		e := choice.Entry{Leaf: l.l, Zone: o.zone(s.Zone), Cell: s.Cell, Condition: s.Condition()}
		if s.StartedMS > 0 {
			e.Started = config.CeilTime(s.StartedMS)
		}
		if l.last = e; o.ranging != nil {
			e.Shards = o.ranging.spans.Holds(l.id)
		}
		moved := s.Address != "" && s.Address != l.address
		for _, c := range l.conns {
			if up := c.upSince(); up > 0 && up < e.Started && e.Started != l.started {
				c.finish() // it leads to a process that is no more
			} else if moved {
				c.retire()
			}
		}
		if l.started = e.Started; moved {
			l.address = s.Address
		}
		barred[l], l.gone = e.Condition != choice.Ready, e.Condition == choice.Gone
		l.serving, l.cell = !barred[l], s.Cell
		entries = append(entries, e)
	}
	if o.holding != nil { // first, so that a new leaf outside the subset is never a candidate
		changed := o.holding.list(o)
		for i := range entries {
			if l := o.doors[entries[i].Leaf]; l != nil {
				entries[i] = o.holding.entry(l)
			}
		}
		if changed {
			defer o.holding.tell(o)
		}
	}
	o.root.List(o.now, entries, list.Whole || cached, cached)
	for _, l := range slices.Clone(o.listed) {
		if !barred[l] {
			continue
		}
		for _, k := range l.sends { // nor those that this turn has made
			o.endLater(k, choice.NoConnection)
		}
		l.sends = nil
		for _, c := range l.conns {
			for _, k := range c.inOrder() { // those that still wait for a connection must not go out now
				if c.withdraw(k) {
					o.endLater(k, choice.NoConnection)
				}
			}
			c.retire()
		}
		o.forget(l)
	}
	if o.sharing != nil {
		o.sharing.tend()
	}
}

// forget lets go of a leaf that is gone, once nothing is open to it. If it is listed again it is a new one.
// Over a long day all leaves are replaced many times, so nothing may be kept for those that were.
func (o *owner) forget(l *leaf) {
	if l.gone && len(l.conns) == 0 && o.leaves[l.id] == l {
		delete(o.leaves, l.id)
		delete(o.doors, l.l)
		o.listed = slices.DeleteFunc(o.listed, func(other *leaf) bool { return other == l })
	}
}

// zone is a zone's number; one that the settings lack gets the next.
func (o *owner) zone(name string) int {
	n, known := o.zones[name]
	if !known {
		n = len(o.zones)
		o.zones[name] = n
	}
	return n
}

// frame is what travels to a leaf at once: a call with its parts, or one short frame.
type frame struct {
	conn  *leafConn
	parts []codec.PartSent // of a call
	calls []*call          // those that the parts are of, until it is written: a frame may be held for long
	made  choice.Time      // the turn that made it
	out   int              // calls whose outcome has not been told; the owner's

	letter byte // of a short frame
	rest   string
	of     *call // that it gives up

	stage progress // under the connection's lock
	left  int      // bytes that the connection has not taken; its writer's
	begun bool     // it has taken some; its writer's
}

type progress int

const (
	queued progress = iota
	given           // to the connection, which may have taken some of it
	written
	dropped
)

// leafConn is one connection to a leaf.
type leafConn struct {
	leaf    *leaf
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	mayCancel bool

	// The owner's.
	calls   map[string]*call // by the id of the part
	ghosts  []string         // parts given up here whose answers may still come
	forgot  bool             // some ghosts are no longer known
	frames  int              // calls in the protocol's sense that are out
	probes  []*probe         // awaited, oldest first
	used    choice.Time
	heard   choice.Time
	why     error // it was ended for
	retired bool  // takes no more calls, and ends with the last that is out
	late    bool  // it has not come up in time: nothing waits for it, and it may still come to be of use

	mu    sync.Mutex
	queue []*frame // not yet written, oldest first
	conn  net.Conn
	up    choice.Time // when it came up; 0: it has not yet
	over  bool

	flight *flight // of a leaf that speaks the form of OpenSearch: the request that is out; under the lock
}

// probe is one probe whose outcome has not been told. Who has asked for it may want to hear as well.
type probe struct {
	leaf  *leaf
	ended bool
	hears func(*owner, choice.Outcome, *choice.Report)
}

// flush sends what this turn has to send to the leaf: parts that leave in one turn share a call.
func (l *leaf) flush(o *owner) {
	sends := l.sends
	l.sends = nil
	most := max(o.cfg.Settings.Module.Batch, 1)
	once := slices.ContainsFunc(sends, func(k *call) bool {
		return !k.part.over &&
			o.cfg.Settings.Module.Verticals[k.part.query.q.Vertical].Effect == choice.SideEffecting
	})
	var f *frame
	var frames []*frame
	for _, k := range sends {
		if k.ended {
			continue
		}
		// Its leaving may wait behind other events, or still be to be read: after a pause of this router. One that has
		// been taken in this very turn was looked at then.
		if q := k.part.query; !k.part.over && (q.from.canceled.Load() || o.now > q.taken && q.from.look != nil && q.from.look()) {
			o.leave(q.from)
		}
		if k.part.over { // its query has had its answer in this very turn
			o.endLater(k, choice.Moot)
			continue
		}
		if f != nil && (len(f.parts) == most || f.conn.knows(k.part.id)) {
			f = nil
		}
		if f == nil {
			c := l.connFor(o, k.part.id, once)
			if c == nil { // no descriptor is left for it, so it is never sent
				o.endLater(k, choice.NoConnection)
				continue
			}
			f = &frame{conn: c, made: o.now}
			c.frames++
			frames = append(frames, f)
		}
		k.frame = f
		f.out++
		f.conn.calls[k.part.id] = k
		f.conn.used = o.now
		sent := codec.PartSent{ID: k.part.id, Shard: k.part.p.Shard, Text: k.part.query.text}
		if r := o.ranging; r != nil {
			sent.Shard, sent.More = r.spans.Shard(k.part.span), r.more(k.part)
		}
		f.parts, f.calls = append(f.parts, sent), append(f.calls, k)
	}
	for _, f := range frames {
		f.conn.send(f)
	}
}

// connFor is the connection with the fewest calls out of those that have room, and among these the one that
// has been idle for longest: a leaf that ends a connection does so right behind an answer, and then it shows
// by now. A part that was given up on a connection goes over another one, as the two answers could not be
// told apart. All that is out on a connection is lost with it, whichever answer spoils it, and may not be
// asked again where it is side-effecting: so where connections have no price, calls share one only once the
// leaf has its share of the descriptors, and what may run once only goes over a new one, as the leaf may have
// ended a kept one unseen.
func (l *leaf) connFor(o *owner, id string, once bool) *leafConn {
	var least *leafConn
	for _, c := range l.conns {
		room := o.cfg.Settings.MaxStreams == 0 || c.frames < o.cfg.Settings.MaxStreams
		if o.cfg.More.OpenSearch.Leaves {
			room = c.frames == 0
		}
		if !room || c.retired || c.knows(id) || c.stale(o, 0) || c.ending() || c.late && c.upSince() == 0 {
			continue
		}
		if least == nil || c.frames < least.frames || c.frames == least.frames && c.used < least.used {
			least = c
		}
	}
	most := o.gate.mostLinks(o.cfg.Limits.LeafSockets())
	full := o.conns >= most || len(l.conns) >= most/max(len(o.listed), 1)
	switch {
	case least == nil:
		return l.dial(o)
	case o.cfg.Settings.ConnPrice > 0:
		return least
	case once && least.free():
		least.finish() // the new one takes its place
		return l.dial(o)
	case least.frames == 0 || full:
		return least
	}
	return l.dial(o)
}

// stale: within a time from now the leaf may close the connection for being idle, or has done so.
func (c *leafConn) stale(o *owner, within choice.Time) bool {
	idle := o.cfg.Settings.ConnIdle
	return idle > 0 && c.frames == 0 && o.now+within-c.used >= tenths(idle-o.cfg.Settings.ConnectTimeout)
}

func (c *leafConn) knows(id string) bool {
	return c.calls[id] != nil || slices.Contains(c.ghosts, id)
}

func (l *leaf) dial(o *owner) *leafConn {
	if o.conns >= o.gate.mostLinks(o.cfg.Limits.LeafSockets()) && !o.freeOne() {
		o.log.Warn().Str("leaf", l.id).Msg("no socket is left for a connection")
		return nil
	}
	if !o.gate.take(limits.LeafLinks, linkBytes) {
		o.log.Warn().Str("leaf", l.id).Msg("no memory is left for a connection")
		return nil
	}
	o.conns++
	o.gate.links.Store(int64(o.conns))
	ctx, cancel := context.WithCancel(context.Background())
	c := &leafConn{leaf: l, address: l.address, used: o.now, heard: o.now, cancel: cancel,
		mayCancel: o.cfg.Settings.Module.MayCancel, wake: make(chan struct{}, 1), calls: map[string]*call{}}
	l.conns = append(l.conns, c)
	o.group.Go(func() error { c.run(ctx, o); return nil })
	return c
}

// freeOne ends the connection to a leaf that has been idle for longest; false where all are in use.
func (o *owner) freeOne() bool {
	var oldest *leafConn
	for _, l := range o.listed {
		for _, c := range l.conns {
			if c.free() && !c.retired && (oldest == nil || c.used < oldest.used) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.finish()
	}
	return oldest != nil
}

// ended takes a call off the connection's books.
func (c *leafConn) ended(k *call) {
	if c.calls[k.part.id] == k {
		delete(c.calls, k.part.id)
	}
	if k.frame.out--; k.frame.out == 0 {
		c.frames--
		c.letGo()
	}
}

// withdraw takes a call out of its frame if not a byte of that has been written. Then it is known not to run.
func (c *leafConn) withdraw(k *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.frame.stage == queued {
		k.frame.drop(k)
	}
	return k.withdrawn
}

// giveUp stops waiting for a call, and tells the leaf so where that is allowed.
func (c *leafConn) giveUp(o *owner, k *call, outcome choice.Outcome) choice.Outcome {
	if c.withdraw(k) {
		return choice.NoConnection
	}
	if c.ghosts = append(c.ghosts, k.part.id); len(c.ghosts) > mostGhosts {
		c.ghosts, c.forgot = c.ghosts[1:], true
	}
	k.givenUp.Store(true)
	if c.mayCancel {
		c.send(&frame{letter: codec.LetterGiveUp, rest: k.part.id, of: k})
	}
	// Not a word since the call was sent: the leaf may have vanished with the connection left open. A further
	// call finds out, by a new connection, without being lost itself.
	if c.heard <= k.sent && o.now-k.sent >= tenths(o.cfg.Settings.ConnectTimeout) {
		c.retire()
	}
	return outcome
}

// drop takes a call out of a frame that is still queued.
func (f *frame) drop(k *call) {
	i := slices.Index(f.calls, k)
	if i < 0 {
		return
	}
	k.withdrawn = true
	f.parts, f.calls = slices.Delete(f.parts, i, i+1), slices.Delete(f.calls, i, i+1)
	if len(f.parts) == 0 {
		f.stage = dropped
	}
}

// dropCanceled takes out of a frame that is about to be written what nobody waits for any more, though the owner has not been
// told yet: the frame may have waited for its connection. One that has waited long is looked at harder, as the router may have
// stood still meanwhile, with nobody to read that a client went. What was never sent need not be given up either. The calls
// taken out are to be told.
func (f *frame) dropCanceled(waited bool) (out []*call) {
	for _, k := range slices.Clone(f.calls) {
		if from := k.part.query.from; k.givenUp.Load() || from.canceled.Load() || waited && from.look != nil && from.look() {
			f.drop(k)
			out = append(out, k)
		}
	}
	if f.of != nil && f.of.withdrawn {
		f.stage = dropped
	}
	if f.stage == dropped {
		f.of = nil
	}
	return out
}

// neverSent: a call was taken out of its frame, as its client had gone or as it had been given up. No answer comes for it, and its
// leaf is not to be blamed.
func (c *leafConn) neverSent(o *owner, k *call) {
	if i := slices.Index(c.ghosts, k.part.id); i >= 0 {
		c.ghosts = slices.Delete(c.ghosts, i, i+1)
		c.letGo()
	}
	if k.ended {
		return
	}
	if !k.part.over {
		o.leave(k.part.query.from)
	}
	o.end(k, choice.Moot, nil, nil)
}

// tellNeverSent has the owner told; no lock is held.
func (c *leafConn) tellNeverSent(o *owner, calls []*call) {
	for _, k := range calls {
		o.post(o.ctx, func(o *owner) { c.neverSent(o, k) })
	}
}

func (c *leafConn) upSince() choice.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// ending: its goroutines have found it ended, or been told to end it.
func (c *leafConn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// retire lets the connection end with the last call on it.
func (c *leafConn) retire() {
	c.retired = true
	c.letGo()
}

// letGo ends a retired connection with which nothing is given up any more.
func (c *leafConn) letGo() {
	if c.retired && c.free() {
		c.finish()
	}
}

// free: nothing is out. To end a connection also gives up what the leaf still works on, so where that is not
// allowed the connection stays for the late answers too, until it has been idle for its time.
func (c *leafConn) free() bool { return c.frames == 0 && (c.mayCancel || len(c.ghosts) == 0) }

// finish ends the connection, and no call is given to it any more.
func (c *leafConn) finish() {
	c.retired = true
	c.close()
}

// close ends the connection; what is out on it is settled when its goroutines have ended.
func (c *leafConn) close() {
	c.mu.Lock()
	c.over = true
	conn := c.conn
	c.mu.Unlock()
	c.cancel()
	if conn != nil {
		conn.Close()
	}
	poke(c.wake)
}

// send queues a frame. It never blocks: what may be queued is bounded by the calls that may be out.
func (c *leafConn) send(f *frame) {
	c.mu.Lock()
	c.queue = append(c.queue, f)
	c.mu.Unlock()
	poke(c.wake)
}

// probe sends a probe: a bare one, or one for load.
func (l *leaf) probe(o *owner, letter byte, hears func(*owner, choice.Outcome, *choice.Report)) {
	p := &probe{leaf: l, hears: hears}
	c := l.connFor(o, "", false)
	if c == nil {
		o.later = append(o.later, func(o *owner) { o.probed(p, choice.NoConnection, nil) })
		return
	}
	c.probes = append(c.probes, p)
	c.used = o.now
	c.send(&frame{letter: letter})
	sent := o.now
	o.at(sent+tenths(o.cfg.Settings.ConnectTimeout), func(o *owner) {
		if !p.ended && c.heard <= sent { // see giveUp
			c.retire()
		}
		o.probed(p, choice.TimedOut, nil)
	})
}

func (o *owner) probed(p *probe, outcome choice.Outcome, rep *choice.Report) {
	if p.ended {
		return
	}
	p.ended = true
	o.root.Probed(o.now, p.leaf.l, outcome, rep)
	if p.hears != nil {
		p.hears(o, outcome, rep)
	}
}

// tend ends connections that have been idle, before the leaf does.
func (o *owner) tend() {
	next := tenths(max(o.cfg.Settings.ConnIdle/8, o.cfg.Settings.ConnectTimeout))
	for _, l := range o.listed {
		for _, c := range l.conns {
			if c.stale(o, next) {
				c.finish()
			}
		}
	}
	if o.cfg.Settings.ConnIdle > 0 {
		o.at(o.now+next, (*owner).tend)
	}
}

// run is the connection's life: it dials, then writes while another goroutine reads. When both have ended the
// owner settles what was out.
func (c *leafConn) run(ctx context.Context, o *owner) {
	defer c.cancel()
	stop := context.AfterFunc(o.ctx, c.close)
	defer stop()
	waits := time.AfterFunc(o.cfg.Settings.ConnectTimeout, func() { o.post(o.ctx, c.tooLate) })
	defer waits.Stop()
	conn, err := o.dial(ctx, c.address, o.cfg.Settings.Longest)
	if err != nil {
		o.post(o.ctx, func(o *owner) { c.down(o, err) })
		return
	}
	c.mu.Lock()
	c.conn, c.up = conn, o.clk.now()
	c.mu.Unlock()
	var both errgroup.Group
	both.Go(func() error {
		defer c.close()
		if o.cfg.More.OpenSearch.Leaves {
			return c.readSearches(o, conn)
		}
		return c.read(o, conn)
	})
	both.Go(func() error {
		defer c.close()
		if o.cfg.More.OpenSearch.Leaves {
			return c.writeSearches(o, conn)
		}
		c.write(o, conn)
		return nil
	})
	err = both.Wait()
	o.post(o.ctx, func(o *owner) { c.down(o, err) })
}

// tooLate: the connection has not come up in its time, so what waits for it has not run and ends here. It may come up yet,
// and then serve later calls: one of them a leaf, as a leaf that is out of reach has none that does.
func (c *leafConn) tooLate(o *owner) {
	c.mu.Lock()
	if c.up > 0 || c.over {
		c.mu.Unlock()
		return
	}
	calls, probes := c.inOrder(), c.probes
	for _, k := range calls {
		k.frame.drop(k)
	}
	c.queue, c.probes = nil, nil
	c.mu.Unlock()
	o.log.Info().Str("leaf", c.leaf.id).Str("address", c.address).Int("calls", len(calls)).Msg("connection to leaf is late")
	if c.retired || slices.ContainsFunc(c.leaf.conns, func(other *leafConn) bool { return other.late && other.upSince() == 0 }) {
		c.finish()
	}
	c.late = true
	for _, k := range calls {
		o.end(k, choice.NoConnection, nil, nil)
	}
	for _, p := range probes {
		o.probed(p, choice.NoConnection, nil)
	}
}

// write writes frames until the connection ends. A frame counts as written once the connection has taken its last byte. Where
// the connection takes nothing for a while, as the leaf does not read, only the frame that it has begun to take stays as it is:
// the others are queued again, so that they can be taken back, and what their clients wait for is looked at anew.
func (c *leafConn) write(o *owner, conn net.Conn) {
	var out []*frame       // given, and not taken whole, oldest first
	var room, bytes []byte // of these, from the first that was not taken on
	for {
		if len(bytes) == 0 {
			if cap(room) > leafRing { // what one large frame took is not kept
				room = nil
			}
			bytes = room[:0]
		}
		var never []*call
		c.mu.Lock()
		for len(c.queue) > 0 && len(bytes) < leafRing && (len(out) == 0 || !out[0].begun) {
			f := c.queue[0]
			c.queue = c.queue[1:]
			now := o.clk.now()
			never = append(never, f.dropCanceled(now-f.made > o.cfg.Settings.Module.Tick)...)
			if f.stage == dropped {
				continue
			}
			f.stage = given
			size := len(bytes)
			bytes = f.append(bytes, now)
			f.left = len(bytes) - size
			out = append(out, f)
		}
		ended := c.over
		c.mu.Unlock()
		c.tellNeverSent(o, never)
		if ended {
			return
		}
		if len(out) == 0 {
			<-c.wake
			continue
		}
		room = bytes
		conn.SetWriteDeadline(time.Now().Add(holdsFor))
		n, err := conn.Write(bytes)
		c.mu.Lock()
		bytes = bytes[n:]
		for len(out) > 0 && out[0].left <= n {
			n -= out[0].left
			out[0].stage, out[0].calls, out[0].of = written, nil, nil
			out[0], out = nil, out[1:]
		}
		if len(out) > 0 && n > 0 {
			out[0].left, out[0].begun = out[0].left-n, true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
			begun := 0
			if len(out) > 0 && out[0].begun {
				begun = 1
				bytes = bytes[:out[0].left]
			} else {
				bytes = bytes[:0]
			}
			for _, f := range out[begun:] {
				f.stage = queued
			}
			c.queue = append(slices.Clone(out[begun:]), c.queue...)
			clear(out[begun:])
			out = out[:begun]
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// append appends the frame as it travels.
func (f *frame) append(to []byte, now choice.Time) []byte {
	if f.letter != 0 {
		return codec.AppendFrame(to, f.letter, f.rest)
	}
	f.wait(now)
	return codec.AppendCall(to, f.parts)
}

// wait has each call tell its leaf how long it is still waited for: the frame may have waited for its connection.
func (f *frame) wait(now choice.Time) {
	for i, k := range f.calls {
		f.parts[i].Wait = max(int64((k.until-now+choice.Millisecond-1)/choice.Millisecond), 1)
	}
}

// fault is something that a leaf said and that makes no sense. The connection ends with it.
type fault struct{ error }

var (
	errUnasked    = fault{errors.New("an answer came for what was not asked for here")}
	errUnfinished = fault{errors.New("a frame was begun and never ended")}
)

// read reads answers until the connection ends, and says why it did.
func (c *leafConn) read(o *owner, conn net.Conn) error {
	ring := codec.NewRing(leafRing)
	frames := codec.FrameReader{
		Most: codec.MostFrame,
		Room: func(n int) bool { return o.gate.take(limits.Frames, n) },
	}
	defer func() { o.gate.put(limits.Frames, frames.Drop()) }()
	begun, last := false, false // a frame has; this read is the last that it gets
	for {
		n, err := ring.Fill(conn)
		if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 {
			if last {
				return errUnfinished
			}
			// After a pause of the router time is up before what came meanwhile was read: one more look.
			last = true
			conn.SetReadDeadline(time.Now().Add(duration(o.cfg.Settings.Module.Tick)))
			continue
		} else if err != nil {
			return err
		}
		for {
			f, whole, err := frames.Next(ring)
			if err != nil {
				return fault{err}
			}
			if !whole {
				break
			}
			begun = false
			switch f.Letter {
			case codec.LetterAnswer:
				a, err := codec.ParseAnswer(f.Rest)
				if err != nil {
					return fault{err}
				}
				if a.Map > 0 && o.ranging == nil {
					return fault{errors.New("the leaf speaks of a map that nobody has")}
				}
				if f.Cut &&
					a.Outcome == choice.OK { // there was no room: the part has run, its value is lost, and that is not the leaf's fault
					a.Outcome, a.Value = choice.Cancelled, nil
				}
				o.post(o.ctx, func(o *owner) {
					c.answered(o, a)
					o.gate.put(limits.Frames, f.Size) // from here on its value counts with the query
				})
			case codec.LetterProbe, codec.LetterLoad:
				outcome, rep := codec.ParseProbe(f.Rest)
				o.post(o.ctx, func(o *owner) { c.probeAnswered(o, outcome, rep) })
			case codec.LetterBroken:
				return fault{fmt.Errorf("the leaf could not use a frame: %q", f.Rest)}
			default:
				return fault{fmt.Errorf("a frame has the unknown letter %q", f.Letter)}
			}
		}
		// A leaf gives an answer at once. One that is begun and does not end would hold up all that come
		// behind.
		if frames.Begun() && !begun {
			conn.SetReadDeadline(time.Now().Add(o.cfg.Settings.ConnectTimeout))
		} else if !frames.Begun() {
			conn.SetReadDeadline(time.Time{})
		}
		begun, last = frames.Begun(), false
	}
}

// answered takes an answer. One that comes for a call given up touches nothing.
func (c *leafConn) answered(o *owner, a codec.Answer) {
	c.heard, c.used = o.now, o.now
	if a.Map > 0 && o.ranging != nil {
		o.ranging.told(a.Map)
	}
	if o.holding != nil && o.holding.keeper.Worked(subset.Time(o.now), c.leaf.id) {
		o.holding.tell(o)
	}
	if k := c.calls[a.ID]; k != nil {
		o.end(k, a.Outcome, a.Report, a.Value)
		return
	}
	if i := slices.Index(c.ghosts, a.ID); i >= 0 {
		c.ghosts = slices.Delete(c.ghosts, i, i+1)
		c.letGo()
	} else if !c.forgot {
		c.why = errUnasked
		c.finish()
	}
}

func (c *leafConn) probeAnswered(o *owner, outcome choice.Outcome, rep *choice.Report) {
	c.heard, c.used = o.now, o.now
	if len(c.probes) == 0 {
		c.why = errUnasked
		c.finish()
		return
	}
	p := c.probes[0]
	c.probes = c.probes[1:]
	o.probed(p, outcome, rep)
}

// inOrder are the calls out, oldest first.
func (c *leafConn) inOrder() []*call {
	calls := slices.Collect(maps.Values(c.calls))
	slices.SortFunc(calls, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.part.id, b.part.id))
	})
	return calls
}

// down settles what was out when the connection ended: what was written whole may have run, the rest has not.
func (c *leafConn) down(o *owner, err error) {
	o.conns--
	o.gate.links.Store(int64(o.conns))
	o.gate.put(limits.LeafLinks, linkBytes)
	c.leaf.conns = slices.DeleteFunc(c.leaf.conns, func(other *leafConn) bool { return other == c })
	// One that never came up, or went with calls out, though nobody here has ended it.
	if o.holding != nil && !c.retired && (c.upSince() == 0 || len(c.calls) > 0) && o.holding.keeper.Failed(subset.Time(o.now), c.leaf.id) {
		o.holding.tell(o)
	}
	o.forget(c.leaf)
	var said fault
	if c.why != nil {
		err = c.why
	}
	if errors.As(err, &said) {
		o.log.Warn().Str("leaf", c.leaf.id).Str("address", c.address).Int("calls", len(c.calls)).Err(err).
			Msg("leaf broke the protocol")
	} else if len(c.calls) > 0 || len(c.probes) > 0 {
		o.log.Info().Str("leaf", c.leaf.id).Str("address", c.address).Int("calls", len(c.calls)).Err(err).
			Msg("connection to leaf ended")
	}
	if noFiles(err) {
		o.gate.shortage()
		o.group.Go(func() error { o.door.trim(); return nil })
	}
	for _, k := range c.inOrder() {
		outcome := choice.NoConnection
		if errors.Is(err, syscall.ECONNREFUSED) && c.upSince() == 0 {
			outcome = choice.Refused
		}
		if noFiles(err) &&
			k.frame.stage != written { // the lack is this router's: the leaf is not to be blamed
			outcome = choice.Moot
		}
		if k.frame.stage == written {
			outcome = choice.Reset
		}
		o.end(k, outcome, nil, nil)
	}
	for _, p := range c.probes {
		o.probed(p, choice.Reset, nil)
	}
}
