// Package spread measures how evenly many routers use leaves, against baselines that exist here alone.
//
// subset.go owns the comparison of ways in which routers choose the leaves that they hold connections to. It must never be linked by
// the daemon, whose way is package subset.
package spread

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"

	"moleshift/subset"
)

// way chooses the leaves of one group for a router.
type way struct {
	Name   string
	choose func(set subset.Settings, all []subset.Leaf) []string
}

// ways are those that are compared: one group, so that nothing but the way counts.
var ways = []way{
	{"random", func(set subset.Settings, all []subset.Leaf) (ids []string) {
		rng := rand.New(rand.NewPCG(set.Seed, uint64(set.Number)))
		for _, i := range rng.Perm(len(all))[:min(set.Leaves, len(all))] {
			ids = append(ids, all[i].ID)
		}
		return ids
	}},
	{"shuffled rounds", rounds},
	{"rendezvous", rendezvous},
	{"circle, golden places", func(set subset.Settings, all []subset.Leaf) []string { return subset.Choose(set, all, nil) }},
}

// rounds deals all leaves out, shuffled anew for as many routers as one deal serves (Site Reliability Engineering, 2016, chapter 20).
func rounds(set subset.Settings, all []subset.Leaf) (ids []string) {
	k := min(set.Leaves, len(all))
	deals := len(all) / k
	rng := rand.New(rand.NewPCG(set.Seed, uint64(set.Number/deals)))
	order := rng.Perm(len(all))
	at := set.Number % deals * k
	for _, i := range order[at : at+k] {
		ids = append(ids, all[i].ID)
	}
	return ids
}

// rendezvous takes those of highest weighted score (Thaler and Ravishankar, 1998; Schindelhauer and Schomaker, 2005, for weights).
func rendezvous(set subset.Settings, all []subset.Leaf) (ids []string) {
	type scored struct {
		id    string
		score float64
	}
	var list []scored
	for _, l := range all {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:], set.Seed)
		binary.LittleEndian.PutUint64(b[8:], uint64(set.Number))
		x := (float64(xxhash.Sum64(append(b[:], l.ID...))>>11) + 0.5) / (1 << 53)
		w := l.Weight
		if w <= 0 {
			w = 1
		}
		list = append(list, scored{l.ID, -w / math.Log(x)})
	}
	slices.SortFunc(list, func(a, b scored) int { return -cmpFloat(a.score, b.score) })
	for _, s := range list[:min(set.Leaves, len(list))] {
		ids = append(ids, s.id)
	}
	return ids
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Held is what one way comes to in one fleet.
type Held struct {
	Way     string  `json:"way"`
	Routers int     `json:"routers"`
	Leaves  int     `json:"leaves"`
	Least   float64 `json:"holders_least"` // of the fair number
	Most    float64 `json:"holders_most"`
	Nobody  int     `json:"held_by_nobody"`
	LeafGo  float64 `json:"new_as_a_leaf_goes"`     // leaves that a router holds newly, on average
	Joins   float64 `json:"new_as_a_router_joins"`  // the same, over routers that were there
	Weighed float64 `json:"weighed_most_off_ratio"` // largest holders/fair where a third of the leaves weigh three times the rest
}

// Subsets compares the ways.
func Subsets(routers, leaves, each int, seed uint64) (all []Held) {
	group := make([]subset.Leaf, leaves)
	weighed := make([]subset.Leaf, leaves)
	total := 0.0
	for i := range group {
		group[i] = subset.Leaf{ID: fmt.Sprintf("l-%d", i), Group: "g", Weight: 1}
		weighed[i] = group[i]
		if i%3 == 0 {
			weighed[i].Weight = 3
		}
		total += weighed[i].Weight
	}
	for _, w := range ways {
		set := subset.Settings{Routers: routers, Leaves: each, Seed: seed}
		h := Held{Way: w.Name, Routers: routers, Leaves: leaves, Least: math.Inf(1)}
		count, heavy := map[string]int{}, map[string]int{}
		fewer := slices.Delete(slices.Clone(group), leaves/2, leaves/2+1)
		for r := range routers {
			set.Number = r
			was := w.choose(set, group)
			for _, id := range was {
				count[id]++
			}
			for _, id := range w.choose(set, weighed) {
				heavy[id]++
			}
			more := set
			more.Routers++
			h.LeafGo += float64(fresh(was, w.choose(set, fewer))) / float64(routers)
			h.Joins += float64(fresh(was, w.choose(more, group))) / float64(routers)
		}
		fair := float64(routers*min(each, leaves)) / float64(leaves)
		for i, l := range group {
			n := float64(count[l.ID]) / fair
			h.Least, h.Most = min(h.Least, n), max(h.Most, n)
			if count[l.ID] == 0 {
				h.Nobody++
			}
			want := float64(routers*min(each, leaves)) * weighed[i].Weight / total
			h.Weighed = max(h.Weighed, float64(heavy[l.ID])/want)
		}
		all = append(all, h)
	}
	return all
}

func fresh(before, after []string) (n int) {
	for _, id := range after {
		if !slices.Contains(before, id) {
			n++
		}
	}
	return n
}

// SubsetTable tells people.
func SubsetTable(out io.Writer, all []Held) {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "routers\tleaves\tway\tleast held\tmost held\theld by nobody\tnew as a leaf goes\tnew as a router joins\tby weight, most\t\n")
	for _, h := range all {
		fmt.Fprintf(t, "%d\t%d\t%s\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.2f\t\n", h.Routers, h.Leaves, h.Way, h.Least, h.Most, h.Nobody, h.LeafGo, h.Joins,
			h.Weighed)
	}
	t.Flush()
}
