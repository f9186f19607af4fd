package duties

// run.go owns a run's figures and how they are told: a table for people, one line of JSON for programs. It must never
// leave out a bound that broke.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moleshift/duty"
)

// Result is what a run comes to. The fields in JSON are the same for the same options, but for those of CPU time.
type Result struct {
	Late       int     `json:"late"`        // gaps over two intervals
	Overprobed int     `json:"overprobed"`  // intervals of leaves with more than double
	Conflicts  int     `json:"conflicts"`   // plans that contradicted one another
	Excused    int     `json:"excused"`     // gaps by three losses too close together to be known
	NoMajority int     `json:"no_majority"` // gaps while no side had a majority
	WorstGap   float64 `json:"worst_gap_intervals"`
	WorstProbe float64 `json:"worst_probes_ratio"`
	MeanProbe  float64 `json:"mean_probes"`
	Messages   float64 `json:"messages_per_instance_s"`
	Bytes      float64 `json:"bytes_per_instance_s"`
	Elections  int     `json:"elections"`
	Takeovers  int     `json:"takeovers"`
	Seed       uint64  `json:"seed"`

	Options   Options             `json:"-"`
	CPU       float64             `json:"-"` // microseconds of each instance in a second
	Sliding   int                 `json:"-"`
	Quantiles map[string][4]int64 `json:"-"` // 50, 90, 99, 100 %, tenths
	Probes    []int               `json:"-"`
	ByWhy     [3]int              `json:"-"`
	Counts    duty.Counts         `json:"-"`
	Stories   []string            `json:"-"`

	runs int
}

// Broken tells whether a bound was broken.
func (r *Result) Broken() bool { return r.Late > 0 || r.Overprobed > 0 || r.Conflicts > 0 }

// Run plays one run in virtual time.
func Run(o Options, progress func(done, of time.Duration)) (*Result, error) {
	w := newWorld(o, progress)
	w.run()
	return w.result()
}

// result is what the run has come to.
func (w *world) result() (*Result, error) {
	if w.err != nil {
		return nil, w.err
	}
	a, o := w.audit, w.o
	seconds := float64(o.Instances) * o.For.Seconds()
	sent, bytes := 0, 0
	for _, i := range w.instances {
		sent, bytes = sent+i.sent, bytes+i.bytes
	}
	intervals, probes := 0, 0
	for n, times := range a.probes {
		intervals, probes = intervals+times, probes+n*times
	}
	r := &Result{Late: a.late, Overprobed: a.over, Conflicts: w.total.Conflicts, Excused: a.excused, NoMajority: a.alone,
		WorstGap: float64(a.worstGap) / float64(Tenths(o.Interval)), WorstProbe: float64(a.worst),
		MeanProbe: float64(probes) / float64(max(intervals, 1)), Messages: float64(sent) / seconds,
		Bytes: float64(bytes) / seconds, Elections: a.elections, Takeovers: a.byWhy[duty.Absent] + a.byWhy[duty.Unheard],
		Seed: o.Seed, Options: o, CPU: float64(w.cpu.Microseconds()) / seconds, Sliding: a.sliding,
		Probes: a.probes[:], ByWhy: a.byWhy, Counts: w.total,
		Quantiles: map[string][4]int64{"gap": quantiles(a.gaps), "age": quantiles(a.ages),
			"wait": quantiles(a.waits), "noticed": quantiles(a.noticed)}}
	for _, what := range a.excuses {
		r.Stories = append(r.Stories, "excused: "+what)
	}
	for _, s := range a.stories {
		r.Stories = append(r.Stories, s.what)
		r.Stories = append(r.Stories, s.lines...)
	}
	return r, nil
}

func quantiles(h *hdrhistogram.Histogram) (q [4]int64) {
	for i, p := range []float64{50, 90, 99, 100} {
		q[i] = h.ValueAtQuantile(p)
	}
	return q
}

