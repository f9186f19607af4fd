// Package quorum is one replicated register: a value that a majority of its members keeps, changed by ballots (Paxos on a single
// value, without a log or a leader). The members are part of the value, so a register carries its own membership.
//
// A member is named by an identity that lives and dies with its state on disk. A machine whose disk was lost comes back under a
// new identity, is no member, and counts for no quorum until a change of the members, made by the others, takes it in.
//
// It owns the rules of ballots, quorums and membership. It must never touch a socket, a disk or a clock: a driver keeps what
// State's methods return on disk before it sends the reply, and carries out what a Round asks for.
package quorum

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -o quorum_gen.go

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Ballot orders attempts to change a register; two proposers never share one.
type Ballot struct {
	Counter  uint64 `msg:"c"`
	Proposer string `msg:"p"`
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Counter, o.Counter), cmp.Compare(b.Proposer, o.Proposer))
}

// Less tells whether b comes before o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

// Next is the lowest ballot of a proposer above b.
func (b Ballot) Next(proposer string) Ballot { return Ballot{b.Counter + 1, proposer} }

// Member is one keeper of a register.
type Member struct {
	ID      string `msg:"i"` // identity: as old as its state on disk
	Address string `msg:"a"` // peer address
}

// Value is what a register holds. Old is not empty while a change of members is under way: then every quorum is a majority of
// Members and a majority of Old.
type Value struct {
	Members []Member `msg:"m"`
	Old     []Member `msg:"o,omitempty"`
	Data    []byte   `msg:"d"`
}

// Has tells whether an identity is among the members.
func (v *Value) Has(id string) bool { return has(v.Members, id) }

// All gives the members, old ones included, each once.
func (v *Value) All() []Member {
	all := slices.Clone(v.Members)
	for _, m := range v.Old {
		if !has(all, m.ID) {
			all = append(all, m)
		}
	}
	return all
}

// Quorum tells whether those for whom in is true are a quorum of the value.
func (v *Value) Quorum(in func(id string) bool) bool {
	return majority(v.Members, in) && (len(v.Old) == 0 || majority(v.Old, in))
}

