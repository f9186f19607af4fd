// Package lease decides who alone holds a right. It does no I/O, has no clock and starts no goroutine: the time and what was
// heard are handed in, what is to be done goes out through Port. The same code runs in the daemon, in the laboratory under
// virtual time, and in tests.
//
// One instance leads, by the votes of a majority of all seats (election.go). It gives rights to instances for a time that ends
// before its own lease does (deal.go); each giving has a token that is greater than all before it (token.go). How far a holder's
// work has come is kept by a majority of seats, and closed to holders of before by the first word of the next (chest.go).
// docs/design/leases.md has the fault model and the argument.
//
// lease.go owns an instance: what it holds, and until when. It must never take a right to hold longer than was given, nor take
// one up again that it has let go.
package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Why tells what ended a tenure.
type Why uint8

const (
	Expired  Why = iota // no more time was given
	Recalled            // the leader asks for it back
	Leaving             // the instance ends
	Barred              // another process has the instance's seat
	Dropped             // the right is no more, or nobody may hold it now
	Replaced            // a receiver or a seat has met a greater token
)

func (w Why) String() string {
	return [...]string{"expired", "recalled", "leaving", "seat taken", "dropped", "replaced"}[w]
}

// Event names what a Note tells.
type Event uint8

const (
	Led      Event = iota // the seat leads from now on
	Unled                 // no leader has been heard of for two leases
	Gave                  // the leader, which this instance is, has given a right
	Vanished              // a holder is gone without a word
	Rested                // holders have vanished one after the other: nobody gets the right for a while
	Clash                 // a younger process uses this seat
	Resolved              // it has not been heard of for some time
	Odd                   // the seat's settings differ, or it says what makes no sense
)

// Note is something that an operator may want to know.
type Note struct {
	Event Event
	Seat  int
	Right string
	Token Token
	Why   string
}

// Port is what a node can do to the world. Its methods must not call the node back.
type Port interface {
	// Send gives a message to a seat, and Broadcast to all others; both may fail without a word.
	Send(seat int, m *Message)
	Broadcast(m *Message)
	// Promise records for good that no reign up to this one gets this seat's vote any more; false: it could not.
	Promise(reign uint64) bool
	// Keep records for good what a holder wants kept; false: it could not.
	Keep(right string, k Kept) bool
	// Gained: the right is this instance's, under this token, for as long as Held says so. It may come again with a greater token
	// while the right is held: from then on that one counts.
	Gained(right string, t Token)
	// Lost: the work must stop. Unless it expired, Released must be called once it has stopped; if that takes too long, it is lost
	// once more, expired.
	Lost(right string, t Token, why Why)
	// Opened tells the holder what was last kept, nil if nothing was; from now on no earlier holder can have anything kept.
	Opened(right string, t Token, value []byte)
	// Saved: what Save was given is kept by a majority.
	Saved(right string, t Token, seq uint64)
	// Note tells of something that an operator may want to know.
	Note(n Note)
}

// Right is something that one instance at most may hold.
type Right struct {
	Name   string
	Paused bool // nobody may hold it for now
}

const (
	clashFor  = 8  // leases for which a seat that is in doubt is left alone
	oddEvery  = 60 // leases between two notes on one seat that says odd things
	sayAgain  = 6  // votes that tell of a release, as the word itself may be lost
	sayBye    = 3  // times that an instance says that it ends
	unledWait = 2  // leases without a leader's word until that is told
)

// right is one right as this instance knows it.
type right struct {
	Right
	id uint64

	// What this instance holds.
	token    Token // 0: nothing
	until    Time  // by the own clock
	since    Time
	told     bool  // that it must stop
	let      Token // the greatest that it has let go
	sayUntil int   // how many votes still tell of let

	entry Entry // as the leader told last
	at    Time  // and when

	post  post  // as this instance, leading, has it
	kept  Kept  // by this seat
	fresh bool  // since its start
	open  chest // the holder's side
}

// Node is one instance's part in all rights. Its methods are called one at a time.
type Node struct {
	set   Settings
	port  Port
	now   Time
	elect *Election

	rights  []*right // by name
	byID    map[uint64]*right
	peers   []peer
	leader  int  // last heard of, -1: none
	ledAt   Time // and when
	unled   bool
	active  []byte // who voted for it lately
	clash   Time
	barred  bool
	leaving bool
	left    bool
	byeAt   Time // when it says so next
	byes    int  // how often it has
	greeted bool
	forgot  bool // what this seat kept is lost

	dealing dealing
	soonest Time // no tenure of this instance ends before

	Counts Counts
}

// Counts is what a node has done and met since its start.
type Counts struct {
	Gained, Lost, Given, Moved, Stale, Odd int
}

