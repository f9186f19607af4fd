package main

// validate.go owns `molelab validate`: the same load played on sockets and in emulation, side by side. It
// must never leave out a case that missed.

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"sort"
	"text/tabwriter"
	"time"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/lab/planner"
	"moleshift/lab/replay"
	"moleshift/plan"
)

type validateCmd struct {
	Fleet   string        `required:"" help:"Description of the fleet (YAML)."`
	Load    string        `required:"" help:"Description of the load (YAML)."`
	Loads   []float64     `default:"0.5,1,1.5,2,3" help:"Multiples of the load."`
	Without []string      `help:"Losses, each played at the load itself."`
	Router  string        `default:"bin/moleshift" help:"The router's program."`
	Config  string        `help:"YAML file for the routers, such as one that records."`
	For     time.Duration `default:"10s" help:"Length of each run."`
	Warm    time.Duration `default:"3s" help:"Of that, for which nothing counts."`
	Link    time.Duration `default:"60us" help:"How long a message takes one way on loopback."`
	Within  float64       `default:"0.1" help:"How far a service share may lie from the measured one."`
	Seeds   int           `default:"3" help:"Emulations for each case."`
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
}

type validated struct {
	name                string
	measured, predicted plan.Verdict
	void                string
	cpu                 time.Duration // of the routers, for each query
}

// Run plays all cases.
func (c *validateCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	f.Links = fleet.Links{Same: c.Link, Cross: c.Link, Jitter: 0.5}
	s, err := capture.LoadSynth(c.Load)
	if err != nil {
		return err
	}
	s.For = c.For
	type one struct {
		name  string
		times float64
		loss  plan.Loss
	}
	var cases []one
	for _, times := range c.Loads {
		cases = append(cases, one{fmt.Sprintf("%gx", times), times, plan.Loss{}})
	}
	for _, name := range c.Without {
		loss, err := plan.Without(f, name)
		if err != nil {
			return err
		}
		cases = append(cases, one{"without " + name, 1, loss})
	}
	var all []validated
	worst, voids := 0.0, 0
	for i, one := range cases {
		fmt.Fprintf(os.Stderr, "\r\x1b[Kcase %d of %d: %s", i+1, len(cases), one.name)
		scaled := *s
		scaled.Rate *= one.times
		var queries []*capture.Query
		for source, q := scaled.NewSource(f.Shards, c.Seed), (*capture.Query)(nil); ; queries = append(queries, q) {
			if q = source.Next(); q == nil {
				break
			}
		}
		r, err := replay.Run(
			ctx,
			replay.Options{
				Fleet:   f,
				Queries: queries,
				Program: c.Router,
				Config:  c.Config,
				Warm:    c.Warm,
				Loss:    one.loss,
				Seed:    c.Seed,
			},
		)
		if err != nil {
			return err
		}
		o := planner.Options{
			Fleet:   f,
			Queries: queries,
			Sample:  1,
			Seeds:   c.Seeds,
			Seed:    c.Seed,
			Warm:    c.Warm,
		}
		v := validated{
			one.name,
			r.Verdict,
			o.Judge()(f, 1, one.loss),
			r.Void,
			r.CPU / time.Duration(max(len(queries), 1)),
		}
		if v.void != "" {
			voids++
		} else {
			worst = max(worst, v.error())
		}
		all = append(all, v)
	}
	fmt.Fprintln(os.Stderr)
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(
		t,
		"case\tvertical\tservice measured\tpredicted\tmean ms\t\t99% ms\t\tutilisation, mean\t\tmost\t\terror\trouter CPU a query\t",
	)
	for _, v := range all {
		names := make([]string, 0, len(v.measured.ByVertical))
		for name := range v.measured.ByVertical {
			names = append(names, name)
		}
		sort.Strings(names)
		for i, name := range names {
			first := v.name
			if i > 0 {
				first = ""
			}
			fmt.Fprintf(
				t,
				"%s\t%s\t%.4f\t%.4f",
				first,
				name,
				v.measured.ByVertical[name],
				v.predicted.ByVertical[name],
			)
			if i == 0 {
				mm, mx := spread(v.measured.Utilisation)
				pm, px := spread(v.predicted.Utilisation)
				fmt.Fprintf(
					t,
					"\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%s",
					v.measured.Mean,
					v.predicted.Mean,
					v.measured.P99,
					v.predicted.P99,
					mm,
					pm,
					mx,
					px,
					v.error(),
					v.cpu.Round(time.Microsecond),
					v.void,
				)
			}
			fmt.Fprintln(t)
		}
	}
	t.Flush()
	if err := sayJSON(map[string]any{"cases": len(all), "void": voids, "worst_error": worst, "seed": c.Seed}); err != nil {
		return err
	}
	if worst > c.Within {
		return errBroken
	}
	if voids == len(all) {
		return errors.New("no run counts")
	}
	return nil
}

// error is the largest deviation of a service share, and of a leaf's utilisation where that is much.
func (v *validated) error() float64 {
	worst := 0.0
	for name, m := range v.measured.ByVertical {
		worst = max(worst, math.Abs(v.predicted.ByVertical[name]-m)/max(m, 0.01))
	}
	return worst
}

func spread(u []float64) (mean, most float64) {
	for _, x := range u {
		mean, most = mean+x/float64(len(u)), max(most, x)
	}
	return mean, most
}
