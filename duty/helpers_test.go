package duty

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"moleshift/internal/golden"
)

// stage plays a few nodes in virtual time, with messages that take 5 ms, and prints what they do.
type stage struct {
	t     *testing.T
	out   strings.Builder
	set   Settings
	now   Time
	nodes []*seat
	queue []later
	names []string
	lost  func(from, to int, m *Message) bool
	quiet bool // heard results are not printed
}

type seat struct {
	st    *stage
	n     *Node
	seat  int
	shift Time // its clock's
	still bool
	told  []later
}

type later struct {
	at Time
	to *seat
	n  *Node // process that it is for
	do func(*Node, Time)
}

const zero = Time(10_000_000)

func play(t *testing.T, size int, duties ...string) *stage {
	st := &stage{t: t, now: zero, names: duties, lost: func(int, int, *Message) bool { return false },
		set: Settings{
			Size:  size,
			Skew:  20 * Millisecond,
			Lease: 400 * Millisecond,
			Beat:  100 * Millisecond,
			Seed:  3,
		}}
	for i := range size {
		st.nodes = append(st.nodes, &seat{st: st, seat: i})
		st.start(i)
	}
	return st
}

func (st *stage) say(format string, args ...any) {
	fmt.Fprintf(&st.out, "%7.1f  %s\n", float64(st.now-zero)/10, fmt.Sprintf(format, args...))
}

// start starts a process at a seat.
func (st *stage) start(i int) {
	s, set := st.nodes[i], st.set
	set.Seat = i
	s.n = New(set, s, st.now+s.shift)
	for _, name := range st.names {
		s.n.Add(st.now+s.shift, name, 1000*Millisecond)
	}
}

func (st *stage) kill(i int) {
	st.say("seat %d dies", i)
	st.nodes[i].n = nil
}

// pass lets time go by.
func (st *stage) pass(ms int) {
	for end := st.now + Time(ms)*Millisecond; st.now < end; st.now += 10 {
		for _, s := range st.nodes {
			if s.n != nil && !s.still && s.n.Next() <= st.now+s.shift {
				s.n.Awake(st.now + s.shift)
			}
		}
		for len(st.queue) > 0 && st.queue[0].at <= st.now {
			l := st.queue[0]
			st.queue = st.queue[1:]
			if l.to.still {
				l.to.told = append(l.to.told, l)
			} else if l.to.n == l.n && l.n != nil {
				l.do(l.n, st.now+l.to.shift)
			}
		}
	}
}

// wake has a seat that stood still go on: what came meanwhile first, as its process reads it.
func (st *stage) wake(i int) {
	s := st.nodes[i]
	st.say("seat %d goes on", i)
	s.still = false
	for _, l := range s.told {
		if l.n == s.n {
			l.do(s.n, st.now+s.shift)
		}
	}
	s.told = nil
}

// cut lets messages pass only within sides.
func (st *stage) cut(sides ...[]int) {
	st.say("sides %v", sides)
	st.lost = func(from, to int, _ *Message) bool {
		for _, side := range sides {
			if slices.Contains(side, from) && slices.Contains(side, to) {
				return false
			}
		}
		return len(sides) > 0
	}
}

func (st *stage) check(name string) {
	st.t.Helper()
	for _, s := range st.nodes {
		if s.n != nil && s.n.Counts.Conflicts > 0 {
			st.t.Errorf("seat %d met plans in conflict", s.seat)
		}
	}
	golden.Check(st.t, name, st.out.String())
}

func (s *seat) later(wait Time, to *seat, do func(*Node, Time)) {
	at := s.st.now + wait
	i, _ := slices.BinarySearchFunc(s.st.queue, at+1, func(l later, t Time) int { return int(l.at - t) })
	s.st.queue = slices.Insert(s.st.queue, i, later{at, to, to.n, do})
}

func (s *seat) Send(to int, m *Message) { s.deliver(s.st.nodes[to], m) }

func (s *seat) deliver(to *seat, m *Message) {
	if !s.st.lost(s.seat, to.seat, m) {
		s.later(5*Millisecond, to, func(n *Node, now Time) { n.Hear(now, m) })
	}
}

func (s *seat) Broadcast(m *Message) {
	for _, to := range s.st.nodes {
		if to != s {
			s.deliver(to, m)
		}
	}
}

func (s *seat) Perform(d *Duty, k int64, why Why) {
	s.st.say("%s interval %d: seat %d, %v", d.Name(), k-d.Number(zero), s.seat, why)
	s.later(10*Millisecond, s, func(n *Node, now Time) { n.Performed(now, d, k, why, []byte{1}) })
}

func (s *seat) Heard(d *Duty, from int, at Time, result []byte) {
	if !s.st.quiet {
		s.st.say("  seat %d hears of %s by seat %d", s.seat, d.Name(), from)
	}
}

func (s *seat) Note(n Note) {
	names := [...]string{"leads", "covered", "uncovered", "clash", "resolved", "returned", "left", "odd"}
	s.st.say("  seat %d notes: %s, seat %d %s", s.seat, names[n.Event], n.Seat, n.Why)
}