// peer is what is known of a seat.
type peer struct {
	boot    Time
	noted   Time
	going   bool // it is about to end, or has
	stamp   Time // its clock when it wrote its last vote for this leader
	heardAt Time // when that came
}

// Memory is what a seat kept over a restart.
type Memory struct {
	Floor  uint64 // the last reign promised
	Kept   map[string]Kept
	Forgot bool // there is no such memory, or a part of it is lost: this may be a first start
}

// New starts a node. For as long as a vote of its predecessor may hold it votes for nobody, whatever was kept.
func New(set Settings, rights []Right, mem Memory, port Port, now Time) (*Node, error) {
	n := &Node{set: set, port: port, now: now, byID: map[uint64]*right{}, peers: make([]peer, set.Size), leader: -1, ledAt: now,
		byeAt: Never, forgot: mem.Forgot}
	n.elect = NewElection(set, (*hooks)(n), true, mem.Floor, now)
	if err := n.SetRights(now, rights); err != nil {
		return nil, err
	}
	for name, k := range mem.Kept {
		if r := n.right(name); r != nil {
			r.kept = k
		}
	}
	return n, nil
}

// SetRights says which rights there are. One that is new begins with nothing known of it; one that is no more is let go.
func (n *Node) SetRights(now Time, rights []Right) error {
	if len(rights) > mostRights {
		return fmt.Errorf("%d rights, %d at most", len(rights), mostRights)
	}
	names := map[uint64]string{}
	for _, x := range rights { // before anything changes
		id := xxhash.Sum64String(x.Name)
		if other, known := names[id]; known {
			return fmt.Errorf("rights %q and %q can't be told apart", other, x.Name)
		}
		names[id] = x.Name
	}
	next, byID := make([]*right, 0, len(rights)), map[uint64]*right{}
	for _, x := range rights {
		id := xxhash.Sum64String(x.Name)
		r := n.byID[id]
		if r == nil {
			r = &right{id: id, entry: Entry{Right: id, Seat: -1, Heir: -1}, at: now}
			r.post = post{seat: -1, to: -1}
			if n.elect.Role() == Leading { // another leader may have given it, whose list was longer
				r.post.freeAt = n.now + n.set.Lease + n.set.Skew
			}
		}
		r.Right, byID[id] = x, r
		next = append(next, r)
	}
	n.enter(now)
	for _, r := range n.rights {
		if kept := byID[r.id]; kept == nil || kept.Paused {
			n.stop(r, Dropped)
		}
	}
	slices.SortFunc(next, func(a, b *right) int { return cmp.Compare(a.Name, b.Name) })
	n.rights, n.byID = next, byID
	return nil
}

func (n *Node) right(name string) *right { return n.byID[xxhash.Sum64String(name)] }

// Held tells whether this instance holds a right now, under which token, and until when if no more time is given. Whoever acts
// under the right asks here first, and has the token checked by whoever receives the effect: between this check and the effect
// the process may stand still.
func (n *Node) Held(now Time, name string) (t Token, until Time, held bool) {
	n.enter(now)
	r := n.right(name)
	if r == nil || r.token == 0 || r.told {
		return 0, 0, false
	}
	return r.token, r.until, true
}

// Peek is Held for a judge: it changes nothing, and a right whose work is still to stop counts as held.
func (n *Node) Peek(name string) (t Token, until Time) {
	if r := n.right(name); r != nil {
		return r.token, r.until
	}
	return 0, 0
}

// enter notes the time, and at once what has ended by it.
func (n *Node) enter(now Time) {
	n.now = max(now, n.now)
	n.elect.Enter(n.now)
	if n.now < n.soonest {
		return
	}
	n.soonest = Never
	for _, r := range n.rights {
		if r.token != 0 && n.now >= r.until {
			n.expire(r)
		}
		if r.token != 0 {
			n.soonest = min(n.soonest, r.until)
		}
	}
}

// expire ends a tenure of which there is no time left.
func (n *Node) expire(r *right) {
	t := r.token
	r.token, r.let, r.told, r.open = 0, max(r.let, t), false, chest{}
	n.Counts.Lost++
	n.port.Lost(r.Name, t, Expired)
}

// stop has the work under a right stop. The right stays with this instance until Released, or until its time is over.
func (n *Node) stop(r *right, why Why) {
	if r.token != 0 && !r.told {
		r.told = true
		n.port.Lost(r.Name, r.token, why)
	}
}

