package leases

// run.go owns a run's figures and how they are told: a table for people, one line of JSON for programs. It must never leave out a
// bound that broke.

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what runs come to. The fields in JSON are the same for the same options.
type Result struct {
	TwoHolders int     `json:"two_holders"`
	Stale      int     `json:"stale_effects"`
	Back       int     `json:"tokens_back"`
	JobsLost   int     `json:"jobs_lost"`
	Skipped    int     `json:"steps_skipped"`
	Again      int     `json:"steps_again"` // that had been done before the last one
	Over       int     `json:"gaps_over"`   // times without a holder of over two leases and eight beats, with a majority there
	P50        float64 `json:"gap_ms_p50"`
	P99        float64 `json:"gap_ms_p99"`
	Most       float64 `json:"gap_ms_most"`
	Faults     int     `json:"faults"`
	Seed       uint64  `json:"seed"`

	Options   Options                            `json:"-"`
	ByKind    map[string]int                     `json:"-"`
	Gaps      map[string]*hdrhistogram.Histogram `json:"-"` // tenths
	Effects   int                                `json:"-"`
	Refused   int                                `json:"-"`
	Elections int                                `json:"-"`
	Rested    int                                `json:"-"`
	Poisoned  int                                `json:"-"`
	Messages  float64                            `json:"-"` // of an instance in a second
	Bytes     float64                            `json:"-"`
	CPU       float64                            `json:"-"` // microseconds of an instance in a second
	Worst     string                             `json:"-"` // the longest time without a holder
	Story     string                             `json:"-"` // what led to it
	Stories   []string                           `json:"-"`
	Runs      int                                `json:"-"`
}

// Broken tells whether a bound was broken.
func (r *Result) Broken() bool {
	return r.TwoHolders+r.Stale+r.Back+r.JobsLost+r.Skipped+r.Again+r.Over > 0
}

// Run plays one run in virtual time.
func Run(o Options, progress func(done, of time.Duration)) (*Result, error) {
	w := newWorld(o, progress)
	w.run()
	if w.err != nil {
		return nil, w.err
	}
	j := w.judge
	r := &Result{TwoHolders: j.twoHolders, Stale: j.stale, Back: j.back, JobsLost: j.jobsLost, Skipped: j.skipped, Again: j.again, Over: j.over, Seed: o.Seed,
		Options: o, ByKind: j.faults, Gaps: j.gaps, Refused: j.refused, Elections: j.elections, Rested: j.rested, Poisoned: j.poisoned, Worst: j.worst,
		Story: j.worstStory, Runs: 1}
	for _, n := range j.faults {
		r.Faults += n
	}
	for _, x := range j.watches {
		r.Effects += x.effects
	}
	seconds := float64(o.Instances) * o.For.Seconds()
	for _, i := range w.instances {
		r.Messages += float64(i.sent) / seconds
		r.Bytes += float64(i.bytes) / seconds
	}
	r.CPU = float64(w.cpu.Microseconds()) / seconds
	for _, s := range j.stories {
		r.Stories = append(r.Stories, fmt.Sprintf("seed %d: %s", o.Seed, s))
	}
	r.sum()
	return r, nil
}

func (r *Result) sum() {
	if h := r.Gaps["all"]; h != nil {
		r.P50, r.P99, r.Most = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
	}
}

func ms(tenths int64) float64 { return float64(tenths) / 10 }

// Plus sums two results up.
func (r *Result) Plus(o *Result) *Result {
	if r == nil {
		return o
	}
	if h, mine := o.Gaps[o.Options.Story], r.Gaps[o.Options.Story]; o.Worst != "" && (mine == nil || h.Max() > mine.Max()) {
		r.Worst, r.Story = fmt.Sprintf("seed %d: %s", o.Seed, o.Worst), o.Story
	}
	n, m := float64(r.Runs), float64(o.Runs)
	mean := func(a, b float64) float64 { return (a*n + b*m) / (n + m) }
	r.Messages, r.Bytes, r.CPU = mean(r.Messages, o.Messages), mean(r.Bytes, o.Bytes), mean(r.CPU, o.CPU)
	r.TwoHolders, r.Stale, r.Back = r.TwoHolders+o.TwoHolders, r.Stale+o.Stale, r.Back+o.Back
	r.JobsLost, r.Skipped, r.Faults = r.JobsLost+o.JobsLost, r.Skipped+o.Skipped, r.Faults+o.Faults
	r.Again, r.Over = r.Again+o.Again, r.Over+o.Over
	r.Effects, r.Refused, r.Elections = r.Effects+o.Effects, r.Refused+o.Refused, r.Elections+o.Elections
	r.Rested, r.Runs, r.Poisoned = r.Rested+o.Rested, r.Runs+o.Runs, r.Poisoned+o.Poisoned
	for kind, times := range o.ByKind {
		r.ByKind[kind] += times
	}
	for kind, h := range o.Gaps {
		if r.Gaps[kind] == nil {
			r.Gaps[kind] = h
		} else {
			r.Gaps[kind].Merge(h)
		}
	}
	r.Stories = append(r.Stories, o.Stories...)
	r.sum()
	return r
}

// Table tells people.
func (r *Result) Table(out io.Writer) {
	o := r.Options
	fmt.Fprintf(out, "%d instances, %d rights, %v, lease %v; %d faults in %d runs\n", o.Instances, o.Rights, o.For, o.Lease, r.Faults,
		r.Runs)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "fault\ttimes\trights without a holder, times\tmedian ms\t99%% ms\tmost ms\t\n")
	var kinds []string
	for kind := range r.ByKind {
		kinds = append(kinds, kind)
	}
	for kind := range r.Gaps {
		if r.ByKind[kind] == 0 && kind != "all" {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	for _, kind := range append(kinds, "all") {
		times := r.ByKind[kind]
		if kind == "all" {
			times = r.Faults
		}
		if h := r.Gaps[kind]; h != nil {
			fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", kind, times, h.TotalCount(), ms(h.ValueAtQuantile(50)),
				ms(h.ValueAtQuantile(99)), ms(h.Max()))
		} else {
			fmt.Fprintf(t, "%s\t%d\t0\t\t\t\t\n", kind, times)
		}
	}
	t.Flush()
	fmt.Fprintf(out, "elections %d, effects %d, refused by the receiver's fence %d, rights that rested %d\n", r.Elections, r.Effects,
		r.Refused, r.Rested)
	if o.Poison {
		fmt.Fprintf(out, "holders that the first right's work took down: %d\n", r.Poisoned)
	}
	fmt.Fprintf(out, "an instance: %.1f messages a second, %.0f bytes a second, %.0f us of CPU a second\n", r.Messages, r.Bytes, r.CPU)
	fmt.Fprintf(out, "two holders %d, stale effects %d, tokens back %d, jobs lost %d, steps skipped %d, steps again %d, gaps over the aim %d\n", r.TwoHolders,
		r.Stale, r.Back, r.JobsLost, r.Skipped, r.Again, r.Over)
	for _, s := range r.Stories {
		fmt.Fprintln(out, s)
	}
	if r.Worst != "" {
		fmt.Fprintf(out, "what led to the longest time without a holder, %s\n%s", r.Worst, r.Story)
	}
}

// JSON tells programs.
func (r *Result) JSON() string {
	b, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
