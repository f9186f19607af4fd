package lease

// chest.go owns what holders have kept of their work: a small value for each right, at a majority of seats. A new holder's first
// word to a seat closes it to all smaller tokens; so once a majority has answered, no earlier holder can have anything kept any
// more, and what was kept last is among the answers. It is the register of Paxos (Lamport, 2001) with tokens for ballots, and
// with the one holder that gives them, so that two never compete. It must never answer for what could not be recorded.

import "bytes"

// Kept is what one seat keeps for a right.
type Kept struct {
	Floor Token // no smaller token is taken any more
	By    Token // who wrote Value; 0: nobody
	Seq   uint64
	Value []byte
}

const (
	againBeats  = 2 // half beats between two askings of the same
	forgotWaits = 4 // askings after which the word of seats that have lost what they kept is taken
)

// chest is the holder's side.
type chest struct {
	at      Time // when to ask again; 0: nothing is asked
	tries   int
	opening bool
	opened  bool
	from    map[int]bool
	forgot  int
	best    Slip
	seq     uint64
	value   []byte
	saving  bool
}

func (c *chest) next() Time {
	if c.at == 0 {
		return Never
	}
	return c.at
}

// begin opens the chest of a right that was just gained.
func (n *Node) begin(r *right) {
	r.open = chest{opening: true, from: map[int]bool{}}
	n.fetch(r)
}

func (n *Node) fetch(r *right) {
	c := &r.open
	c.tries++
	c.at = n.now + n.set.Beat/againBeats
	s := &Slip{Right: r.id, Token: r.token}
	n.port.Broadcast(n.message(Fetch, func(m *Message) { m.Slip = s }))
	if !c.from[n.set.Seat] {
		n.fetched(r, n.set.Seat, n.shelf(s))
	}
}

// Save has a value kept by a majority; Saved tells when it is. One at a time: a later one takes the place of one that has not
// been told of. It does nothing where the right is not held under this token, or was not opened.
func (n *Node) Save(now Time, name string, t Token, value []byte) (seq uint64) {
	n.enter(now)
	r := n.right(name)
	if r == nil || r.token != t || !r.open.opened || len(value) > mostSlip {
		return 0
	}
	n.save(r, value)
	return r.open.seq
}

func (n *Node) save(r *right, value []byte) {
	c := &r.open
	c.seq++
	c.value, c.saving, c.from, c.tries = bytes.Clone(value), true, map[int]bool{}, 0
	n.store(r)
}

func (n *Node) store(r *right) {
	c := &r.open
	c.tries++
	c.at = n.now + n.set.Beat/againBeats
	s := &Slip{Right: r.id, Token: r.token, Seq: c.seq, Value: c.value}
	n.port.Broadcast(n.message(Store, func(m *Message) { m.Slip = s }))
	if !c.from[n.set.Seat] && n.put(s) {
		n.stored(r, n.set.Seat, c.seq)
	}
}

// chest asks again for what was not answered by enough.
func (n *Node) chest(r *right) {
	c := &r.open
	if c.at == 0 || n.now < c.at || r.told {
		if r.told {
			c.at = 0
		}
		return
	}
	if c.opening {
		n.fetch(r)
	} else if c.saving {
		n.store(r)
	}
}

// ---- a seat's side ----

// serve answers a holder.
func (n *Node) serve(m *Message) {
	r := n.byID[m.Slip.Right]
	if r == nil || n.barred {
		return
	}
	kind, answer := Stored, &Slip{Right: r.id, Token: m.Slip.Token, Seq: m.Slip.Seq}
	if m.Kind == Fetch {
		kind, answer = Fetched, n.shelf(m.Slip)
	} else if !n.put(m.Slip) {
		answer = nil
	}
	if answer == nil {
		if r.kept.Floor <= m.Slip.Token { // it could not be recorded
			return
		}
		kind, answer = Refused, &Slip{Right: r.id, Token: m.Slip.Token, By: r.kept.Floor}
	}
	n.port.Send(m.Seat, n.message(kind, func(a *Message) { a.To, a.ToBoot, a.Slip = m.Seat, m.Boot, answer }))
}

// shelf closes a right to smaller tokens, and tells what is kept; nil: a greater token was here, or it can't be recorded.
func (n *Node) shelf(s *Slip) *Slip {
	r := n.byID[s.Right]
	if s.Token < r.kept.Floor {
		return nil
	}
	if s.Token > r.kept.Floor {
		k := r.kept
		k.Floor = s.Token
		if !n.port.Keep(r.Name, k) {
			return nil
		}
		r.kept = k
	}
	return &Slip{Right: r.id, Token: s.Token, By: r.kept.By, Seq: r.kept.Seq, Value: r.kept.Value, Forgot: n.forgot && !r.fresh}
}

// put keeps a value.
func (n *Node) put(s *Slip) bool {
	r := n.byID[s.Right]
	if s.Token < r.kept.Floor {
		return false
	}
	if s.Token == r.kept.By && s.Seq <= r.kept.Seq { // it is kept already, or was overtaken on its way
		return true
	}
	k := Kept{Floor: s.Token, By: s.Token, Seq: s.Seq, Value: bytes.Clone(s.Value)}
	if !n.port.Keep(r.Name, k) {
		return false
	}
	r.kept, r.fresh = k, true
	return true
}

// ---- the holder's side ----

// answered takes a seat's answer.
func (n *Node) answered(m *Message) {
	r := n.byID[m.Slip.Right]
	if r == nil || m.To != n.set.Seat || m.ToBoot != n.elect.Boot() || r.token == 0 || m.Slip.Token != r.token {
		return
	}
	switch m.Kind {
	case Fetched:
		n.fetched(r, m.Seat, m.Slip)
	case Stored:
		n.stored(r, m.Seat, m.Slip.Seq)
	case Refused:
		n.stop(r, Replaced)
	}
}

func (n *Node) fetched(r *right, seat int, s *Slip) {
	c := &r.open
	if !c.opening || c.from[seat] || s == nil {
		return
	}
	if s.Forgot && c.tries < forgotWaits*againBeats { // others may remember
		return
	}
	c.from[seat] = true
	if s.By > c.best.By || s.By == c.best.By && s.Seq > c.best.Seq {
		c.best = *s
	}
	if len(c.from) < n.elect.quorum {
		return
	}
	c.opening = false
	if c.best.By == 0 {
		n.opened(r, nil)
		return
	}
	n.save(r, c.best.Value) // a majority must have it, or the next one to ask might not hear of it
}

func (n *Node) opened(r *right, value []byte) {
	c := &r.open
	c.opened, c.at = true, 0
	n.port.Opened(r.Name, r.token, value)
}

func (n *Node) stored(r *right, seat int, seq uint64) {
	c := &r.open
	if !c.saving || seq != c.seq {
		return
	}
	if c.from[seat] = true; len(c.from) < n.elect.quorum {
		return
	}
	c.saving, c.at = false, 0
	if !c.opened {
		n.opened(r, c.value)
		return
	}
	n.port.Saved(r.Name, r.token, seq)
}
