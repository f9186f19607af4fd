package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func members(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{ID: string(rune('a' + i)), Address: fmt.Sprint("address-", i)})
	}
	return list
}

// A write that was acknowledged is found by every quorum that can still form after as many members as may be lost came back empty:
// an empty one has another identity and counts in neither. All sets of 3 to 6 members are tried.
func TestRecoveryQuorumsMeetWriteQuorums(t *testing.T) {
	for n, lost := range map[int]int{3: 1, 4: 1, 5: 2, 6: 2} {
		v := Value{Members: members(n)}
		quorum := func(set int) bool {
			return v.Quorum(func(id string) bool { return set&(1<<(id[0]-'a')) != 0 })
		}
		for write := range 1 << n {
			if !quorum(write) {
				continue
			}
			for wiped := range 1 << n {
				if count(wiped) > lost {
					continue
				}
				must.True(t, quorum((1<<n-1)&^wiped), must.Sprintf("%d of %d members cannot go on without %b", n-count(wiped), n, wiped))
				for read := range 1 << n {
					if read&wiped == 0 && quorum(read) {
						must.NotEq(t, 0, read&write&^wiped, must.Sprintf("write %b, wiped %b, read %b of %d", write, wiped, read, n))
					}
				}
			}
		}
	}
}

func count(set int) int {
	n := 0
	for ; set > 0; set &= set - 1 {
		n++
	}
	return n
}

// world is a small system for exhaustive search: acceptors by identity, and proposers that append their letter to the register.
type world struct {
	acceptors map[string]State
	rounds    []*Round
	sent      []map[string]bool // by round: phase and member that it has been sent to
	chosen    []string          // contents that were chosen, in the order of their discovery
	ballots   []Ballot
}

func (w *world) clone() *world {
	c := &world{acceptors: map[string]State{}, chosen: slices.Clone(w.chosen), ballots: slices.Clone(w.ballots)}
	for id, s := range w.acceptors {
		c.acceptors[id] = s
	}
	for i, r := range w.rounds {
		q := *r
		q.promised, q.accepted, q.holds = cloneMap(r.promised), cloneMap(r.accepted), cloneMap(r.holds)
		c.rounds = append(c.rounds, &q)
		c.sent = append(c.sent, cloneMap(w.sent[i]))
	}
	return c
}

func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (w *world) key() string {
	var b strings.Builder
	ids := make([]string, 0, len(w.acceptors))
	for id := range w.acceptors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := w.acceptors[id]
		fmt.Fprintf(&b, "%s %v %v %s %v|", id, s.Promised, s.Accepted, s.Value.Data, s.Value.Members)
	}
	for i, r := range w.rounds {
		fmt.Fprintf(&b, "%v %s %v %v %v;", r.Phase, r.proposal.Data, r.promised, r.accepted, w.sent[i])
	}
	return b.String()
}

// deliver sends round i's message of its phase to one member and takes the answer.
func (w *world) deliver(i int, m Member) {
	r := w.rounds[i]
	w.sent[i][fmt.Sprint(r.Phase, m.ID)] = true
	s, lives := w.acceptors[m.ID]
	if !lives {
		return
	}
	if r.Phase == Preparing {
		next, ok := s.Prepare(r.Ballot)
		w.acceptors[m.ID] = next
		v := next.Value
		r.Promise(m.ID, ok, next.Promised, next.Accepted, &v)
	} else {
		next, ok := s.Accept(r.Ballot, r.proposal)
		w.acceptors[m.ID] = next
		r.Accept(m.ID, ok, next.Promised)
	}
	if r.Phase == Prepared {
		v := r.Current()
		v.Data = append(slices.Clone(v.Data), byte('x'+i))
		r.Propose(v)
	}
	if r.Phase == Chosen {
		w.chosen = append(w.chosen, string(r.proposal.Data))
		w.ballots = append(w.ballots, r.Ballot)
		r.Phase = Refused // it has nothing more to do
	}
}

