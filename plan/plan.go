package plan

// plan.go owns the search: what service a load gets, up to which multiple a goal holds, how many leaves it
// takes, what each loss does. What a run would come to is the judge's to say. It must never propose a leaf
// where none is needed: leaves are added only to the cells that bind.

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"moleshift/fleet"
)

// Goal is a share of the requests that must be served at a multiple of the load.
type Goal struct {
	Service float64
	Times   float64
}

// ParseGoal reads a goal such as "service>=0.99 at 3x".
func ParseGoal(text string) (Goal, error) {
	share, times, found := strings.Cut(text, " at ")
	share, is := strings.CutPrefix(strings.TrimSpace(share), "service>=")
	times, x := strings.CutSuffix(strings.TrimSpace(times), "x")
	s, err := strconv.ParseFloat(share, 64)
	t, err2 := strconv.ParseFloat(times, 64)
	if !found || !is || !x || err != nil || err2 != nil || !(s > 0 && s <= 1) || !(t > 0 && t <= 1000) {
		return Goal{}, fmt.Errorf("%q is no goal such as \"service>=0.99 at 3x\"", text)
	}
	return Goal{s, t}, nil
}

// Verdict is what a run came to.
type Verdict struct {
	Service     float64            `json:"service"`
	Spread      float64            `json:"spread"` // between seeds, of the service
	Timely      float64            `json:"timely"`
	ByVertical  map[string]float64 `json:"by_vertical"`
	Mean        float64            `json:"mean_ms"`
	P99         float64            `json:"p99_ms"`
	Utilisation []float64          `json:"-"` // by leaf
	PeakOpen    int                `json:"peak_open"`
	Tries       float64            `json:"tries"` // a request
}

// Judge plays a fleet at a multiple of the load, without what is lost.
type Judge func(f *fleet.Fleet, times float64, loss Loss) Verdict

// Point is one load and what it got.
type Point struct {
	Times   float64 `json:"times"`
	Verdict Verdict `json:"verdict"`
}

const (
	finest     = 0.02 // of a multiple, to which the greatest is searched
	mostSteps  = 12
	mostAdded  = 2000
	firstTry   = 0.9 // utilisation of the binding leaves that the search for leaves tries first
	tryLess    = 0.05
	leastTried = 0.5
)

// Greatest is the greatest multiple of the load at which the goal's service is had, with the points that were
// tried. The hard bound is where the search starts: nothing above it can last.
func Greatest(f *fleet.Fleet, bound float64, service float64, loss Loss, judge Judge) (float64, []Point) {
	var points []Point
	try := func(times float64) bool {
		v := judge(f, times, loss)
		points = append(points, Point{times, v})
		return v.Service >= service
	}
	low, high := 0.0, bound*1.1
	if bound <= 0 {
		return 0, nil
	}
	for step := 0; step < mostSteps && high-low > finest*high; step++ {
		middle := (low + high) / 2
		if step == 0 {
			middle = bound * firstTry
		}
		if try(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	slices.SortFunc(points, func(a, b Point) int {
		return int(math.Copysign(1, a.Times-b.Times))
	})
	return low, points
}

// Grown is a fleet with leaves added.
type Grown struct {
	Fleet *fleet.Fleet
	Added map[int]int // by cell
	Total int
	Point Point
	Limit Limit // what binds now
}

// ErrOutOfReach: no number of leaves reaches the goal. The text says what stands in the way.
var ErrOutOfReach = errors.New("the goal is out of reach")

// Grow adds leaves of a kind until the goal is had: first as many as the bound asks for at a utilisation, to
// the cells that bind, then, while the judge says that it is not enough, as many as a lower utilisation asks
// for.
func Grow(f *fleet.Fleet, d *Demand, goal Goal, kind int, loss Loss, judge Judge) (*Grown, error) {
	limits, err := Limits(f, d, loss)
	if err != nil {
		return nil, err
	}
	for _, l := range limits {
		if strings.HasPrefix(l.What, "router ") && l.Multiple < goal.Times {
			return nil, fmt.Errorf("%w: %s", ErrOutOfReach, l)
		}
	}
	g := &Grown{Fleet: f.Clone(), Added: map[int]int{}}
	for use := firstTry; use >= leastTried; use -= tryLess {
		if err := g.until(d, goal.Times/use, kind, loss); err != nil {
			return nil, err
		}
		g.Point = Point{goal.Times, judge(g.Fleet, goal.Times, loss)}
		if g.Point.Verdict.Service >= goal.Service {
			g.Limit, err = Leaves(g.Fleet, d, loss)
			return g, err
		}
	}
	return nil, fmt.Errorf(
		"%w: with %d leaves more, at %.0f%% of what they can do, service is still %.4f: it is not the leaves that stand "+
			"in the way",
		ErrOutOfReach,
		g.Total,
		100*leastTried,
		g.Point.Verdict.Service,
	)
}

// until adds leaves to the cells that bind until the bound is high enough.
func (g *Grown) until(d *Demand, times float64, kind int, loss Loss) error {
	for {
		limit, err := Leaves(g.Fleet, d, loss)
		if err != nil {
			return err
		}
		if limit.Multiple >= times || len(limit.Shards) == 0 {
			return nil
		}
		if g.Total >= mostAdded {
			return fmt.Errorf("%w: %d leaves more are not enough", ErrOutOfReach, g.Total)
		}
		cell, most := 0, -1.0
		load := map[int]float64{}
		for _, s := range limit.Shards {
			c := s % g.Fleet.Cells
			if load[c] += d.Work[s]; load[c] > most {
				cell, most = c, load[c]
			}
		}
		g.Fleet.Add(kind, cell)
		g.Added[cell]++
		g.Total++
	}
}
