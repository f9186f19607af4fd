package lease

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// table plays a few nodes whose messages arrive at once, in order, unless they are lost.
type table struct {
	t     *testing.T
	now   Time
	names []string
	seats []*seat
	queue []func()
	lost  func(from, to int, m *Message) bool
}

type seat struct {
	tb    *table
	n     *Node
	seat  int
	said  []string
	mem   Memory
	full  bool
	stops bool // gives up at once what it is told to
	value map[string]string
}

const (
	zero  = Time(17_000_000_000_000)
	aBeat = 150 * Millisecond
)

func sit(t *testing.T, size int, names ...string) *table {
	tb := &table{t: t, now: zero, names: names, lost: func(int, int, *Message) bool { return false }}
	for i := range size {
		s := &seat{tb: tb, seat: i, stops: true, mem: Memory{Kept: map[string]Kept{}}, value: map[string]string{}}
		tb.seats = append(tb.seats, s)
		s.start()
	}
	return tb
}

func (s *seat) start() {
	var rights []Right
	for _, name := range s.tb.names {
		rights = append(rights, Right{Name: name})
	}
	n, err := New(Settings{Seat: s.seat, Size: max(len(s.tb.seats), s.seat+1, s.tb.size()), Skew: 100 * Millisecond,
		Lease: 600 * Millisecond, Beat: aBeat, Seed: 5}, rights, s.mem, s, s.tb.now)
	if err != nil {
		s.tb.t.Fatal(err)
	}
	s.n = n
}

// size is fixed by the first seat's.
func (tb *table) size() int {
	if len(tb.seats) > 0 && tb.seats[0].n != nil {
		return tb.seats[0].n.set.Size
	}
	return 3
}

// pass lets time go by.
func (tb *table) pass(ms int) {
	for end := tb.now + Time(ms)*Millisecond; tb.now < end; tb.now += 5 {
		for _, s := range tb.seats {
			if s.n != nil && s.n.Next() <= tb.now {
				s.n.Awake(tb.now)
			}
		}
		for len(tb.queue) > 0 {
			next := tb.queue[0]
			tb.queue = tb.queue[1:]
			next()
		}
	}
}

// holder is who holds a right, -1: nobody; two are an error.
func (tb *table) holder(name string) int {
	held := -1
	for _, s := range tb.seats {
		if s.n == nil {
			continue
		}
		if _, _, is := s.n.Held(tb.now, name); is {
			if held >= 0 {
				tb.t.Errorf("%s is held by %d and %d", name, held, s.seat)
			}
			held = s.seat
		}
	}
	return held
}

func (s *seat) deliver(to int, m *Message) {
	if s.tb.lost(s.seat, to, m) {
		return
	}
	n := s.tb.seats[to].n
	s.tb.queue = append(s.tb.queue, func() {
		if n != nil && s.tb.seats[to].n == n {
			n.Hear(s.tb.now, m)
		}
	})
}

func (s *seat) Send(to int, m *Message) { s.deliver(to, m) }

func (s *seat) Broadcast(m *Message) {
	for to := range s.tb.seats {
		if to != s.seat {
			s.deliver(to, m)
		}
	}
}

func (s *seat) Promise(reign uint64) bool {
	if !s.full {
		s.mem.Floor = reign
	}
	return !s.full
}

func (s *seat) Keep(right string, k Kept) bool {
	if !s.full {
		s.mem.Kept[right] = k
	}
	return !s.full
}

func (s *seat) say(format string, args ...any) { s.said = append(s.said, fmt.Sprintf(format, args...)) }

func (s *seat) Gained(right string, t Token) { s.say("gained %s", right) }

func (s *seat) Lost(right string, t Token, why Why) {
	if s.say("lost %s: %v", right, why); s.stops && why != Expired {
		n := s.n
		s.tb.queue = append(s.tb.queue, func() { n.Released(s.tb.now, right) })
	}
}

func (s *seat) Opened(right string, t Token, value []byte) { s.value[right] = string(value) }
func (s *seat) Saved(right string, t Token, seq uint64)    { s.say("saved %s", right) }
func (s *seat) Note(n Note)                                {}

func (tb *table) token(name string) Token {
	t, _, _ := tb.seats[tb.holder(name)].n.Held(tb.now, name)
	return t
}

func three(t *testing.T, names ...string) *table {
	tb := sit(t, 3, names...)
	tb.pass(2500)
	for _, name := range names {
		if tb.holder(name) < 0 {
			t.Fatalf("nobody holds %s: %+v", name, tb.seats[0].n.State())
		}
	}
	return tb
}

