package duty

// lease.go owns who leads, and the plan. A leader holds a lease that more than half of all seats have granted
// it; it alone may say which seats are there, and that only for intervals that begin before the lease ends. A
// seat grants one lease at a time. So of two leaders the later begins after the earlier one's lease has
// ended, their plans never speak of the same interval, and each interval has one substitute at most. This
// file must never grant a second lease while one holds, and never plan beyond a lease.

import (
	"fmt"
	"math/bits"
	"slices"
)

type role int

const (
	following role = iota
	seeking        // has asked for a short lease, so that a vote that is split is over soon
	leading
)

func (r role) String() string { return [...]string{"following", "seeking", "leading"}[r] }

const (
	keptRounds = 8 // whose grants still count
	missRounds = 2 // that a seat may leave unanswered before it counts as not there
	mostTries  = 8 // askings of a seeker before it lets others try
	mostLots   = 1 << 30
	successors = 8  // who wait in turn when a lease has ended
	keepPlan   = 4  // beats for which a segment is still told after its end
	uneven     = 20 // a lease counts for a twentieth less, as clocks do not run at quite the same pace
)

// round is one asking for the lease.
type round struct {
	number uint32
	sent   Time
	length Time
}

// lease is a node's part in leading and in granting.
type lease struct {
	role   role
	quorum int

	// As one who grants.
	holder      int // seat, -1: nobody
	holderBoot  Time
	holderRound uint32 // the latest that it was granted in
	until       Time   // the grant holds
	grantsAfter Time   // a start: what was granted before it is forgotten

	// As one who asks.
	rounds []round
	last   uint32
	ends   []Time // by seat: until when its grant is known to hold
	valid  Time   // until when a majority's grants do, as last reckoned
	tries  int    // askings as a seeker
	lot    Time   // drawn by a seeker: of two that seek at once the one with the lower gives way
	issued Time   // up to which intervals are planned
	beatAt Time
	halfAt Time // when seats that have not answered this beat's asking are asked once more
	seekAt Time

	segments []Segment // by From
	covered  bool
	leader   int // of the last segment heard, -1: none
}

// start: a seat grants nothing for as long as a grant of its predecessor may hold.
func (l *lease) start(n *Node) {
	l.quorum = n.set.Size/2 + 1
	l.ends = make([]Time, n.set.Size)
	l.holder, l.leader = -1, -1
	l.grantsAfter = n.now + n.set.Lease + n.set.Skew
	if n.set.Size == 1 {
		l.grantsAfter = n.now
	}
	l.beatAt, l.halfAt = never, never
	l.seekAt = l.grantsAfter + n.chance(n.set.Beat)
}

// move is the one way from role to role.
func (l *lease) move(n *Node, to role) {
	from := l.role
	l.role = to
	switch to {
	case following:
		if from == seeking {
			l.yield(n)
		}
		l.beatAt, l.halfAt, l.valid, l.rounds = never, never, 0, nil
		clear(l.ends)
		l.seekAt = l.patience(n)
	case seeking:
		l.tries, l.beatAt, l.lot = 0, never, 1+n.chance(mostLots)
		l.try(n)
	case leading: // intervals of before may be another's
		l.issued = max(l.issued, n.now+n.set.Skew)
		l.seekAt = never
		l.leader = n.set.Seat
		n.port.Note(Note{Event: Led, Seat: n.set.Seat})
		l.beat(n)
	}
}

// beat asks for the lease anew. Well before the next one it asks again those seats that were there lately and
// have not answered: where a side has just a majority, each of its grants counts.
func (l *lease) beat(n *Node) {
	l.ask(n, n.set.Lease)
	l.beatAt, l.halfAt = n.now+n.set.Beat, n.now+n.set.Beat/2
}

