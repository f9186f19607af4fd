// Package duty decides which of several instances performs which periodic duty when, such as the probe of a
// leaf. It does no I/O, has no clock and starts no goroutine: the time and what was heard are handed in, what
// is to be done goes out through Port. The same code runs in the daemon, in the laboratory under virtual
// time, and in tests.
//
// Two rights to perform exist for each interval of a duty, and never a third. The first belongs to the
// holder, a seat that arithmetic alone names: nothing need be heard or agreed for that. The second belongs to
// one substitute that the plan names, and only one plan can ever hold for a point in time (plan.go). So no
// leaf gets more than double, however many sides a partition has and whatever was lost; docs/design/duties.md
// has the argument.
//
// duty.go owns the duties, their intervals, and whose turn it is. It must never ask anybody before a first
// right is used, and never use a right twice.
package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"moleshift/lease"
)

// Time is a point on the instance's clock (Unix time) or a length of time, in whole tenths of a millisecond.
type Time = lease.Time

// Millisecond is the unit in which settings are usually written down.
const Millisecond = lease.Millisecond

const (
	patienceOf = 4                // of an interval: how long the substitute waits to hear of the holder
	flushOf    = 16               // of the shortest interval: how long results wait for others to travel with
	flushSeat  = 2 * Millisecond  // more of that for each seat, as each message goes to all
	flushLeast = 20 * Millisecond // or single results would travel alone
	sayTwice   = 2                // times that each result is sent, as a lost one costs a second performance
	mostItems  = 24               // results in one message, so that it fits a datagram
	mostQueued = 4096             // results that wait: the oldest are let go, their duties then look unheard
	oddEvery   = 60               // leases between two notes on one seat that says odd things
	clashFor   = 8                // leases for which a seat that is in doubt is left alone: some rounds of results
	never      = lease.Never
)

// Settings is what an instance is told at its start.
type Settings = lease.Settings

// Why tells what gave an instance the right to perform.
type Why uint8

const (
	InTurn  Why = iota // it was the holder
	Absent             // the plan says that the holder is not there
	Unheard            // the holder was not heard of in time
)

func (w Why) String() string { return [...]string{"in turn", "holder absent", "holder unheard"}[w] }

// Port is what a node can do to the world. Effects come back by the methods of Node, never from within a
// call.
type Port interface {
	// Send gives a message to a seat, and Broadcast to all others; both may fail without a word.
	Send(seat int, m *Message)
	Broadcast(m *Message)
	// Perform has a duty performed now. What came of it is told by Performed.
	Perform(d *Duty, interval int64, why Why)
	// Heard tells what another seat found at a time of its clock. It comes once for each performance.
	Heard(d *Duty, seat int, at Time, result []byte)
	// Note tells of something that an operator may want to know.
	Note(n Note)
}

// Event names what a Note tells.
type Event uint8

const (
	Led       Event = iota // the seat leads from now on
	Covered                // there is a plan again
	Uncovered              // no plan holds any more: no majority can be heard
	Clash                  // a younger process uses this seat
	Resolved               // it has not been heard of for some time: the seat is taken up again
	Returned               // the seat is back with nothing remembered
	Left                   // the seat leaves
	Odd                    // the seat's settings differ from ours, or it says what makes no sense
)

// Note is one event, with the seat it concerns.
type Note struct {
	Event Event
	Seat  int
	Why   string
}

// Duty is one periodic duty.
type Duty struct {
	name          string
	interval      Time
	phase         Time // at which its intervals begin
	hash          uint64
	start, stride int // its way round the seats

	from  Time // no interval that began earlier is for this instance to perform
	mine  int64
	own   bool // mine is set
	heard [2]Record
	notes int // of heard, so far
}

// Record is one performance as this instance knows of it.
type Record struct {
	Interval int64 // the number of the interval
	Seat     int
	At       Time // by the performer's clock
	Why      Why
	Known    bool
}

// Name tells which duty it is, the same at every instance.
func (d *Duty) Name() string { return d.name }

// Interval is its length.
func (d *Duty) Interval() Time { return d.interval }

// Last is the latest performance that is known; Known is false where there is none.
func (d *Duty) Last() Record {
	last := d.heard[0]
	if other := d.heard[1]; other.Known && (!last.Known || other.At > last.At) {
		last = other
	}
	return last
}