// Table prints the figures for people.
func (r *Result) Table(out io.Writer) {
	o := r.Options
	fmt.Fprintf(out, "%d instances, %d leaves, interval %v, %v, %d kills, %d partitions, %d pauses, churn %v, loss %g, "+
		"skew %v, seed %d\n", o.Instances, o.Leaves, o.Interval, o.For, o.Kills, o.Partitions, o.Pauses, o.Churn, o.Loss,
		o.Skew, o.Seed)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\t50%\t90%\t99%\tmost")
	for _, row := range [][2]string{{"gap", "gap between performances, ms"}, {"age", "age of a result as it is heard, ms"},
		{"wait", "from an interval's beginning to a takeover, ms"}, {"noticed", "from a death to a plan without the seat, ms"}} {
		q := r.Quantiles[row[0]]
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", row[1], float64(q[0])/10, float64(q[1])/10, float64(q[2])/10,
			float64(q[3])/10)
	}
	t.Flush()
	fmt.Fprintf(out, "probes a leaf got in an interval: none %d, one %d, two %d, more %d; mean %.3f, without sharing %d\n",
		r.Probes[0], r.Probes[1], r.Probes[2], r.Overprobed, r.MeanProbe, o.Instances)
	fmt.Fprintf(out, "most probes within any %v: %d\n", o.Interval, r.Sliding)
	fmt.Fprintf(out, "performed: %d in turn, %d for a holder that was absent, %d for one unheard of\n", r.ByWhy[0],
		r.ByWhy[1], r.ByWhy[2])
	fmt.Fprintf(out, "an instance: %.1f messages a second, %.0f bytes a second, %.0f us of CPU a second\n", r.Messages,
		r.Bytes, r.CPU)
	fmt.Fprintf(out, "elections %d; results heard %d, known already %d, of unknown duties %d; messages out of date %d\n",
		r.Elections, r.Counts.Heard, r.Counts.Repeated, r.Counts.Unknown, r.Counts.Stale)
	fmt.Fprintf(out, "late %d, more than double %d, plans in conflict %d; no side had a majority %d, excused %d\n", r.Late,
		r.Overprobed, r.Conflicts, r.NoMajority, r.Excused)
	for _, line := range r.Stories {
		fmt.Fprintln(out, "  "+line)
	}
}

// JSON is the closing line.
func (r *Result) JSON() string {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain numbers
	}
	return string(b)
}

// Plus sums runs up: counts add, of worst figures the worst stays, means are over runs. The seed is the first run's.
func (r *Result) Plus(o *Result) *Result {
	if r == nil {
		first := *o
		first.runs = 1
		return &first
	}
	r.Late, r.Overprobed, r.Conflicts = r.Late+o.Late, r.Overprobed+o.Overprobed, r.Conflicts+o.Conflicts
	r.Excused, r.NoMajority = r.Excused+o.Excused, r.NoMajority+o.NoMajority
	r.WorstGap, r.WorstProbe = max(r.WorstGap, o.WorstGap), max(r.WorstProbe, o.WorstProbe)
	r.Elections, r.Takeovers, r.Sliding = r.Elections+o.Elections, r.Takeovers+o.Takeovers, max(r.Sliding, o.Sliding)
	r.runs++
	for _, m := range []struct{ sum, x *float64 }{{&r.MeanProbe, &o.MeanProbe}, {&r.Messages, &o.Messages},
		{&r.Bytes, &o.Bytes}, {&r.CPU, &o.CPU}} {
		*m.sum += (*m.x - *m.sum) / float64(r.runs)
	}
	for name, q := range r.Quantiles {
		for i, x := range o.Quantiles[name] {
			q[i] = max(q[i], x)
		}
		r.Quantiles[name] = q
	}
	r.Probes = append([]int{}, r.Probes...)
	for i, n := range o.Probes {
		r.Probes[i] += n
	}
	for i, n := range o.ByWhy {
		r.ByWhy[i] += n
	}
	r.Counts.Heard, r.Counts.Repeated = r.Counts.Heard+o.Counts.Heard, r.Counts.Repeated+o.Counts.Repeated
	r.Counts.Unknown, r.Counts.Stale = r.Counts.Unknown+o.Counts.Unknown, r.Counts.Stale+o.Counts.Stale
	r.Stories = append(r.Stories, o.Stories...)
	return r
}
