// Package plan says what a fleet can bear: what breaks first, how many leaves a goal takes, what a loss does.
// It is pure: what an emulation says comes by a function that is handed in.
//
// bound.go owns the hard bound: the greatest multiple of a load whose work can be shared out among the leaves
// at all, by a linear program, and the limits of routers and tenants. Tails, queues and decisions only lower
// it. It must never call a fleet sufficient: that is for package plan's judge to say.
package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"moleshift/capture"
	"moleshift/fleet"
)

// Demand is a load in the mean.
type Demand struct {
	Seconds float64
	Queries float64            // a second
	Parts   float64            // leaf calls a second, without further ones
	Work    []float64          // by shard: ms of work a second
	Tenants map[string]float64 // queries a second
	Known   float64            // share of the parts whose work is known, by measure or hint
	Open    float64            // queries open at once, were nothing ever to wait
	Held    float64            // the same of queries and their parts together
	Out     float64            // the same of leaf calls
	Dear    float64            // share of all work that the dearest hundredth of the queries has
	Hot     int                // the shard with the most work
	HotPart float64            // its share of the work
}

// Measure takes the demand of a capture's queries. Any-n queries send only parts that make what they need, at
// the least those with the least hints: a bound must not count more.
func Measure(f *fleet.Fleet, all []*capture.Query, sample float64) (*Demand, error) {
	if len(all) == 0 {
		return nil, fmt.Errorf("the capture holds no query")
	}
	d := &Demand{Work: make([]float64, f.Shards), Tenants: map[string]float64{}}
	first, last := all[0].At, all[0].At
	for _, q := range all {
		first, last = min(first, q.At), max(last, q.At)
	}
	d.Seconds = float64(last-first+1) / 10000
	scale := 1 / (d.Seconds * sample)
	parts, known, total := 0.0, 0.0, 0.0
	fastest := 0.0
	for _, l := range f.Leaves {
		fastest = max(fastest, f.Kinds[l.Kind].Speed)
	}
	costs := make([]float64, 0, len(all))
	for i, q := range all {
		v := f.Vertical(q.Vertical)
		if v < 0 {
			return nil, fmt.Errorf("query %d: the fleet knows no vertical %q", i, q.Vertical)
		}
		need := f.Verticals[v].Need
		if need == 0 {
			need = 1
		}
		order := make([]int, len(q.Parts))
		for j := range order {
			order[j] = j
			if q.Parts[j].Cost() > 0 {
				known++
			}
		}
		slices.SortStableFunc(
			order,
			func(a, b int) int { return cmp.Compare(q.Parts[a].Hint, q.Parts[b].Hint) },
		)
		d.Queries += scale
		d.Tenants[q.Tenant] += scale
		cost, weight, longest := 0.0, 0.0, 0.0
		for _, j := range order {
			p := &q.Parts[j]
			if p.Shard >= f.Shards {
				return nil, fmt.Errorf("query %d: shard %d, the fleet has %d", i, p.Shard, f.Shards)
			}
			parts++
			if weight >= need-1e-4 {
				continue
			}
			weight += p.Weight
			work := p.Cost() + f.Rules.Overhead
			d.Work[p.Shard] += work * scale
			d.Parts += scale
			cost += work
			longest = max(longest, work)
			d.Out += work / max(fastest, 1e-9) / 1000 * scale
		}
		least := longest/max(fastest, 1e-9)/1000 + 2*f.Links.Same.Seconds()
		d.Open += least * scale
		d.Held += least * float64(1+len(q.Parts)) * scale
		costs, total = append(costs, cost), total+cost
	}
	if d.Known = known / max(parts, 1); d.Known < 0.5 {
		return nil, fmt.Errorf(
			"the work of only %.0f%% of the parts is known: hints or measured work are needed",
			100*d.Known,
		)
	}
	slices.SortFunc(costs, func(a, b float64) int { return cmp.Compare(b, a) })
	for _, c := range costs[:max(len(costs)/100, 1)] {
		d.Dear += c / max(total, 1e-9)
	}
	sum := 0.0
	for s, w := range d.Work {
		if sum += w; w > d.Work[d.Hot] {
			d.Hot = s
		}
	}
	d.HotPart = d.Work[d.Hot] / max(sum, 1e-9)
	return d, nil
}

