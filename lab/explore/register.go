package explore

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/quorum"
)

// Fault is a fault that is planted into a world to see that it is caught.
type Fault string

// The faults that can be planted into a register's world.
const (
	Sound              Fault = ""
	AcceptsUnpromised  Fault = "accepts without looking at its promise"
	OneStepChange      Fault = "changes the members in one step"
	KeepsIdentity      Fault = "a wiped member votes under its old identity"
	RefusesUnchosen    Fault = "refuses on a value that is not chosen"
	ForgetsOrders      Fault = "refuses an order that was taken"
	AnswersUnconfirmed Fault = "answers a read without a majority"
	AcksOneAcceptance  Fault = "acknowledges after one acceptance"
	EndsBeforeHandover Fault = "a leaving member ends before its seat is handed on"
	LeavesTooFew       Fault = "members are left out below what a lost disk allows"
	AnswersBeforeSync  Fault = "answers before what it says is on disk"
	IgnoresTheNewest   Fault = "proposes its own value over one that was accepted"
)

// Operation is what a proposer does.
type Operation struct {
	Order   string   // an order by its name: the configuration's version is 1 and its base 0
	Members []string // a change of the members to these
	Read    bool
	Leaves  string // after the change of members, this member ends for good
}

// RegisterOptions say what world is explored.
type RegisterOptions struct {
	Members   []string      // at the beginning
	Others    []string      // acceptors that are no members yet
	Proposers [][]Operation // what each proposer does, one after the other
	Retries   int           // how often a proposer may begin an attempt anew
	Wipes     int           // disks that may be lost
	Dark      bool          // at a wipe, what others had not synced is lost as well
	Fault     Fault
}

// registerWorld is a register with its acceptors, proposers and requests in flight. Requests may be lost, doubled, late and come in
// any order: what was sent once may be delivered at any later moment, or never. An answer is lost or comes at once; one that comes
// late leads nowhere else, as all that a proposer does of it is to send requests, which may be late themselves.
type registerWorld struct {
	o         *registerRules
	acceptors []acceptor
	proposers []proposer
	requests  []message // in flight, sorted
	refused   []string  // orders that were refused
	acked     []string  // orders that were acknowledged
	wipes     int
	err       error // of a read or an answer that must not have been
	news      bool  // acceptors, acknowledgements or wipes differ from the state before
}

type acceptor struct {
	id     string
	state  quorum.State
	synced quorum.State // with AnswersBeforeSync: what is on disk
	alive  bool
}

type proposer struct {
	operation int
	retries   int
	counter   uint64
	round     *quorum.Round
	view      *quorum.View
	ackedThen []string // at the begin of a read
	sent      map[string]bool
	known     quorum.Value
	knownAt   quorum.Ballot
}

// message is a request of a proposer to an acceptor or the answer to it.
type message struct {
	proposer  int
	operation int
	acceptor  string
	ballot    quorum.Ballot
	accept    bool
	read      bool
	value     quorum.Value
	ok        bool
	promised  quorum.Ballot
	accepted  quorum.Ballot
}

// key tells a request from the others; what else it holds follows from it.
func (m *message) key() string {
	return strconv.Itoa(m.proposer) + "." + strconv.Itoa(m.operation) + m.acceptor + strconv.FormatUint(m.ballot.Counter, 10) +
		strconv.FormatBool(m.accept) + strconv.FormatBool(m.read)
}

// registerRules are the options with what is derived from them.
type registerRules struct {
	RegisterOptions
	applied  map[string]applied
	contents []content // by the byte that stands for them in the values of the world
}

// content is what a register holds: a state of the configuration, and the order that is in force there.
type content struct {
	data  string
	order string
}

// applied is what an order makes of a register's content.
type applied struct {
	data    []byte // stands for the content
	already bool
	err     error
}

// NewRegister makes the world.
func NewRegister(o RegisterOptions) World {
	rules := &registerRules{RegisterOptions: o, applied: map[string]applied{}}
	w := &registerWorld{o: rules, news: true}
	first := quorum.Value{Members: membersOf(o.Members)}
	ballot := quorum.Ballot{Counter: 1}
	installed := quorum.State{Promised: ballot, Accepted: ballot, Value: first}
	for _, id := range o.Members {
		w.acceptors = append(w.acceptors, acceptor{id, installed, installed, true})
	}
	for _, id := range o.Others {
		w.acceptors = append(w.acceptors, acceptor{id: id, alive: true})
	}
	for range o.Proposers {
		w.proposers = append(w.proposers, proposer{counter: 1, known: first, knownAt: ballot})
	}
	return w
}

