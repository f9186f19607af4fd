package lease

// deal.go owns what a leader does: who gets which right, for how long, and what the others are told. It must never give a right
// while an earlier tenure of it may last, nor for longer than its own lease.

import (
	"bytes"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	freshBeats  = 3  // beats since a seat's last vote, after which it gets nothing new
	claimBeats  = 4  // beats within which a new holder must be heard to have taken its right up
	restAfter   = 5  // holders that vanish one after the other, before a right rests
	longestRest = 10 // doublings of a lease for which it does
	calmLeases  = 10 // a tenure that has lasted so long shows that the right does not kill its holders
	tableEvery  = 8  // beats for once round the table, where it has not changed
)

// post is a right as the leader has it.
type post struct {
	seat     int  // -1: nobody has it
	boot     Time // of the holder's process
	token    Token
	stamp    Time // the holder's clock, up to which its time was reckoned
	until    Time // by the leader's clock: until when the holder may take it to be its own
	since    Time
	claimed  bool // the holder has been heard to hold it
	ended    bool // it gets no more time
	to       int  // who is to have it next, -1: it is not recalled
	recallAt Time
	freeAt   Time // nobody gets it before
	before   int  // who had it under the last leader, -1: nobody
	lost     int  // holders that vanished, one after the other
	goneBoot Time // the process of the last of them, 0 once it was heard of again
	goneSeat int
	restTo   Time
	changed  bool // and not yet told
}

// dealing is a leader's state beside its posts.
type dealing struct {
	number uint32 // of the last token in this reign
	begun  Time
	round  uint32 // in which all holders got more time
	at     Time   // when a turn is due
	page   int    // of the table
	last   bool   // it leaves: what is given now is the last
	moved  uint32 // round of the last recall
}

// hooks keeps the election's hooks out of Node's methods.
type hooks Node

func (h *hooks) Ask(q Question, seats []int) {
	n := (*Node)(h)
	m := n.message(Ask, func(m *Message) {
		m.Round, m.For, m.Lot, m.Reign, m.There = q.Round, q.For, q.Lot, q.Reign, n.there()
		if q.Lot == 0 {
			m.Table = n.table(seats == nil)
		}
	})
	if seats == nil {
		n.port.Broadcast(m)
	}
	for _, seat := range seats {
		n.port.Send(seat, m)
	}
}

// Answer gives a vote, and tells what is held: to the one who leads now that is a claim.
func (h *hooks) Answer(v Vote) {
	n := (*Node)(h)
	n.port.Send(v.To, n.message(Grant, func(m *Message) {
		m.Round, m.To, m.ToBoot, m.Rest, m.Reign, m.Stamp = v.Round, v.To, v.ToBoot, v.Rest, v.Floor, n.now
		for _, r := range n.rights {
			if r.token != 0 {
				m.Holds = append(m.Holds, Claim{Right: r.id, Token: r.token})
			}
		}
		m.Released, m.Going = n.lately(), n.leaving
	}))
}

func (h *hooks) Sound(number uint32) {
	n := (*Node)(h)
	n.port.Broadcast(n.message(Sound, func(m *Message) { m.Round = number }))
}

func (h *hooks) Echo(to int, number uint32) {
	n := (*Node)(h)
	n.port.Send(to, n.message(Echo, func(m *Message) { m.Round, m.To = number, to }))
}

func (h *hooks) GiveBack(number uint32, led bool) {
	n := (*Node)(h)
	n.port.Broadcast(n.message(Yield, func(m *Message) { m.Round, m.Led = number, led }))
}

// Turn is in the line of those who voted lately, behind the leader.
func (h *hooks) Turn() int {
	n := (*Node)(h)
	if n.leader < 0 || len(n.active) == 0 || !has(n.active, n.set.Seat) {
		return math.MaxInt
	}
	turn := 0
	for seat := (n.leader + 1) % n.set.Size; seat != n.set.Seat; seat = (seat + 1) % n.set.Size {
		if has(n.active, seat) {
			turn++
		}
	}
	return turn
}

func (h *hooks) Promise(reign uint64) bool { return h.port.Promise(reign) }

