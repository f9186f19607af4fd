package main

// plan.go owns the flags of `molelab plan`, and how a study is told: a table, a line of JSON, a page. It must
// hold no part of the search itself.

import (
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/lab/planner"
	"moleshift/lab/report"
	"moleshift/plan"
)

type planCmd struct {
	Capture string        `help:"Capture of the load." xor:"load" required:""`
	Load    string        `help:"Description of a load (YAML) instead." xor:"load" required:""`
	Fleet   string        `required:"" help:"Description of the fleet (YAML)."`
	Goal    string        `default:"service>=0.99 at 1x" help:"What is to be had, such as \"service>=0.99 at 3x\"."`
	Without []string      `help:"Losses to look at: zone=Z, leaf=L, router=R. Else all zones, leaves and kinds of routers."`
	Grow    string        `help:"Kind of leaf to add: kind=K."`
	Window  time.Duration `help:"Only so much of the load, from its start."`
	Warm    time.Duration `default:"3s" help:"Of each run, for which nothing counts."`
	Seeds   int           `default:"3" help:"Runs for each figure."`
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
	JSON    string        `help:"File for all figures."`
	Report  string        `help:"File for a page (HTML) with plots."`
}

// errOutOfReach makes the exit status 2.
var errOutOfReach = errors.New("the goal can't be reached")

