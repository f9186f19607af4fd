package flood

// soak.go owns the long run: known clients whose load swings, with floods of any kind now and then, and what
// the router holds, second by second. It judges by the quiet stretches: what they hold must not grow. It must
// never leave a stretch out that it has begun to count.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"moleshift/fleet"
	"moleshift/lab/cluster"
)

// SoakOptions is one long run.
type SoakOptions struct {
	Program string
	For     time.Duration
	Quiet   time.Duration // between floods
	Flood   time.Duration // length of each
	Warm    time.Duration // for which nothing counts
	Seed    uint64
	Tell    func(at time.Duration, says string)
}

// Sample is what the router held at a time.
type Sample struct {
	At          float64          `json:"at"` // seconds
	RSS         float64          `json:"rss_mb"`
	Heap        float64          `json:"heap_mb"`
	Held        float64          `json:"held_mb"`
	Files       int              `json:"descriptors"`
	Connections int              `json:"connections"`
	Purposes    map[string]int64 `json:"purposes"`
	Quiet       bool             `json:"quiet"` // the last of a quiet stretch
}

// Slope is a growth with its standard error.
type Slope struct {
	PerHour float64 `json:"per_hour"`
	Error   float64 `json:"error"`
	Points  int     `json:"points"`
}

// Flat: it is within three errors of none, or of no consequence.
func (s Slope) Flat(small float64) bool {
	return math.Abs(s.PerHour) <= 3*s.Error || s.PerHour <= small
}

// SoakResult is what the run came to.
type SoakResult struct {
	Result
	Seconds float64  `json:"seconds"`
	Floods  int      `json:"floods"`
	RSS     Slope    `json:"rss_slope_mb"`
	Heap    Slope    `json:"heap_slope_mb"`
	Files   Slope    `json:"descriptors_slope"`
	Ratio   float64  `json:"book_of_heap"` // mean over quiet stretches, what a router at rest has left out
	Samples []Sample `json:"-"`
	broken  []string
}

const (
	soakSample  = time.Second
	smallGrowth = 2.0 // MB or descriptors an hour that nobody minds
)

// Soak plays one.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	f, err := fleet.Decode("soak", []byte(fleetText))
	if err != nil {
		return nil, err
	}
	r := &SoakResult{
		Result: Result{
			Kind:      "soak",
			Seed:      o.Seed,
			Peak:      map[string]int64{},
			NoRoom:    map[string]int{},
			Recovered: -1,
		},
	}
	s := &scene{o: Options{Program: o.Program, Seed: o.Seed}, r: &r.Result, ran: map[string]int{}}
	if s.admin, err = cluster.FreeAddress(); err != nil {
		return nil, err
	}
	s.c, err = cluster.Start(cluster.Options{
		Fleet: f, Program: o.Program, Limits: true, Leaf: s.leaf, Text: fmt.Sprintf(configText, s.admin),
	})
	if err != nil {
		return nil, err
	}
	defer s.c.Stop()
	s.at = s.c.Routers[0].Address
	s.soak(ctx, o, r)
	s.judge()
	r.judge(o)
	return r, nil
}

func (s *scene) soak(ctx context.Context, o SoakOptions, r *SoakResult) {
	rng := rand.New(rand.NewPCG(o.Seed, 0x50a6))
	var all sync.WaitGroup
	known, end := context.WithCancel(ctx)
	for i := range knownClients {
		all.Go(func() { s.known(known, i) })
	}
	begun := time.Now()
	s.phase.Store(1)
	sample := func(quiet bool) {
		at := time.Since(begun)
		s.swing.Store(
			uint64(1000 * (1 + 0.6*math.Sin(at.Seconds()/60*2*math.Pi))),
		) // a load that rises and falls each minute
		now := s.sample(true)
		if now == nil {
			return
		}
		pid := s.c.Routers[0].Cmd.Process.Pid
		one := Sample{
			At:          at.Seconds(),
			RSS:         rssOf(pid),
			Heap:        mb(now.Heap),
			Held:        mb(now.Held),
			Files:       filesOf(pid),
			Connections: now.Connections,
			Purposes:    map[string]int64{},
			Quiet:       quiet && at >= o.Warm,
		}
		for name, e := range now.Purposes {
			one.Purposes[name] = e.Held
		}
		r.Samples = append(r.Samples, one)
	}
	stretch := func(d time.Duration, quiet bool) {
		for until := time.Now().Add(d); ctx.Err() == nil; {
			pause(ctx, soakSample)
			last := time.Now().After(until)
			if sample(quiet && last); last {
				return
			}
		}
	}
	names := Kinds()
	for ctx.Err() == nil && time.Since(begun) < o.For {
		if o.Tell != nil {
			o.Tell(time.Since(begun), "quiet")
		}
		stretch(o.Quiet, true)
		kind := names[rng.IntN(len(names))]
		if o.Tell != nil {
			o.Tell(time.Since(begun), kind)
		}
		r.Floods++
		flood, stop := context.WithTimeout(ctx, o.Flood)
		var attack sync.WaitGroup
		for j := range kinds[kind].workers {
			attack.Go(func() { kinds[kind].attack(flood, s, j) })
		}
		stretch(o.Flood, false)
		stop()
		attack.Wait()
		for i := range s.c.Leaves {
			s.c.Leaves[i].Behave(0)
		}
	}
	r.Seconds = time.Since(begun).Seconds()
	s.stop.Store(true)
	end()
	all.Wait()
	if last := s.sample(false); last != nil {
		s.r.Uneven = last.Uneven
	}
	s.r.Recovered = 0
}

func mb(n int64) float64 { return float64(n) / (1 << 20) }

func filesOf(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// slope is the growth over the quiet stretches, by least squares, with its standard error.
func slope(all []Sample, of func(Sample) float64) Slope {
	var x, y []float64
	for _, s := range all {
		if s.Quiet {
			x, y = append(x, s.At/3600), append(y, of(s))
		}
	}
	if len(x) < 3 {
		return Slope{Error: math.MaxFloat32, Points: len(x)}
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	rest, spread, middle := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		d := y[i] - a - b*x[i]
		rest, spread = rest+d*d, spread+(x[i]-middle)*(x[i]-middle)
	}
	return Slope{PerHour: b, Error: math.Sqrt(rest / float64(len(x)-2) / spread), Points: len(x)}
}

func (r *SoakResult) judge(o SoakOptions) {
	r.RSS = slope(r.Samples, func(s Sample) float64 { return s.RSS })
	r.Heap = slope(r.Samples, func(s Sample) float64 { return s.Heap })
	r.Files = slope(r.Samples, func(s Sample) float64 { return float64(s.Files) })
	n := 0.0
	for _, s := range r.Samples {
		if s.Quiet && s.Heap > 0 {
			r.Ratio += s.Held / s.Heap
			n++
		}
	}
	r.Ratio /= max(n, 1)
	r.broken = r.Result.broken
	check := func(bad bool, format string, args ...any) {
		if bad {
			r.broken = append(r.broken, fmt.Sprintf(format, args...))
		}
	}
	check(!r.RSS.Flat(smallGrowth), "memory grows by %.2f ± %.2f MB an hour", r.RSS.PerHour, r.RSS.Error)
	check(!r.Heap.Flat(smallGrowth), "the heap grows by %.2f ± %.2f MB an hour", r.Heap.PerHour, r.Heap.Error)
	check(
		!r.Files.Flat(smallGrowth),
		"descriptors grow by %.2f ± %.2f an hour",
		r.Files.PerHour,
		r.Files.Error,
	)
}

// Broken is what did not hold.
func (r *SoakResult) Broken() []string { return r.broken }
