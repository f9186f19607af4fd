package plan

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/internal/golden"
)

// TestMain has the draws be the same in each run; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20")
	os.Exit(m.Run())
}

// service is a fleet of leaves with one core each, told by their cells and speeds.
func service(shards, cells, span int, leaves ...fleet.Leaf) *fleet.Fleet {
	f := fleet.Default()
	f.Shards, f.Cells, f.Span = shards, cells, span
	f.Rules.Overhead = 0
	f.Zones = []string{"east", "west"}
	f.Kinds = []fleet.Kind{
		{Name: "one", Cores: 1, Speed: 1},
		{Name: "half", Cores: 1, Speed: 0.5},
		{Name: "two", Cores: 2, Speed: 1},
	}
	f.Routers = []fleet.Routers{{Name: "r", Count: 2, Cores: 1}}
	f.Nodes = []fleet.Node{{Name: "r-0"}, {Name: "r-1", Zone: 1}}
	f.Verticals = []fleet.Vertical{{Name: "all", Need: 1}, {Name: "any", Need: 0.5}}
	f.Leaves = leaves
	for i := range f.Leaves {
		f.Leaves[i].Name = fmt.Sprintf("l%d", i)
	}
	return f
}

func demand(work ...float64) *Demand {
	return &Demand{Seconds: 1, Queries: 1, Parts: 1, Work: work, Tenants: map[string]float64{}}
}

// Cases worked out by hand. Each leaf of kind 0 does 1,000 ms of work a second.
func TestBound(t *testing.T) {
	leaf := func(cell, kind int) fleet.Leaf { return fleet.Leaf{Cell: cell, Kind: kind} }
	for _, c := range []struct {
		name   string
		f      *fleet.Fleet
		d      *Demand
		loss   Loss
		want   float64
		shards []int
		names  string
	}{
		{"one leaf, one shard", service(1, 1, 1, leaf(0, 0)), demand(250), Loss{}, 4, []int{0}, "l0"},
		{"two replicas share", service(1, 1, 1, leaf(0, 0), leaf(0, 0)), demand(250), Loss{}, 8, []int{0}, "l0 l1"},
		{"unlike replicas", service(1, 1, 1, leaf(0, 0), leaf(0, 1)), demand(250), Loss{}, 6, []int{0}, "l0 l1"},
		{"a hot shard binds, leaves elsewhere do not help", service(2, 2, 1, leaf(0, 0), leaf(1, 0), leaf(1, 2), leaf(1, 2)),
			demand(500, 100), Loss{}, 2, []int{0}, "l0"},
		// Span 2: leaf of cell 1 holds cells 1 and 0. Shard 0 can use both, shard 1 only l1 and l2.
		{"a neighbour carries some", service(2, 2, 2, leaf(0, 0), leaf(1, 0)), demand(1500, 500), Loss{}, 1, []int{0, 1}, "l0 l1"},
		{"three cells in a ring", service(3, 3, 2, leaf(0, 0), leaf(1, 0), leaf(2, 0)), demand(900, 0, 0), Loss{}, 2000.0 / 900, []int{0},
			"l0 l1"},
		{"one lost of two", service(1, 1, 1, leaf(0, 0), leaf(0, 0)), demand(250), Loss{Leaves: []int{1}}, 4, []int{0}, "l0"},
		{"all lost", service(1, 1, 1, leaf(0, 0)), demand(250), Loss{Leaves: []int{0}}, 0, []int{0}, "nobody is left that holds the shards"},
		{"no work", service(1, 1, 1, leaf(0, 0)), demand(0), Loss{}, never, nil, ""},
	} {
		got, err := Leaves(c.f, c.d, c.loss)
		if err != nil {
			t.Fatal(c.name, err)
		}
		if math.Abs(got.Multiple-c.want) > 1e-4*c.want+1e-9 || !slices.Equal(got.Shards, c.shards) ||
			strings.Join(got.Names, " ") != c.names {
			t.Errorf("%s: %+v, want %v, %v, %s", c.name, got, c.want, c.shards, c.names)
		}
	}
}