// Leads: nothing is known of what is held, but what holders claim from now on.
func (h *hooks) Leads() {
	n := (*Node)(h)
	n.leader = n.set.Seat
	n.dealing = dealing{begun: n.now, at: n.now}
	for seat := range n.peers {
		n.peers[seat].heardAt = 0
	}
	for _, r := range n.rights {
		r.post = post{seat: -1, to: -1, before: r.entry.Seat, lost: r.entry.Lost, changed: true,
			restTo: n.now + max(r.entry.Rest-(n.now-r.at), 0)}
		if r.token != 0 { // its own
			n.claimed(n.set.Seat, n.elect.Boot(), Claim{Right: r.id, Token: r.token})
		}
	}
	n.port.Note(Note{Event: Led, Seat: n.set.Seat})
}

func (h *hooks) Renews() { h.dealing.at = h.now }

func has(bits []byte, seat int) bool { return seat/8 < len(bits) && bits[seat/8]>>(seat%8)&1 == 1 }

func (n *Node) there() []byte {
	bits := make([]byte, (n.set.Size+7)/8)
	for seat := range n.set.Size {
		if n.elect.There(seat) && !(seat == n.set.Seat && n.leaving) {
			bits[seat/8] |= 1 << (seat % 8)
		}
	}
	return bits
}

// voted takes a vote, and what came with it.
func (n *Node) voted(m *Message) {
	v := Vote{Seat: m.Seat, To: m.To, ToBoot: m.ToBoot, Round: m.Round, Rest: m.Rest, Floor: m.Reign}
	if !n.elect.Voted(v) {
		n.Counts.Stale++
		return
	}
	p := &n.peers[m.Seat]
	p.going = p.going || m.Going
	if n.elect.Role() != Leading || m.Stamp < p.stamp { // overtaken by a later one
		return
	}
	p.stamp, p.heardAt = m.Stamp, n.now
	for _, c := range m.Released {
		n.released(m.Seat, m.Boot, c)
	}
	for _, c := range m.Holds {
		n.claimed(m.Seat, m.Boot, c)
	}
	for _, r := range n.rights { // what it no longer holds
		n.lives(r, m.Seat, m.Boot)
		x := &r.post
		if x.seat == m.Seat && x.boot == m.Boot && x.claimed && !slices.ContainsFunc(m.Holds, func(c Claim) bool { return c.Right == r.id }) {
			x.ended = true
		}
	}
	n.deal()
}

// claim takes the word of a seat that it has taken up what this leader gave.
func (n *Node) claim(seat int, boot Time, c Claim) {
	if r := n.byID[c.Right]; r != nil {
		if x := &r.post; x.seat == seat && x.boot == boot && x.token == c.Token {
			x.claimed = true
		}
	}
}

// claimed takes a claim that came with a vote. One of an earlier leader's time is honoured: as it answers a question of this
// leader, by a seat that is free to vote, it was written when no earlier leader could give any more; so nobody else can hold the
// right.
func (n *Node) claimed(seat int, boot Time, c Claim) {
	n.claim(seat, boot, c)
	if r := n.byID[c.Right]; r != nil && r.post.seat == -1 && r.post.token == 0 && c.Token.Reign() < n.elect.Reign() && !n.dealing.last {
		n.give(r, seat, boot)
		r.post.until = max(r.post.until, n.elect.Clear()) // what it has of the leader before may last so long, should no word reach it
	}
}

// released takes a holder's word that it has stopped.
func (n *Node) released(seat int, boot Time, c Claim) {
	r := n.byID[c.Right]
	if r == nil || n.elect.Role() != Leading {
		return
	}
	if x := &r.post; x.seat == seat && x.boot == boot && x.token == c.Token {
		x.seat, x.before, x.lost, x.until, x.changed = -1, -1, 0, n.now, true
		n.dealing.at = n.now
		n.deal()
	}
}

