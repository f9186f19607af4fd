package duty

import (
	"strings"
	"testing"

	"moleshift/lease"
)

func TestTraces(t *testing.T) {
	for name, scene := range map[string]func(st *stage){
		"in-turn": func(st *stage) { st.pass(4500) },
		// Its holder's turns are taken at once when it has been missed, and after the patience until then.
		"holder-dies": func(st *stage) {
			st.pass(2500)
			st.kill(4)
			st.pass(6000)
			st.say("seat 4 starts")
			st.start(4)
			st.pass(4000)
		},
		"leader-dies": func(st *stage) {
			st.pass(2500)
			st.kill(st.leader())
			st.pass(5000)
		},
		// The lesser side performs its own turns and no other; the larger side all.
		"partition": func(st *stage) {
			st.pass(2500)
			st.cut([]int{0, 1}, []int{2, 3, 4})
			st.pass(6000)
			st.cut()
			st.pass(2000)
		},
		// No side has a majority: each duty is still performed once an interval, by its holder.
		"no-majority": func(st *stage) {
			st.pass(2500)
			st.cut([]int{0, 1}, []int{2, 3}, []int{4})
			st.pass(6000)
		},
		// Whatever is said is lost: the substitute may be a second one, there is no third.
		"results-lost": func(st *stage) {
			st.lost = func(_, _ int, m *Message) bool { return m.Kind == Done }
			st.pass(5000)
		},
		// A process that comes back does not know what its predecessor has done in this interval.
		"back-within-an-interval": func(st *stage) {
			st.pass(3000)
			for i := range st.nodes {
				st.kill(i)
				st.start(i)
			}
			st.pass(4000)
		},
		"leaves": func(st *stage) {
			st.pass(2500)
			st.say("seat %d leaves", st.leader())
			st.nodes[st.leader()].n.Leave(st.now)
			st.pass(4000)
		},
		"added-removed-changed": func(st *stage) {
			st.pass(2500)
			for _, s := range st.nodes {
				s.n.Add(st.now, "late", 1000*Millisecond)
				s.n.Remove(st.now, "a")
				s.n.Remove(st.now, "unknown")
				s.n.Add(st.now, "b", 500*Millisecond)
			}
			st.say("late is new, a is gone, b comes twice as often")
			st.pass(3000)
		},
		"clocks-differ": func(st *stage) {
			for i, s := range st.nodes {
				s.shift = Time(i-2) * 5 * Millisecond
			}
			for i := range st.nodes {
				st.start(i)
			}
			st.pass(4500)
		},
		// A list that reaches some instances late: who does not know a duty does not perform it.
		"known-to-some": func(st *stage) {
			st.pass(1500)
			for _, s := range st.nodes[:3] {
				s.n.Add(st.now, "late", 1000*Millisecond)
			}
			st.pass(4000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			st := play(t, 5, "a", "b")
			st.quiet = name != "in-turn"
			scene(st)
			st.check(name)
		})
	}
}

func (st *stage) leader() int {
	for _, s := range st.nodes {
		if s.n != nil && s.n.lead.Role() == lease.Leading {
			return s.seat
		}
	}
	st.t.Fatal("nobody leads")
	return 0
}

// A leader that stood still finds grants in its queue that would make its lease longer, though another has
// led in between. Were it to plan on from where it had ended, two plans would speak of the same intervals.
func TestLeaderThatStoodStill(t *testing.T) {
	st := play(t, 5, "a")
	st.quiet = true
	st.pass(2500)
	old := st.leader()
	st.say("seat %d, which leads, stands still", old)
	st.nodes[old].still = true
	st.pass(1500)
	st.wake(old)
	st.pass(1500)
	st.check("leader-stood-still")
}

// Two who seek at the same moment, with just a majority left: without lots and grants given back each keeps
// its own grants, and both wait until those have run out, several times over where messages are lost.
func TestSeekersGiveWay(t *testing.T) {
	st := play(t, 5, "a")
	st.quiet = true
	st.pass(2500)
	old := st.leader()
	st.kill(old)
	st.kill((old + 1) % 5)
	a, b := st.nodes[(old+2)%5], st.nodes[(old+3)%5]
	st.pass(368)
	for _, s := range []*seat{a, b} {
		s.n.enter(st.now)
		s.n.lead.Seek()
	}
	st.say("seats %d and %d seek at once", a.seat, b.seat)
	st.pass(60)
	st.say("seat %d is %v, seat %d is %v", a.seat, a.n.lead.Role(), b.seat, b.n.lead.Role())
	st.pass(1500)
	st.check("seekers-give-way")
}

// What is given back counts for the asking that it was given in, and before; a late word takes nothing of a
// later one.
func TestYieldOfBefore(t *testing.T) {
	st := play(t, 3, "a")
	st.pass(1500)
	n := st.nodes[0].n
	l := &n.lead
	n.enter(st.now + 2000*Millisecond) // no grant holds any more
	boot := zero + 7
	for _, step := range []struct {
		kind  Kind
		round uint32
		free  bool // the grant, afterwards
	}{{Ask, 4, false}, {Yield, 3, false}, {Yield, 4, true}, {Ask, 5, false}, {Yield, 4, false}, {Yield, 6, true}} {
		n.Hear(
			n.now,
			&Message{
				Kind:  step.kind,
				Seat:  1,
				Size:  3,
				Boot:  boot,
				Round: step.round,
				For:   200 * Millisecond,
				Since: 9,
			},
		)
		if is := l.Free(2, zero+1); is != step.free {
			t.Errorf("after message %d of asking %d: free %v", step.kind, step.round, is)
		}
	}
}