func has(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

func majority(members []Member, in func(id string) bool) bool {
	n := 0
	for _, m := range members {
		if in(m.ID) {
			n++
		}
	}
	return 2*n > len(members)
}

// State is what an acceptor keeps of one register. The zero State has promised and accepted nothing.
type State struct {
	Promised Ballot `msg:"p"`
	Accepted Ballot `msg:"a"` // zero: nothing accepted
	Value    Value  `msg:"v"`
}

// Prepare gives the state after a prepare of ballot b, and whether it was promised. A refused prepare leaves the state as it was.
func (s State) Prepare(b Ballot) (State, bool) {
	if b.Less(s.Promised) {
		return s, false
	}
	s.Promised = b
	return s, true
}

// Accept gives the state after a request to accept v under ballot b, and whether it was accepted.
func (s State) Accept(b Ballot, v Value) (State, bool) {
	if b.Less(s.Promised) {
		return s, false
	}
	return State{Promised: b, Accepted: b, Value: v}, true
}

// Phase is how far a Round is.
type Phase int

// The phases of a round.
const (
	Preparing Phase = iota // promises are awaited
	Prepared               // a quorum promised: Propose comes next
	Accepting              // acceptances are awaited
	Chosen                 // the proposal is chosen, for good
	Refused                // a higher ballot is about: begin again above Higher
)

// Round is one attempt of one proposer under one ballot.
type Round struct {
	Ballot Ballot
	Phase  Phase
	Higher Ballot // the highest ballot met

	seen     Ballot // highest accepted ballot among what is known
	current  Value  // the value accepted under it
	proposal Value
	promised map[string]bool
	holds    map[string]Ballot // what those who promised had accepted
	accepted map[string]bool

	unanimous bool // every member has to promise
}

// NewUnanimousRound begins a round that goes on only where every member promises. With a majority of them it would miss what was accepted by
// those that have forgotten it.
func NewUnanimousRound(ballot, seen Ballot, known Value) *Round {
	r := NewRound(ballot, seen, known)
	r.unanimous = true
	return r
}

// NewRound begins a round. The proposer knows of a value that was accepted under ballot seen; it need not be the newest.
func NewRound(ballot, seen Ballot, known Value) *Round {
	return &Round{
		Ballot: ballot, Higher: ballot, seen: seen, current: known,
		promised: map[string]bool{}, holds: map[string]Ballot{}, accepted: map[string]bool{},
	}
}

// Targets are the members that have not answered in this phase yet.
func (r *Round) Targets() []Member {
	var all []Member
	answered := r.promised
	switch r.Phase {
	case Preparing:
		all = r.current.All()
	case Accepting:
		all, answered = r.proposal.All(), r.accepted
		for _, m := range r.current.All() {
			if !has(all, m.ID) {
				all = append(all, m)
			}
		}
	}
	return slices.DeleteFunc(all, func(m Member) bool { return answered[m.ID] })
}

// Seen is the ballot of the newest value known to the round.
func (r *Round) Seen() Ballot { return r.seen }

// Promise takes the answer to a prepare: the acceptor's state, whether it promised, and its value unless it is the one known
// (then v is nil).
func (r *Round) Promise(from string, ok bool, promised, accepted Ballot, v *Value) {
	if r.Phase != Preparing {
		return
	}
	if !ok {
		r.refuse(promised)
		return
	}
	if r.seen.Less(accepted) {
		if v == nil {
			return // it counts only together with its value
		}
		r.seen, r.current = accepted, *v
	}
	r.promised[from], r.holds[from] = true, accepted
	if r.hasBase() && r.havePromised() {
		r.Phase = Prepared
	}
}

// havePromised tells whether so many have promised that the round goes on.
func (r *Round) havePromised() bool {
	if r.unanimous {
		return len(r.Targets()) == 0
	}
	return r.current.Quorum(func(id string) bool { return r.promised[id] })
}

// hasBase tells whether the members of the current value are those of a value that was accepted somewhere: members that a proposer
// was only told of are whom to ask, and no quorum.
func (r *Round) hasBase() bool { return r.seen != Ballot{} }

// Current is the value that the proposal must build on, once the round is Prepared.
func (r *Round) Current() Value { return r.current }

// CurrentChosen tells whether those who promised show Current to be chosen already.
func (r *Round) CurrentChosen() bool {
	return r.current.Quorum(func(id string) bool { b, ok := r.holds[id]; return ok && b == r.seen })
}

// Propose asks for v to be accepted. v holds the members of Current, or begins or ends a change of them.
func (r *Round) Propose(v Value) {
	if r.Phase != Prepared {
		return
	}
	r.proposal = v
	r.Phase = Accepting
}

// Decide takes what an edit made of Current: the value to propose, or that it refuses. A refusal stands only where Current is chosen,
// then Decide returns true and the round is over; else Current is proposed once more, so that it comes to be chosen.
func (r *Round) Decide(next Value, refuses bool) (settled bool) {
	if refuses && r.CurrentChosen() {
		return true
	}
	if refuses {
		next = r.Current()
	}
	r.Propose(next)
	return false
}

// Proposal is what the round asks to accept.
func (r *Round) Proposal() Value { return r.proposal }

// Accept takes the answer to a request to accept.
func (r *Round) Accept(from string, ok bool, promised Ballot) {
	if r.Phase != Accepting {
		return
	}
	if !ok {
		r.refuse(promised)
		return
	}
	r.accepted[from] = true
	in := func(id string) bool { return r.accepted[id] }
	if r.proposal.Quorum(in) && r.current.Quorum(in) {
		r.Phase = Chosen
	}
}

func (r *Round) refuse(by Ballot) {
	r.Phase = Refused
	if r.Higher.Less(by) {
		r.Higher = by
	}
}

// Begin gives the value that begins a change of members, from a value with no change under way.
func Begin(v Value, members []Member) Value {
	return Value{Members: members, Old: v.Members, Data: v.Data}
}

// End gives the value that ends a change of members.
func End(v Value) Value { return Value{Members: v.Members, Data: v.Data} }

// View gathers what a quorum has accepted, to tell without writing whether a value is chosen and the newest one.
type View struct {
	highest Ballot
	value   Value
	have    map[string]Ballot
}

// NewView begins a look with the value that the reader knows.
func NewView(accepted Ballot, v Value) *View {
	return &View{highest: accepted, value: v, have: map[string]Ballot{}}
}

// Note takes what one member has accepted, with its value unless it is the one known.
func (w *View) Note(from string, accepted Ballot, v *Value) {
	if w.highest.Less(accepted) {
		if v == nil {
			return
		}
		w.highest, w.value = accepted, *v
	}
	w.have[from] = accepted
}

// Newest gives the newest value met.
func (w *View) Newest() (Ballot, Value) { return w.highest, w.value }

// Targets are the members that have not been heard yet.
func (w *View) Targets() []Member {
	return slices.DeleteFunc(w.value.All(), func(m Member) bool { _, ok := w.have[m.ID]; return ok })
}

// Chosen tells whether a quorum keeps the newest value met: then nothing newer was chosen before the look began. Members without a
// value that was accepted are no quorum.
func (w *View) Chosen() bool {
	return w.highest != (Ballot{}) && w.value.Quorum(func(id string) bool { b, ok := w.have[id]; return ok && b == w.highest })
}

// Heard tells whether a quorum answered at all.
func (w *View) Heard() bool {
	return w.value.Quorum(func(id string) bool { _, ok := w.have[id]; return ok })
}

// Clone gives a copy that shares nothing that changes.
func (r *Round) Clone() *Round {
	c := *r
	c.promised, c.holds, c.accepted = maps.Clone(r.promised), maps.Clone(r.holds), maps.Clone(r.accepted)
	return &c
}

// Clone gives a copy that shares nothing that changes.
func (w *View) Clone() *View {
	c := *w
	c.have = maps.Clone(w.have)
	return &c
}

// String prints a ballot.
func (b Ballot) String() string { return strconv.FormatUint(b.Counter, 10) + b.Proposer }

// String prints a value in one line.
func (v Value) String() string {
	text := strconv.Quote(string(v.Data)) + " of " + names(v.Members)
	if len(v.Old) > 0 {
		text += " and " + names(v.Old)
	}
	return text
}

func names(members []Member) string {
	var b strings.Builder
	for _, m := range members {
		b.WriteString(m.ID)
		b.WriteByte(' ')
	}
	return b.String()
}

// String prints what an acceptor keeps in one line.
func (s State) String() string {
	return "promised " + s.Promised.String() + ", accepted " + s.Accepted.String() + ": " + s.Value.String()
}

// String prints a round in one line, in a fixed order.
func (r *Round) String() string {
	var b strings.Builder
	b.WriteString(r.Ballot.String() + " phase " + strconv.Itoa(int(r.Phase)) + ", highest " + r.Higher.String() + "; " + r.current.String() + "of " + r.seen.String() + " from")
	printHolds(&b, r.holds)
	if r.Phase >= Accepting {
		b.WriteString("; asks for " + r.proposal.String() + "and has")
		for _, id := range slices.Sorted(maps.Keys(r.accepted)) {
			b.WriteString(" " + id)
		}
	}
	return b.String()
}

// String prints a look in one line, in a fixed order.
func (w *View) String() string {
	var b strings.Builder
	b.WriteString(w.value.String() + "of " + w.highest.String() + " from")
	printHolds(&b, w.have)
	return b.String()
}

func printHolds(b *strings.Builder, holds map[string]Ballot) {
	for _, id := range slices.Sorted(maps.Keys(holds)) {
		b.WriteString(" " + id + ":" + holds[id].String())
	}
}
