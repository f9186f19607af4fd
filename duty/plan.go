package duty

// plan.go owns the plan: which seats are there, for the intervals that begin between two points of time. Its leader has a
// lease (package lease), and it alone may say who is there, and that only for intervals that begin before the lease ends. So plans
// of two leaders never speak of the same interval, and each interval has one substitute at most. This file must never plan
// beyond a lease.

import (
	"fmt"
	"math"
	"math/bits"
	"slices"

	"moleshift/lease"
)

const keepPlan = 4 // beats for which a segment is still told after its end

// lead is a node's part in leading, and the plan as it knows it.
type lead struct {
	*lease.Election

	issued   Time      // up to which intervals are planned
	segments []Segment // by From
	covered  bool
	leader   int // of the last segment heard, -1: none
}

// ---- the election's hooks ----

// hooks keeps them out of Node's methods.
type hooks Node

// Ask tells the plan, too.
func (h *hooks) Ask(q lease.Question, seats []int) {
	n := (*Node)(h)
	m := n.message(Ask, func(m *Message) {
		m.Round, m.For, m.Since = q.Round, q.For, q.Lot
		for _, s := range n.lead.segments {
			if s.Until > n.now-keepPlan*n.set.Beat {
				m.Plan = append(m.Plan, s)
			}
		}
	})
	if seats == nil {
		n.port.Broadcast(m)
	}
	for _, seat := range seats {
		n.port.Send(seat, m)
	}
}

// Sound and Echo are never asked for where reigns are not counted.
func (h *hooks) Sound(uint32)     {}
func (h *hooks) Echo(int, uint32) {}

func (h *hooks) Answer(v lease.Vote) {
	n := (*Node)(h)
	n.port.Send(v.To, n.message(Grant, func(g *Message) { g.Round, g.To, g.Since = v.Round, v.To, v.ToBoot }))
}

// GiveBack is only called for a seeker: what a leader has planned reaches to its lease's end.
func (h *hooks) GiveBack(number uint32, _ bool) {
	n := (*Node)(h)
	n.port.Broadcast(n.message(Yield, func(m *Message) { m.Round = number }))
}

// Turn is in the line of seats behind the last leader.
func (h *hooks) Turn() int {
	n := (*Node)(h)
	if s := n.lead.newest(); s != nil {
		at, _ := slices.BinarySearch(s.seats, n.lead.leader+1)
		if me := slices.Index(s.seats, n.set.Seat); me >= 0 {
			return (me - at + len(s.seats)) % len(s.seats)
		}
	}
	return math.MaxInt // not in the line
}

// Leads: intervals of before may be another's.
func (h *hooks) Leads() {
	n := (*Node)(h)
	n.lead.issued = max(n.lead.issued, n.now+n.set.Skew)
	n.lead.leader = n.set.Seat
	n.port.Note(Note{Event: Led, Seat: n.set.Seat})
}

func (h *hooks) Renews() { n := (*Node)(h); n.lead.issue(n) }

// Promise is never asked for: plans need no reigns, as their times tell them apart.
func (h *hooks) Promise(uint64) bool { return true }

// awake does what is due.
func (l *lead) awake(n *Node) {
	l.Awake()
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

// asked takes a leader's question, and its plan.
func (l *lead) asked(n *Node, m *Message) {
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
	l.Question(lease.Question{Seat: m.Seat, Boot: m.Boot, Round: m.Round, For: m.For, Lot: m.Since})
}

// issue plans the intervals up to the lease's end. Seats that have answered lately are there.
func (l *lead) issue(n *Node) {
	if l.Valid() <= l.issued {
		return
	}
	s := Segment{From: l.issued, Until: l.Valid(), Leader: n.set.Seat, Active: make([]byte, (n.set.Size+7)/8)}
	for seat := range n.peers {
		if l.There(seat) {
			s.Active[seat/8] |= 1 << (seat % 8)
		}
	}
	s.fill()
	l.issued = l.Valid()
	l.learn(n, s)
}

// learn takes a segment of the plan. One that goes on as the last did makes that longer.
func (l *lead) learn(n *Node, s Segment) {
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
func (l *lead) forget(n *Node) {
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

func (l *lead) newest() *Segment {
	if len(l.segments) == 0 {
		return nil
	}
	return &l.segments[len(l.segments)-1]
}

// plan is the segment for intervals that begin at a time, nil where none is known.
func (l *lead) plan(t Time) *Segment {
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