// deal gives what is free, gives holders more time, and has rights move to where there are fewer.
func (n *Node) deal() {
	d := &n.dealing
	if n.elect.Role() != Leading || n.now >= n.elect.Valid() || n.barred {
		d.at = Never
		return
	}
	due := n.now >= d.at
	if n.elect.Current() && d.round != n.elect.Round() {
		d.round, due = n.elect.Round(), true
	}
	if due {
		d.at = Never
		n.free()
		if d.moved != n.elect.Round() {
			d.moved = n.elect.Round()
			n.move()
		}
	}
	n.prolong(due)
}

// eligible are the seats that may get rights, with how many they have.
func (n *Node) eligible() (seats, load []int) {
	load = make([]int, n.set.Size)
	for seat := range n.set.Size {
		switch {
		case seat == n.set.Seat:
			if n.leaving {
				continue
			}
		case !n.elect.There(seat) || n.peers[seat].going || n.peers[seat].heardAt == 0 ||
			n.now-n.peers[seat].heardAt > freshBeats*n.set.Beat:
			continue
		}
		seats = append(seats, seat)
	}
	for _, r := range n.rights {
		if r.post.seat >= 0 {
			load[r.post.seat]++
		}
	}
	return seats, load
}

// share is the most rights that one seat should have.
func (n *Node) share(seats int) int {
	open := 0
	for _, r := range n.rights {
		if !r.Paused {
			open++
		}
	}
	return (open + seats - 1) / max(seats, 1)
}

// free ends the posts of holders whose time is over, and gives what nobody has.
func (n *Node) free() {
	if n.dealing.number >= 1<<inReign-uint32(mostRights)*2 {
		n.elect.Abdicate() // the next reign has new numbers
		return
	}
	d := &n.dealing
	seats, load := n.eligible()
	most := n.share(len(seats))
	for _, r := range n.rights {
		x := &r.post
		if x.seat >= 0 {
			if x.stamp == 0 && !x.ended { // it is about to get its first time
				continue
			}
			if n.now < x.until {
				d.at = min(d.at, x.until)
				continue
			}
			n.vanished(r, x.seat, x.boot)
			x.seat, x.before = -1, -1
		}
		at := max(n.elect.Clear(), d.begun+n.set.Beat/2, x.freeAt, x.restTo)
		if r.Paused || len(seats) == 0 {
			continue
		}
		if n.now < at {
			d.at = min(d.at, at)
			continue
		}
		if x.before >= 0 && !slices.Contains(seats, x.before) { // it had it under the last leader, and is gone
			if n.vanished(r, x.before, n.peers[x.before].boot); n.now < x.restTo {
				x.before = -1
				d.at = min(d.at, x.restTo)
				continue
			}
		}
		to := x.to
		if x.before >= 0 && load[x.before] < most {
			to = x.before
		}
		if to < 0 || !slices.Contains(seats, to) {
			to = n.choose(r, seats, load, most, -1)
		}
		if to < 0 {
			continue
		}
		load[to]++
		n.give(r, to, n.bootOf(to))
	}
}

func (n *Node) bootOf(seat int) Time {
	if seat == n.set.Seat {
		return n.elect.Boot()
	}
	return n.peers[seat].boot
}

// vanished counts a holder that is gone without a word. A right whose holders go one after the other may be what kills them: it
// rests, each time for longer, so that it does not go round.
func (n *Node) vanished(r *right, seat int, boot Time) {
	x := &r.post
	if x.since > 0 && n.now-x.since > calmLeases*n.set.Lease {
		x.lost = 0
	}
	x.lost++
	x.changed, x.goneSeat, x.goneBoot = true, seat, boot
	n.port.Note(Note{Event: Vanished, Seat: seat, Right: r.Name, Token: x.token})
	if over := x.lost - restAfter; over >= 0 {
		x.restTo = n.now + n.set.Lease<<min(over+2, longestRest)
		n.port.Note(Note{Event: Rested, Seat: seat, Right: r.Name, Token: x.token})
	}
}

// lives takes it back: the process is there again, it had only stood still or been cut off.
func (n *Node) lives(r *right, seat int, boot Time) {
	if x := &r.post; x.goneBoot == boot && x.goneSeat == seat {
		x.goneBoot, x.lost, x.changed = 0, max(x.lost-1, 0), true
		if x.lost < restAfter && n.now < x.restTo {
			x.restTo, n.dealing.at = n.now, n.now
		}
	}
}

