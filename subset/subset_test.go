package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleet(groups, each int, weights func(i int) float64) (all []Leaf) {
	for g := range groups {
		for i := range each {
			all = append(all, Leaf{ID: fmt.Sprintf("l-%d-%d", g, i), Group: fmt.Sprint("g", g), Zone: fmt.Sprint("z", i%3), Weight: weights(i)})
		}
	}
	return all
}

func one(int) float64 { return 1 }

// holders counts, for each leaf, the routers that hold it.
func holders(set Settings, all []Leaf) map[string]int {
	n := map[string]int{}
	for r := range set.Routers {
		set.Number = r
		for _, id := range Choose(set, all, nil) {
			n[id]++
		}
	}
	return n
}

// Whatever the fleet: each group has as many as it should, in whatever order leaves are listed; one that fails brings one more of its
// group, as long as there is one; and nothing is held twice.
func TestCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(1, 6).Draw(t, "groups"), rapid.IntRange(1, 20).Draw(t, "each"), func(i int) float64 {
			return float64(rapid.IntRange(0, 4).Draw(t, "weight"))
		})
		set := Settings{Routers: rapid.IntRange(1, 300).Draw(t, "routers"), Leaves: rapid.IntRange(1, 8).Draw(t, "leaves"),
			Seed: rapid.Uint64().Draw(t, "seed")}
		set.Number = rapid.IntRange(0, set.Routers-1).Draw(t, "number")
		if rapid.Bool().Draw(t, "zoned") {
			set.Zone = "z1"
		}
		bad := map[string]bool{}
		for range rapid.IntRange(0, 5).Draw(t, "failing") {
			bad[all[rapid.IntRange(0, len(all)-1).Draw(t, "which")].ID] = true
		}
		got := Choose(set, all, func(id string) bool { return bad[id] })
		if len(slices.Compact(slices.Clone(got))) != len(got) {
			t.Fatalf("one stands twice: %v", got)
		}
		well, have, there := map[string]int{}, map[string]int{}, map[string]int{}
		for _, l := range all {
			there[l.Group]++
			if !bad[l.ID] {
				well[l.Group]++
			}
			if slices.Contains(got, l.ID) && !bad[l.ID] {
				have[l.Group]++
			}
		}
		for g, n := range there {
			if want := min(set.Leaves, n, well[g]); have[g] < want && set.Zone == "" {
				t.Errorf("group %s: %d that are well, %d wanted: %v", g, have[g], want, got)
			}
		}
		shuffled := slices.Clone(all)
		rand.New(rand.NewPCG(set.Seed, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if again := Choose(set, shuffled, func(id string) bool { return bad[id] }); !slices.Equal(got, again) {
			t.Errorf("%v, and in another order %v", got, again)
		}
	})
}

// Every leaf is held by about as many routers as its weight asks for: within three of the fair number, or a tenth, whatever the numbers.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := rapid.IntRange(2, 40).Draw(t, "each")
		set := Settings{Routers: rapid.IntRange(1, 400).Draw(t, "routers"), Leaves: rapid.IntRange(1, 6).Draw(t, "leaves"),
			Seed: rapid.Uint64().Draw(t, "seed")}
		all := fleet(2, each, one)
		fair := float64(set.Routers*min(set.Leaves, each)) / float64(each)
		for id, n := range holders(set, all) {
			if off := float64(n) - fair; off > max(4, fair/10) || off < -max(4, fair/10) {
				t.Errorf("%s is held by %d of %d routers, %.1f were fair", id, n, set.Routers, fair)
			}
		}
	})
}

// A leaf of three times the weight is held by more routers, though by less than three times as many where groups are small: a router
// holds it once.
func TestWeight(t *testing.T) {
	all := fleet(1, 30, func(i int) float64 { return 1 + 2*float64(min(i%3, 1)) }) // 1, 3, 3
	n := holders(Settings{Routers: 300, Leaves: 3, Seed: 3}, all)
	light, heavy := 0.0, 0.0
	for i, l := range all {
		if i%3 == 0 {
			light += float64(n[l.ID]) / 10
		} else {
			heavy += float64(n[l.ID]) / 20
		}
	}
	if heavy < 2*light || heavy > 3.5*light {
		t.Errorf("heavy leaves have %.1f holders, light ones %.1f", heavy, light)
	}
}

// A leaf that goes changes little of what routers hold beside it: on average less than one of their other leaves for each group.
func TestChurn(t *testing.T) {
	for _, each := range []int{5, 12, 40} {
		all := fleet(3, each, one)
		set := Settings{Routers: 300, Leaves: 4, Seed: 7}
		changed, kept := 0, 0
		for r := range set.Routers {
			set.Number = r
			before := Choose(set, all, nil)
			after := Choose(set, slices.Delete(slices.Clone(all), 2, 3), nil)
			for _, id := range after {
				if slices.Contains(before, id) {
					kept++
				} else {
					changed++
				}
			}
		}
		if mean := float64(changed) / 300; mean > 1.2 {
			t.Errorf("groups of %d: %.2f new leaves a router as one goes (%d kept)", each, mean, kept)
		}
	}
}

// A leaf that fails brings another at once; it is let go only once the first has worked for a while, and not while it comes and goes.
func TestKeeper(t *testing.T) {
	k := NewKeeper(Settings{Routers: 1, Leaves: 2, Seed: 1})
	if !k.List(0, fleet(1, 5, one)) || len(k.Chosen()) != 2 {
		t.Fatal(k.Chosen())
	}
	before := k.Chosen()
	id := before[0]
	if !k.Failed(1, id) || k.Failed(2, id) || len(k.Chosen()) != 3 || !k.Holds(id) {
		t.Errorf("failing: %v", k.Chosen())
	}
	k.Worked(10, id)
	k.Failed(20, id)
	if k.Worked(30, id) || k.Worked(30+calm-1, id) || len(k.Chosen()) != 3 {
		t.Errorf("just back: %v", k.Chosen())
	}
	if !k.Worked(31+calm, id) || !slices.Equal(k.Chosen(), before) {
		t.Errorf("back: %v, before %v", k.Chosen(), before)
	}
	if k.Failed(40+calm, "unknown") || k.List(50+calm, fleet(1, 5, one)) {
		t.Error("changed by nothing")
	}
}
