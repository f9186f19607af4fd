package budget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"moleshift/lab/virtual"
)

// world plays routers that press on a budget, with messages that are late, lost or doubled, cuts, standstills, restarts, and hands that
// come one after the other, each when the one before has ended or stands still with its right over.
type world struct {
	set      Settings
	rng      *rand.Rand
	now      Time
	queue    virtual.Queue[Time]
	routers  []*player
	hand     *Hand
	handAt   int
	token    uint64
	loss     float64
	spent    []spend
	used     float64
	notGiven float64
	err      string
}

type spend struct {
	at Time
	n  float64
}

type player struct {
	s      *Spender
	offset Time // of its clock
	cut    bool
	still  Time
	wants  float64
	late   []func()
}

func (w *world) at(t Time, do func()) { w.queue.At(t, do) }

func (w *world) draw(most Time) Time { return Time(w.rng.Int64N(int64(max(most, 1)))) }

// send brings something from one router to another.
func (w *world) send(from, to int, do func()) {
	if w.routers[from].cut != w.routers[to].cut || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.rng.Float64() < 0.05 {
		times = 2
	}
	for range times {
		delay := 2 + w.draw(20)
		if w.rng.Float64() < 0.02 {
			delay += w.draw(2 * w.set.Length) // it arrives when it no longer counts
		}
		w.at(w.now+delay, func() { w.wake(to, do) })
	}
}

// wake has a router do something now, or once it goes on.
func (w *world) wake(i int, do func()) {
	if p := w.routers[i]; w.now < p.still {
		p.late = append(p.late, do)
		return
	}
	do()
}

func (w *world) clock(i int) Time { return w.now + w.routers[i].offset }

func (w *world) start(i int) {
	set := w.set
	set.Number = i
	w.routers[i].s = NewSpender(set, w.clock(i))
}

func (w *world) ask(i int) {
	w.at(w.now+w.set.Length/4, func() { w.ask(i) })
	w.wake(i, func() {
		a := w.routers[i].s.Ask(w.clock(i))
		to, hand := w.handAt, w.hand
		if hand == nil {
			return
		}
		answer := func() {
			if hand != w.hand { // its right is over
				return
			}
			if g, ok := hand.Asked(w.clock(to), a); ok {
				w.send(to, i, func() { w.routers[i].s.Given(w.clock(i), g) })
			}
			if out := hand.Out(w.clock(to)); out > w.set.pool()*1.0001 {
				w.err = fmt.Sprintf("%.2f of %.2f are out", out, w.set.pool())
			}
		}
		if to == i {
			answer()
		} else {
			w.send(i, to, answer)
		}
	})
}

func (w *world) press(i int) {
	p := w.routers[i]
	gap := Time(float64(Second)/max(p.wants, 0.01)) + 1
	w.at(w.now+gap, func() { w.press(i) })
	if w.now < p.still {
		return
	}
	if p.s.Take(w.clock(i), 1) {
		w.spent = append(w.spent, spend{w.now, 1})
	}
}

// newHand: the right goes to another; a while passes in between.
func (w *world) newHand() {
	w.hand = nil
	w.at(w.now+w.draw(w.set.Length), func() {
		if w.hand != nil {
			return
		}
		w.handAt = w.rng.IntN(len(w.routers))
		w.token++
		w.hand = NewHand(w.set, w.token, w.clock(w.handAt))
	})
}

func play(set Settings, seed uint64, loss float64, length Time, troubles int) *world {
	w := &world{set: set, rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, now: 1_000_000}
	begin := w.now
	for i := range set.Routers {
		p := &player{offset: w.draw(100 * Second), wants: set.Cap / float64(set.Routers) * 3 * w.rng.Float64()}
		w.routers = append(w.routers, p)
		w.start(i)
		w.at(w.now+w.draw(set.Length/4), func() { w.ask(i) })
		w.at(w.now+w.draw(Second), func() { w.press(i) })
	}
	w.newHand()
	for range troubles {
		w.at(begin+w.draw(length), func() {
			i := w.rng.IntN(set.Routers)
			p := w.routers[i]
			switch w.rng.IntN(5) {
			case 0:
				w.start(i) // with nothing remembered
			case 1:
				p.still = w.now + w.draw(3*set.Length)
				w.at(p.still, func() {
					late := p.late
					p.late = nil
					for _, do := range late {
						do()
					}
				})
			case 2:
				for _, q := range w.routers {
					q.cut = w.rng.IntN(2) == 0
				}
				w.at(w.now+w.draw(4*set.Length), func() {
					for _, q := range w.routers {
						q.cut = false
					}
				})
			case 3:
				w.newHand()
			case 4:
				p.wants = set.Cap * w.rng.Float64()
			}
		})
	}
	for w.queue.Len() > 0 && w.queue.Next() < begin+length && w.err == "" {
		at, do := w.queue.Pop()
		w.now = at
		do()
		w.audit()
	}
	return w
}

