// Package lease decides who alone holds a right. It does no I/O, has no clock and starts no goroutine: the time and what was heard are
// handed in, what is to be done goes out.
package lease

// election.go owns who leads: the part of a seat that asks for votes, and the part that gives them. Package duty stands on the
// same construction. It must never give a second vote while one holds, never reckon a lease longer than its votes, and never
// know what is led.

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Time is a point on the instance's clock (Unix time) or a length of time, in whole tenths of a millisecond.
type Time int64

// Millisecond is the unit in which settings are usually written down.
const Millisecond Time = 10

// Never is later than any time.
const Never = Time(1 << 62)

// Settings is what an instance is told at its start.
type Settings struct {
	Seat, Size  int  // its seat, from 0, among all that may run at once
	Skew        Time // the most by which two instances' clocks differ
	Lease, Beat Time // how long a leader's lease holds, and how often it asks for it anew
	Seed        uint64
}

// Role is what a seat is in an election.
type Role int

const (
	Following Role = iota
	Seeking        // has asked for a short lease, so that a vote that is split is over soon
	Leading
)

func (r Role) String() string { return [...]string{"following", "seeking", "leading"}[r] }

const (
	keptRounds = 8 // whose votes still count
	missRounds = 2 // that a seat may leave unanswered before it counts as not there
	mostTries  = 8 // askings of a seeker before it lets others try
	mostLots   = 1 << 30
	turns      = 8  // who wait in turn when a lease has ended
	uneven     = 20 // a lease counts for a twentieth less, as clocks do not run at quite the same pace
)

// Question asks a seat for its vote.
type Question struct {
	Seat  int
	Boot  Time // of the process that asks
	Round uint32
	For   Time   // how long the vote is to hold
	Lot   Time   // of a seeker; 0 of a leader
	Reign uint64 // 0: reigns are not counted
}

// Vote answers a Question. A vote that is refused for its reign tells the least that would do.
type Vote struct {
	Seat, To int
	ToBoot   Time // of the process that asked
	Round    uint32
	Rest     Time   // for how long at most what an earlier leader gave away may still be used, though it has given the vote back
	Floor    uint64 // not 0: refused, as a reign up to this was promised to another
}

// Hooks is what an election does to the world, and asks of its owner. None of it may call the election back.
type Hooks interface {
	// Ask puts a question to some seats; nil stands for all others.
	Ask(q Question, seats []int)
	// Sound asks all others whether they would vote for this seat, and Echo says so. Neither binds anybody.
	Sound(number uint32)
	Echo(to int, number uint32)
	// Answer gives a vote.
	Answer(v Vote)
	// GiveBack tells all that votes up to a round are not counted on any more. Led: they made this seat the leader.
	GiveBack(round uint32, led bool)
	// Turn is this seat's place among those who would lead next, from 0; any large number where it is not in the line.
	Turn() int
	// Leads: this seat leads from now on.
	Leads()
	// Renews: it goes on leading, and is about to ask anew.
	Renews()
	// Promise records that no reign up to this one gets a vote any more. What can't be recorded is not promised.
	Promise(reign uint64) bool
}

// round is one asking for the lease.
type round struct {
	number uint32
	sent   Time
	length Time
	reign  uint64
}