// Two and three proposers under every order of their messages to three members, one of which may be wiped at every moment: of two
// contents that were chosen one always continues the other, in the order of their ballots.
func TestEveryOrderOfThreeMembers(t *testing.T) {
	for proposers := 2; proposers <= 3; proposers++ {
		wipes := 1
		if proposers == 3 {
			wipes = 0 // three proposers and a wipe are drawn at random below
		}
		start := &world{acceptors: map[string]State{}}
		first := State{Promised: Ballot{Counter: 1}, Accepted: Ballot{Counter: 1}, Value: Value{Members: members(3)}}
		for _, m := range members(3) {
			start.acceptors[m.ID] = first
		}
		for i := range proposers {
			start.rounds = append(start.rounds, NewRound(Ballot{2, string(rune('p' + i))}, first.Accepted, first.Value))
			start.sent = append(start.sent, map[string]bool{})
		}
		seen := map[string]bool{}
		explore(t, start, wipes, seen)
		must.Greater(t, 1000, len(seen))
	}
}

func explore(t *testing.T, w *world, wipes int, seen map[string]bool) {
	key := fmt.Sprint(wipes, w.key())
	if seen[key] {
		return
	}
	seen[key] = true
	checkChain(t, w)
	for i, r := range w.rounds {
		if r.Phase != Preparing && r.Phase != Accepting {
			continue
		}
		for _, m := range members(3) {
			if w.sent[i][fmt.Sprint(r.Phase, m.ID)] {
				continue
			}
			next := w.clone()
			next.deliver(i, m)
			explore(t, next, wipes, seen)
		}
	}
	if wipes > 0 {
		for _, m := range members(3) {
			if _, lives := w.acceptors[m.ID]; lives {
				next := w.clone()
				delete(next.acceptors, m.ID) // it comes back under another identity, which is no member
				explore(t, next, wipes-1, seen)
			}
		}
	}
}

func checkChain(t *testing.T, w *world) {
	t.Helper()
	for i := range w.chosen {
		for j := range w.chosen {
			if w.ballots[i].Less(w.ballots[j]) && !strings.HasPrefix(w.chosen[j], w.chosen[i]) {
				t.Fatalf("chosen: %q under %v, then %q under %v", w.chosen[i], w.ballots[i], w.chosen[j], w.ballots[j])
			}
		}
	}
}

// drawn is a system whose schedule is drawn: messages to members get lost or come in any order, members are wiped and taken in again
// under new identities by changes of the members.
type drawn struct {
	t       *testing.T
	rand    *rand.Rand
	live    map[string]State
	known   map[string]State // what each proposer knew last
	wiped   int
	chosen  []string
	ballots []Ballot
	lost    int
	borne   int
	next    int
	counter uint64
	used    map[string]uint64 // a proposer never uses a counter twice
}

func TestDrawnSchedulesWithWipes(t *testing.T) {
	for _, n := range []int{3, 4, 5, 6} {
		chosen := 0
		for seed := range uint64(300) {
			d := &drawn{t: t, rand: rand.New(rand.NewPCG(seed, uint64(n))), live: map[string]State{}, known: map[string]State{}, used: map[string]uint64{}, counter: 10, borne: (n - 1) / 2}
			first := State{Promised: Ballot{Counter: 1}, Accepted: Ballot{Counter: 1}, Value: Value{Members: members(n)}}
			for _, m := range members(n) {
				d.live[m.ID] = first
			}
			for _, p := range []string{"p", "q", "r"} {
				d.known[p] = first
			}
			for range 40 {
				d.step()
			}
			chosen += len(d.chosen)
		}
		must.Greater(t, 300*8, chosen, must.Sprintf("%d members: the schedules let too little happen", n))
	}
}

func (d *drawn) step() {
	if d.rand.IntN(4) == 0 && d.lost < d.borne {
		d.wipe()
		return
	}
	proposer := []string{"p", "q", "r"}[d.rand.IntN(3)]
	switch d.rand.IntN(3) {
	case 0:
		d.attempt(proposer, func(v Value) Value { return d.repair(v) })
	default:
		d.next++
		letter := fmt.Sprintf("%d,", d.next)
		d.attempt(proposer, func(v Value) Value { v.Data = append(slices.Clone(v.Data), letter...); return v })
	}
}

// wipe empties a member's disk: its identity is gone, a new one lives in its place.
func (d *drawn) wipe() {
	ids := d.ids()
	id := ids[d.rand.IntN(len(ids))]
	delete(d.live, id)
	d.wiped++
	d.lost++
	d.live[fmt.Sprint("new", d.wiped)] = State{}
}

