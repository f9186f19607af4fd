package main

// emulate.go owns the flags of `molelab emulate` and how its figures are told. It must hold no part of the
// game itself.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"moleshift/capture"
	"moleshift/fleet"
	"moleshift/lab/emulate"
)

type emulateCmd struct {
	Fleet   string        `required:"" help:"Description of the fleet (YAML)."`
	Load    string        `required:"" help:"Description of the load (YAML)."`
	Scale   float64       `default:"1" help:"Times the load."`
	For     time.Duration `help:"Instead of the time that the load states."`
	Warm    time.Duration `default:"5s" help:"From the start, for which nothing counts."`
	Shared  time.Duration `help:"Routers know one another and share probes in this interval."`
	Each    time.Duration `help:"Each router probes each leaf by itself in this interval."`
	Reports bool          `help:"Load reports come with probes alone, whatever the fleet says."`
	Seed    uint64        `default:"1" help:"Of all that is drawn."`
}

// Run plays one run.
func (c *emulateCmd) Run() error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	s, err := capture.LoadSynth(c.Load)
	if err != nil {
		return err
	}
	s.Rate *= c.Scale
	if c.For > 0 {
		s.For = c.For
	}
	f.Rules.ProbeReports = f.Rules.ProbeReports || c.Reports
	source := s.NewSource(f.Shards, c.Seed)
	next, told := 0.1, false
	r := emulate.Run(
		emulate.Options{Fleet: f, Seed: c.Seed, Warm: fleet.Tenths(c.Warm), Shared: fleet.Tenths(c.Shared),
			Quick: fleet.Tenths(c.Each), Load: func() *capture.Query {
				q := source.Next()
				if q != nil && float64(q.At)/10000 >= next*s.For.Seconds() {
					fmt.Fprintf(os.Stderr, "\r%.0f%%   ", 100*next)
					next, told = next+0.1, true
				}
				return q
			}},
	)
	if told {
		fmt.Fprintln(os.Stderr)
	}
	tellEmulated(os.Stdout, r)
	line, err := json.Marshal(
		map[string]any{"service": r.Service(), "timely": r.Timely(), "probes": r.Probes(), "events": r.Events,
			"seed": c.Seed},
	)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

func tellEmulated(out io.Writer, r *emulate.Result) {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(
		t,
		"vertical\trequests\tserved\tin time\twhole\tpartial\trejected\taborted\ttries\tmean ms\t50%\t99%\tmost",
	)
	for i := range r.Verticals {
		v := &r.Verticals[i]
		ms := func(q float64) float64 { return float64(v.Latency.ValueAtQuantile(q)) / 10 }
		fmt.Fprintf(
			t,
			"%s\t%d\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			v.Name,
			v.Requests,
			v.Service(),
			v.Timely(),
			v.Finals[capture.Whole],
			v.Finals[capture.Partial],
			v.Finals[capture.Rejected],
			v.Finals[capture.Aborted],
			float64(v.Tries)/float64(max(v.Requests, 1)),
			v.Latency.Mean()/10,
			ms(50),
			ms(99),
			ms(100),
		)
	}
	t.Flush()
	least, most, mean := 1e9, 0.0, 0.0
	for _, l := range r.Leaves {
		least, most = min(least, l.Utilisation), max(most, l.Utilisation)
		mean += l.Utilisation / float64(len(r.Leaves))
	}
	calls, failed := r.Calls()
	fmt.Fprintf(out, "utilisation of %d leaves: %.3f to %.3f, mean %.3f\n", len(r.Leaves), least, most, mean)
	fmt.Fprintf(
		out,
		"%d routers: %d calls, %d not answered well, %d probes, %.2f a call; %d messages among them\n",
		len(r.Routers),
		calls,
		failed,
		r.Probes(),
		float64(r.Probes())/float64(max(calls, 1)),
		r.Messages,
	)
	fmt.Fprintf(out, "age of the report behind a call: 50%% %.1f ms, 99%% %.1f ms; none known for %d calls\n",
		float64(r.Ages.ValueAtQuantile(50))/10, float64(r.Ages.ValueAtQuantile(99))/10, r.Unknown)
	fmt.Fprintf(out, "%.0f s of load, %d events in %.2f s\n", r.Seconds, r.Events, r.CPU.Seconds())
}
