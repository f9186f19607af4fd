package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"moleshift/capture"
	"moleshift/fleet"
)

// record plays calls at leaves that serve first come first, one part a core, and writes down what a router's
// capture would hold. Leaf 1 has half the speed that its kind is said to have.
func record(f *fleet.Fleet, seconds int, rate, hint float64) (all []*capture.Query, work []float64) {
	rng := rand.New(rand.NewPCG(4, 2))
	cores := make([][]float64, len(f.Leaves)) // when each is free, ms
	for i, l := range f.Leaves {
		cores[i] = make([]float64, f.Kinds[l.Kind].Cores)
	}
	work = make([]float64, f.Shards)
	for at := 0.0; at < float64(seconds)*1000; at += rng.ExpFloat64() * 1000 / rate {
		shard := rng.IntN(f.Shards)
		ms := rng.ExpFloat64() * float64(4+4*shard)
		leaf := 0
		for {
			if leaf = rng.IntN(len(f.Leaves)); f.Holds(&f.Leaves[leaf], shard) {
				break
			}
		}
		speed := f.Kinds[f.Leaves[leaf].Kind].Speed
		if leaf == 1 {
			speed /= 2
		}
		work[shard] += ms
		arrives := at + f.Links.Same.Seconds()*1000
		slices.Sort(cores[leaf])
		end := max(arrives, cores[leaf][0]) + (ms+f.Rules.Overhead)/speed
		cores[leaf][0] = end
		took := int64((end - at + f.Links.Same.Seconds()*1000) * 10)
		all = append(
			all,
			&capture.Query{
				At:       int64(at * 10),
				Vertical: "all",
				Parts: []capture.Part{{Shard: shard, Weight: 1, Hint: ms * hint,
					Calls: []capture.Call{{Leaf: f.Leaves[leaf].Name, Took: took}}}},
			},
		)
	}
	return all, work
}

// From calls alone, and from hints that are off by a factor of three, work comes out right, and the slow leaf
// is named.
func TestCalibrate(t *testing.T) {
	for _, c := range []struct {
		hint  float64
		hints bool
	}{{0, true}, {3, true}, {3, false}} {
		f := service(
			4,
			2,
			2,
			fleet.Leaf{Cell: 0, Kind: 2},
			fleet.Leaf{Cell: 1, Kind: 2},
			fleet.Leaf{Cell: 0, Kind: 2},
			fleet.Leaf{Cell: 1, Kind: 2},
		)
		f.Rules.Overhead = 0.5
		all, work := record(f, 120, 200, c.hint)
		got, err := Calibrate(f, all, 1, c.hints)
		if err != nil {
			t.Fatal(err)
		}
		sums, total, want := make([]float64, f.Shards), 0.0, 0.0
		for _, q := range all {
			sums[q.Parts[0].Shard] += q.Parts[0].Work
			total += q.Parts[0].Work
		}
		for _, w := range work {
			want += w
		}
		// The slow leaf's own calls count at its kind's speed: with it as a quarter of all, work comes out an
		// eighth higher at most, and by no more where hints tell the parts apart.
		if total < 0.97*want || total > 1.3*want {
			t.Errorf("hint %g: work %.0f of %.0f", c.hint, total, want)
		}
		var odd []string
		for _, l := range got.Leaves {
			if l.Odd() && l.Factor < 0.8 {
				odd = append(odd, l.Leaf)
			}
		}
		if strings.Join(odd, " ") != "l1" {
			t.Errorf("hint %g: slow leaves %v of %+v", c.hint, odd, got.Leaves)
		}
		if c.hint > 0 && c.hints && (len(got.Hints) != 1 || math.Abs(got.Hints[0].Factor*3-1) > 0.3) {
			t.Errorf("hints %+v", got.Hints)
		}
		if c.hint > 0 && c.hints == (got.Parts[ByHint] == 0) || got.Parts[Nowhere] > 0 {
			t.Errorf("sources %v", got.Parts)
		}
	}
}

// What nobody can tell is refused, with what to do.
func TestCalibrateFaults(t *testing.T) {
	f := service(1, 1, 1, fleet.Leaf{})
	q := func(at int64, leaf string, outcome uint8) *capture.Query {
		return &capture.Query{
			At:       at,
			Vertical: "all",
			Parts: []capture.Part{
				{Weight: 1, Calls: []capture.Call{{Leaf: leaf, Took: 100, Outcome: outcome}}},
			},
		}
	}
	busy := func() (all []*capture.Query) { // from the first call on its one core is never free
		for i := range int64(50) {
			all = append(all, q(i*50, "l0", 0))
		}
		return all
	}
	for _, c := range []struct {
		all    []*capture.Query
		sample float64
		says   string
	}{{nil, 0.5, "record with sample: 1"}, {nil, 1, "no leaf call"}, {[]*capture.Query{q(0, "other", 0)}, 1, "no leaf call"},
		{[]*capture.Query{q(0, "l0", 3)}, 1, "no leaf call"}, {busy(), 1, "quieter hour"}} {
		if _, err := Calibrate(f, c.all, c.sample, true); err == nil ||
			!strings.Contains(err.Error(), c.says) {
			t.Errorf("%v, not %q", err, c.says)
		}
	}
	if s := fmt.Sprint(Measured, Nowhere); s != "measured not known" {
		t.Error(s)
	}
}