func (l *lease) again(n *Node) {
	l.halfAt = never
	m := l.question(n, n.set.Lease)
	for seat := range n.peers {
		if p := &n.peers[seat]; p.round < l.last && p.round+keptRounds >= l.last && seat != n.set.Seat &&
			!p.left {
			n.port.Send(seat, m)
		}
	}
}

// try asks as a seeker, a few times: the grants add up over them, so lost messages cost little.
func (l *lease) try(n *Node) {
	l.tries++
	l.seekAt = n.now + n.set.Beat/2
	l.ask(n, 2*n.set.Beat)
}

// yield gives back what a seeker was granted, by itself and by others, or all would wait for those grants to
// run out before anyone else could have a majority. Only a seeker may: it has planned nothing under them,
// whereas what a leader has planned reaches to its lease's end. A grant of a later asking is not meant:
// messages may overtake one another.
func (l *lease) yield(n *Node) {
	if l.holder == n.set.Seat && l.holderBoot == n.boot {
		l.holder, l.until = -1, n.now
	}
	n.port.Broadcast(n.message(Yield, func(m *Message) { m.Round = l.last }))
}

// yielded takes a seeker's word that it no longer counts on its grants.
func (l *lease) yielded(n *Node, m *Message) {
	if l.holder == m.Seat && l.holderBoot == m.Boot && m.Round >= l.holderRound && n.now < l.until {
		l.holder, l.until = -1, n.now
		if l.role == following {
			l.seekAt = min(l.seekAt, l.patience(n))
		}
	}
}

// patience is when this seat would ask for the lease if nobody else does: in turn behind the last leader, so
// that votes are seldom split.
func (l *lease) patience(n *Node) Time {
	base := max(l.until, l.grantsAfter, n.now)
	turn := successors
	if s := l.newest(); s != nil {
		at, _ := slices.BinarySearch(s.seats, l.leader+1)
		if me := slices.Index(s.seats, n.set.Seat); me >= 0 {
			turn = min((me-at+len(s.seats))%len(s.seats), successors)
		}
	}
	return base + Time(turn)*n.set.Beat/successors + n.chance(n.set.Beat/successors)
}

func (l *lease) next() Time { return min(l.beatAt, l.halfAt, l.seekAt) }

// awake does what is due.
func (l *lease) awake(n *Node) {
	switch {
	case n.left || n.barred:
		l.beatAt, l.halfAt, l.seekAt = never, never, n.now+n.set.Lease
		if n.left {
			l.seekAt = never
		}
		l.role = following
	case l.role == leading && n.now >= l.beatAt:
		if l.reckon(n); n.now >= l.valid {
			l.move(n, following) // the majority is out of reach
			break
		}
		l.issue(n)
		l.beat(n)
	case l.role == leading && n.now >= l.halfAt:
		l.again(n)
	case l.role == seeking && n.now >= l.seekAt:
		if l.tries < mostTries && l.free(n, n.set.Seat, n.boot) {
			l.try(n)
		} else {
			l.move(n, following)
		}
	case l.role == following && n.now >= l.seekAt:
		if l.free(n, n.set.Seat, n.boot) {
			l.move(n, seeking)
		} else {
			l.move(n, following)
		}
	}
	l.forget(n)
	if covered := l.plan(n.now) != nil; covered != l.covered {
		l.covered = covered
		event := Uncovered
		if covered {
			event = Covered
		}
		n.port.Note(Note{Event: event, Seat: max(l.leader, 0)})
	}
}

// ask asks all seats for the lease, this one first.
func (l *lease) ask(n *Node, length Time) {
	n.Counts.Asked++
	l.last++
	l.rounds = append(l.rounds, round{number: l.last, sent: n.now, length: length})
	l.rounds = l.rounds[max(len(l.rounds)-keptRounds, 0):]
	if l.free(n, n.set.Seat, n.boot) {
		l.grant(n, n.set.Seat, n.boot, l.last, length)
		l.count(n, n.set.Seat, l.last)
	}
	n.port.Broadcast(l.question(n, length))
}