func membersOf(ids []string) []quorum.Member {
	var list []quorum.Member
	for _, id := range ids {
		list = append(list, quorum.Member{ID: id})
	}
	return list
}

// apply is configuration.State.Apply on a register's content, kept for orders seen before.
func (o *registerRules) apply(data []byte, name string) applied {
	key := name + string(data)
	if a, ok := o.applied[key]; ok {
		return a
	}
	var s configuration.State
	a := applied{}
	if len(data) > 0 {
		_, a.err = s.UnmarshalMsg([]byte(o.contents[data[0]].data))
	}
	order := &configuration.Order{Kind: configuration.Replace, Body: []byte(fmt.Sprintf(`{"version":1,"routes":[],"by":%q}`, name))}
	if next, result, err := s.Apply(order); err != nil {
		a.err = err
	} else if result == configuration.Already {
		a.already = true
	} else {
		out, _ := next.MarshalMsg(nil) // a state always marshals
		a.data = []byte{byte(len(o.contents))}
		o.contents = append(o.contents, content{string(out), name})
	}
	if a.already && o.Fault == ForgetsOrders {
		a = applied{err: errors.New("another version is current")}
	}
	o.applied[key] = a
	return a
}

// contains tells whether an order is in a register's content: the newest one, as no world has two that follow one another.
func (o *registerRules) contains(data []byte, name string) bool {
	return len(data) > 0 && o.contents[data[0]].order == name
}

// Key prints the state.
func (w *registerWorld) Key() string {
	var b strings.Builder
	for i := range w.acceptors {
		a := &w.acceptors[i]
		b.WriteString(a.id)
		b.WriteString(strconv.FormatBool(a.alive))
		b.WriteString(a.state.String())
		if w.o.Fault == AnswersBeforeSync {
			b.WriteString(a.synced.String())
		}
	}
	for i := range w.proposers {
		p := &w.proposers[i]
		for _, n := range []int{p.operation, p.retries, int(p.counter), int(p.knownAt.Counter)} {
			b.WriteString(strconv.Itoa(n))
			b.WriteByte(',')
		}
		if p.round != nil {
			b.WriteString(p.round.String())
		}
		if p.view != nil {
			b.WriteString(p.view.String())
			b.WriteString(strings.Join(p.ackedThen, ","))
		}
		b.WriteByte('|')
	}
	for i := range w.requests {
		b.WriteString(w.requests[i].key())
		b.WriteByte(' ')
	}
	b.WriteString(strings.Join(w.acked, ","))
	b.WriteByte('/')
	b.WriteString(strings.Join(w.refused, ","))
	b.WriteString(strconv.Itoa(w.wipes))
	if w.err != nil {
		b.WriteString(w.err.Error())
	}
	return b.String()
}

func (w *registerWorld) clone() *registerWorld {
	c := *w
	c.acceptors, c.proposers, c.requests = slices.Clone(w.acceptors), slices.Clone(w.proposers), slices.Clone(w.requests)
	c.refused, c.acked = slices.Clone(w.refused), slices.Clone(w.acked)
	c.news = false
	for i := range c.proposers {
		p := &c.proposers[i]
		p.sent = maps.Clone(p.sent)
		if p.round != nil {
			p.round = p.round.Clone()
		}
		if p.view != nil {
			p.view = p.view.Clone()
		}
	}
	return &c
}

// Moves lists what can happen.
func (w *registerWorld) Moves() []Move {
	var moves []Move
	for i := range w.proposers {
		moves = append(moves, w.proposerMoves(i)...)
	}
	for i := range w.requests {
		m := w.requests[i]
		if w.changes(&m) {
			moves = append(moves, Move{m.acceptor + " gets " + m.describe() + ", its answer is lost", func() World {
				c, _ := w.deliver(&m)
				c.prune()
				return c
			}})
		}
		if w.awaits(&m) {
			moves = append(moves, Move{m.acceptor + " gets " + m.describe() + " and answers", func() World { return w.exchange(&m) }})
		}
	}
	if w.wipes < w.o.Wipes {
		for i := range w.acceptors {
			if w.acceptors[i].alive {
				moves = append(moves, Move{w.acceptors[i].id + " loses its disk", func() World { return w.wipe(i) }})
			}
		}
	}
	return moves
}