// Election is one seat's part in agreeing who leads. A leader holds a lease that more than half of all seats have voted for;
// a seat votes for one process at a time. So of two leaders the later begins after the earlier one's lease has ended.
type Election struct {
	set     Settings
	hooks   Hooks
	counted bool // reigns are counted
	now     Time
	boot    Time
	draws   uint64
	out     bool // neither votes nor leads, until told otherwise
	gone    bool // for good

	Asked, Given int // counts, since the start

	role   Role
	quorum int

	// As one who votes.
	holder      int // seat, -1: nobody
	holderBoot  Time
	holderRound uint32 // the latest that it was voted for in
	until       Time   // the vote holds
	owed        Time   // until when a leader that gave the vote back may have given things away
	votesAfter  Time   // a start: what was voted before it is forgotten
	floor       uint64 // the reign last promised
	seen        uint64 // the greatest reign heard of

	// As one who asks.
	rounds []round
	last   uint32
	ends   []Time   // by seat: until when its vote is known to hold
	reigns []uint64 // by seat: the greatest reign that it has promised to this process
	valid  Time     // until when a majority's votes do, as last reckoned
	clear  Time     // before it, what earlier leaders gave away may still be used
	tries  int      // askings as a seeker
	sounds int      // soundings before that
	echoes []bool   // by seat, to the present sounding
	lot    Time     // drawn by a seeker: of two that seek at once the one with the lower gives way
	wants  uint64   // the reign that is asked for
	reign  uint64   // the greatest that a majority has promised to this process
	beatAt Time
	halfAt Time // when seats that have not answered this beat's asking are asked once more
	seekAt Time

	answered []uint32 // by seat: the last round in which it voted for this process
	left     []bool   // by seat: it has said that it leaves
}

// NewElection starts a seat that remembers nothing but the floor, the last reign that it promised; that is 0 where nothing was
// kept. Counted: each leader has a reign, greater than all before it.
func NewElection(set Settings, hooks Hooks, counted bool, floor uint64, now Time) *Election {
	e := &Election{set: set, hooks: hooks, counted: counted, floor: floor, seen: floor, quorum: set.Size/2 + 1,
		answered: make([]uint32, set.Size), left: make([]bool, set.Size)}
	e.Start(now)
	return e
}

// Start is a beginning with nothing remembered: a seat votes for nobody for as long as a vote of its predecessor may hold.
func (e *Election) Start(now Time) {
	e.now, e.boot, e.out = max(now, e.now), now, false
	e.ends, e.reigns, e.reign = make([]Time, e.set.Size), make([]uint64, e.set.Size), 0
	e.holder = -1
	e.votesAfter = e.now + e.set.Lease + e.set.Skew
	if e.set.Size == 1 {
		e.votesAfter = e.now
	}
	e.role, e.valid, e.rounds = Following, 0, nil
	e.beatAt, e.halfAt = Never, Never
	e.seekAt = e.votesAfter + e.chance(e.set.Beat)
}

// Role, Boot, Valid, Reign and Clear tell how things stand: until when the lease of this seat holds, the reign that a majority has
// promised to it, and before which time what earlier leaders gave away may still be used.
func (e *Election) Role() Role    { return e.role }
func (e *Election) Boot() Time    { return e.boot }
func (e *Election) Valid() Time   { return e.valid }
func (e *Election) Reign() uint64 { return e.reign }
func (e *Election) Clear() Time   { return e.clear }
func (e *Election) Round() uint32 { return e.last }

// Votes tells whether the seat remembers long enough to vote.
func (e *Election) Votes() bool { return !e.out && !e.gone && e.now >= e.votesAfter }

// Current: a majority has voted in the very last round.
func (e *Election) Current() bool {
	n := len(e.rounds)
	e.reckon()
	return n > 0 && e.valid >= e.rounds[n-1].until()
}

func (r round) until() Time { return r.sent + r.length - r.length/uneven }

// There: has the seat voted for this one lately?
func (e *Election) There(seat int) bool {
	return seat == e.set.Seat || e.answered[seat] > 0 && e.answered[seat]+missRounds >= e.last && !e.left[seat]
}

// Left notes that a seat leaves, and Reborn that it has a new process.
func (e *Election) Left(seat int)   { e.left[seat] = true }
func (e *Election) Reborn(seat int) { e.left[seat], e.answered[seat] = false, 0 }

// Withhold has the seat neither vote nor lead until it is started anew, and Leave for good.
func (e *Election) Withhold() { e.out = true }
func (e *Election) Leave()    { e.gone = true }

// Enter notes the time; a clock that is set back stands still until it has caught up.
func (e *Election) Enter(now Time) { e.now = max(now, e.now) }