// question asks for a lease, and tells the plan.
func (l *lease) question(n *Node, length Time) *Message {
	return n.message(Ask, func(m *Message) {
		m.Round, m.For = l.last, length
		if l.role == seeking {
			m.Since = l.lot
		}
		for _, s := range l.segments {
			if s.Until > n.now-keepPlan*n.set.Beat {
				m.Plan = append(m.Plan, s)
			}
		}
	})
}

// free: may this seat grant a lease to a process?
func (l *lease) free(n *Node, seat int, boot Time) bool {
	if n.now < l.grantsAfter {
		return false
	}
	return l.holder < 0 || n.now >= l.until || l.holder == seat && l.holderBoot == boot
}

func (l *lease) grant(n *Node, seat int, boot Time, number uint32, length Time) {
	l.holder, l.holderBoot, l.holderRound, l.until = seat, boot, number, max(n.now+length, l.until)
	n.Counts.Given++
}

// asked takes a leader's question, and its plan.
func (l *lease) asked(n *Node, m *Message) {
	if m.For > n.set.Lease {
		n.Counts.Odd++
		n.odd(
			m.Seat,
			fmt.Sprintf("asks for a lease of %d ms, %d here", m.For/Millisecond, n.set.Lease/Millisecond),
		)
		return
	}
	for _, s := range m.Plan {
		l.learn(n, s)
	}
	if n.left || n.barred {
		return
	}
	if l.role == seeking && l.givesWay(n, m) {
		l.move(n, following)
	}
	if !l.free(n, m.Seat, m.Boot) {
		return
	}
	if l.role != following { // this one's lease is over
		l.move(n, following)
	}
	l.grant(n, m.Seat, m.Boot, m.Round, m.For)
	l.seekAt = l.patience(n)
	n.port.Send(m.Seat, n.message(Grant, func(g *Message) {
		g.Round, g.To, g.Since = m.Round, m.Seat, m.Boot
	}))
}

// givesWay: a seeker makes room for one that leads, and for another seeker with the higher lot. Lots are
// drawn anew for each seeking, so one that is heard by all and hears nobody can't keep the others back for
// long.
func (l *lease) givesWay(n *Node, m *Message) bool {
	return m.Since == 0 || m.Since > l.lot || m.Since == l.lot && m.Seat > n.set.Seat
}

// granted takes a grant.
func (l *lease) granted(n *Node, m *Message) {
	if m.To != n.set.Seat || m.Since != n.boot {
		n.Counts.Stale++
		return
	}
	l.count(n, m.Seat, m.Round)
}

// count notes a grant. It holds for its length from when it was asked for: the seat gave it later than that,
// so by any clock it ends here first.
func (l *lease) count(n *Node, seat int, number uint32) {
	i := slices.IndexFunc(l.rounds, func(r round) bool { return r.number == number })
	if i < 0 || l.role == following {
		n.Counts.Stale++
		return
	}
	if l.role == leading && n.now >= l.valid {
		if l.reckon(n); n.now >= l.valid { // since it ended another may have led: the plan must not go on from there
			l.move(n, following)
			return
		}
	}
	r := l.rounds[i]
	l.ends[seat] = max(l.ends[seat], r.sent+r.length-r.length/uneven)
	n.peers[seat].round = max(n.peers[seat].round, number)
	if l.role == seeking {
		if l.reckon(n); n.now < l.valid {
			l.move(n, leading)
		}
	}
}

// reckon works out until when a majority's grants hold. They may be of different rounds: each seat keeps its
// own, and while more than half do no other can have as many.
func (l *lease) reckon(n *Node) {
	ends := slices.Sorted(slices.Values(l.ends))
	l.valid = max(l.valid, ends[len(ends)-l.quorum])
}