// A grant that comes after the lease has ended shows nothing of the time between.
func TestLateGrant(t *testing.T) {
	st := play(t, 5, "a")
	st.pass(2500)
	n := st.nodes[st.leader()].n
	n.enter(n.lead.Valid() + 1000*Millisecond)
	for seat := range 5 {
		n.lead.Voted(lease.Vote{Seat: seat, ToBoot: n.boot, To: n.set.Seat, Round: n.lead.Round()})
	}
	if n.lead.Role() != lease.Following || n.now < n.lead.Valid() {
		t.Errorf("%v, with a lease until %d at %d", n.lead.Role(), n.lead.Valid(), n.now)
	}
}

// Two processes say that they have one seat: the older one makes way, until the younger is no more.
func TestClash(t *testing.T) {
	st := play(t, 5, "a")
	st.quiet = true
	st.pass(2500)
	twin := &seat{st: st, seat: 3}
	set := st.set
	set.Seat = 3
	twin.n = New(set, twin, st.now)
	twin.n.Add(st.now, "a", 1000*Millisecond)
	st.nodes = append(st.nodes, twin)
	st.say("a second process takes seat 3")
	st.pass(4000)
	st.say("it dies")
	twin.n = nil
	st.pass(9000)
	st.check("clash")
}

// All who pass the gates in one interval, whoever they are told is there: arithmetic names two at most.
func TestRights(t *testing.T) {
	for size := 1; size <= 40; size++ {
		n := New(Settings{Size: size, Lease: 1, Beat: 1}, nil, zero)
		s := Segment{Active: make([]byte, (size+7)/8)}
		for i := range size {
			if i%3 != 1 {
				s.Active[i/8] |= 1 << (i % 8)
			}
		}
		s.fill()
		for _, name := range []string{"a", "b", "c"} {
			d := n.Add(zero, name, 1000)
			seen := map[int]int{}
			for k := range int64(size) {
				holder, second := d.Holder(k, size), s.substitute(d, k, size)
				seen[holder]++
				if second == holder || second >= 0 && !s.has(second) {
					t.Fatalf("size %d: substitute %d for holder %d", size, second, holder)
				}
				if len(s.seats) > 2 && second == d.Holder(k+1, size) {
					t.Fatalf("size %d: substitute %d is the next holder", size, second)
				}
			}
			if len(seen) != size {
				t.Errorf("size %d: the way round meets %d seats", size, len(seen))
			}
		}
	}
}

// Who is told nonsense must stay as it was.
func TestNonsense(t *testing.T) {
	st := play(t, 5, "a")
	st.pass(2500)
	st.out.Reset()
	n := st.nodes[0].n
	far := Segment{From: st.now, Until: st.now + 1e9, Leader: 1, Active: []byte{31}}
	for _, m := range []*Message{
		{Kind: Ask, Seat: 9, Size: 5, Boot: 1}, {Kind: Ask, Seat: 1, Size: 7, Boot: 1}, {Kind: 77, Seat: 1, Size: 5, Boot: zero},
		{Kind: Grant, Seat: 1, Size: 5, Boot: zero, Round: 999, To: 0, Since: n.boot},
		{Kind: Grant, Seat: 1, Size: 5, Boot: zero, To: 0, Since: 5}, {Kind: Ask, Seat: 1, Size: 5, Boot: zero - 1},
		{Kind: Ask, Seat: 1, Size: 5, Boot: zero, For: 1e9}, {Kind: Ask, Seat: 1, Size: 5, Boot: zero, Plan: []Segment{far}},
		{Kind: Done, Seat: 1, Size: 5, Boot: zero, Items: []Item{{Name: "a", Number: 5, Interval: 10000, At: 3}}},
		{Kind: Done, Seat: 1, Size: 5, Boot: zero, Items: []Item{{Name: "nobody's"}}},
	} {
		n.Hear(st.now, m)
	}
	c := n.Counts
	st.say("odd %d, stale %d, unknown %d, in conflict %d", c.Odd, c.Stale, c.Unknown, c.Conflicts)
	st.check("nonsense")
}

func FuzzDecode(f *testing.F) {
	codec := NewCodec()
	for _, m := range []*Message{{Kind: Ask, Size: 3, Boot: 5, Plan: []Segment{{From: 1, Until: 2, Active: []byte{7}}}},
		{Kind: Done, Size: 3, Items: []Item{{Name: "a", Interval: 5, Result: []byte("x")}}}, {Kind: Leave, Size: 1}} {
		b, err := codec.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte(strings.Repeat("\x81", 40)))
	n := New(Settings{Size: 3, Lease: 1000, Beat: 100}, silent{}, zero)
	n.Add(zero, "a", 1000)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := codec.Decode(b)
		if err != nil {
			return
		}
		n.Hear(zero, m) // must not panic, whatever it says
		again, err := codec.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := codec.Decode(again); err != nil {
			t.Errorf("what was read can't be read again: %v", err)
		}
	})
}

type silent struct{}

func (silent) Send(int, *Message)             {}
func (silent) Broadcast(*Message)             {}
func (silent) Perform(*Duty, int64, Why)      {}
func (silent) Heard(*Duty, int, Time, []byte) {}
func (silent) Note(Note)                      {}