// move is the one way from role to role.
func (e *Election) move(to Role) {
	from := e.role
	e.role, e.sounds = to, 0
	switch to {
	case Following:
		if from == Seeking {
			e.yield(false)
		}
		e.beatAt, e.halfAt, e.valid, e.rounds = Never, Never, 0, nil
		clear(e.ends)
		e.seekAt = e.patience()
	case Seeking:
		e.tries, e.beatAt, e.lot, e.clear = 0, Never, 1+e.chance(mostLots), 0
		if e.counted {
			e.wants = max(e.floor+1, e.seen+1, uint64(max(e.now, 0)/Millisecond))
		}
		e.try()
	case Leading:
		e.seekAt = Never
		e.hooks.Leads()
		e.beat()
	}
}

// Seek has the seat ask for the lease now, if it may.
func (e *Election) Seek() {
	if e.role == Following && e.Free(e.set.Seat, e.boot) {
		e.move(Seeking)
	}
}

// sound asks who would vote, before any vote is asked for: one that can't hear, or can't be heard, would bind votes for nothing, time
// and again (pre-vote: Ongaro, Consensus, 2014, 9.6). Not where reigns are not counted.
func (e *Election) sound() {
	if !e.counted || e.quorum == 1 {
		e.move(Seeking)
		return
	}
	if e.sounds++; e.sounds == 1 { // answers add up over the soundings, or a side with just a majority would hardly ever have all at once
		e.echoes = make([]bool, e.set.Size)
		e.echoes[e.set.Seat] = true
	}
	e.seekAt = e.now + e.set.Beat/2
	e.hooks.Sound(e.last)
}

// Sounded answers one who would ask for votes.
func (e *Election) Sounded(seat int, boot Time, number uint32) {
	if !e.out && !e.gone && e.Free(seat, boot) && e.role != Leading {
		e.hooks.Echo(seat, number)
	}
}

// Echoed takes the answer of a seat.
func (e *Election) Echoed(seat int, number uint32) {
	if e.role != Following || e.sounds == 0 || number != e.last || !e.Free(e.set.Seat, e.boot) {
		return
	}
	e.echoes[seat] = true
	n := 0
	for _, yes := range e.echoes {
		if yes {
			n++
		}
	}
	if n >= e.quorum {
		e.move(Seeking)
	}
}

// Abdicate ends a leader's lease early: all may vote at once for another, who is told by them until when what this one gave
// away may still be used.
func (e *Election) Abdicate() {
	if e.role != Leading {
		return
	}
	e.yield(true)
	e.move(Following)
	e.seekAt = e.now + e.set.Lease
}

// beat asks for the lease anew. Well before the next one it asks again those seats that were there lately and have not answered:
// where a side has just a majority, each of its votes counts.
func (e *Election) beat() {
	e.ask(e.set.Lease)
	e.beatAt, e.halfAt = e.now+e.set.Beat, e.now+e.set.Beat/2
}

func (e *Election) again() {
	e.halfAt = Never
	var seats []int
	for seat, last := range e.answered {
		if last < e.last && last+keptRounds >= e.last && seat != e.set.Seat && !e.left[seat] {
			seats = append(seats, seat)
		}
	}
	if len(seats) > 0 {
		e.hooks.Ask(e.question(e.set.Lease), seats)
	}
}

// try asks as a seeker, a few times: the votes add up over them, so lost messages cost little.
func (e *Election) try() {
	e.tries++
	e.seekAt = e.now + e.set.Beat/2
	e.ask(2 * e.set.Beat)
}

// yield gives back the votes of others and its own, or all would wait for them to run out before anyone else could have a
// majority. What a leader has given away under them reaches to its lease's end: its own seat goes on owing that, and so does
// whoever hears of it. Votes of a later asking are not meant: messages may overtake one another.
func (e *Election) yield(led bool) {
	if e.holder == e.set.Seat && e.holderBoot == e.boot {
		e.freed(led)
	}
	e.hooks.GiveBack(e.last, led)
}