// Run makes the study and tells it.
func (c *planCmd) Run() error {
	goal, err := plan.ParseGoal(c.Goal)
	if err != nil {
		return err
	}
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	o := planner.Options{
		Fleet:   f,
		Sample:  1,
		Goal:    goal,
		Without: c.Without,
		Grow:    strings.TrimPrefix(c.Grow, "kind="),
		Seeds:   max(c.Seeds, 1),
		Seed:    c.Seed,
		Warm:    c.Warm,
		Tell:    func(what string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", what) },
	}
	if c.Capture != "" {
		r, all, err := load(c.Capture)
		if err != nil {
			return err
		}
		if r.Header.Shards != f.Shards {
			return fmt.Errorf("%s: %d shards, the fleet has %d", c.Capture, r.Header.Shards, f.Shards)
		}
		o.Queries, o.Sample = all, r.Header.Sample
	} else {
		s, err := capture.LoadSynth(c.Load)
		if err != nil {
			return err
		}
		source := s.NewSource(f.Shards, c.Seed)
		for q := source.Next(); q != nil; q = source.Next() {
			o.Queries = append(o.Queries, q)
		}
	}
	if c.Window > 0 {
		o.Queries = capture.Cut(o.Queries, 0, c.Window)
	}
	s, err := planner.Run(o)
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	tellStudy(os.Stdout, s, goal, f)
	if c.JSON != "" {
		if err := writeJSON(c.JSON, s); err != nil {
			return err
		}
	}
	if c.Report != "" {
		if err := writeReport(c.Report, s, goal, f); err != nil {
			return err
		}
	}
	needed := any(0)
	if s.Grown != nil {
		needed = s.Grown.Total
	} else if s.Out != nil {
		needed = nil
	}
	if err := sayJSON(map[string]any{"first_limit": s.Limits[0], "max_multiple": s.Most, "leaves_needed": needed, "reached": s.Reached,
		"predicted": s.AtGoal, "seed": c.Seed}); err != nil {
		return err
	}
	if s.Out != nil {
		return fmt.Errorf("%w: %w", errOutOfReach, s.Out)
	}
	return nil
}

func writeJSON(path string, s *planner.Study) error {
	text, err := json.MarshalIndent(
		map[string]any{"demand": s.Demand, "limits": s.Limits, "now": s.Now, "at_goal": s.AtGoal,
			"max_multiple": s.Most, "points": s.Points, "losses": s.Losses, "assumes": s.Assumes},
		"",
		"  ",
	)
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// rows are the study's tables, for the terminal and the page alike.
func limitRows(limits []plan.Limit) (rows [][]string) {
	for _, l := range limits {
		shards := ""
		if len(l.Shards) > 0 {
			shards = fmt.Sprint(l.Shards)
		}
		rows = append(
			rows,
			[]string{l.What, fmt.Sprintf("%.2f", l.Multiple), strings.Join(l.Names, " "), shards},
		)
	}
	return rows
}

var verdictHead = []string{
	"",
	"load",
	"service",
	"in time",
	"mean ms",
	"99% ms",
	"tries",
	"busiest leaf",
	"open at once",
}

func verdictRow(name string, times float64, v plan.Verdict) []string {
	busiest := 0.0
	for _, u := range v.Utilisation {
		busiest = max(busiest, u)
	}
	return []string{
		name,
		fmt.Sprintf("%.2f", times),
		fmt.Sprintf("%.4f", v.Service),
		fmt.Sprintf("%.4f", v.Timely),
		fmt.Sprintf("%.1f", v.Mean),
		fmt.Sprintf(
			"%.1f",
			v.P99,
		),
		fmt.Sprintf("%.2f", v.Tries),
		fmt.Sprintf("%.2f", busiest),
		fmt.Sprint(v.PeakOpen),
	}
}

func verdictRows(s *planner.Study, goal plan.Goal) [][]string {
	rows := [][]string{
		verdictRow("as captured", 1, s.Now),
		verdictRow("at the goal's load", goal.Times, s.AtGoal),
	}
	if s.Grown != nil {
		rows = append(
			rows,
			verdictRow(fmt.Sprintf("with %d leaves more", s.Grown.Total), goal.Times, s.Grown.Point.Verdict),
		)
	}
	return rows
}

func lossRows(s *planner.Study) (rows [][]string) {
	for _, l := range s.Losses {
		service, timely := "not played", ""
		if l.Played {
			service, timely = fmt.Sprintf("%.4f", l.Verdict.Service), fmt.Sprintf("%.4f", l.Verdict.Timely)
		}
		rows = append(
			rows,
			[]string{l.Loss.Name, fmt.Sprintf("%.2f", l.Bound.Multiple), l.Bound.What, service, timely},
		)
	}
	return rows
}

var lossHead = []string{"without", "bound", "by", "service", "in time"}

func words(s *planner.Study, goal plan.Goal, f *fleet.Fleet) []string {
	says := []string{
		fmt.Sprintf(
			"%.1f queries and %.1f leaf calls a second; shard %d has %.1f%% of the work, the dearest hundredth of the "+
				"queries %.0f%%.",
			s.Demand.Queries,
			s.Demand.Parts,
			s.Demand.Hot,
			100*s.Demand.HotPart,
			100*s.Demand.Dear,
		),
		fmt.Sprintf("Service of %.4g is had up to %.2f times the load.", goal.Service, s.Most),
	}
	switch {
	case s.Reached:
		says = append(says, "The goal is had with the fleet as it is.")
	case s.Grown != nil:
		var cells []string
		for cell, n := range s.Grown.Added {
			cells = append(cells, fmt.Sprintf("%d to cell %d", n, cell))
		}
		sort.Strings(cells)
		says = append(
			says,
			fmt.Sprintf(
				"The goal takes %d leaves more: %s. Then the leaves bind at %.2f times the load.",
				s.Grown.Total,
				strings.Join(cells, ", "),
				s.Grown.Limit.Multiple,
			),
		)
	case s.Out != nil:
		says = append(says, s.Out.Error())
	}
	return says
}

func tellStudy(out io.Writer, s *planner.Study, goal plan.Goal, f *fleet.Fleet) {
	for _, line := range words(s, goal, f) {
		fmt.Fprintln(out, line)
	}
	table := func(head []string, rows [][]string) {
		fmt.Fprintln(out)
		t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		for _, row := range append([][]string{head}, rows...) {
			fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		t.Flush()
	}
	table([]string{"limit", "at times the load", "which", "shards"}, limitRows(s.Limits))
	table(verdictHead, verdictRows(s, goal))
	table(lossHead, lossRows(s))
	fmt.Fprintln(out, "\nAssumed:")
	for _, a := range s.Assumes {
		fmt.Fprintln(out, " -", a)
	}
}

func writeReport(path string, s *planner.Study, goal plan.Goal, f *fleet.Fleet) error {
	var x, service, timely, p99 []float64
	for _, p := range s.Points {
		x = append(x, p.Times)
		service = append(service, p.Verdict.Service)
		timely = append(timely, p.Verdict.Timely)
		p99 = append(p99, p.Verdict.P99)
	}
	marks := map[string]float64{"most with the goal's service": s.Most}
	for _, l := range s.Limits {
		if l.What != "tenant share" {
			marks["bound by "+l.What] = l.Multiple
		}
	}
	served, err := report.Lines("Service against load", "times the captured load", "share of the requests",
		[]report.Line{{Name: "served", X: x, Y: service}, {Name: "in time", X: x, Y: timely}}, marks)
	if err != nil {
		return err
	}
	slow, err := report.Lines(
		"99% of the answers within",
		"times the captured load",
		"ms",
		[]report.Line{{Name: "99%", X: x, Y: p99}},
		marks,
	)
	if err != nil {
		return err
	}
	var names []string
	for _, l := range f.Leaves {
		names = append(names, l.Name)
	}
	busy, err := report.Bars(
		"Utilisation by leaf, as captured",
		"share of its cores' time",
		names,
		s.Now.Utilisation,
	)
	if err != nil {
		return err
	}
	page := report.Page{
		Title: fmt.Sprintf("Capacity: service of %g at %g times the load", goal.Service, goal.Times),
		Sections: []report.Section{
			{Title: "In short", Words: words(s, goal, f)},
			{
				Title: "What breaks in which order",
				Head:  []string{"limit", "at times the load", "which", "shards"},
				Rows:  limitRows(s.Limits),
			},
			{
				Title: "What loads get",
				Head:  verdictHead,
				Rows:  verdictRows(s, goal),
				Plot:  served + template.HTML("<br>") + slow,
			},
			{Title: "Leaves", Plot: busy},
			{Title: "What losses do, at the load as captured", Head: lossHead, Rows: lossRows(s)},
			{Title: "Assumed", Words: s.Assumes},
		},
	}
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(out), out.Close())
}
