package budget

// hand.go owns handing out. It must never have more portions out than the pool, counted as long as any of their holders may count on them.

import (
	"cmp"
	"slices"
)

const (
	deafFor  = 2    // lengths after which a router that is not heard of counts as wanting nothing
	headroom = 1.25 // of what a router wants, before what is left is divided evenly
)

// Hand hands portions out, for as long as its router holds the right.
type Hand struct {
	set    Settings
	token  uint64
	clear  Time // before it, what an earlier one has handed out may still hold
	number uint64
	all    []routerState
}

// routerState is one router as seen from here.
type routerState struct {
	boot   Time
	heard  Time // 0: never
	demand float64
	out    []portion // that it may count on, by number
}

type portion struct {
	number uint64
	rate   float64
	until  Time
}

// NewHand begins with the right just gained, under its token.
func NewHand(set Settings, token uint64, now Time) *Hand {
	return &Hand{set: set, token: token, clear: now + set.Length + set.Length/uneven, all: make([]routerState, set.Routers)}
}

// SetCap changes the cap; gifts follow it from now on.
func (h *Hand) SetCap(limit float64) { h.set.Cap = limit }

// most is the most that a router may count on now.
func (r *routerState) most(now Time) (rate float64) {
	r.out = slices.DeleteFunc(r.out, func(p portion) bool { return p.until <= now })
	for _, p := range r.out {
		rate = max(rate, p.rate)
	}
	return rate
}

// Out is what all together may count on now, beside the floors.
func (h *Hand) Out(now Time) (rate float64) {
	for i := range h.all {
		rate += h.all[i].most(now)
	}
	return rate
}

// Asked answers a router. The second result is false where nothing is to be said.
//
// Until what an earlier hand gave has ended, a router gets again what it says that it has, and no more: it holds that already, so all
// together hold no more than before. Later it gets its share by demand, as far as the pool has room beside what the others may
// still count on.
func (h *Hand) Asked(now Time, a Ask) (Gift, bool) {
	if a.Number < 0 || a.Number >= len(h.all) || !(a.Demand >= 0) || !(a.Have >= 0) || a.Token > h.token {
		return Gift{}, false
	}
	r := &h.all[a.Number]
	if a.Boot < r.boot {
		return Gift{}, false
	}
	if a.Boot > r.boot { // its predecessor's portions go on being counted until they end: that process may only stand still
		r.boot = a.Boot
	}
	r.heard, r.demand = now, a.Demand
	if a.Token == h.token { // it goes by the last that it took, and by later ones once they come
		r.out = slices.DeleteFunc(r.out, func(p portion) bool { return p.number < a.Last && p.number > 0 })
	}
	rate := 0.0
	if now < h.clear {
		rate = a.Have
	} else {
		others := 0.0
		for i := range h.all {
			if i != a.Number {
				others += h.all[i].most(now)
			}
		}
		rate = max(min(h.share(now, a.Number), h.set.pool()-others), 0)
	}
	h.number++
	r.out = append(r.out, portion{h.number, rate, now + h.set.Length})
	return Gift{To: a.Number, Boot: a.Boot, Token: h.token, Number: h.number, Rate: rate, Stamp: a.Stamp, For: h.set.Length}, true
}

// share is a router's part of the pool: what it wants beyond its floor, and a quarter more, as far as that leaves others the same (max-min
// fairness); what nobody wants is divided evenly among those that are heard of, for what comes suddenly.
func (h *Hand) share(now Time, number int) float64 {
	type want struct {
		number int
		rate   float64
	}
	var wants []want
	for i := range h.all {
		if r := &h.all[i]; r.heard > 0 && now-r.heard <= deafFor*h.set.Length {
			wants = append(wants, want{i, max(r.demand*headroom-h.set.floor(), 0)})
		}
	}
	slices.SortFunc(wants, func(a, b want) int { return cmp.Or(cmp.Compare(a.rate, b.rate), cmp.Compare(a.number, b.number)) })
	left, mine := h.set.pool(), 0.0
	for i, w := range wants {
		got := min(w.rate, left/float64(len(wants)-i))
		if left -= got; w.number == number {
			mine = got
		}
	}
	return mine + left/float64(max(len(wants), 1))
}