// Released gives a right up of which Lost has told: the work has stopped.
func (n *Node) Released(now Time, name string) {
	n.enter(now)
	r := n.right(name)
	if r == nil || r.token == 0 || !r.told {
		return
	}
	c := Claim{Right: r.id, Token: r.token}
	r.token, r.let, r.told, r.open = 0, r.token, false, chest{}
	r.sayUntil = sayAgain
	n.Counts.Lost++
	if n.elect.Role() == Leading {
		n.released(n.set.Seat, n.elect.Boot(), c)
		return
	}
	if n.leader >= 0 && n.leader != n.set.Seat {
		n.port.Send(n.leader, n.message(Release, func(m *Message) { m.Released, m.Going = []Claim{c}, n.leaving }))
	}
}

// GiveUp has the work under a right stop, so that it goes to whoever is next, which may be this instance again.
func (n *Node) GiveUp(now Time, name string) {
	n.enter(now)
	if r := n.right(name); r != nil {
		n.stop(r, Dropped)
	}
}

// Overtaken is told by a holder to which a receiver has said that it has met a greater token.
func (n *Node) Overtaken(now Time, name string, t Token) {
	n.enter(now)
	if r := n.right(name); r != nil && r.token == t {
		n.stop(r, Replaced)
	}
}

// take takes a gift of the leader.
func (n *Node) take(g *Gift) {
	r := n.byID[g.Right]
	if r == nil || g.Token <= r.let || g.Token < r.token || n.barred {
		n.Counts.Stale++
		return
	}
	until := g.Stamp + g.For - g.For/uneven
	if until <= n.now {
		n.Counts.Stale++
		return
	}
	if g.Token > r.token {
		again := r.token != 0 && r.told // it is to stop: the new token is the same leader's word, or the next one's
		r.token, r.until, r.since, r.open = g.Token, until, n.now, chest{}
		n.Counts.Gained++
		if !again {
			n.port.Gained(r.Name, r.token)
			n.begin(r)
		}
	}
	r.until = max(r.until, until)
	n.soonest = min(n.soonest, r.until)
	switch {
	case n.leaving:
		n.stop(r, Leaving)
	case g.Recall:
		n.stop(r, Recalled)
	case r.Paused:
		n.stop(r, Dropped)
	}
}

// Next is when Awake must be called at the latest.
func (n *Node) Next() Time {
	if !n.greeted && !n.barred {
		return n.now
	}
	next := min(n.elect.Next(), n.byeAt, n.dealing.at)
	if n.barred {
		next = min(next, n.clash)
	}
	for _, r := range n.rights {
		if r.token != 0 {
			next = min(next, r.until, r.open.next())
		}
	}
	if !n.unled && n.elect.Role() != Leading {
		next = min(next, n.ledAt+unledWait*n.set.Lease)
	}
	return next
}

// Awake does what is due.
func (n *Node) Awake(now Time) {
	n.enter(now)
	if n.barred && n.now >= n.clash {
		n.resume()
	}
	if !n.greeted && !n.barred { // a predecessor that lives on hears that it has been replaced
		n.greeted = true
		n.port.Broadcast(n.message(Hello, nil))
	}
	n.elect.Awake()
	n.deal()
	for _, r := range n.rights {
		if r.token != 0 {
			n.chest(r)
		}
	}
	if n.elect.Role() == Leading {
		n.ledAt, n.unled = n.now, false
	} else if !n.unled && n.now >= n.ledAt+unledWait*n.set.Lease {
		n.unled = true
		n.port.Note(Note{Event: Unled, Seat: n.leader})
	}
	if n.now >= n.byeAt {
		n.bye()
	}
}

// Leave begins the end of this instance: every right is given up as its work stops. Ended tells when all is done.
func (n *Node) Leave(now Time) {
	n.enter(now)
	if n.leaving {
		return
	}
	n.leaving = true
	for _, r := range n.rights {
		n.stop(r, Leaving)
	}
	n.byeAt = n.now
}

// Ended: nothing is held any more, and the others know.
func (n *Node) Ended() bool { return n.left }

// bye is the last word. A leader first gives its rights away, and waits a beat, in which it tells that again.
func (n *Node) bye() {
	for _, r := range n.rights {
		if r.token != 0 {
			n.byeAt = n.now + n.set.Beat/turns
			return
		}
	}
	if n.elect.Role() == Leading && !n.dealing.last {
		n.dealing.last = true
		n.byeAt = n.now + n.set.Beat
		return
	}
	n.elect.Abdicate()
	n.elect.Leave()
	n.port.Broadcast(n.message(Bye, func(m *Message) { m.Released = n.lately() }))
	if n.byes++; n.byes < sayBye {
		n.byeAt = n.now + n.set.Beat/turns
		return
	}
	n.byeAt, n.left = Never, true
}

// lately is what was given up and may not be known of.
func (n *Node) lately() (all []Claim) {
	for _, r := range n.rights {
		if r.sayUntil > 0 {
			r.sayUntil--
			all = append(all, Claim{Right: r.id, Token: r.let})
		}
	}
	return all
}

