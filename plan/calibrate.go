package plan

// calibrate.go owns what a live capture tells of work: clients' hints are guesses, and many send none, but a
// call that found a core of its leaf free took its link, its overhead and its own work, and nothing else. It
// must never take the wait in a queue for work, and never fill in a figure that too few calls bear out.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"moleshift/capture"
	"moleshift/choice"
	"moleshift/fleet"
)

const (
	leastFree  = 20 // calls that found a core free, before their mean stands for others
	leastShard = 8  // the same, of one vertical and shard
	leastLeaf  = 15 // calls of a leaf before its speed is told
	oddSpeed   = 0.1
)

// Source tells where a part's work comes from.
type Source int

const (
	Measured Source = iota // a call of its own found a core free
	ByHint                 // its hint, times what hints of its vertical were off by
	ByShard                // the mean of its vertical and shard
	ByVertical
	Nowhere
	sources
)

func (s Source) String() string {
	return [...]string{"measured", "by hint", "by shard", "by vertical", "not known"}[s]
}

// Calibration is what a capture says of work and of leaves.
type Calibration struct {
	Parts    [sources]int
	Calls    int // that ended well
	Free     int // of those, that found a core free
	Hints    []HintError
	Leaves   []LeafSpeed
	Unlisted []string // leaves that the fleet's description lacks; their calls are left out
}

// HintError is how far hints of a vertical are off: work is Factor times the hint in the mean.
type HintError struct {
	Vertical string
	Calls    int
	Factor   float64
}

// LeafSpeed is how fast a leaf was, against what its kind is said to be. Error is that of the mean.
type LeafSpeed struct {
	Leaf   string
	Calls  int
	Factor float64 // 1: as described
	Error  float64
}

// Odd tells whether a leaf's speed differs from its description by more than a tenth, and by more than
// chance.
func (l LeafSpeed) Odd() bool {
	return math.Abs(l.Factor-1) > oddSpeed && math.Abs(l.Factor-1) > 3*l.Error
}

// mean sums up.
type mean struct {
	n           int
	sum, square float64
}

func (m *mean) add(x float64) { m.n, m.sum, m.square = m.n+1, m.sum+x, m.square+x*x }

func (m *mean) mean() float64 { return m.sum / float64(max(m.n, 1)) }

// err is the standard error of the mean.
func (m *mean) err() float64 {
	if m.n < 2 {
		return math.Inf(1)
	}
	v := m.square/float64(m.n) - m.mean()*m.mean()
	return math.Sqrt(max(v, 0) / float64(m.n-1))
}

// out is one call at a leaf, as the capture has it.
type out struct {
	part       *capture.Part
	query      *capture.Query
	begin, end int64
	leaf       int
	good       bool
	free       bool // it found a core free
	work       float64
}

// Calibrate works out the work of each part from the calls that a capture holds, and writes it into the
// parts. Calls of other routers are in it only if their captures were merged: without them leaves look idler
// than they were, so merge first. Hints may be left out of it where they are known to be worth nothing.
func Calibrate(f *fleet.Fleet, all []*capture.Query, sample float64, hints bool) (*Calibration, error) {
	if sample < 1 {
		return nil, fmt.Errorf(
			"the capture holds only %.0f%% of the queries: who else was at a leaf can't be told; record with sample: 1",
			100*sample,
		)
	}
	c := &Calibration{}
	calls := c.gather(f, all)
	if c.Calls == 0 {
		return nil, fmt.Errorf("the capture holds no leaf call that ended well")
	}
	c.markFree(f, calls)
	if c.Free < leastFree {
		return nil, fmt.Errorf(
			"only %d of %d calls found a core of their leaf free: record at a quieter hour",
			c.Free,
			c.Calls,
		)
	}
	type place struct {
		vertical string
		shard    int
	}
	byShard, byVertical := map[place]*mean{}, map[string]*mean{}
	worked, hinted := map[string]float64{}, map[string]float64{}
	counted := map[string]int{}
	measured := map[*capture.Part]float64{}
	one := func(m *mean, x float64) *mean {
		if m == nil {
			m = new(mean)
		}
		m.add(x)
		return m
	}
	for i := range calls {
		o := &calls[i]
		if !o.free {
			continue
		}
		v := o.query.Vertical
		byShard[place{v, o.part.Shard}] = one(byShard[place{v, o.part.Shard}], o.work)
		byVertical[v] = one(byVertical[v], o.work)
		if _, known := measured[o.part]; !known {
			measured[o.part] = o.work
		}
		if hints && o.part.Hint > 0 {
			worked[v], hinted[v], counted[v] = worked[v]+o.work, hinted[v]+o.part.Hint, counted[v]+1
		}
	}
	for v, n := range counted {
		if n >= leastFree {
			c.Hints = append(c.Hints, HintError{v, n, worked[v] / hinted[v]})
		}
	}
	slices.SortFunc(c.Hints, func(a, b HintError) int { return cmp.Compare(a.Vertical, b.Vertical) })
	expect := func(q *capture.Query, p *capture.Part) (float64, Source) {
		if i := slices.IndexFunc(c.Hints, func(h HintError) bool { return h.Vertical == q.Vertical }); i >= 0 &&
			p.Hint > 0 {
			return p.Hint * c.Hints[i].Factor, ByHint
		}
		if m := byShard[place{q.Vertical, p.Shard}]; m != nil && m.n >= leastShard {
			return m.mean(), ByShard
		}
		if m := byVertical[q.Vertical]; m != nil && m.n >= leastFree {
			return m.mean(), ByVertical
		}
		return 0, Nowhere
	}
	c.speeds(f, calls, expect)
	for _, q := range all {
		for i := range q.Parts {
			p := &q.Parts[i]
			work, source := expect(q, p)
			if m, known := measured[p]; known {
				work, source = m, Measured
			}
			c.Parts[source]++
			if p.Work = work; !hints {
				p.Hint = 0
			}
		}
	}
	return c, nil
}

