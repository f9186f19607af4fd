package main

// flood.go owns the flags of `molelab flood`, and how its runs are told. It must hold no part of a flood
// itself.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/lab/flood"
)

type floodCmd struct {
	Kind   string        `default:"all" help:"Kind of flood, A or A+B; all: each alone; pairs: every two."`
	Router string        `default:"bin/moleshift" help:"The router's program."`
	Plain  bool          `help:"Without a YAML file, for a router that knows no limits; then only what clients see is judged."`
	Warm   time.Duration `default:"1500ms" help:"Known clients alone, first."`
	Flood  time.Duration `default:"4s" help:"How long a flood lasts."`
	Lanes  int           `default:"2" help:"Runs at once; each takes one to two cores."`
	Seed   uint64        `default:"1" help:"Of all that is drawn."`
}

var errBounds = errors.New("a bound was broken")

// Run plays the floods.
func (c *floodCmd) Run() error {
	var runs [][]string
	switch c.Kind {
	case "all":
		for _, k := range flood.Kinds() {
			runs = append(runs, []string{k})
		}
	case "pairs":
		for i, a := range flood.Kinds() {
			for _, b := range flood.Kinds()[i+1:] {
				runs = append(runs, []string{a, b})
			}
		}
	default:
		kinds := strings.Split(c.Kind, "+")
		for _, k := range kinds {
			if !slices.Contains(flood.Kinds(), k) {
				return fmt.Errorf(
					"--kind: %q is none of %s, all, pairs",
					k,
					strings.Join(flood.Kinds(), ", "),
				)
			}
		}
		runs = append(runs, kinds)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := make([]*flood.Result, len(runs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Lanes, 1))
	for i, kinds := range runs {
		group.Go(func() (err error) {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%d of %d: %s", i+1, len(runs), strings.Join(kinds, "+"))
			results[i], err = flood.Run(
				ctx,
				flood.Options{
					Program: c.Router,
					Kinds:   kinds,
					Plain:   c.Plain,
					Warm:    c.Warm,
					Flood:   c.Flood,
					Seed:    c.Seed,
				},
			)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(
		t,
		"flood\tknown served\tof\t99% ms\trefused\tlost\ttwice\tattacks\tturned away\tno word\tmost conns\tpeak MB\tback in ms\t",
	)
	sum := flood.Result{
		Service: 1,
		Peak:    map[string]int64{},
		NoRoom:  map[string]int{},
		Seed:    c.Seed,
		Kind:    c.Kind,
	}
	broken := 0
	for _, r := range results {
		says := "ok"
		if b := r.Broken(); len(b) > 0 {
			says = strings.Join(b, "; ")
			broken++
		}
		fmt.Fprintf(
			t,
			"%s\t%.4f\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\n",
			r.Kind,
			r.Service,
			r.Queries,
			r.P99,
			r.Refused,
			r.Lost,
			r.Doubled,
			r.Attacks,
			r.Turned,
			r.Unclear,
			r.MostConns,
			r.PeakMB,
			r.Recovered,
			says,
		)
		sum.Service = min(sum.Service, r.Service)
		sum.Queries += r.Queries
		sum.Lost += r.Lost
		sum.Doubled += r.Doubled
		sum.Unclear += r.Unclear
		sum.Turned += r.Turned
		sum.Attacks += r.Attacks
		sum.Refused += r.Refused
		sum.CapsBroken += r.CapsBroken
		sum.Recovered = max(sum.Recovered, r.Recovered)
		sum.PeakMB = max(sum.PeakMB, r.PeakMB)
		sum.P99 = max(sum.P99, r.P99)
		sum.MostConns = max(sum.MostConns, r.MostConns)
		sum.Died = sum.Died || r.Died
		for p, n := range r.NoRoom {
			sum.NoRoom[p] += n
		}
		for p, n := range r.Peak {
			sum.Peak[p] = max(sum.Peak[p], n)
		}
	}
	t.Flush()
	if err := sayJSON(&sum); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%w in %d of %d runs", errBounds, broken, len(runs))
	}
	return nil
}