// What was kept under one holder is the next one's, and what an earlier one still says is refused.
func TestKeptForTheNextHolder(t *testing.T) {
	tb := three(t, "a")
	old := tb.seats[tb.holder("a")]
	before := tb.token("a")
	if old.n.Save(tb.now, "a", before, []byte("so far")) == 0 {
		t.Fatal("not opened")
	}
	tb.pass(10)
	if !slices.Contains(old.said, "saved a") {
		t.Error("not kept:", old.said)
	}
	old.n.Leave(tb.now)
	tb.pass(200)
	next := tb.seats[tb.holder("a")]
	if next == old || next.value["a"] != "so far" || tb.token("a") <= before {
		t.Errorf("seat %d has %q under %v", next.seat, next.value["a"], tb.token("a"))
	}
	stale := &Message{Kind: Store, Seat: old.seat, Size: 3, Boot: old.n.elect.Boot(), Slip: &Slip{Right: next.n.right("a").id, Token: before,
		Seq: 9, Value: []byte("of old")}}
	for _, s := range tb.seats {
		if s != old {
			s.n.Hear(tb.now, stale)
			if string(s.mem.Kept["a"].Value) == "of old" {
				t.Errorf("seat %d has taken what a holder of before wrote", s.seat)
			}
		}
	}
}

// A holder's first word to a seat closes it to all before, though nothing has been kept yet.
func TestFirstWordClosesTheChest(t *testing.T) {
	tb := three(t, "a")
	s, id := tb.seats[0], tb.seats[0].n.right("a").id
	far := tokenOf(1<<41, 0)
	from := func(kind Kind, token Token) {
		s.n.Hear(tb.now, &Message{Kind: kind, Seat: 1, Size: 3, Boot: tb.seats[1].n.elect.Boot(), Slip: &Slip{Right: id, Token: token, Seq: 1,
			Value: []byte("x")}})
	}
	from(Fetch, far)
	from(Store, far-1)
	if k := s.mem.Kept["a"]; k.Floor != far || string(k.Value) == "x" {
		t.Errorf("kept %+v", k)
	}
	from(Store, far)
	if k := s.mem.Kept["a"]; string(k.Value) != "x" || k.By != far {
		t.Errorf("kept %+v", k)
	}
}

// A leader that hears nobody, but is heard by all, must not bind the others' votes by asking for them again and again.
func TestDeafLeaderIsFollowed(t *testing.T) {
	for seed := range 12 {
		tb := sit(t, 5, "a")
		tb.pass(2500 + 40*seed)
		var lead *seat
		for _, s := range tb.seats {
			if s.n.elect.Role() == Leading {
				lead = s
			}
		}
		tb.lost = func(_, to int, _ *Message) bool { return to == lead.seat }
		tb.pass(2400)
		for range 60 {
			tb.pass(50)
			if h := tb.holder("a"); h < 0 || h == lead.seat {
				t.Fatalf("after %d ms more: seat %d holds it; seat %d is deaf and %v", 40*seed, h, lead.seat, lead.n.elect.Role())
			}
		}
	}
}

// A leader that stood still just until its own tenures were over, but not its lease, goes on leading: what it held itself must go to
// somebody all the same.
func TestLeaderLetsGoOfItsOwn(t *testing.T) {
	tb := three(t, "a", "b", "c")
	for _, s := range tb.seats {
		if s.n.elect.Role() != Leading {
			continue
		}
		for _, name := range tb.names {
			if r := s.n.right(name); r.token != 0 {
				r.until, s.n.soonest = tb.now, tb.now
				tb.pass(1500)
				if tb.holder(name) < 0 || s.n.elect.Role() != Leading {
					t.Errorf("nobody holds %s; seat %d is %v", name, s.seat, s.n.elect.Role())
				}
				return
			}
		}
	}
	t.Fatal("the leader holds nothing")
}