// draw is any small service.
func draw(t *rapid.T) (*fleet.Fleet, *Demand) {
	cells := rapid.IntRange(1, 5).Draw(t, "cells")
	shards := rapid.IntRange(cells, 8).Draw(t, "shards")
	span := rapid.IntRange(1, cells).Draw(t, "span")
	var leaves []fleet.Leaf
	for c := range cells { // each cell is held
		leaves = append(leaves, fleet.Leaf{Cell: c, Kind: rapid.IntRange(0, 2).Draw(t, "kind")})
	}
	for range rapid.IntRange(0, 5).Draw(t, "more") {
		leaves = append(
			leaves,
			fleet.Leaf{
				Cell: rapid.IntRange(0, cells-1).Draw(t, "cell"),
				Kind: rapid.IntRange(0, 2).Draw(t, "kind"),
			},
		)
	}
	work := make([]float64, shards)
	for i := range work {
		work[i] = float64(rapid.IntRange(0, 2000).Draw(t, "work"))
	}
	work[0]++ // some
	return service(shards, cells, span, leaves...), demand(work...)
}

// cut is the bound by the theorem on flows and cuts: the least capacity over work of any shards and all who
// hold them.
func cut(f *fleet.Fleet, d *Demand) float64 {
	least := float64(never)
	for pick := 1; pick < 1<<f.Shards; pick++ {
		work, capacity := 0.0, 0.0
		for s := range f.Shards {
			if pick>>s&1 == 1 {
				work += d.Work[s]
			}
		}
		for i := range f.Leaves {
			for s := range f.Shards {
				if pick>>s&1 == 1 && f.Holds(&f.Leaves[i], s) {
					capacity += Capacity(f, i)
					break
				}
			}
		}
		if work > 0 {
			least = min(least, capacity/work)
		}
	}
	return least
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-4*max(math.Abs(a), math.Abs(b)) }

// The program finds what the theorem says, and the shards that it names are those of the least cut; a further
// leaf never lowers the bound; a leaf split into two halves keeps it; twice the load halves it.
func TestBoundProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, d := draw(t)
		bound := func(f *fleet.Fleet, d *Demand) Limit {
			l, err := Leaves(f, d, Loss{})
			if err != nil {
				t.Fatal(err)
			}
			return l
		}
		limit := bound(f, d)
		if want := cut(f, d); !near(limit.Multiple, want) {
			t.Fatalf("%v, by cuts %v", limit.Multiple, want)
		}
		work, capacity := 0.0, 0.0
		for _, s := range limit.Shards {
			work += d.Work[s]
		}
		for i := range f.Leaves {
			if slices.ContainsFunc(limit.Shards, func(s int) bool { return f.Holds(&f.Leaves[i], s) }) {
				capacity += Capacity(f, i)
			}
		}
		if len(limit.Shards) == 0 || !near(capacity/work, limit.Multiple) {
			t.Fatalf("%v names %v: %v", limit.Multiple, limit.Shards, capacity/work)
		}
		more := f.Clone()
		more.Add(rapid.IntRange(0, 2).Draw(t, "kind"), rapid.IntRange(0, f.Cells-1).Draw(t, "cell"))
		if b := bound(more, d).Multiple; b < limit.Multiple*(1-1e-4) {
			t.Fatalf("a leaf more: %v, was %v", b, limit.Multiple)
		}
		split := f.Clone()
		split.Leaves[0].Kind = 1
		split.Leaves = append(split.Leaves, split.Leaves[0])
		whole := f.Clone()
		whole.Leaves[0].Kind = 0
		if a, b := bound(split, d).Multiple, bound(whole, d).Multiple; !near(a, b) {
			t.Fatalf("split: %v, whole %v", a, b)
		}
		twice := demand(slices.Clone(d.Work)...)
		for i := range twice.Work {
			twice.Work[i] *= 2
		}
		if b := bound(f, twice).Multiple; !near(2*b, limit.Multiple) {
			t.Fatalf("twice the load: %v, was %v", b, limit.Multiple)
		}
	})
}