func (e *Election) freed(led bool) {
	if led {
		e.owed = max(e.owed, e.until)
	}
	e.holder, e.until = -1, e.now
}

// Yielded takes a process's word that it no longer counts on its votes up to a round.
func (e *Election) Yielded(seat int, boot Time, number uint32, led bool) {
	if e.holder == seat && e.holderBoot == boot && number >= e.holderRound && e.now < e.until {
		e.freed(led)
		if e.role == Following {
			e.seekAt = min(e.seekAt, e.patience())
		}
	}
}

// patience is when this seat would ask for the lease if nobody else does: in turn behind the last leader, so that votes are
// seldom split.
func (e *Election) patience() Time {
	base := max(e.until, e.votesAfter, e.now)
	return base + Time(min(e.hooks.Turn(), turns))*e.set.Beat/turns + e.chance(e.set.Beat/turns)
}

// Next is when Awake must be called at the latest.
func (e *Election) Next() Time { return min(e.beatAt, e.halfAt, e.seekAt) }

// Awake does what is due.
func (e *Election) Awake() {
	switch {
	case e.gone || e.out:
		e.beatAt, e.halfAt, e.seekAt = Never, Never, e.now+e.set.Lease
		if e.gone {
			e.seekAt = Never
		}
		e.role = Following
	case e.role == Leading && e.now >= e.beatAt:
		if e.reckon(); e.now >= e.valid {
			e.move(Following) // the majority is out of reach
			break
		}
		e.hooks.Renews()
		e.beat()
	case e.role == Leading && e.now >= e.halfAt:
		e.again()
	case e.role == Seeking && e.now >= e.seekAt:
		if e.tries < mostTries && e.Free(e.set.Seat, e.boot) {
			e.try()
		} else {
			e.move(Following)
		}
	case e.role == Following && e.now >= e.seekAt:
		if e.Free(e.set.Seat, e.boot) && e.sounds < mostTries {
			e.sound()
		} else {
			e.move(Following)
		}
	}
}

// ask asks all seats for the lease, this one first.
func (e *Election) ask(length Time) {
	e.Asked++
	e.last++
	e.rounds = append(e.rounds, round{number: e.last, sent: e.now, length: length, reign: e.wants})
	e.rounds = e.rounds[max(len(e.rounds)-keptRounds, 0):]
	if e.Free(e.set.Seat, e.boot) && e.promise(e.set.Seat, e.boot, e.wants) {
		e.vote(e.set.Seat, e.boot, e.last, length)
		e.clear = max(e.clear, e.owed)
		e.count(e.set.Seat, e.last)
	}
	e.hooks.Ask(e.question(length), nil)
}

func (e *Election) question(length Time) Question {
	q := Question{Seat: e.set.Seat, Boot: e.boot, Round: e.last, For: length, Reign: e.wants}
	if e.role == Seeking {
		q.Lot = e.lot
	}
	return q
}

// Free: may this seat vote for a process?
func (e *Election) Free(seat int, boot Time) bool {
	if e.now < e.votesAfter {
		return false
	}
	return e.holder < 0 || e.now >= e.until || e.holder == seat && e.holderBoot == boot
}

// promise makes a vote for a reign possible. The one voted for last may be voted for again.
func (e *Election) promise(seat int, boot Time, reign uint64) bool {
	if !e.counted || reign == e.floor && e.holder == seat && e.holderBoot == boot {
		return true
	}
	if reign <= e.floor || !e.hooks.Promise(reign) {
		return false
	}
	e.floor, e.seen = reign, max(e.seen, reign)
	return true
}

func (e *Election) vote(seat int, boot Time, number uint32, length Time) {
	e.holder, e.holderBoot, e.holderRound, e.until = seat, boot, number, max(e.now+length, e.until)
	e.Given++
}