// Loss is what is taken away: leaves and routers by number.
type Loss struct {
	Name    string
	Leaves  []int
	Routers []int
}

// Without reads what is lost: zone=Z, leaf=L or router=R.
func Without(f *fleet.Fleet, text string) (Loss, error) {
	loss := Loss{Name: text}
	kind, name, _ := strings.Cut(text, "=")
	for i, l := range f.Leaves {
		if kind == "zone" && f.Zones[l.Zone] == name || kind == "leaf" && l.Name == name {
			loss.Leaves = append(loss.Leaves, i)
		}
	}
	for i, n := range f.Nodes {
		if kind == "router" &&
			n.Name == name { // routers of a zone that is lost serve nobody, as its clients go elsewhere
			loss.Routers = append(loss.Routers, i)
		}
		if kind == "zone" && f.Zones[n.Zone] == name {
			loss.Routers = append(loss.Routers, i)
		}
	}
	if len(loss.Leaves)+len(loss.Routers) == 0 {
		return loss, fmt.Errorf("%q is no zone=, leaf= or router= of the fleet", text)
	}
	return loss, nil
}

// Limit is one thing that breaks, and at which multiple of the load.
type Limit struct {
	What     string   `json:"what"` // leaves, router cpu, tenant share
	Multiple float64  `json:"multiple"`
	Names    []string `json:"names"` // which of them, at most some
	Shards   []int    `json:"shards,omitempty"`
}

func (l Limit) String() string {
	return fmt.Sprintf("%s at %.2f times the load: %s", l.What, l.Multiple, strings.Join(l.Names, ", "))
}

const (
	never     = 1e6  // a multiple that nothing reaches
	tiny      = 1e-7 // of the sums that the program works with
	mostNamed = 12
)

// set is shards that the same leaves hold: for the program they are one.
type set struct {
	shards []int
	leaves []int // into the list of those that are left
	work   float64
}

// sets groups the shards by who holds them.
func sets(f *fleet.Fleet, d *Demand, left []int) []set {
	var all []set
	index := map[string]int{}
	for shard, work := range d.Work {
		if work <= 0 {
			continue
		}
		var holders []int
		var key strings.Builder
		for i, n := range left {
			if f.Holds(&f.Leaves[n], shard) {
				holders = append(holders, i)
				fmt.Fprintf(&key, "%d ", i)
			}
		}
		i, known := index[key.String()]
		if !known {
			i = len(all)
			index[key.String()] = i
			all = append(all, set{leaves: holders})
		}
		all[i].shards = append(all[i].shards, shard)
		all[i].work += work
	}
	return all
}

// Capacity is what a leaf can do: ms of work a second.
func Capacity(f *fleet.Fleet, leaf int) float64 {
	k := f.Kinds[f.Leaves[leaf].Kind]
	return float64(k.Cores) * k.Speed * 1000
}