// issue plans the intervals up to the lease's end. Seats that have answered lately are there.
func (l *lease) issue(n *Node) {
	if l.valid <= l.issued {
		return
	}
	s := Segment{From: l.issued, Until: l.valid, Leader: n.set.Seat, Active: make([]byte, (n.set.Size+7)/8)}
	for seat := range n.peers {
		p := &n.peers[seat]
		there := p.round > 0 && p.round+missRounds >= l.last && !p.left
		if seat == n.set.Seat || there {
			s.Active[seat/8] |= 1 << (seat % 8)
		}
	}
	s.fill()
	l.issued = l.valid
	l.learn(n, s)
}

// learn takes a segment of the plan. One that goes on as the last did makes that longer.
func (l *lease) learn(n *Node, s Segment) {
	if s.Until > n.now+n.set.Lease+2*n.set.Skew {
		n.Counts.Odd++
		return
	}
	if s.Leader != l.leader {
		if newest := l.newest(); newest == nil || s.From >= newest.Until {
			l.leader = s.Leader
			n.port.Note(Note{Event: Led, Seat: s.Leader})
		}
	}
	for i := range l.segments {
		o := &l.segments[i]
		same := o.Leader == s.Leader && slices.Equal(o.Active, s.Active)
		if same && s.From <= o.Until && o.From <= s.Until {
			o.From, o.Until = min(o.From, s.From), max(o.Until, s.Until)
			return
		}
		if s.From < o.Until && o.From < s.Until {
			n.Counts.Conflicts++
			return
		}
	}
	if s.seats == nil {
		s.fill()
	}
	i, _ := slices.BinarySearchFunc(
		l.segments,
		s.From,
		func(o Segment, t Time) int { return int(o.From - t) },
	)
	l.segments = slices.Insert(l.segments, i, s)
	if s.From < n.now {
		n.planned(s)
	}
}

// forget lets go of segments in which no interval that still runs has begun.
func (l *lease) forget(n *Node) {
	keep := n.now - keepPlan*n.set.Beat
	if len(n.groups) > 0 {
		keep = min(keep, n.now-n.groups[len(n.groups)-1].interval)
	}
	for len(l.segments) > 0 && (l.segments[0].Until < keep || len(l.segments) > mostSegments) {
		l.segments = l.segments[1:]
	}
	if len(l.segments) > 0 { // what goes on for hours must not be told from its beginning
		l.segments[0].From = max(l.segments[0].From, min(keep, l.segments[0].Until-1))
	}
}

func (l *lease) newest() *Segment {
	if len(l.segments) == 0 {
		return nil
	}
	return &l.segments[len(l.segments)-1]
}

// plan is the segment for intervals that begin at a time, nil where none is known.
func (l *lease) plan(t Time) *Segment {
	for i := len(l.segments) - 1; i >= 0; i-- {
		if s := &l.segments[i]; t >= s.From && t < s.Until {
			return s
		}
	}
	return nil
}

// Substitute is the seat that has the second right in an interval that begins within the segment, -1: nobody.
func (s *Segment) Substitute(d *Duty, k int64, size int) int { return s.substitute(d, k, size) }

// substitute is the seat that has the second right in an interval: any that is there, by the duty's and the
// interval's hash, but not the holder; and not the next interval's holder, if there is another, as two that
// have failed unnoticed would then be named twice running.
func (s *Segment) substitute(d *Duty, k int64, size int) int {
	holder, next := d.Holder(k, size), d.Holder(k+1, size)
	x := d.hash + uint64(k)*0x9e3779b97f4a7c15
	x ^= x >> 29
	hi, lo := bits.Mul64(x, 0xbf58476d1ce4e5b9)
	at := int((hi ^ lo) % uint64(len(s.seats)))
	spare := -1
	for i := range s.seats {
		seat := s.seats[(at+i)%len(s.seats)]
		if seat != holder && seat != next {
			return seat
		}
		if seat != holder {
			spare = seat
		}
	}
	return spare
}