func (d *drawn) ids() []string {
	var ids []string
	for id := range d.live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// repair ends a change of members, or begins one that takes a new identity in for one that is gone.
func (d *drawn) repair(v Value) Value {
	if len(v.Old) > 0 {
		return End(v)
	}
	next := slices.Clone(v.Members)
	for i, m := range next {
		if _, lives := d.live[m.ID]; lives {
			continue
		}
		for _, id := range d.ids() {
			if !v.Has(id) {
				next[i] = Member{ID: id}
				return Begin(v, next)
			}
		}
	}
	return v
}

// attempt plays a round of which each message is lost with one chance in eight.
func (d *drawn) attempt(proposer string, edit func(v Value) Value) {
	known := d.known[proposer]
	d.counter++
	if d.rand.IntN(3) > 0 {
		d.counter++
	}
	counter := max(d.counter-uint64(d.rand.IntN(3)), d.used[proposer]+1)
	d.used[proposer], d.counter = counter, max(d.counter, counter)
	r := NewRound(Ballot{counter, proposer}, known.Accepted, known.Value)
	asked := map[string]bool{}
	for {
		targets := slices.DeleteFunc(r.Targets(), func(m Member) bool { return asked[fmt.Sprint(r.Phase, m.ID)] })
		if len(targets) == 0 || (r.Phase != Preparing && r.Phase != Accepting) {
			break
		}
		m := targets[d.rand.IntN(len(targets))]
		asked[fmt.Sprint(r.Phase, m.ID)] = true
		s, lives := d.live[m.ID]
		if !lives || d.rand.IntN(8) == 0 {
			continue
		}
		if r.Phase == Preparing {
			next, ok := s.Prepare(r.Ballot)
			d.live[m.ID] = next
			v := next.Value
			r.Promise(m.ID, ok, next.Promised, next.Accepted, &v)
		} else {
			next, ok := s.Accept(r.Ballot, r.proposal)
			d.live[m.ID] = next
			if d.rand.IntN(8) > 0 { // the answer may be lost where the request was not
				r.Accept(m.ID, ok, next.Promised)
			}
		}
		if r.Phase == Prepared {
			r.Propose(edit(r.Current()))
		}
	}
	d.counter = max(d.counter, r.Higher.Counter)
	if r.Phase != Chosen {
		return
	}
	d.known[proposer] = State{Accepted: r.Ballot, Value: r.proposal}
	if len(r.current.Old) > 0 && len(r.proposal.Old) == 0 {
		d.lost = 0 // those who were lost have been replaced
		for _, m := range r.proposal.Members {
			if _, lives := d.live[m.ID]; !lives {
				d.lost++
			}
		}
	}
	d.chosen = append(d.chosen, string(r.proposal.Data))
	d.ballots = append(d.ballots, r.Ballot)
	for i := range d.chosen {
		for j := range d.chosen {
			if d.ballots[i].Less(d.ballots[j]) && !strings.HasPrefix(d.chosen[j], d.chosen[i]) {
				d.t.Fatalf("chosen: %q under %v, then %q under %v", d.chosen[i], d.ballots[i], d.chosen[j], d.ballots[j])
			}
		}
	}
}

func TestViewNeedsAQuorumOfTheNewestValue(t *testing.T) {
	v := Value{Members: members(3), Data: []byte("1")}
	newer := Value{Members: members(3), Data: []byte("2")}
	one, two := Ballot{1, "p"}, Ballot{2, "p"}

	w := NewView(one, v)
	w.Note("a", one, nil)
	must.False(t, w.Chosen())
	w.Note("b", one, nil)
	must.True(t, w.Chosen())

	w = NewView(one, v)
	w.Note("a", one, nil)
	w.Note("b", two, &newer)
	must.True(t, w.Heard())
	must.False(t, w.Chosen(), must.Sprint("the newest value is kept by one member only"))
	w.Note("c", two, nil)
	must.True(t, w.Chosen())
	b, found := w.Newest()
	must.Eq(t, two, b)
	must.Eq(t, "2", string(found.Data))
}

func TestJointQuorum(t *testing.T) {
	v := Value{Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "x"}}, Old: members(3)}
	in := func(ids string) func(string) bool { return func(id string) bool { return strings.Contains(ids, id) } }
	must.True(t, v.Quorum(in("ab")))
	must.False(t, v.Quorum(in("ax")), must.Sprint("no majority of the old members"))
	must.False(t, v.Quorum(in("bc")), must.Sprint("no majority of the new members"))
	must.True(t, v.Quorum(in("axb")))
	must.Len(t, 4, v.All())
}
