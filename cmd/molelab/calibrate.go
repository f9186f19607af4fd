package main

// calibrate.go owns `molelab capture calibrate`: the flags, and how what was found is told. What a call tells
// of work is package plan's to say.

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"moleshift/fleet"
	"moleshift/plan"
)

type captureCalibrate struct {
	In          string `arg:"" help:"Capture of all routers (see merge)."`
	Out         string `arg:"" help:"Capture to write, with the work of each part."`
	Fleet       string `required:"" help:"Description of the fleet (YAML): cores, speeds, overhead, links."`
	IgnoreHints bool   `help:"Clients' hints are worth nothing: go by the calls alone."`
}

// Run works out what parts take.
func (c *captureCalibrate) Run() error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	r, all, err := load(c.In)
	if err != nil {
		return err
	}
	cal, err := plan.Calibrate(f, all, r.Header.Sample, !c.IgnoreHints)
	if err != nil {
		return fmt.Errorf("%s: %w", c.In, err)
	}
	fmt.Printf("%d of %d calls found a core free\n", cal.Free, cal.Calls)
	if len(cal.Unlisted) > 0 {
		fmt.Printf("left out, as the fleet's description lacks them: %s\n", strings.Join(cal.Unlisted, " "))
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "work of parts\tparts")
	for source, n := range cal.Parts {
		fmt.Fprintf(t, "%s\t%d\n", plan.Source(source), n)
	}
	t.Flush()
	for _, h := range cal.Hints {
		fmt.Printf("hints of %s: work is %.2f times the hint (%d calls)\n", h.Vertical, h.Factor, h.Calls)
	}
	t = tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "leaf\tcalls\tspeed against its description\t")
	odd := 0
	for _, l := range cal.Leaves {
		says := ""
		if l.Odd() {
			says = "differs by more than chance"
			odd++
		}
		fmt.Fprintf(t, "%s\t%d\t%.2f ± %.2f\t%s\n", l.Leaf, l.Calls, l.Factor, 2*l.Error, says)
	}
	t.Flush()
	if err := save(c.Out, r.Header, all); err != nil {
		return err
	}
	return sayJSON(
		map[string]any{"free_calls": cal.Free, "calls": cal.Calls, "parts": cal.Parts, "odd_leaves": odd},
	)
}
