// Package planner puts package plan to work: its judge is the emulation, run for several seeds, and what it finds is put together
// as a study. It must never decide what a goal takes: that is plan's.
package planner

import (
	"cmp"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/lab/emulate"
	"moleshift/plan"
)

// Options is what is asked.
type Options struct {
	Fleet   *fleet.Fleet
	Queries []*capture.Query
	Sample  float64
	Goal    plan.Goal
	Without []string
	Grow    string // kind of leaf to add; empty: the first
	Seeds   int
	Seed    uint64
	Warm    time.Duration
	Tell    func(what string) // progress; may be nil
}

// Study is all that was found.
type Study struct {
	Demand  *plan.Demand
	Limits  []plan.Limit
	Now     plan.Verdict // at the load as captured
	AtGoal  plan.Verdict
	Reached bool
	Most    float64 // the greatest multiple at which the goal's service is had
	Points  []plan.Point
	Grown   *plan.Grown // nil where nothing is needed or nothing helps
	Out     error       // why no number of leaves reaches the goal
	Losses  []Lost
	Assumes []string
}

// Lost is what one loss does.
type Lost struct {
	Loss    plan.Loss
	Bound   plan.Limit
	Verdict plan.Verdict // at the load as captured
	Played  bool
}

// shown are shares of the bound that are played beside those that the search tries, so that a plot shows the whole curve.
var shown = []float64{0.25, 0.5, 0.75, 1.15, 1.3}

const (
	leastQueries = 1000
	worstLeaves  = 2 // losses of single leaves that are played; the others are bounded only
)

// Judge is the emulation as plan's judge.
func (o *Options) Judge() plan.Judge {
	return func(f *fleet.Fleet, times float64, loss plan.Loss) plan.Verdict {
		o.tell(fmt.Sprintf("emulating %d leaves at %.2f times the load %s", len(f.Leaves)-len(loss.Leaves), times, loss.Name))
		results := make([]*emulate.Result, o.Seeds)
		var group errgroup.Group
		group.SetLimit(runtime.GOMAXPROCS(0))
		for i := range o.Seeds {
			group.Go(func() error {
				results[i] = o.play(f, times, loss, o.Seed+uint64(i))
				return nil
			})
		}
		group.Wait()
		return verdict(results)
	}
}

func (o *Options) tell(what string) {
	if o.Tell != nil {
		o.Tell(what)
	}
}

// play plays the captured load once, so many times over.
func (o *Options) play(f *fleet.Fleet, times float64, loss plan.Loss, seed uint64) *emulate.Result {
	queries := capture.Scale(o.Queries, times/o.Sample, "", "", seed)
	next := 0
	var events []emulate.Event
	for _, l := range loss.Leaves {
		events = append(events, emulate.Event{Leaf: l, Do: emulate.Retired})
	}
	for _, r := range loss.Routers {
		events = append(events, emulate.Event{Leaf: -1, Router: r, Do: emulate.Down})
	}
	return emulate.Run(emulate.Options{Fleet: f, Seed: seed, Warm: fleet.Tenths(o.Warm), Events: events, Load: func() *capture.Query {
		if next >= len(queries) {
			return nil
		}
		next++
		return queries[next-1]
	}})
}

// verdict is the mean over seeds, with how far they lie apart.
func verdict(results []*emulate.Result) plan.Verdict {
	v := plan.Verdict{ByVertical: map[string]float64{}}
	n := float64(len(results))
	least, most := 2.0, -1.0
	for _, r := range results {
		s := r.Service()
		least, most = min(least, s), max(most, s)
		v.Service += s / n
		v.Timely += r.Timely() / n
		requests, tries := 0, 0
		for i := range r.Verticals {
			one := &r.Verticals[i]
			v.ByVertical[one.Name] += one.Service() / n
			requests, tries = requests+one.Requests, tries+one.Tries
			if one.Requests > 0 {
				v.P99 = max(v.P99, float64(one.Latency.ValueAtQuantile(99))/10)
				v.Mean += one.Latency.Mean() / 10 * float64(one.Requests) / n
			}
		}
		v.Tries += float64(tries) / float64(max(requests, 1)) / n
		if v.Utilisation == nil {
			v.Utilisation = make([]float64, len(r.Leaves))
		}
		for i, l := range r.Leaves {
			v.Utilisation[i] += l.Utilisation / n
		}
		for _, node := range r.Routers {
			v.PeakOpen = max(v.PeakOpen, node.PeakOpen)
		}
	}
	total := 0
	for i := range results[0].Verticals {
		total += results[0].Verticals[i].Requests
	}
	v.Mean /= float64(max(total, 1))
	v.Spread = most - least
	return v
}