// Hear takes a message of another seat. What makes no sense is counted and dropped.
func (n *Node) Hear(now Time, m *Message) {
	n.enter(now)
	if m.Size != n.set.Size || m.Seat < 0 || m.Seat >= n.set.Size || m.Boot <= 0 {
		n.odd(m.Seat, "seat or size differs")
		return
	}
	if m.Seat == n.set.Seat {
		n.doubled(m)
		return
	}
	p := &n.peers[m.Seat]
	if m.Boot < p.boot {
		n.Counts.Stale++
		return
	}
	if m.Boot > p.boot {
		*p = peer{boot: m.Boot}
		n.elect.Reborn(m.Seat)
	}
	switch m.Kind {
	case Ask:
		n.asked(m)
	case Grant:
		n.voted(m)
	case Sound:
		n.elect.Sounded(m.Seat, m.Boot, m.Round)
	case Echo:
		if m.To == n.set.Seat {
			n.elect.Echoed(m.Seat, m.Round)
		}
	case Yield:
		n.elect.Yielded(m.Seat, m.Boot, m.Round, m.Led)
	case Give:
		if m.To == n.set.Seat && m.ToBoot == n.elect.Boot() {
			for i := range m.Given {
				n.take(&m.Given[i])
			}
		}
	case Release, Bye:
		p.going = p.going || m.Going || m.Kind == Bye
		if m.Kind == Bye {
			n.elect.Left(m.Seat)
		}
		for _, c := range m.Released {
			n.released(m.Seat, m.Boot, c)
		}
	case Fetch, Store:
		if n.elect.Role() == Leading { // the sender has taken the right up
			n.claim(m.Seat, m.Boot, Claim{Right: m.Slip.Right, Token: m.Slip.Token})
		}
		n.serve(m)
	case Fetched, Stored, Refused:
		n.answered(m)
	}
}

// asked takes a question, and the page of the table that came with a leader's.
func (n *Node) asked(m *Message) {
	if m.For > n.set.Lease {
		n.odd(m.Seat, fmt.Sprintf("asks for a lease of %d ms, %d here", m.For/Millisecond, n.set.Lease/Millisecond))
		return
	}
	if m.Lot == 0 && m.Reign >= n.elect.seen {
		if n.leader != m.Seat {
			n.leader = m.Seat
			n.port.Note(Note{Event: Led, Seat: m.Seat})
		}
		n.ledAt, n.unled, n.active = n.now, false, m.There
		for _, e := range m.Table {
			if r := n.byID[e.Right]; r != nil {
				r.entry, r.at = e, n.now
			}
		}
	}
	n.elect.Question(Question{Seat: m.Seat, Boot: m.Boot, Round: m.Round, For: m.For, Lot: m.Lot, Reign: m.Reign})
}

// odd notes a strange message, once in a while for each seat that sends such.
func (n *Node) odd(seat int, why string) {
	n.Counts.Odd++
	if seat >= 0 && seat < len(n.peers) {
		if p := &n.peers[seat]; p.noted > 0 && n.now-p.noted < oddEvery*n.set.Lease {
			return
		}
		n.peers[seat].noted = n.now
	}
	n.port.Note(Note{Event: Odd, Seat: seat, Why: why})
}

// doubled: another process says that it has this seat. The others listen to the younger one, as to one that has been started
// again; so the older one holds and votes for nothing while the other is heard of. Both tell.
func (n *Node) doubled(m *Message) {
	if m.Boot == n.elect.Boot() { // own words come back
		return
	}
	if m.Boot < n.elect.Boot() {
		n.Counts.Stale++
		n.odd(m.Seat, "an older process has this seat too")
		return
	}
	n.clash = n.now + clashFor*n.set.Lease
	if !n.barred {
		n.barred = true
		n.elect.Withhold()
		for _, r := range n.rights {
			if r.token != 0 {
				n.stop(r, Barred)
				r.until = n.now
				n.expire(r)
			}
		}
		n.port.Note(Note{Event: Clash, Seat: n.set.Seat})
	}
}

// resume takes the seat up again, as a process that has just been started.
func (n *Node) resume() {
	n.barred, n.greeted = false, false
	n.elect.Start(n.now)
	n.port.Note(Note{Event: Resolved, Seat: n.set.Seat})
}

// message is a new message of a kind.
func (n *Node) message(kind Kind, fill func(*Message)) *Message {
	m := &Message{Kind: kind, Seat: n.set.Seat, Size: n.set.Size, Boot: n.elect.Boot()}
	if fill != nil {
		fill(m)
	}
	return m
}