// audit adds up what all may spend a second at this point of true time, each by its own clock.
func (w *world) audit() {
	sum := 0.0
	for i, p := range w.routers {
		if sum += w.set.floor(); w.clock(i) < p.s.until {
			sum += p.s.rate
		}
	}
	if sum > w.set.Cap*1.0001 {
		w.err = fmt.Sprintf("%.3f a second may be spent, of %.3f", sum, w.set.Cap)
	}
}

// over is the greatest that any window of a length has beyond the cap, what may be saved up, and one for each router, as spending is in
// whole ones.
func (w *world) over(window Time) (worst float64) {
	allowed := w.set.Cap*float64(window+w.set.Burst)/float64(Second) + float64(w.set.Routers)
	sum, first := 0.0, 0
	for _, s := range w.spent {
		for sum += s.n; w.spent[first].at <= s.at-window; first++ {
			sum -= w.spent[first].n
		}
		worst = max(worst, sum-allowed)
	}
	return worst
}

// Whatever befalls: in no window of true time do all together spend over the cap.
func TestNeverOverTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Routers: rapid.IntRange(1, 12).Draw(t, "routers"), Cap: float64(rapid.IntRange(5, 400).Draw(t, "cap")),
			Floor: float64(rapid.IntRange(0, 10).Draw(t, "floor")) / 10, Length: Time(rapid.IntRange(2, 20).Draw(t, "length")) * Second / 10,
			Burst: Time(rapid.IntRange(1, 10).Draw(t, "burst")) * Second / 10}
		w := play(set, rapid.Uint64().Draw(t, "seed"), float64(rapid.IntRange(0, 20).Draw(t, "loss"))/100, 30*Second,
			rapid.IntRange(0, 40).Draw(t, "troubles"))
		if w.err != "" {
			t.Fatal(w.err)
		}
		for _, window := range []Time{Second / 10, Second, 5 * Second} {
			if over := w.over(window); over > 0 {
				t.Errorf("%.2f over the cap within %.1f s", over, float64(window)/float64(Second))
			}
		}
	})
}

// In quiet the cap is used where there is demand, however uneven; a router that hears nobody falls to its floor.
func TestUsedAndFloor(t *testing.T) {
	set := Settings{Routers: 10, Cap: 200, Floor: 0.2, Length: Second, Burst: Second / 5}
	w := play(set, 3, 0, 10*Second, 0)
	for i, p := range w.routers { // one wants nearly all, from now on
		if p.wants = 1; i == 4 {
			p.wants = 400
		}
	}
	w.spent = nil
	from := w.now
	for w.queue.Next() < from+10*Second {
		at, do := w.queue.Pop()
		w.now = at
		do()
	}
	late := 0.0
	for _, s := range w.spent {
		if s.at > from+5*Second {
			late++
		}
	}
	if used := late / 5; used < 0.8*set.Cap {
		t.Errorf("%.0f a second are used of %.0f, and one router wants more", used, set.Cap)
	}
	w.routers[4].cut = true
	w.now += 2 * Second
	w.routers[4].s.Take(w.clock(4), 0)
	if rate := w.routers[4].s.Rate(); math.Abs(rate-4) > 1e-9 {
		t.Errorf("cut off, a router spends %.2f a second; its floor is 4", rate)
	}
}

// One that starts again and again, or whose portion ends and comes back, spends nothing that was saved up before.
func TestNothingIsSavedTwice(t *testing.T) {
	set := Settings{Routers: 1, Cap: 100, Floor: 1, Length: Second, Burst: Second}
	spent := 0.0
	now := Time(1)
	for range 20 {
		s := NewSpender(set, now)
		for range 10 {
			now += Second / 100
			for s.Take(now, 1) {
				spent++
			}
		}
	}
	if spent > 200 {
		t.Errorf("%.0f in two seconds, at 100 a second", spent)
	}
	set.Floor = 0
	s := NewSpender(set, now)
	s.Given(now, Gift{Token: 1, Number: 1, Rate: 100, Stamp: now, For: Second, Boot: now})
	now += Second * 9 / 10
	s.Take(now, 0)
	now += Second / 5 // over
	if s.Take(now, 1) {
		t.Error("what was saved under a portion is spent after its end")
	}
}

// A cap that is lowered holds at once where it is known, and everywhere within a portion's length.
func TestCapLowered(t *testing.T) {
	set := Settings{Routers: 2, Cap: 100, Floor: 0.5, Length: Second, Burst: Second}
	s := NewSpender(set, 1)
	h := NewHand(set, 1, 1)
	now := Time(1) + 2*Second
	g, _ := h.Asked(now, s.Ask(now))
	s.Given(now, g)
	if s.Rate() != 75 {
		t.Fatalf("%.1f a second", s.Rate())
	}
	s.SetCap(now+1, 10)
	h.SetCap(10)
	if s.Rate() > 7.5+1e-9 {
		t.Errorf("%.1f a second, of a cap of 10", s.Rate())
	}
	now += Second * 3
	g, _ = h.Asked(now, s.Ask(now))
	if s.Given(now, g); s.Rate() > 7.5+1e-9 {
		t.Errorf("%.1f a second, of a cap of 10", s.Rate())
	}
}
