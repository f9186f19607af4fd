// Package budget divides a cap of the whole fleet, such as calls a second, into portions of its routers, so that what all of them spend
// never adds up to more than the cap, whoever is cut off, stands still, restarts or joins. It does no I/O, has no clock and starts no
// goroutine.
//
// A part of the cap, the floor, is each router's by arithmetic alone: it needs nobody's word. The rest is handed out, by demand, by the one
// router that holds a right (package lease), for times that end by themselves. docs/design/shared-state.md has the argument.
//
// budget.go owns a router's side. It must never spend under a portion whose time is over, nor save up under one what it spends without.
package budget

import "math"

// Time is a point on the instance's clock or a length of time, in whole tenths of a millisecond.
type Time int64

// Second is the unit that rates are stated by.
const Second Time = 10_000

// uneven: a portion counts for a twentieth less, as clocks do not run at quite the same pace.
const uneven = 20

// Settings is the same at all routers, but for Number.
type Settings struct {
	Routers int     // there may be at once
	Number  int     // the router's own, from 0
	Cap     float64 // of all together, a second
	Floor   float64 // share of the cap that is divided by arithmetic, from 0 to 1
	Length  Time    // for which a portion holds
	Burst   Time    // what is not spent is saved up for so long
}

// floor is each router's own, a second.
func (s *Settings) floor() float64 { return s.Cap * s.Floor / float64(max(s.Routers, 1)) }

// pool is what is handed out.
func (s *Settings) pool() float64 { return s.Cap * (1 - s.Floor) }

// Ask is a router's word to whoever hands out.
type Ask struct {
	Number int
	Boot   Time    // of its process
	Stamp  Time    // its clock
	Demand float64 // what it would spend, a second
	Have   float64 // its portion now, beside the floor; 0: none
	Last   uint64  // number of the last gift that it took of this token
	Token  uint64  // that it has it from
}

// Gift is a portion: until For after Stamp, a point on the receiver's clock.
type Gift struct {
	To     int
	Boot   Time
	Token  uint64 // of the right that its giver holds
	Number uint64 // later ones take the place of earlier ones
	Rate   float64
	Stamp  Time
	For    Time
}

// Spender is a router's side.
type Spender struct {
	set  Settings
	boot Time
	now  Time

	rate   float64 // of the portion
	until  Time
	token  uint64
	number uint64

	level  float64 // saved up
	wanted float64 // since the last asking
	asked  Time
	demand float64

	Spent, Refused float64
}

// NewSpender begins with nothing saved up and no portion: a process that has just started can't know what its predecessor has spent.
func NewSpender(set Settings, now Time) *Spender {
	return &Spender{set: set, boot: now, now: now, asked: now}
}

// SetCap changes the cap. What is saved up and handed out under a greater one is cut to its share of the new one at once; what others
// hold of it ends with its time.
func (s *Spender) SetCap(now Time, limit float64) {
	s.advance(now)
	if s.set.Cap > 0 && limit < s.set.Cap {
		s.rate *= limit / s.set.Cap
	}
	s.set.Cap = limit
	s.level = min(s.level, s.Rate()*s.saved())
}

func (s *Spender) saved() float64 { return float64(s.set.Burst) / float64(Second) }

// Rate is what may be spent a second, as of the last call.
func (s *Spender) Rate() float64 {
	if s.now < s.until {
		return s.set.floor() + s.rate
	}
	return s.set.floor()
}

// advance saves up. What a portion adds ends with it, and so does what was saved under it: it may be another's by now.
func (s *Spender) advance(now Time) {
	if now <= s.now {
		return
	}
	begun := s.now
	s.now = now
	add := s.set.floor() * float64(now-begun)
	if s.until > begun {
		add += s.rate * float64(min(now, s.until)-begun)
	}
	s.level = min(s.level+add/float64(Second), s.Rate()*s.saved())
}

// Take spends, or tells that nothing is left.
func (s *Spender) Take(now Time, n float64) bool {
	s.advance(now)
	s.wanted += n
	if n > s.level {
		s.Refused += n
		return false
	}
	s.level -= n
	s.Spent += n
	return true
}

// demandOver: the demand that is told follows what is wanted over about so long.
const demandOver = 2 * Second

// Ask is what to tell whoever hands out. It is asked for a few times in a portion's length.
func (s *Spender) Ask(now Time) Ask {
	s.advance(now)
	if over := s.now - s.asked; over > 0 {
		weight := 1 - math.Exp(-float64(over)/float64(demandOver))
		s.demand += weight * (s.wanted/float64(over)*float64(Second) - s.demand)
		s.wanted, s.asked = 0, s.now
	}
	a := Ask{Number: s.set.Number, Boot: s.boot, Stamp: s.now, Demand: s.demand, Last: s.number, Token: s.token}
	if s.now < s.until {
		a.Have = s.rate
	}
	return a
}

// Given takes a gift. One of an earlier holder of the right, an earlier one of the same, or one whose time is over is left.
func (s *Spender) Given(now Time, g Gift) {
	s.advance(now)
	until := g.Stamp + g.For - g.For/uneven
	if g.To != s.set.Number || g.Boot != s.boot || g.Token < s.token || g.Token == s.token && g.Number <= s.number || until <= s.now ||
		!(g.Rate >= 0 && g.Rate <= s.set.pool()) {
		return
	}
	s.token, s.number, s.rate, s.until = g.Token, g.Number, g.Rate, until
	s.level = min(s.level, s.Rate()*s.saved())
}
