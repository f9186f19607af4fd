package main

// soak.go owns the flags of `molelab soak`, its table and its page. It must hold no part of the run itself.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"os/signal"
	"time"

	"moleshift/lab/flood"
	"moleshift/lab/report"
)

type soakCmd struct {
	Router string        `default:"bin/moleshift" help:"The router's program."`
	For    time.Duration `default:"1h" help:"How long."`
	Quiet  time.Duration `default:"12s" help:"Between floods; what is held at their ends is what must not grow."`
	Flood  time.Duration `default:"6s" help:"Length of each flood."`
	Warm   time.Duration `default:"2m" help:"From the start, for which nothing counts."`
	Report string        `help:"File for a page (HTML) with plots."`
	JSON   string        `help:"File for all samples."`
	Seed   uint64        `default:"1" help:"Of all that is drawn."`
}

// Run soaks.
func (c *soakCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := flood.Soak(
		ctx,
		flood.SoakOptions{
			Program: c.Router,
			For:     c.For,
			Quiet:   c.Quiet,
			Flood:   c.Flood,
			Warm:    c.Warm,
			Seed:    c.Seed,
			Tell: func(at time.Duration, says string) {
				fmt.Fprintf(os.Stderr, "\r\x1b[K%v of %v: %s", at.Round(time.Second), c.For, says)
			},
		},
	)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	fmt.Printf(
		"%.0f s, %d floods; known clients: %d queries, %.5f served, %d refused, %d lost, %d twice\n",
		r.Seconds,
		r.Floods,
		r.Queries,
		r.Service,
		r.Refused,
		r.Lost,
		r.Doubled,
	)
	for _, g := range []struct {
		what string
		s    flood.Slope
	}{{"memory, MB", r.RSS}, {"heap, MB", r.Heap}, {"descriptors", r.Files}} {
		fmt.Printf(
			"growth of %s an hour: %.3f ± %.3f (%d quiet stretches)\n",
			g.what,
			g.s.PerHour,
			g.s.Error,
			g.s.Points,
		)
	}
	fmt.Printf(
		"the book has %.2f of the heap in quiet stretches; caps passed %d; peak %.1f MB, %d connections\n",
		r.Ratio,
		r.CapsBroken,
		r.PeakMB,
		r.MostConns,
	)
	for _, b := range r.Broken() {
		fmt.Println("broken:", b)
	}
	if c.JSON != "" {
		text, err := json.Marshal(r.Samples)
		if err == nil {
			err = os.WriteFile(c.JSON, text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	if c.Report != "" {
		if err := writeSoak(c.Report, r); err != nil {
			return err
		}
	}
	if err := sayJSON(r); err != nil {
		return err
	}
	if len(r.Broken()) > 0 {
		return errBounds
	}
	return nil
}

func writeSoak(path string, r *flood.SoakResult) error {
	line := func(name string, of func(flood.Sample) float64) report.Line {
		l := report.Line{Name: name}
		for _, s := range r.Samples {
			l.X, l.Y = append(l.X, s.At/60), append(l.Y, of(s))
		}
		return l
	}
	memory, err := report.Lines("Memory", "minutes", "MB", []report.Line{
		line(
			"resident",
			func(s flood.Sample) float64 { return s.RSS },
		), line("heap", func(s flood.Sample) float64 { return s.Heap }),
		line("book", func(s flood.Sample) float64 { return s.Held })}, nil)
	if err != nil {
		return err
	}
	var lines []report.Line
	for _, name := range []string{"connections", "bodies", "queries", "values", "leaf links", "frames"} {
		lines = append(
			lines,
			line(name, func(s flood.Sample) float64 { return float64(s.Purposes[name]) / (1 << 20) }),
		)
	}
	purposes, err := report.Lines("The book by purpose", "minutes", "MB", lines, nil)
	if err != nil {
		return err
	}
	files, err := report.Lines("Descriptors", "minutes", "descriptors", []report.Line{
		line("all", func(s flood.Sample) float64 { return float64(s.Files) }),
		line("clients", func(s flood.Sample) float64 { return float64(s.Connections) })}, nil)
	if err != nil {
		return err
	}
	words := []string{
		fmt.Sprintf(
			"%.0f s with %d floods; %.5f of %d queries of known clients served.",
			r.Seconds,
			r.Floods,
			r.Service,
			r.Queries,
		),
		fmt.Sprintf(
			"Memory grew by %.3f ± %.3f MB an hour over the quiet stretches, descriptors by %.3f ± %.3f.",
			r.RSS.PerHour,
			r.RSS.Error,
			r.Files.PerHour,
			r.Files.Error,
		),
	}
	page := report.Page{
		Title: "Soak",
		Sections: []report.Section{{Title: "In short", Words: append(words, r.Broken()...)},
			{
				Title: "Second by second",
				Plot:  memory + template.HTML("<br>") + purposes + template.HTML("<br>") + files,
			}},
	}
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(out), out.Close())
}