// rank orders seats for a right, the same at every leader, so that a right comes back to where it was.
func rank(r *right, seat int) uint64 {
	x := r.id + uint64(seat)*0x9e3779b97f4a7c15
	b := [8]byte{byte(x), byte(x >> 8), byte(x >> 16), byte(x >> 24), byte(x >> 32), byte(x >> 40), byte(x >> 48), byte(x >> 56)}
	return xxhash.Sum64(b[:])
}

// choose is the seat of highest rank among those that have fewer than their share.
func (n *Node) choose(r *right, seats, load []int, most, not int) int {
	best := -1
	for _, seat := range seats {
		if seat != not && load[seat] < most && (best < 0 || rank(r, seat) > rank(r, best)) {
			best = seat
		}
	}
	return best
}

// give is the one way in which a right gets a holder.
func (n *Node) give(r *right, seat int, boot Time) {
	d, x := &n.dealing, &r.post
	d.number++
	*x = post{seat: seat, boot: boot, token: tokenOf(n.elect.Reign(), d.number), since: n.now, until: n.now, to: -1, before: -1,
		lost: x.lost, goneSeat: x.goneSeat, goneBoot: x.goneBoot, changed: true}
	n.Counts.Given++
	n.port.Note(Note{Event: Gave, Seat: seat, Right: r.Name, Token: x.token})
}

// prolong gives holders more time: what a holder's last vote allows, counted from when the holder wrote it, and no more than is
// left of this one's own lease since that came.
func (n *Node) prolong(all bool) {
	gifts := map[int][]Gift{}
	var order []int
	for _, r := range n.rights {
		x := &r.post
		if x.seat < 0 || x.ended {
			continue
		}
		if !x.claimed && n.now-x.since > claimBeats*n.set.Beat { // it never took it up
			x.ended = true
			continue
		}
		if x.seat == n.set.Seat && r.let >= x.token { // this one's own time was over: it stood still
			x.ended = true
			continue
		}
		if x.to >= 0 && n.now-x.recallAt > n.set.Lease { // it does not let go
			x.ended = true
			continue
		}
		stamp, heard := n.now, n.now
		if x.seat != n.set.Seat {
			p := &n.peers[x.seat]
			if p.boot != x.boot || p.heardAt == 0 {
				x.ended = true
				continue
			}
			stamp, heard = p.stamp, p.heardAt
		}
		length := min(n.set.Lease, n.elect.Valid()-heard)
		longer := stamp+length > x.stamp && (all || n.elect.Current()) // or more votes of this round are to come
		if length <= 0 || !longer && !(all && !x.claimed) {
			continue
		}
		x.stamp = stamp + length
		x.until = max(x.until, heard+length)
		g := Gift{Right: r.id, Token: x.token, Stamp: stamp, For: length, Recall: x.to >= 0 || r.Paused}
		if x.seat == n.set.Seat {
			x.claimed = true
			n.take(&g)
			continue
		}
		if gifts[x.seat] == nil {
			order = append(order, x.seat)
		}
		gifts[x.seat] = append(gifts[x.seat], g)
	}
	for _, seat := range order {
		n.port.Send(seat, n.message(Give, func(m *Message) { m.To, m.ToBoot, m.Given = seat, n.peers[seat].boot, gifts[seat] }))
	}
	for _, r := range n.rights {
		switch x := &r.post; {
		case x.seat >= 0 && !x.ended && !x.claimed: // the word may be lost
			n.dealing.at = min(n.dealing.at, n.now+n.set.Beat/turns)
		case x.seat >= 0 && x.ended:
			n.dealing.at = min(n.dealing.at, max(x.until, n.now+1))
		}
	}
}