func (m *message) describe() string {
	switch {
	case m.read:
		return fmt.Sprintf("the read of proposer %d", m.proposer)
	case m.accept:
		return fmt.Sprintf("accept %v", m.ballot)
	}
	return fmt.Sprintf("prepare %v", m.ballot)
}

func (w *registerWorld) proposerMoves(i int) []Move {
	p := &w.proposers[i]
	operations := w.o.Proposers[i]
	if p.operation >= len(operations) {
		return nil
	}
	if p.round == nil && p.view == nil {
		return []Move{{fmt.Sprintf("proposer %d begins %s", i, operations[p.operation].describe()), func() World { return w.begin(i, false) }}}
	}
	if p.retries < w.o.Retries && p.round != nil {
		return []Move{{fmt.Sprintf("proposer %d begins anew", i), func() World { return w.begin(i, true) }}}
	}
	return nil
}

func (o *Operation) describe() string {
	switch {
	case o.Read:
		return "a read"
	case o.Order != "":
		return "order " + o.Order
	}
	return "the change to " + strings.Join(o.Members, " ")
}

// begin begins a proposer's operation, or an attempt of it anew above all ballots that it met.
func (w *registerWorld) begin(i int, again bool) World {
	c := w.clone()
	p := &c.proposers[i]
	if again {
		p.retries++
		p.counter = max(p.counter, p.round.Higher.Counter)
	}
	if c.o.Proposers[i][p.operation].Read {
		p.view = quorum.NewView(p.knownAt, p.known)
		p.ackedThen = slices.Clone(c.acked)
	} else {
		p.counter++
		p.round = quorum.NewRound(quorum.Ballot{Counter: p.counter, Proposer: fmt.Sprint(i)}, p.knownAt, p.known)
	}
	p.sent = map[string]bool{}
	c.ask(i)
	c.prune()
	return c
}

// ask sends what a proposer's phase asks of members that were not asked yet.
func (w *registerWorld) ask(i int) {
	p := &w.proposers[i]
	var targets []quorum.Member
	m := message{proposer: i, operation: p.operation}
	switch {
	case p.view != nil:
		targets, m.read = p.view.Targets(), true
	case p.round != nil:
		targets, m.ballot = p.round.Targets(), p.round.Ballot
		if m.accept = p.round.Phase == quorum.Accepting; m.accept {
			m.value = p.round.Proposal()
		}
	}
	for _, t := range targets {
		key := t.ID + strconv.FormatBool(m.accept)
		if !p.sent[key] {
			p.sent[key] = true
			m.acceptor = t.ID
			w.put(m)
		}
	}
}

// put adds a message to those in flight.
func (w *registerWorld) put(m message) {
	key := m.key()
	i, found := slices.BinarySearchFunc(w.requests, key, func(have message, key string) int { return strings.Compare(have.key(), key) })
	if !found {
		w.requests = slices.Insert(w.requests, i, m)
	}
}

func (w *registerWorld) acceptorOf(id string) *acceptor {
	for i := range w.acceptors {
		if w.acceptors[i].id == id {
			return &w.acceptors[i]
		}
	}
	return nil
}

// exchange has an acceptor take a request and its proposer the answer.
func (w *registerWorld) exchange(m *message) World {
	c, answer := w.deliver(m)
	if answer != nil {
		c.answer(answer)
	}
	c.prune()
	return c
}

// changes tells whether a request would change its acceptor's state, now or later.
func (w *registerWorld) changes(m *message) bool {
	a := w.acceptorOf(m.acceptor)
	switch {
	case a == nil || !a.alive || m.read:
		return false
	case m.accept && w.o.Fault == AcceptsUnpromised:
		return a.state.Accepted != m.ballot
	case m.accept:
		return !m.ballot.Less(a.state.Promised) && a.state.Accepted != m.ballot
	}
	return a.state.Promised.Less(m.ballot)
}

// prune takes out the requests that can come to nothing any more.
func (w *registerWorld) prune() {
	w.requests = slices.DeleteFunc(w.requests, func(m message) bool {
		a := w.acceptorOf(m.acceptor)
		return a == nil || !a.alive || (!w.awaits(&m) && !w.changes(&m))
	})
}