// What is measured of a capture: any-n queries count with what they need, unknown work is said and not
// guessed.
func TestMeasure(t *testing.T) {
	f := service(4, 2, 1, fleet.Leaf{Cell: 0}, fleet.Leaf{Cell: 1})
	q := func(at int64, vertical string, works ...float64) *capture.Query {
		q := &capture.Query{At: at, Vertical: vertical, Tenant: "t"}
		for i, w := range works {
			q.Parts = append(
				q.Parts,
				capture.Part{Shard: i, Weight: 1 / float64(len(works)), Work: w, Hint: w},
			)
		}
		return q
	}
	all := []*capture.Query{q(0, "all", 10, 20), q(5000, "any", 9, 8, 8, 8), q(9999, "all", 10)}
	d, err := Measure(f, all, 0.5)
	if err != nil {
		t.Fatal(err)
	}
	if d.Queries != 6 || d.Parts != 10 || !slices.Equal(d.Work, []float64{40, 56, 16, 0}) ||
		d.Tenants["t"] != 6 ||
		d.Hot != 1 {
		t.Errorf("%+v", d)
	}
	for _, bad := range [][]*capture.Query{nil, {q(0, "none", 1)}, {q(0, "all", 1, 1, 1, 1, 1)}, {q(0, "all", 0)}} {
		if _, err := Measure(f, bad, 1); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}

// The limits in the order in which they break, and what losses do to them.
func TestLimits(t *testing.T) {
	f := service(
		2,
		2,
		1,
		fleet.Leaf{Cell: 0, Zone: 0},
		fleet.Leaf{Cell: 1, Zone: 0},
		fleet.Leaf{Cell: 0, Zone: 1},
	)
	f.Routers[0].PerQuery, f.Routers[0].PerCall = 1e6, 5e5
	f.Tenants = []fleet.Tenant{
		{Name: "t", PerSecond: 300},
		{Name: "u", PerSecond: 10},
		{Name: "idle", PerSecond: 1},
	}
	d := &Demand{
		Queries: 100,
		Parts:   200,
		Work:    []float64{600, 200},
		Tenants: map[string]float64{"t": 95, "u": 5},
	}
	var out strings.Builder
	for _, text := range []string{"", "leaf=l0", "zone=east", "zone=west", "router=r-1", "zone=north", "leaf=x", "r-1"} {
		loss, err := Without(f, text)
		if text == "" {
			loss, err = Loss{}, nil
		}
		fmt.Fprintf(&out, "without %q: leaves %v, routers %v, %v\n", text, loss.Leaves, loss.Routers, err)
		if err != nil {
			continue
		}
		limits, err := Limits(f, d, loss)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range limits {
			fmt.Fprintf(&out, "  %v, shards %v\n", l, l.Shards)
		}
	}
	golden.Check(t, "limits", out.String())
}

// judged is a judge that serves all up to a utilisation of the binding leaves.
func judged(d *Demand, upTo float64) Judge {
	return func(f *fleet.Fleet, times float64, loss Loss) Verdict {
		l, err := Leaves(f, d, loss)
		if err != nil {
			panic(err)
		}
		return Verdict{Service: min(1, upTo*l.Multiple/times)}
	}
}

func TestGreatest(t *testing.T) {
	f, d := service(1, 1, 1, fleet.Leaf{}), demand(250)
	got, points := Greatest(f, 4, 0.99, Loss{}, judged(d, 0.8))
	if want := 4 * 0.8 / 0.99; got > want || got < want*0.95 || len(points) < 3 || len(points) > mostSteps {
		t.Errorf("%v, want %v; %d points", got, want, len(points))
	}
	if !slices.IsSortedFunc(points, func(a, b Point) int { return int(math.Copysign(1, a.Times-b.Times)) }) {
		t.Error("points out of order")
	}
}

// Leaves are added where they bind and nowhere else, no more than it takes; what no leaf can mend is said to
// be so.
func TestGrow(t *testing.T) {
	f := service(3, 3, 1, fleet.Leaf{Cell: 0}, fleet.Leaf{Cell: 1}, fleet.Leaf{Cell: 2})
	d := demand(900, 100, 100) // shard 0 is hot
	g, err := Grow(f, d, Goal{0.99, 3}, 0, Loss{}, judged(d, 0.85))
	if err != nil {
		t.Fatal(err)
	}
	if g.Total != 3 || g.Added[0] != 3 || len(f.Leaves) != 3 || g.Point.Verdict.Service < 0.99 {
		t.Errorf("%+v", g)
	}
	f.Routers[0].PerQuery = 1e9
	if _, err := Grow(f, d, Goal{0.99, 3}, 0, Loss{}, judged(d, 0.85)); !errors.Is(err, ErrOutOfReach) ||
		!strings.Contains(err.Error(), "router cpu") {
		t.Error(err)
	}
	f.Routers[0].PerQuery = 0
	if _, err := Grow(f, d, Goal{0.99, 3}, 0, Loss{}, func(*fleet.Fleet, float64, Loss) Verdict { return Verdict{Service: 0.5} }); !errors.Is(
		err,
		ErrOutOfReach,
	) {
		t.Error(err)
	}
}

func TestParseGoal(t *testing.T) {
	if g, err := ParseGoal("service>=0.99 at 3x"); err != nil || g != (Goal{0.99, 3}) {
		t.Error(g, err)
	}
	for _, bad := range []string{"", "service>=0.99", "service>=2 at 3x", "service>=0.9 at 3", "latency<=5 at 3x", "service>=0.9 at -1x"} {
		if _, err := ParseGoal(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// Each limit of a router where it is stated and none where it is not, worked out by hand: ten queries a
// second of one part of 99 ms and half a ms each way hold 1 query, or 2 with its part, at once; two routers
// share them.
func TestRouterLimits(t *testing.T) {
	f := service(1, 1, 1, fleet.Leaf{}, fleet.Leaf{})
	f.Links = fleet.Links{Same: 500 * time.Microsecond}
	var all []*capture.Query
	for i := range 100 {
		all = append(
			all,
			&capture.Query{
				At:       int64(i * 1000),
				Vertical: "all",
				Parts:    []capture.Part{{Weight: 1, Work: 99}},
			},
		)
	}
	all[99].At = 99_999 // ten seconds in all
	d, err := Measure(f, all, 1)
	if err != nil {
		t.Fatal(err)
	}
	says := func(loss Loss) string {
		limits, err := Limits(f, d, loss)
		if err != nil {
			t.Fatal(err)
		}
		var words []string
		for _, l := range limits {
			words = append(words, fmt.Sprintf("%s %.1f", l.What, l.Multiple))
		}
		return strings.Join(words, ", ")
	}
	check := func(what, want string, loss Loss) {
		t.Helper()
		if got := says(loss); got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	r := &f.Routers[0]
	check("nothing stated", "leaves 2.0", Loss{})
	r.PerQuery, r.Sockets, r.OpenCap = 10*time.Millisecond, 64, 10
	check(
		"cpu, descriptors, cap",
		"leaves 2.0, router open queries 10.0, router cpu 20.0, router descriptors 32.0",
		Loss{},
	)
	r.PerQuery, r.Sockets, r.OpenCap, r.MemoryMB, r.BaseMB = 0, 0, 0, 64, 14
	check("memory half stated", "leaves 2.0", Loss{})
	r.PerQueryKB = 1024
	check("memory", "leaves 2.0, router memory 100.0", Loss{})
	check("one router fewer", "leaves 2.0, router memory 50.0", Loss{Routers: []int{0}})
	r.MemoryMB = 0
	f.Kinds[0].Connections = 1
	check("a leaf holds one connection, there are two routers", "leaf connections 0.0, leaves 2.0", Loss{})
	check("and one", "leaves 2.0", Loss{Routers: []int{0}})
	f.Kinds[0].Connections, r.Sockets = 0, 4
	check(
		"a router can't hold one to each leaf",
		"leaf connections 0.0, router descriptors 2.0, leaves 2.0",
		Loss{},
	)
	r.Sockets = 0
	// A leaf goes without a word: half of the 0.99 calls out, shared by two routers, a quarter each; a tenth
	// of 5 calls a second in 0.1 s is allowed beside the spare ones.
	f.Rules.BudgetWindow, f.Rules.BudgetRatio, f.Rules.BudgetSpare = 100*time.Millisecond, 0.1, 2
	check("budget", "leaves 1.0, further calls 10.1", Loss{Leaves: []int{1}})
}