// move asks one holder that has more than its share for a right, if another has room. One in a beat: work moves gradually.
func (n *Node) move() {
	seats, load := n.eligible()
	if len(seats) == 0 || n.dealing.last {
		return
	}
	most := n.share(len(seats))
	var pick *right
	for _, r := range n.rights {
		x := &r.post
		if x.seat < 0 || x.ended {
			continue
		}
		if x.to >= 0 || !x.claimed { // one is moving, or is about to settle
			return
		}
		if fewest := n.fewest(seats, load); load[x.seat] > load[fewest]+1 && (pick == nil || load[x.seat] > load[pick.post.seat]) {
			pick = r
		}
	}
	if pick == nil {
		return
	}
	x := &pick.post
	if to := n.choose(pick, seats, load, min(most, load[x.seat]-1), x.seat); to >= 0 {
		x.to, x.recallAt, x.changed = to, n.now, true
		x.stamp = 0 // the word goes out at once
		n.Counts.Moved++
	}
}

func (n *Node) fewest(seats, load []int) int {
	return slices.MinFunc(seats, func(a, b int) int { return load[a] - load[b] })
}

// table is a page of what is told of rights: those that changed, and some of the others in turn.
func (n *Node) table(advance bool) (page []Entry) {
	if n.elect.Role() != Leading || len(n.rights) == 0 {
		return nil
	}
	add := func(r *right) {
		r.entry, r.at = n.entry(r), n.now
		page = append(page, r.entry)
		r.post.changed = r.post.changed && !advance
	}
	for _, r := range n.rights {
		if r.post.changed && len(page) < mostPage/2 {
			add(r)
		}
	}
	for range min(mostPage/2, (len(n.rights)+tableEvery-1)/tableEvery) {
		add(n.rights[n.dealing.page%len(n.rights)])
		if n.dealing.page++; !advance {
			n.dealing.page--
			break
		}
	}
	return page
}

func (n *Node) entry(r *right) Entry {
	x := &r.post
	e := Entry{Right: r.id, Seat: x.seat, Token: x.token, Lost: x.lost, Rest: max(x.restTo-n.now, 0), Heir: x.to}
	if x.seat < 0 {
		e.Seat = x.before
	} else {
		e.Age = n.now - x.since
	}
	if e.Heir < 0 {
		seats, load := n.eligible()
		e.Heir = n.choose(r, seats, load, math.MaxInt, x.seat)
	}
	return e
}

// Status is one right as this instance knows it.
type Status struct {
	Name   string
	Seat   int // -1: nobody is known to hold it
	Token  Token
	Age    Time // since it was given
	Known  Time // how old this word is
	Mine   bool // this instance holds it
	Until  Time // if it does, by its own clock
	Rest   Time // for which nobody gets it
	Lost   int
	Heir   int // who would be next, -1: nobody
	Paused bool
}

// Node's state in short.
type State struct {
	Seat, Size int
	Role       string
	Leader     int // -1: none is known
	Led        bool
	Votes      bool
	Barred     bool
	Reign      uint64 // the greatest heard of
	There      []int  // who voted for the leader lately
	Rights     []Status
}

// State tells how things stand, in a fixed order.
func (n *Node) State() State {
	s := State{Seat: n.set.Seat, Size: n.set.Size, Role: n.elect.Role().String(), Leader: n.leader, Led: !n.unled,
		Votes: n.elect.Votes(), Barred: n.barred, Reign: n.elect.seen}
	there := bytes.Clone(n.active)
	if n.elect.Role() == Leading {
		there = n.there()
	}
	for seat := range n.set.Size {
		if has(there, seat) {
			s.There = append(s.There, seat)
		}
	}
	for _, r := range n.rights {
		e, known := r.entry, n.now-r.at
		if n.elect.Role() == Leading {
			e, known = n.entry(r), 0
		}
		one := Status{Name: r.Name, Seat: e.Seat, Token: e.Token, Age: e.Age + known, Known: known, Rest: max(e.Rest-known, 0), Lost: e.Lost,
			Heir: e.Heir, Paused: r.Paused}
		if r.token != 0 {
			one.Seat, one.Token, one.Mine, one.Until, one.Age = n.set.Seat, r.token, !r.told, r.until, n.now-r.since
		}
		s.Rights = append(s.Rights, one)
	}
	return s
}