// deliver has an acceptor take a request, and gives its answer; nil: nobody is there.
func (w *registerWorld) deliver(m *message) (*registerWorld, *message) {
	c := w.clone()
	a := c.acceptorOf(m.acceptor)
	if a == nil || !a.alive {
		return c, nil
	}
	before := a.state
	ok := true
	switch {
	case m.accept && c.o.Fault == AcceptsUnpromised:
		a.state = quorum.State{Promised: m.ballot, Accepted: m.ballot, Value: m.value}
	case m.accept:
		a.state, ok = a.state.Accept(m.ballot, m.value)
	case !m.read:
		a.state, ok = a.state.Prepare(m.ballot)
	}
	if c.o.Fault != AnswersBeforeSync {
		a.synced = a.state
	}
	c.news = a.state.Accepted != before.Accepted
	return c, &message{
		proposer: m.proposer, operation: m.operation, acceptor: m.acceptor, ballot: m.ballot, accept: m.accept, read: m.read,
		ok: ok, promised: a.state.Promised, accepted: a.state.Accepted, value: a.state.Value,
	}
}

// awaits tells whether a proposer still takes an answer.
func (w *registerWorld) awaits(m *message) bool {
	p := &w.proposers[m.proposer]
	if m.operation != p.operation {
		return false
	}
	if m.read {
		return p.view != nil
	}
	return p.round != nil && p.round.Ballot == m.ballot && m.accept == (p.round.Phase == quorum.Accepting) && p.round.Phase <= quorum.Accepting
}

// answer has a proposer take an answer, and go on where that ends a phase.
func (w *registerWorld) answer(m *message) {
	c := w
	p := &c.proposers[m.proposer]
	value := m.value
	switch {
	case m.read:
		p.view.Note(m.acceptor, m.accepted, &value)
		c.endRead(m.proposer)
	case m.accept:
		p.round.Accept(m.acceptor, m.ok, m.promised)
		if c.o.Fault == AcksOneAcceptance && m.ok {
			p.round.Phase = quorum.Chosen
		}
		c.endRound(m.proposer)
	default:
		p.round.Promise(m.acceptor, m.ok, m.promised, m.accepted, &value)
		c.decide(m.proposer)
	}
	c.ask(m.proposer)
}

func (w *registerWorld) endRead(i int) {
	p := &w.proposers[i]
	if !p.view.Chosen() && w.o.Fault != AnswersUnconfirmed {
		return
	}
	_, v := p.view.Newest()
	for _, name := range p.ackedThen {
		if !w.o.contains(v.Data, name) {
			w.err = fmt.Errorf("a read gives a value without order %s, which was acknowledged before it began", name)
		}
	}
	p.operation++
	p.view = nil
}

// decide has a proposer whose round is prepared propose, or end an operation that changes nothing.
func (w *registerWorld) decide(i int) {
	p := &w.proposers[i]
	if p.round.Phase != quorum.Prepared {
		return
	}
	current := p.round.Current()
	if w.o.Fault == IgnoresTheNewest {
		current = quorum.Value{Members: current.Members, Old: current.Old}
	}
	next, refuses := w.edit(i, current)
	if w.o.Fault == RefusesUnchosen && refuses {
		w.settle(i)
		return
	}
	if p.round.Decide(next, refuses) {
		w.settle(i)
	}
}

// edit is what a proposer's operation makes of the newest value.
func (w *registerWorld) edit(i int, v quorum.Value) (next quorum.Value, refuses bool) {
	p := &w.proposers[i]
	operation := &w.o.Proposers[i][p.operation]
	if operation.Order != "" {
		a := w.o.apply(v.Data, operation.Order)
		return quorum.Value{Members: v.Members, Old: v.Old, Data: a.data}, a.err != nil || a.already
	}
	wanted := membersOf(operation.Members)
	switch {
	case len(v.Old) > 0:
		return quorum.End(v), false
	case slices.Equal(v.Members, wanted):
		return v, true
	case w.o.Fault == OneStepChange:
		return quorum.Value{Members: wanted, Data: v.Data}, false
	}
	return quorum.Begin(v, wanted), false
}

// settle ends an operation that changes nothing, on a value that is chosen.
func (w *registerWorld) settle(i int) {
	p := &w.proposers[i]
	operation := &w.o.Proposers[i][p.operation]
	if operation.Order != "" {
		if a := w.o.apply(p.round.Current().Data, operation.Order); a.already {
			w.acknowledge(operation.Order)
		} else {
			w.refuse(operation.Order)
		}
	}
	w.endOperation(i)
}