// Question takes one.
func (e *Election) Question(q Question) {
	e.seen = max(e.seen, q.Reign)
	if e.gone || e.out {
		return
	}
	if e.role == Seeking && e.givesWay(q) {
		e.move(Following)
	}
	if !e.Free(q.Seat, q.Boot) {
		return
	}
	v := Vote{Seat: e.set.Seat, To: q.Seat, ToBoot: q.Boot, Round: q.Round}
	if !e.promise(q.Seat, q.Boot, q.Reign) {
		if v.Floor = e.floor; q.Reign <= e.floor {
			e.hooks.Answer(v)
		}
		return
	}
	if e.role != Following { // this one's lease is over
		e.move(Following)
	}
	e.vote(q.Seat, q.Boot, q.Round, q.For)
	e.seekAt, e.sounds = e.patience(), 0
	v.Rest = max(e.owed-e.now, 0)
	e.hooks.Answer(v)
}

// givesWay: a seeker makes room for one that leads, and for another seeker with the higher lot. Lots are drawn anew for each
// seeking, so one that is heard by all and hears nobody can't keep the others back for long.
func (e *Election) givesWay(q Question) bool {
	return q.Lot == 0 || q.Lot > e.lot || q.Lot == e.lot && q.Seat > e.set.Seat
}

// Voted takes a vote for this seat, and tells whether it counts.
func (e *Election) Voted(v Vote) bool {
	if v.To != e.set.Seat || v.ToBoot != e.boot {
		return false
	}
	if v.Floor > 0 {
		// The seat has promised more, be it to one that never came to lead. Who leads asks for a greater reign from now on, rather
		// than have one that was cut off unseat it.
		if e.seen = max(e.seen, v.Floor); e.role == Leading {
			e.wants = max(e.wants, v.Floor+1)
		} else if e.role == Seeking && v.Floor >= e.wants {
			e.move(Following)
			e.seekAt = e.now + e.chance(e.set.Beat/turns)
		}
		return false
	}
	if e.role == Seeking { // a leader's own gifts are no one else's
		e.clear = max(e.clear, e.now+v.Rest+v.Rest/uneven)
	}
	return e.count(v.Seat, v.Round)
}

// count notes a vote. It holds for its length from when it was asked for: the seat gave it later than that, so by any clock it
// ends here first.
func (e *Election) count(seat int, number uint32) bool {
	i := slices.IndexFunc(e.rounds, func(r round) bool { return r.number == number })
	if i < 0 || e.role == Following {
		return false
	}
	if e.role == Leading && e.now >= e.valid {
		if e.reckon(); e.now >= e.valid { // since it ended another may have led: nothing must go on from there
			e.move(Following)
			return false
		}
	}
	e.ends[seat] = max(e.ends[seat], e.rounds[i].until())
	e.reigns[seat] = max(e.reigns[seat], e.rounds[i].reign)
	e.answered[seat] = max(e.answered[seat], number)
	if e.role == Seeking {
		if e.reckon(); e.now < e.valid {
			e.move(Leading)
		}
	}
	return true
}

// reckon works out until when a majority's votes hold. They may be of different rounds: each seat keeps its own, and while more
// than half do no other can have as many.
func (e *Election) reckon() {
	ends := slices.Sorted(slices.Values(e.ends))
	e.valid = max(e.valid, ends[len(ends)-e.quorum])
	if e.counted { // a promise stands for good, unlike the vote
		reigns := slices.Sorted(slices.Values(e.reigns))
		e.reign = reigns[len(reigns)-e.quorum]
	}
}

// chance is a draw from [0, most).
func (e *Election) chance(most Time) Time {
	if most <= 0 {
		return 0
	}
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], e.set.Seed)
	binary.LittleEndian.PutUint64(b[8:], e.draws)
	binary.LittleEndian.PutUint64(b[16:], uint64(e.set.Seat))
	e.draws++
	h := fnv.New64a()
	h.Write(b[:])
	return Time(h.Sum64() % uint64(most))
}