// Number is the interval that holds a time, and Begin the time at which an interval begins.
func (d *Duty) Number(t Time) int64 {
	k := int64((t - d.phase) / d.interval)
	if d.Begin(k) > t {
		k--
	}
	return k
}

// Begin see Number.
func (d *Duty) Begin(k int64) Time { return d.phase + Time(k)*d.interval }

// Holder is the seat that has the first right in an interval. Each duty goes round all seats in an order of
// its own, so that seats which fail together are neighbours in few of them, and no seat's view of a leaf
// stands for all.
func (d *Duty) Holder(k int64, size int) int {
	turn := k % int64(size)
	if turn < 0 {
		turn += int64(size)
	}
	return (d.start + int(turn)*d.stride) % size
}

// way chooses the order of seats: a step that has no factor in common with their number meets all of them.
func (d *Duty) way(size int) {
	d.start = int(d.hash % uint64(size))
	d.stride = int(d.hash >> 32 % uint64(size))
	for gcd(d.stride, size) != 1 {
		d.stride++
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// group holds the duties of one interval length, ordered by phase. Two cursors go round it for ever: one
// comes to each duty as its interval begins, the other when the holder should have been heard of.
type group struct {
	interval    Time
	duties      []*Duty
	turn, check cursor
}

type cursor struct {
	round int64 // times that it has been round
	i     int
	delay Time // after the interval's beginning
}

// due is when the cursor comes to its next duty.
func (g *group) due(c *cursor) Time {
	if len(g.duties) == 0 {
		return never
	}
	return g.duties[c.i].Begin(c.round) + c.delay
}

func (g *group) pass(c *cursor) {
	if c.i++; c.i >= len(g.duties) {
		c.i, c.round = 0, c.round+1
	}
}

// catchUp passes over what is long gone, as after a pause of the process.
func (g *group) catchUp(c *cursor, now Time) {
	if c.round < int64(now/g.interval)-2 {
		c.round, c.i = int64(now/g.interval)-1, 0
	}
}

func byPhase(a, b *Duty) int {
	return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.name, b.name))
}

func (g *group) add(d *Duty, now Time) {
	if len(g.duties) == 0 {
		round := int64(now/g.interval) - 1
		g.turn.round, g.check.round, g.turn.i, g.check.i = round, round, 0, 0
	}
	i, _ := slices.BinarySearchFunc(g.duties, d, byPhase)
	g.duties = slices.Insert(g.duties, i, d)
	for _, c := range []*cursor{&g.turn, &g.check} {
		if i < c.i {
			c.i++
		}
	}
}

func (g *group) remove(d *Duty) {
	i, found := slices.BinarySearchFunc(g.duties, d, byPhase)
	if !found {
		return
	}
	g.duties = slices.Delete(g.duties, i, i+1)
	for _, c := range []*cursor{&g.turn, &g.check} {
		if i < c.i {
			c.i--
		}
		if c.i >= len(g.duties) {
			c.i = 0
			if len(g.duties) > 0 {
				c.round++
			}
		}
	}
}

// Counts is what a node has done and met since its start.
type Counts struct {
	Performed    [3]int // by Why
	Heard        int    // of others' performances
	Repeated     int    // results that were known already
	Unknown      int    // results of duties that are not known here
	Stale        int    // messages of a process that was replaced, or out of time
	Odd          int    // messages that make no sense or come of other settings
	Conflicts    int    // plans that contradict another: must stay 0
	Asked, Given int    // leases
}

// Node is one instance's part in the duties. Its methods are called one at a time.
type Node struct {
	set    Settings
	port   Port
	now    Time
	boot   Time
	duties map[string]*Duty
	groups []*group // by length
	peers  []peer   // by seat
	lead   lead
	clash  Time // until which this seat counts as another's
	barred bool
	left   bool

	greeted bool

	out     []queued
	flushAt Time

	Counts Counts
}

// peer is what is known of a seat.
type peer struct {
	boot  Time // of its process
	heard Time // 0: never
	noted Time // when something odd of it was last told of
	left  bool
}

type queued struct {
	item Item
	left int // times that it is still to be sent
}