func (w *registerWorld) endRound(i int) {
	p := &w.proposers[i]
	if p.round.Phase != quorum.Chosen {
		return
	}
	operation := &w.o.Proposers[i][p.operation]
	proposal := p.round.Proposal()
	p.known, p.knownAt = proposal, p.round.Ballot
	switch {
	case operation.Order != "" && w.o.contains(proposal.Data, operation.Order):
		w.acknowledge(operation.Order)
		w.endOperation(i)
	case operation.Order != "": // another value was written once more: the order is tried again
		p.round = nil
	case len(proposal.Old) > 0 && (w.o.Fault != EndsBeforeHandover || operation.Leaves == ""):
		p.round = nil // the second step of the change comes next
	default:
		w.endOperation(i)
	}
}

// endOperation goes on to a proposer's next operation.
func (w *registerWorld) endOperation(i int) {
	p := &w.proposers[i]
	if id := w.o.Proposers[i][p.operation].Leaves; id != "" {
		w.acceptorOf(id).alive = false
		w.news = true
	}
	p.operation++
	p.round = nil
}

func (w *registerWorld) acknowledge(name string) {
	if !slices.Contains(w.acked, name) {
		w.acked = append(w.acked, name)
		slices.Sort(w.acked)
	}
	w.news = true
}

func (w *registerWorld) refuse(name string) {
	if !slices.Contains(w.refused, name) {
		w.refused = append(w.refused, name)
		slices.Sort(w.refused)
	}
	w.news = true
}

// wipe has an acceptor lose its disk: its identity is gone with it.
func (w *registerWorld) wipe(i int) World {
	c := w.clone()
	c.wipes++
	c.news = true
	if c.o.Fault == KeepsIdentity {
		c.acceptors[i].state = quorum.State{}
	} else {
		c.acceptors[i].alive = false
	}
	defer c.prune()
	if c.o.Dark {
		for j := range c.acceptors {
			c.acceptors[j].state = c.acceptors[j].synced
		}
	}
	return c
}

// Check tells what must not be: an answer that contradicts what was acknowledged, two orders under one number, an acknowledged order
// that some quorum does not find, or no quorum at all.
func (w *registerWorld) Check() error {
	if w.err != nil {
		return w.err
	}
	if !w.news {
		return nil
	}
	if len(w.acked) > 1 {
		return fmt.Errorf("orders %v were all acknowledged under one number", w.acked)
	}
	for _, name := range w.refused {
		if slices.Contains(w.acked, name) {
			return fmt.Errorf("order %s was acknowledged and refused", name)
		}
	}
	var alive []*acceptor
	for i := range w.acceptors {
		if w.acceptors[i].alive {
			alive = append(alive, &w.acceptors[i])
		}
	}
	for set := range 1 << len(alive) {
		v, ok := w.recover(alive, set)
		if all := 1<<len(alive) - 1; set == all && !ok {
			return errors.New("those that are left are no majority, and never will be")
		}
		if !ok {
			continue
		}
		for _, name := range w.acked {
			if !w.o.contains(v.Data, name) {
				return fmt.Errorf("order %s was acknowledged, and a majority does not find it", name)
			}
		}
		for _, name := range w.refused {
			if w.o.contains(v.Data, name) && set == 1<<len(alive)-1 {
				return fmt.Errorf("order %s was refused, and is in force", name)
			}
		}
	}
	return nil
}

// recover plays the first phase of a round with the acceptors of a set, as a node that knows the first members would, and gives what
// it finds; false: they are no quorum.
func (w *registerWorld) recover(alive []*acceptor, set int) (quorum.Value, bool) {
	first := quorum.Value{Members: membersOf(w.o.Members)}
	round := quorum.NewRound(quorum.Ballot{Counter: 1 << 40}, quorum.Ballot{Counter: 1}, first)
	for pass := 0; pass < len(alive) && round.Phase == quorum.Preparing; pass++ {
		for i, a := range alive {
			if set&(1<<i) != 0 {
				value := a.state.Value
				round.Promise(a.id, true, a.state.Promised, a.state.Accepted, &value)
			}
		}
	}
	return round.Current(), round.Phase == quorum.Prepared
}
