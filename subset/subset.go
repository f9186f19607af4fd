// Package subset decides which leaves a router holds connections to when it can't, or should not, hold all of them. It does no I/O, has
// no clock, and knows of the other routers only how many there are and which number is its own.
//
// Leaves with the same shards are a group, any of which can stand in for any other. Of each group a router holds a few, so that every
// shard is covered; over all routers every leaf is held by about as many as its weight asks for; and a leaf or a router that comes or
// goes changes few of the others' choices. docs/design/spread.md has the options weighed, and what is claimed.
//
// It must never leave a shard without a leaf that the list has, and never hang on the order in which leaves are listed.
package subset

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Leaf is one leaf as the list has it.
type Leaf struct {
	ID     string
	Group  string  // leaves of one group hold the same shards
	Zone   string  // empty: none
	Weight float64 // of its share of routers; 0 counts as 1
}

// Settings is what a router is told.
type Settings struct {
	Routers int    // how many there are
	Number  int    // its own, from 0
	Leaves  int    // of each group that it holds, at least
	Zone    string // its own; where set, half of a group's leaves are taken from it, if it has so many
	Seed    uint64 // the same at all routers
}

// golden is the fractional part of the golden ratio. Multiples of it, taken round a circle, stay as far apart as points can whose
// number is not known beforehand: any n of them in a row leave no arc over about 1.9/n free (Swierczkowski, Fund. Math. 46, 1958).
const golden = 0.6180339887498949

// Choose is the subset, by ID. Failing leaves are those that can't be used for now: each is held on, and one more of its group is held
// for it, so that a router is never left without; as leaves come back the subset is what it was.
//
// A group's leaves stand on a circle in an order of its own, as often as their weight asks for. A router has a place there: as many times
// the golden ratio as its number is, turned by the group's hash, so that its places in different groups have nothing to do with one
// another. It holds the leaves that come next from its place on. A leaf that comes or goes leaves the order of the others as it is, so
// it moves what a router holds by a place at most.
func Choose(set Settings, leaves []Leaf, failing func(id string) bool) []string {
	groups := map[string][]Leaf{}
	for _, l := range leaves {
		groups[l.Group] = append(groups[l.Group], l)
	}
	var chosen []string
	for group, all := range groups {
		near, far := all, []Leaf(nil)
		if set.Zone != "" {
			near, far = byZone(all, set.Zone)
		}
		want := min(max(set.Leaves, 1), len(all))
		fromFar := 0
		if len(far) > 0 { // half from elsewhere, so that a zone that is lost leaves something
			fromFar = min(max(want/2, want-len(near)), len(far))
		}
		chosen = append(chosen, pick(set, group, near, want-fromFar, failing)...)
		chosen = append(chosen, pick(set, group+"\x00far", far, fromFar, failing)...)
	}
	slices.Sort(chosen)
	return chosen
}

func byZone(all []Leaf, zone string) (near, far []Leaf) {
	for _, l := range all {
		if l.Zone == zone {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	return near, far
}

// pick takes so many of a circle, and one more for each that fails.
func pick(set Settings, group string, all []Leaf, want int, failing func(string) bool) (chosen []string) {
	if want <= 0 || len(all) == 0 {
		return nil
	}
	ring := order(set.Seed, group, all)
	first := min(int(place(set, group)*float64(len(ring))), len(ring)-1)
	seen := map[string]bool{}
	for i := range ring {
		id := ring[(first+i)%len(ring)]
		if want <= 0 {
			break
		}
		if seen[id] {
			continue
		}
		seen[id] = true
		chosen = append(chosen, id)
		if failing == nil || !failing(id) {
			want--
		}
	}
	return chosen
}

// most places that a leaf has on its circle, for its weight.
const mostPlaces = 16

// order is the circle of a group: by hash, the same at all routers and for all orders in which leaves are listed. A leaf stands there as
// often as its weight is that of the lightest.
func order(seed uint64, group string, all []Leaf) (ring []string) {
	weight := func(l Leaf) float64 {
		if !(l.Weight > 0) {
			return 1
		}
		return l.Weight
	}
	least := math.Inf(1)
	for _, l := range all {
		least = min(least, weight(l))
	}
	type stand struct {
		key uint64
		id  string
	}
	var stands []stand
	for _, l := range all {
		for n := range min(max(int(math.Round(weight(l)/least)), 1), mostPlaces) {
			stands = append(stands, stand{hash(seed+uint64(n), group, l.ID), l.ID})
		}
	}
	slices.SortFunc(stands, func(a, b stand) int { return cmp.Or(cmp.Compare(a.key, b.key), strings.Compare(a.id, b.id)) })
	for _, s := range stands {
		ring = append(ring, s.id)
	}
	return ring
}

// place is the router's on a group's circle, from 0 up to 1.
func place(set Settings, group string) float64 {
	turn := float64(hash(set.Seed, group, "")>>11) / (1 << 53)
	_, x := math.Modf(float64(set.Number)*golden + turn)
	return x
}

func hash(seed uint64, group, id string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	h.Write(b[:])
	h.WriteString(group)
	h.Write([]byte{0xff})
	h.WriteString(id)
	return h.Sum64()
}
