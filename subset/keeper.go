package subset

// keeper.go owns the subset as it stands: what the list has, which leaves can't be reached for now, and what follows. It must never drop a
// leaf just because another has come back a moment ago.

import "slices"

// Time is a point in time, in whole tenths of a millisecond.
type Time int64

// calm is for how long, in tenths, a leaf must have worked before what stands in for it is let go.
const calm = 100_000

// Keeper keeps one router's subset.
type Keeper struct {
	set    Settings
	leaves []Leaf
	state  map[string]*state
	chosen []string
}

type state struct {
	out    bool // it could not be reached
	worked Time // since when it has worked again; 0: it does not
}

// NewKeeper begins without leaves.
func NewKeeper(set Settings) *Keeper { return &Keeper{set: set, state: map[string]*state{}} }

// List takes the leaves as they are listed now, and tells whether the subset has changed.
func (k *Keeper) List(now Time, leaves []Leaf) bool {
	k.leaves = leaves
	there := map[string]bool{}
	for _, l := range leaves {
		there[l.ID] = true
		if k.state[l.ID] == nil {
			k.state[l.ID] = &state{}
		}
	}
	for id := range k.state {
		if !there[id] {
			delete(k.state, id)
		}
	}
	return k.choose(now)
}

// Failed is told when an attempt at a leaf has ended without a connection, and Worked when it has answered. Each tells whether the
// subset has changed: at once where a leaf fails, as whoever chooses among leaves may not try it a second time for long, and some time
// after it works again.
func (k *Keeper) Failed(now Time, id string) bool {
	s := k.state[id]
	if s == nil {
		return false
	}
	s.worked = 0
	if s.out {
		return false
	}
	s.out = true
	return k.choose(now)
}

// Worked see Failed.
func (k *Keeper) Worked(now Time, id string) bool {
	s := k.state[id]
	if s == nil {
		return false
	}
	switch {
	case !s.out:
		return false
	case s.worked == 0:
		s.worked = now
		return false
	case now-s.worked < calm:
		return false
	}
	s.out = false
	return k.choose(now)
}

func (k *Keeper) choose(Time) bool {
	next := Choose(k.set, k.leaves, func(id string) bool { return k.state[id].out })
	if slices.Equal(next, k.chosen) {
		return false
	}
	k.chosen = next
	return true
}

// Holds tells whether a leaf is in the subset.
func (k *Keeper) Holds(id string) bool {
	_, found := slices.BinarySearch(k.chosen, id)
	return found
}

// Chosen is the subset, in order.
func (k *Keeper) Chosen() []string { return slices.Clone(k.chosen) }
