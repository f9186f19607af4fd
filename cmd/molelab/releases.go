package main

// releases.go owns the flags of `molelab releases` and its table. It must hold no part of the plays themselves.

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/lab/releases"
)

type releasesCmd struct {
	Seed    uint64 `default:"1" help:"The first one."`
	Runs    int    `default:"10000" help:"Releases in all, over every kind of version, calm and troubled by turns."`
	Verbose bool   `help:"Tell each release that ended wrongly or broke a bound."`
}

func (c *releasesCmd) Validate() error {
	if c.Runs < 1 {
		return errors.New("--runs from 1")
	}
	return nil
}

// errReleases is the error of plays that broke a bound.
var errReleases = errors.New("a version got more than it may")

// Run plays the releases and prints a line for each kind of version.
func (c *releasesCmd) Run() error {
	results := make([]*releases.Result, c.Runs)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		group.Go(func() error {
			results[i] = releases.Play(c.Seed+uint64(i), c.options(i))
			return nil
		})
	}
	_ = group.Wait() // plays give no error
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\ttrouble\treleases\tright in time\tbounds broken\tmost of the bound\trolled back after, median\t99th")
	broken := 0
	for _, kind := range releases.Kinds() {
		for _, trouble := range []bool{false, true} {
			broken += c.line(w, kind, trouble, results)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("{\"releases\":%d,\"broken\":%d}\n", c.Runs, broken)
	if broken > 0 {
		return errReleases
	}
	return nil
}

// options are those of one play: kinds take turns, each calm and troubled.
func (c *releasesCmd) options(i int) releases.Options {
	kinds := releases.Kinds()
	return releases.Options{Kind: kinds[i%len(kinds)], Trouble: i/len(kinds)%2 == 1}
}

// line prints what became of the releases of a kind, and counts those that broke a bound.
func (c *releasesCmd) line(w *tabwriter.Writer, kind releases.Kind, trouble bool, results []*releases.Result) (broken int) {
	played, right, most := 0, 0, 0.0
	var took []time.Duration
	for i, r := range results {
		if o := c.options(i); o.Kind != kind || o.Trouble != trouble {
			continue
		}
		played++
		if r.Right() {
			right++
		}
		if !r.Kept() {
			broken++
		}
		if c.Verbose && (!r.Right() || !r.Kept()) {
			fmt.Printf("seed %d, trouble %v: %+v\n", c.Seed+uint64(i), trouble, *r)
		}
		if kind != releases.Good {
			most = max(most, r.Exposure)
			took = append(took, r.EndedAt-r.BadFrom)
		}
	}
	if played == 0 {
		return 0
	}
	slices.Sort(took)
	fmt.Fprintf(w, "%s\t%v\t%d\t%.4f\t%d\t%.2f\t%v\t%v\n", kind, trouble, played, float64(right)/float64(played), broken, most,
		quantile(took, 0.5), quantile(took, 0.99))
	return broken
}

// quantile gives a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