// A leader that is told to end hands on its rights and then its lease, and holders keep theirs.
func TestLeaderLeaves(t *testing.T) {
	tb := three(t, "a", "b", "c")
	var lead *seat
	for _, s := range tb.seats {
		if s.n.elect.Role() == Leading {
			lead = s
		}
	}
	held := map[string]int{}
	for _, name := range tb.names {
		held[name] = tb.holder(name)
	}
	lead.n.Leave(tb.now)
	for range 160 {
		tb.pass(5)
		for _, name := range tb.names {
			if h := tb.holder(name); h < 0 && held[name] != lead.seat {
				t.Fatalf("%s, which seat %d held, has no holder: %v; %v; %v", name, held[name], tb.seats[0].said, tb.seats[1].said, tb.seats[2].said)
			}
		}
	}
	for _, name := range tb.names {
		if h := tb.holder(name); h < 0 || h == lead.seat || held[name] != lead.seat && h != held[name] {
			t.Errorf("%s: seat %d, before %d", name, h, held[name])
		}
	}
	if !lead.n.Ended() {
		t.Error("it has not ended")
	}
}

// A seat that can't record a promise makes none: with two of three such, nobody leads.
func TestFullDisks(t *testing.T) {
	tb := sit(t, 3, "a")
	tb.seats[0].full, tb.seats[1].full = true, true
	tb.pass(4000)
	if h := tb.holder("a"); h >= 0 {
		t.Errorf("seat %d holds a right by promises that were not recorded", h)
	}
	tb.seats[1].full = false
	tb.pass(3000)
	if tb.holder("a") < 0 {
		t.Error("nobody holds it, with a majority of disks")
	}
}

// Tokens go on growing when all die and the clocks of all are set back, as long as a majority has its disk.
func TestTokensOutliveTheFleet(t *testing.T) {
	tb := three(t, "a")
	before := tb.token("a")
	tb.now -= 3600 * 1000 * Millisecond
	for _, s := range tb.seats {
		s.start()
	}
	tb.pass(3000)
	if after := tb.token("a"); after <= before {
		t.Errorf("token %v after %v", after, before)
	}
}

// A seat that has promised more to one who never led is won back by a greater reign, not by a new leader.
func TestReignGrowsUnderOneLeader(t *testing.T) {
	tb := three(t, "a")
	before, h := tb.token("a"), tb.holder("a")
	var lead *seat
	for _, s := range tb.seats {
		if s.n.elect.Role() == Leading {
			lead = s
		}
	}
	other := tb.seats[(lead.seat+1)%3]
	other.n.elect.floor = before.Reign() + 50
	other.n.elect.holder, other.n.elect.until = -1, 0
	tb.pass(1000)
	if lead.n.elect.Role() != Leading || !lead.n.elect.There(other.seat) || lead.n.elect.Reign() <= before.Reign()+50 {
		t.Errorf("%v, reign %d after %d", lead.n.elect.Role(), lead.n.elect.Reign(), before.Reign())
	}
	if tb.holder("a") != h {
		t.Error("the right has moved")
	}
}

// A seat whose process is new has forgotten for whom it voted. Were it to vote at once, the leader that it had voted for, cut off now, would hold
// what a new one gives away.
func TestForgottenVote(t *testing.T) {
	tb := three(t, "a", "b", "c")
	var lead *seat
	for _, s := range tb.seats {
		if s.n.elect.Role() == Leading {
			lead = s
		}
	}
	voter, other := tb.seats[(lead.seat+1)%3], tb.seats[(lead.seat+2)%3]
	alone := func(apart *seat) { // the two others hear each other
		tb.lost = func(from, to int, _ *Message) bool { return from == apart.seat || to == apart.seat }
	}
	alone(other)
	tb.pass(1500) // the other's vote for the leader has run out
	for range 2 {
		voter.start()
		alone(lead)
		for range 200 {
			tb.pass(5)
			for _, name := range tb.names {
				tb.holder(name) // two are an error
			}
		}
		tb.lost = func(int, int, *Message) bool { return false }
		tb.pass(2500)
	}
}

// Two processes with one seat: the older one lets go of all at once.
func TestSeatTakenTwice(t *testing.T) {
	tb := three(t, "a", "b", "c")
	s := tb.seats[tb.holder("a")]
	s.n.Hear(tb.now, &Message{Kind: Hello, Seat: s.seat, Size: 3, Boot: tb.now + 1})
	if _, _, is := s.n.Held(tb.now, "a"); is || !slices.Contains(s.said, "lost a: seat taken") {
		t.Error("it goes on:", s.said)
	}
	tb.pass(1000)
	if h := tb.holder("a"); h < 0 || h == s.seat {
		t.Errorf("seat %d holds it", h)
	}
}