// Run makes the study.
func Run(o Options) (*Study, error) {
	if len(o.Queries) < leastQueries {
		return nil, fmt.Errorf("the capture holds %d queries: too short to plan by, %d are needed", len(o.Queries), leastQueries)
	}
	d, err := plan.Measure(o.Fleet, o.Queries, o.Sample)
	if err != nil {
		return nil, err
	}
	if d.Seconds < 2*o.Warm.Seconds() {
		return nil, fmt.Errorf("the capture is %.1f s long: too short for a warm-up of %v", d.Seconds, o.Warm)
	}
	s := &Study{Demand: d}
	if s.Limits, err = plan.Limits(o.Fleet, d, plan.Loss{}); err != nil {
		return nil, err
	}
	judge := o.Judge()
	s.Now = judge(o.Fleet, 1, plan.Loss{})
	s.AtGoal = judge(o.Fleet, o.Goal.Times, plan.Loss{})
	s.Reached = s.AtGoal.Service >= o.Goal.Service
	bound := plan.Limit{Multiple: o.Goal.Times}
	for _, l := range s.Limits {
		if l.What != "tenant share" {
			bound = l
			break
		}
	}
	s.Most, s.Points = plan.Greatest(o.Fleet, bound.Multiple, o.Goal.Service, plan.Loss{}, judge)
	for _, share := range shown {
		s.Points = append(s.Points, plan.Point{Times: share * bound.Multiple, Verdict: judge(o.Fleet, share*bound.Multiple, plan.Loss{})})
	}
	slices.SortFunc(s.Points, func(a, b plan.Point) int { return cmp.Compare(a.Times, b.Times) })
	if !s.Reached {
		kind := 0
		if o.Grow != "" {
			if kind = o.Fleet.Kind(o.Grow); kind < 0 {
				return nil, fmt.Errorf("--grow: the fleet knows no kind %q", o.Grow)
			}
		}
		s.Grown, s.Out = plan.Grow(o.Fleet, d, o.Goal, kind, plan.Loss{}, judge)
		if s.Out != nil && !errors.Is(s.Out, plan.ErrOutOfReach) {
			return nil, s.Out
		}
	}
	if err := s.losses(&o, judge); err != nil {
		return nil, err
	}
	s.assume(&o)
	return s, nil
}

// losses takes away what was asked for; else each zone and router, and each leaf, of which the worst are played.
func (s *Study) losses(o *Options, judge plan.Judge) error {
	names := o.Without
	if len(names) == 0 {
		for _, z := range o.Fleet.Zones {
			if len(o.Fleet.Zones) > 1 {
				names = append(names, "zone="+z)
			}
		}
		seen := map[int]bool{}
		for _, n := range o.Fleet.Nodes {
			if !seen[n.Group] && len(o.Fleet.Nodes) > 1 { // those of one group are alike
				seen[n.Group] = true
				names = append(names, "router="+n.Name)
			}
		}
		for _, l := range o.Fleet.Leaves {
			names = append(names, "leaf="+l.Name)
		}
	}
	for _, name := range names {
		loss, err := plan.Without(o.Fleet, name)
		if err != nil {
			return err
		}
		limits, err := plan.Limits(o.Fleet, s.Demand, loss)
		if err != nil {
			return err
		}
		lost := Lost{Loss: loss}
		for _, l := range limits {
			if l.What != "tenant share" {
				lost.Bound = l
				break
			}
		}
		s.Losses = append(s.Losses, lost)
	}
	slices.SortStableFunc(s.Losses, func(a, b Lost) int { return cmp.Compare(a.Bound.Multiple, b.Bound.Multiple) })
	leaves := 0
	for i := range s.Losses {
		l := &s.Losses[i]
		single := len(l.Loss.Leaves) == 1 && len(l.Loss.Routers) == 0
		if single && len(o.Without) == 0 {
			if leaves++; leaves > worstLeaves {
				continue
			}
		}
		if len(l.Loss.Routers) < len(o.Fleet.Nodes) {
			l.Verdict, l.Played = judge(o.Fleet, 1, l.Loss), true
		}
	}
	return nil
}

func (s *Study) assume(o *Options) {
	s.Assumes = []string{
		fmt.Sprintf("work is known for %.0f%% of the parts, by measure or by the clients' hints", 100*s.Demand.Known),
		"leaves take work at the speed that the fleet's description states, one part a core, first come first served",
		"clients come back as the description's clients section says, and go to all routers that are up alike",
		fmt.Sprintf("service is the mean of %d runs; they lay up to %.4f apart at the goal", o.Seeds, s.AtGoal.Spread),
		"more load is the same load over again within half a second: bursts and hot keys keep their shares",
	}
	if s.Demand.Dear > 0.2 {
		s.Assumes = append(s.Assumes, fmt.Sprintf("the dearest hundredth of the queries has %.0f%% of the work: means say little, trust the "+
			"runs", 100*s.Demand.Dear))
	}
	if s.Demand.Seconds < 60 {
		s.Assumes = append(s.Assumes, fmt.Sprintf("the capture is only %.0f s long: slower swings are not in it", s.Demand.Seconds))
	}
}
