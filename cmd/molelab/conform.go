package main

// conform.go owns the flags of `molelab conform`, and how the comparison is told. It must hold no part of it
// itself.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"text/tabwriter"

	"moleshift/lab/conform"
)

type conformCmd struct {
	Router string `default:"bin/moleshift" help:"The router's program."`
	Cases  int    `default:"2000" help:"Searches."`
	Lanes  int    `default:"6" help:"Searches at once."`
	Leaves bool   `help:"Leaves speak the form, too, by HTTP."`
	Seed   uint64 `default:"1" help:"Of all that is drawn."`
}

// Run compares.
func (c *conformCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := conform.Run(
		ctx,
		conform.Options{
			Program: c.Router,
			Cases:   c.Cases,
			Lanes:   max(c.Lanes, 1),
			Leaves:  c.Leaves,
			Seed:    c.Seed,
			Tell:    func(form string, done int) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s: %d of %d", form, done, c.Cases) },
		},
	)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(
		t,
		"form\ttaken\twhole\tpartly\trefused\trefusals\tfailed\tbroken\tleaf calls\tfurther\tbudget used\tover\tran twice\twrong\tmean us",
	)
	for _, f := range []struct {
		name string
		s    *conform.Settled
	}{{"native", &r.Native}, {"opensearch", &r.Search}} {
		s := f.s
		fmt.Fprintf(
			t,
			"%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\n",
			f.name,
			s.Taken,
			s.Whole,
			s.Partly,
			s.Refused,
			s.Refusals,
			s.Failed,
			s.Broken,
			s.Calls,
			s.Further,
			s.Peak,
			s.Over,
			s.Twice,
			s.Wrong,
			s.MeanUS,
		)
	}
	t.Flush()
	for i, d := range r.Differ {
		if i < 10 {
			fmt.Println(d)
		}
	}
	for _, m := range r.Search.Mistakes() {
		fmt.Println("wrong:", m)
	}
	if err := sayJSON(map[string]any{"native": r.Native, "opensearch": r.Search, "differ": len(r.Differ), "seed": c.Seed}); err != nil {
		return err
	}
	if len(r.Differ) > 0 || r.Native.Broken+r.Search.Broken+r.Native.Twice+r.Search.Twice+r.Native.Over+r.Search.Over+r.Search.Wrong > 0 {
		return errBounds
	}
	return nil
}