// New starts a node that remembers nothing. What the seat did before its start it may have done up to now: so
// it performs nothing in intervals that began earlier, and grants nothing for as long as a grant holds.
func New(set Settings, port Port, now Time) *Node {
	n := &Node{
		set:     set,
		port:    port,
		now:     now,
		boot:    now,
		duties:  map[string]*Duty{},
		peers:   make([]peer, set.Size),
		flushAt: never,
	}
	n.lead = lead{Election: lease.NewElection(set, (*hooks)(n), false, 0, now), leader: -1}
	return n
}

// Boot is when the node was started; it tells processes of one seat apart.
func (n *Node) Boot() Time { return n.boot }

// Add takes on a duty, or changes the interval of one that is known.
func (n *Node) Add(now Time, name string, interval Time) *Duty {
	n.enter(now)
	d := n.duties[name]
	if d != nil && d.interval == interval {
		return d
	}
	from := now
	if d != nil { // what was just done at the old pace is not done again at the new
		if last := d.Last(); last.Known {
			from = max(from, last.At+interval/2)
		}
		n.group(d.interval).remove(d)
	} else {
		d = &Duty{name: name, hash: xxhash.Sum64String(name)}
		d.way(n.set.Size)
		n.duties[name] = d
	}
	d.interval, d.phase = interval, Time(d.hash>>17%uint64(interval))
	d.from, d.own = max(from, n.boot+n.set.Skew), false
	d.heard, d.notes = [2]Record{}, 0
	n.group(interval).add(d, now)
	return d
}

// Remove drops a duty at once: what is not done by now is not done.
func (n *Node) Remove(now Time, name string) {
	n.enter(now)
	if d := n.duties[name]; d != nil {
		n.group(d.interval).remove(d)
		delete(n.duties, name)
	}
}

// group is the one for an interval length.
func (n *Node) group(interval Time) *group {
	i, found := slices.BinarySearchFunc(
		n.groups,
		interval,
		func(g *group, t Time) int { return cmp.Compare(g.interval, t) },
	)
	if !found {
		g := &group{interval: interval}
		g.turn.delay = n.set.Skew
		g.check.delay = n.set.Skew + interval/patienceOf
		n.groups = slices.Insert(n.groups, i, g)
	}
	return n.groups[i]
}

// Duties are all duties by interval, then by the order of their turns.
func (n *Node) Duties() (all []*Duty) {
	for _, g := range n.groups {
		all = append(all, g.duties...)
	}
	return all
}

// Next is when Awake must be called at the latest.
func (n *Node) Next() Time {
	next := min(n.lead.Next(), n.flushAt)
	if !n.greeted && !n.barred {
		return n.now
	}
	if n.barred {
		next = min(next, n.clash)
	}
	for _, g := range n.groups {
		next = min(next, g.due(&g.turn), g.due(&g.check))
	}
	return next
}

// enter notes the time; a clock that is set back stands still until it has caught up.
func (n *Node) enter(now Time) {
	n.now = max(now, n.now)
	n.lead.Enter(n.now)
}

// Awake does what is due.
func (n *Node) Awake(now Time) {
	n.enter(now)
	if n.barred && n.now >= n.clash {
		n.resume()
	}
	if !n.greeted && !n.barred { // a predecessor that lives on hears that it has been replaced
		n.greeted = true
		n.port.Broadcast(n.message(Hello, nil))
	}
	n.lead.awake(n)
	for _, g := range n.groups {
		g.catchUp(&g.turn, n.now)
		g.catchUp(&g.check, n.now)
		for g.due(&g.turn) <= n.now {
			d, k := g.duties[g.turn.i], g.turn.round
			g.pass(&g.turn)
			n.turn(d, k)
		}
		for g.due(&g.check) <= n.now {
			d, k := g.duties[g.check.i], g.check.round
			g.pass(&g.check)
			n.check(d, k)
		}
	}
	if n.now >= n.flushAt {
		n.flush()
	}
}