// Rights spread over the seats, and move one by one to a seat that comes late.
func TestRightsSpread(t *testing.T) {
	names := strings.Fields("a b c d e f g h i")
	tb := sit(t, 3, names...)
	late := tb.seats[2]
	late.n = nil
	tb.pass(3000)
	late.start()
	tb.pass(4000)
	load := map[int]int{}
	for _, name := range names {
		load[tb.holder(name)]++
	}
	if load[0] != 3 || load[1] != 3 || load[2] != 3 {
		t.Errorf("rights by seat: %v", load)
	}
	moves := 0
	for _, s := range tb.seats {
		for _, line := range s.said {
			if strings.Contains(line, "recalled") {
				moves++
			}
		}
	}
	if moves != 3 {
		t.Errorf("%d moves, 3 were needed", moves)
	}
}

// A paused right is given up, and comes back when it is paused no more.
func TestPausedRight(t *testing.T) {
	tb := three(t, "a", "b")
	set := func(paused bool) {
		for _, s := range tb.seats {
			if err := s.n.SetRights(tb.now, []Right{{Name: "a", Paused: paused}, {Name: "b"}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	set(true)
	tb.pass(1000)
	if h := tb.holder("a"); h >= 0 {
		t.Errorf("seat %d holds a right that is paused", h)
	}
	set(false)
	tb.pass(1500)
	if tb.holder("a") < 0 {
		t.Error("nobody holds it")
	}
}

// A right whose holders vanish one after the other rests, for longer each time.
func TestHoldersVanishOneAfterTheOther(t *testing.T) {
	tb := sit(t, 9, "a")
	tb.pass(2500)
	died := 0
	for range 4000 {
		tb.pass(10)
		if h := tb.holder("a"); h >= 0 && tb.seats[h].n.elect.Role() != Leading {
			tb.seats[h].n = nil
			if died++; died == 4 {
				break
			}
		}
	}
	if died < 4 {
		t.Skip("the leader has it")
	}
	tb.pass(1000)
	rests := Time(0)
	for _, s := range tb.seats {
		if s.n != nil && s.n.elect.Role() == Leading {
			rests = s.n.State().Rights[0].Rest
			if lost := s.n.State().Rights[0].Lost; lost < 4 {
				t.Errorf("%d holders are known to have vanished, of %d", lost, died)
			}
		}
	}
	if rests > 0 {
		t.Errorf("it rests after %d holders: %d ms", died, rests/Millisecond)
	}
}

// The receiver's fence takes nothing older than what it took.
func TestFence(t *testing.T) {
	var f Fence
	for _, step := range []struct {
		t    Token
		pass bool
	}{{0, false}, {tokenOf(5, 1), true}, {tokenOf(5, 1), true}, {tokenOf(5, 2), true}, {tokenOf(5, 1), false}, {tokenOf(4, 9), false},
		{tokenOf(6, 0), true}} {
		if f.Pass("a", step.t) != step.pass {
			t.Errorf("token %v: not %v", step.t, step.pass)
		}
	}
	if !f.Pass("b", tokenOf(1, 1)) || f.Greatest("a") != tokenOf(6, 0) || !slices.Equal(f.Rights(), []string{"a", "b"}) {
		t.Error("rights are mixed up")
	}
}

// What is decoded is safe to use, whatever the bytes.
func TestDecode(t *testing.T) {
	c := NewCodec()
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Kind: Kind(rapid.IntRange(0, 20).Draw(t, "kind")), Seat: rapid.IntRange(-2, 9).Draw(t, "seat"),
			Size: rapid.IntRange(0, 9).Draw(t, "size"), Boot: zero, There: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "there"),
			Table: []Entry{{Seat: rapid.IntRange(-3, 9).Draw(t, "entry")}},
			Given: []Gift{{For: Time(rapid.Int64().Draw(t, "for"))}}}
		if rapid.Bool().Draw(t, "slip") {
			m.Slip = &Slip{Value: make([]byte, rapid.SampledFrom([]int{0, 8, 2000}).Draw(t, "bytes"))}
		}
		b, err := c.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if cut := rapid.IntRange(0, len(b)).Draw(t, "cut"); rapid.Bool().Draw(t, "short") {
			b = b[:cut]
		}
		if back, err := c.Decode(b); err == nil {
			n, _ := New(Settings{Seat: 0, Size: back.Size, Lease: 6000, Beat: 1500}, []Right{{Name: "a"}}, Memory{}, &seat{tb: &table{t: nil},
				mem: Memory{Kept: map[string]Kept{}}}, zero)
			if back.Size == 1 || back.Seat == 0 || back.Kind == Ask || back.Kind == Sound || back.Kind >= Fetch {
				return // those answer
			}
			n.Hear(zero+1, back)
		}
	})
}