// Leaves is the bound by the leaves: how the work of each shard can be shared out among its holders so that
// the greatest multiple of the load fits. maximise m, subject to: for each set of shards, the sum of its
// shares = m times its work; for each leaf, the sum of the shares it carries <= its capacity.
func Leaves(f *fleet.Fleet, d *Demand, loss Loss) (Limit, error) {
	var left []int
	for i := range f.Leaves {
		if !slices.Contains(loss.Leaves, i) {
			left = append(left, i)
		}
	}
	groups := sets(f, d, left)
	if len(groups) == 0 {
		return Limit{What: "leaves", Multiple: never}, nil
	}
	total := 0.0
	for _, g := range groups {
		if len(g.leaves) == 0 {
			return Limit{
				What:   "leaves",
				Names:  []string{"nobody is left that holds the shards"},
				Shards: g.shards,
			}, nil
		}
		total += g.work
	}
	// Columns: a share for each set and holder, the multiple, a slack for each leaf. Work is scaled to 1 in
	// all, as the program's tolerance is absolute.
	shares := 0
	for _, g := range groups {
		shares += len(g.leaves)
	}
	columns, rows := shares+1+len(left), len(groups)+len(left)
	a, b, c := mat.NewDense(rows, columns, nil), make([]float64, rows), make([]float64, columns)
	c[shares] = -1
	at := 0
	capacity := 0.0
	for i, n := range left {
		capacity += Capacity(f, n)
		a.Set(len(groups)+i, shares+1+i, 1)
	}
	for g, group := range groups {
		a.Set(g, shares, -group.work/total)
		for _, l := range group.leaves {
			a.Set(g, at, 1)
			a.Set(len(groups)+l, at, 1)
			at++
		}
	}
	for i, n := range left {
		b[len(groups)+i] = Capacity(f, n) / capacity
	}
	best, x, err := lp.Simplex(c, a, b, tiny/10, nil)
	if err != nil {
		return Limit{}, fmt.Errorf("linear program: %w", err)
	}
	limit := Limit{What: "leaves", Multiple: -best * capacity / total}
	limit.Shards, limit.Names = binding(f, groups, left, x)
	return limit, nil
}

// binding is the set of shards that can't be given more, and the leaves that hold them: those from which no
// leaf with room can be reached by moving shares along. By the theorem on flows and cuts its leaves' capacity
// over its work is the multiple.
func binding(f *fleet.Fleet, groups []set, left []int, x []float64) (shards []int, names []string) {
	room := make([]bool, len(left))
	shares := 0
	for _, g := range groups {
		shares += len(g.leaves)
	}
	for i := range left {
		room[i] = x[shares+1+i] > tiny
	}
	carries := make([][]bool, len(groups)) // by set and position among its leaves
	at := 0
	for g := range groups {
		for range groups[g].leaves {
			carries[g] = append(carries[g], x[at] > tiny)
			at++
		}
	}
	free := make([]bool, len(groups))
	for changed := true; changed; {
		changed = false
		for g, group := range groups {
			if !free[g] && slices.ContainsFunc(group.leaves, func(l int) bool { return room[l] }) {
				free[g], changed = true, true
			}
			if !free[g] {
				continue
			}
			for i, l := range group.leaves { // what it carries here could go elsewhere, so here is room
				if carries[g][i] && !room[l] {
					room[l], changed = true, true
				}
			}
		}
	}
	seen := map[int]bool{}
	for g, group := range groups {
		if free[g] {
			continue
		}
		shards = append(shards, group.shards...)
		for _, l := range group.leaves {
			if !seen[l] {
				seen[l] = true
				names = append(names, f.Leaves[left[l]].Name)
			}
		}
	}
	slices.Sort(shards)
	slices.Sort(names)
	if len(names) > mostNamed {
		names = append(names[:mostNamed], fmt.Sprintf("and %d more", len(names)-mostNamed))
	}
	return shards, names
}

// Limits is all that can be worked out without a run, the first to break first.
func Limits(f *fleet.Fleet, d *Demand, loss Loss) ([]Limit, error) {
	leaves, err := Leaves(f, d, loss)
	if err != nil {
		return nil, err
	}
	all := []Limit{leaves}
	all = append(all, routers(f, d, loss)...)
	for _, t := range f.Tenants {
		if rate := d.Tenants[t.Name]; t.PerSecond > 0 && rate > 0 {
			all = append(
				all,
				Limit{What: "tenant share", Multiple: t.PerSecond / rate, Names: []string{t.Name}},
			)
		}
	}
	slices.SortStableFunc(all, func(a, b Limit) int { return cmp.Compare(a.Multiple, b.Multiple) })
	return all, nil
}