// turn is what there is to do as an interval of a duty begins. The holder needs nobody's word. Where the plan
// says that the holder is not there, the substitute need not wait to hear of it; nor does it wait if nobody
// was heard of in the interval before, as two intervals would be over by then. So one that starts in the
// interval before performs at once: one more probe, within the bound of double, instead of a quarter of an
// interval too late.
func (n *Node) turn(d *Duty, k int64) {
	if !n.may(d, k) {
		return
	}
	holder := d.Holder(k, n.set.Size)
	if holder == n.set.Seat {
		if late := n.now >= d.Begin(k)+n.set.Skew+d.interval/patienceOf; !late || !n.known(d, k) {
			n.perform(d, k, InTurn)
		}
		return
	}
	s := n.lead.plan(d.Begin(k))
	if s == nil || s.substitute(d, k, n.set.Size) != n.set.Seat {
		return
	}
	if !s.has(holder) {
		n.perform(d, k, Absent)
	} else if !n.known(d, k-1) { // also one that has just started and can't know
		n.perform(d, k, Unheard)
	}
}

// planned looks again at the intervals that began before the plan for them came, as after a leader's death:
// waiting for the patience would make two intervals into two and a quarter.
func (n *Node) planned(s Segment) {
	for _, g := range n.groups {
		for _, d := range g.duties {
			if k := d.Number(n.now); d.Begin(k) >= s.From && d.Begin(k)+n.set.Skew <= n.now &&
				!n.known(d, k) {
				n.turn(d, k)
			}
		}
	}
}

// check is what there is to do once the holder should have been heard of.
func (n *Node) check(d *Duty, k int64) {
	holder := d.Holder(k, n.set.Size)
	if holder == n.set.Seat || !n.may(d, k) || n.known(d, k) {
		return
	}
	if s := n.lead.plan(d.Begin(k)); s != nil && s.substitute(d, k, n.set.Size) == n.set.Seat {
		if s.has(holder) {
			n.perform(d, k, Unheard)
		} else { // the plan came late
			n.perform(d, k, Absent)
		}
	}
}

// may guards both rights: every performance passes here. An interval counts by the clocks of all, so its last
// part, in which another's clock may be in the next one, is left out, as is the first.
func (n *Node) may(d *Duty, k int64) bool {
	begin := d.Begin(k)
	return !n.barred && !n.left && begin >= d.from && !(d.own && d.mine >= k) &&
		n.now >= begin+n.set.Skew && n.now < begin+d.interval-n.set.Skew
}

// known: has a performance in this interval been heard of?
func (n *Node) known(d *Duty, k int64) bool {
	return slices.ContainsFunc(d.heard[:], func(r Record) bool { return r.Known && r.Interval == k })
}

// perform is the one way to a performance.
func (n *Node) perform(d *Duty, k int64, why Why) {
	d.own, d.mine = true, k
	n.Counts.Performed[why]++
	n.port.Perform(d, k, why)
}

// Performed takes the result of a performance; heard by the others it is the acknowledgement.
func (n *Node) Performed(now Time, d *Duty, k int64, why Why, result []byte) {
	n.enter(now)
	if n.duties[d.name] != d {
		return
	}
	d.note(Record{k, n.set.Seat, n.now, why, true})
	if len(n.out) >= mostQueued {
		n.out = n.out[1:]
	}
	n.out = append(n.out, queued{Item{Name: d.name, Number: k, Interval: d.interval, At: n.now, Why: why,
		Result: result}, sayTwice})
	n.flushAt = min(n.flushAt, n.now+n.flushEvery())
}

func (d *Duty) note(r Record) {
	d.heard[d.notes%2] = r
	d.notes++
}

// flushEvery is how long a result waits for others: the more seats, the more one message costs.
func (n *Node) flushEvery() Time {
	wait := max(flushLeast, Time(n.set.Size)*flushSeat)
	if len(n.groups) > 0 {
		wait = min(wait, n.groups[0].interval/flushOf*2)
	}
	return wait
}

// flush sends the results that wait, and keeps those that are to be sent once more.
func (n *Node) flush() {
	kept := n.out[:0]
	var items []Item
	send := func() {
		if len(items) > 0 {
			n.port.Broadcast(n.message(Done, func(m *Message) { m.Items = items }))
			items = nil
		}
	}
	for _, q := range n.out {
		if items = append(items, q.item); len(items) == mostItems {
			send()
		}
		if q.left--; q.left > 0 {
			kept = append(kept, q)
		}
	}
	send()
	clear(n.out[len(kept):])
	n.out, n.flushAt = kept, never
	if len(kept) > 0 {
		n.flushAt = n.now + n.flushEvery()
	}
}