// gather lists the calls of all leaves that the description knows, by their beginning.
func (c *Calibration) gather(f *fleet.Fleet, all []*capture.Query) (calls []out) {
	number := map[string]int{}
	for i, l := range f.Leaves {
		number[l.Name] = i
	}
	for _, q := range all {
		for i := range q.Parts {
			p := &q.Parts[i]
			for _, k := range p.Calls {
				leaf, known := number[k.Leaf]
				if !known {
					if i, found := slices.BinarySearch(c.Unlisted, k.Leaf); !found {
						c.Unlisted = slices.Insert(c.Unlisted, i, k.Leaf)
					}
					continue
				}
				o := out{part: p, query: q, begin: q.At + k.Sent, end: q.At + k.Sent + k.Took, leaf: leaf,
					good: choice.Outcome(k.Outcome) == choice.OK}
				if o.good {
					c.Calls++
				}
				calls = append(calls, o)
			}
		}
	}
	slices.SortStableFunc(calls, func(a, b out) int { return cmp.Compare(a.begin, b.begin) })
	return calls
}

// markFree finds the calls that began at once: leaves serve first come first, so those that came later do not
// matter, and what was given up or lost may be at work for long after the root has forgotten it: for a while
// after such a call nothing is sure.
func (c *Calibration) markFree(f *fleet.Fleet, calls []out) {
	at := make([][]int64, len(f.Leaves)) // ends of what is out
	unsure := make([]int64, len(f.Leaves))
	link := 2 * f.Links.Same.Seconds() * 1000
	for i := range calls {
		o := &calls[i]
		at[o.leaf] = slices.DeleteFunc(at[o.leaf], func(end int64) bool { return end <= o.begin })
		kind := f.Kinds[f.Leaves[o.leaf].Kind]
		if !o.good {
			unsure[o.leaf] = max(unsure[o.leaf], o.end+2*(o.end-o.begin))
		} else if len(at[o.leaf]) < kind.Cores && o.begin >= unsure[o.leaf] {
			ms := float64(o.end-o.begin) / 10
			o.free, o.work = true, max((ms-link)*kind.Speed-f.Rules.Overhead, 0)
			c.Free++
		}
		at[o.leaf] = append(at[o.leaf], o.end)
	}
}

// speeds compares what each leaf took with what its calls' work is otherwise thought to be.
func (c *Calibration) speeds(
	f *fleet.Fleet,
	calls []out,
	expect func(*capture.Query, *capture.Part) (float64, Source),
) {
	took, thought := make([]mean, len(f.Leaves)), make([]mean, len(f.Leaves))
	ratio := make([]mean, len(f.Leaves))
	for i := range calls {
		o := &calls[i]
		if !o.free {
			continue
		}
		if x, source := expect(o.query, o.part); source != Nowhere && x > 0 {
			took[o.leaf].add(o.work)
			thought[o.leaf].add(x)
			ratio[o.leaf].add(o.work / x)
		}
	}
	for i, l := range f.Leaves {
		if n := took[i].n; n >= leastLeaf && took[i].sum > 0 {
			factor := thought[i].sum / took[i].sum
			c.Leaves = append(
				c.Leaves,
				LeafSpeed{l.Name, n, factor, factor * ratio[i].err() / max(ratio[i].mean(), 1e-9)},
			)
		}
	}
}