// Hear takes a message of another seat. What makes no sense is counted and dropped.
func (n *Node) Hear(now Time, m *Message) {
	n.enter(now)
	if m.Size != n.set.Size || m.Seat < 0 || m.Seat >= n.set.Size || m.Boot <= 0 {
		n.Counts.Odd++
		n.odd(m.Seat, "seat or size differs")
		return
	}
	if m.Seat == n.set.Seat {
		n.doubled(m)
		return
	}
	p := &n.peers[m.Seat]
	if m.Boot < p.boot {
		n.Counts.Stale++
		return
	}
	if m.Boot > p.boot {
		if p.heard > 0 {
			n.port.Note(Note{Event: Returned, Seat: m.Seat})
		}
		*p = peer{boot: m.Boot}
		n.lead.Reborn(m.Seat)
	}
	p.heard = n.now
	switch m.Kind {
	case Ask:
		n.lead.asked(n, m)
	case Grant:
		if !n.lead.Voted(lease.Vote{Seat: m.Seat, To: m.To, ToBoot: m.Since, Round: m.Round}) {
			n.Counts.Stale++
		}
	case Done:
		for i := range m.Items {
			n.done(m, &m.Items[i])
		}
	case Leave:
		if !p.left {
			p.left = true
			n.lead.Left(m.Seat)
			n.port.Note(Note{Event: Left, Seat: m.Seat})
		}
	case Yield:
		n.lead.Yielded(m.Seat, m.Boot, m.Round, false)
	case Hello:
	default:
		n.Counts.Odd++
	}
}

// odd notes a strange message, once for each seat that sends such.
func (n *Node) odd(seat int, why string) {
	if seat >= 0 && seat < len(n.peers) {
		if p := &n.peers[seat]; p.noted > 0 && n.now-p.noted < oddEvery*n.set.Lease {
			return
		}
		n.peers[seat].noted = n.now
	}
	n.port.Note(Note{Event: Odd, Seat: seat, Why: why})
}

// doubled: another process says that it has this seat. The others listen to the younger one, as to one that
// has been started again; so the older one performs and grants nothing while the other is heard of. Both
// tell.
func (n *Node) doubled(m *Message) {
	if m.Boot == n.boot { // own words come back
		return
	}
	if m.Boot < n.boot {
		n.Counts.Stale++
		n.odd(m.Seat, "an older process has this seat too")
		return
	}
	n.clash = n.now + clashFor*n.set.Lease
	if !n.barred {
		n.barred = true
		n.lead.Withhold()
		n.port.Note(Note{Event: Clash, Seat: n.set.Seat})
	}
}

// resume takes the seat up again, as a process that has just been started.
func (n *Node) resume() {
	n.barred, n.boot, n.greeted = false, n.now, false
	n.lead.Start(n.now)
	n.lead.leader = -1
	for _, d := range n.duties {
		d.from = max(d.from, n.now+n.set.Skew)
	}
	n.port.Note(Note{Event: Resolved, Seat: n.set.Seat})
}

// done takes what another seat has done.
func (n *Node) done(m *Message, it *Item) {
	d := n.duties[it.Name]
	if d == nil {
		n.Counts.Unknown++
		return
	}
	k := it.Number
	if it.Interval != d.interval { // it counts by other settings
		k = d.Number(it.At)
	}
	if age := n.now - d.Begin(k); age < -2*n.set.Skew || age > 4*d.interval {
		n.Counts.Stale++
		return
	}
	for _, r := range d.heard {
		if r.Known && r.Interval == k && r.Seat == m.Seat {
			n.Counts.Repeated++
			return
		}
	}
	d.note(Record{k, m.Seat, it.At, it.Why, true})
	n.Counts.Heard++
	n.port.Heard(d, m.Seat, it.At, it.Result)
}

// Leave tells all that this instance ends. It performs nothing any more.
func (n *Node) Leave(now Time) {
	n.enter(now)
	if n.left {
		return
	}
	n.flush()
	n.left = true
	n.lead.Leave()
	n.port.Broadcast(n.message(Leave, nil))
}

// message is a new message of a kind.
func (n *Node) message(kind Kind, fill func(*Message)) *Message {
	m := &Message{Kind: kind, Seat: n.set.Seat, Size: n.set.Size, Boot: n.boot}
	if fill != nil {
		fill(m)
	}
	return m
}
