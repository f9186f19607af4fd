package main

// leases.go owns how the rights of a running router are told to people. It must only ask, never change anything.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"moleshift/rights"
)

type leasesCmd struct {
	Admin string        `default:"127.0.0.1:7071" help:"Where the router has its page for operators (admin.listen)."`
	JSON  bool          `help:"Print the page as it is."`
	Wait  time.Duration `default:"5s" help:"How long to wait for the router."`
}

// Run asks and prints.
func (l *leasesCmd) Run() error {
	body, err := page(l.Admin, "/leases", l.Wait)
	if err != nil {
		return err
	}
	if l.JSON {
		_, err := os.Stdout.Write(body)
		return err
	}
	var s rights.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	printLeases(os.Stdout, &s)
	return nil
}

func printLeases(out io.Writer, s *rights.Status) {
	led := "no leader: no majority of the seats is heard of"
	if s.Led && s.Leader >= 0 {
		led = fmt.Sprintf("led by seat %d, heard by seats %v", s.Leader, s.There)
	}
	fmt.Fprintf(out, "instance %s, seat %d of %d, %s; %s\n", s.Instance, s.Seat, s.Seats, s.Role, led)
	if s.Barred {
		fmt.Fprintln(out, "ANOTHER INSTANCE HAS THIS SEAT: this one holds nothing")
	}
	if !s.Votes {
		fmt.Fprintln(out, "it has just started, and votes for nobody yet")
	}
	if s.State == "" {
		fmt.Fprintln(out, "promises are not kept over a restart: leases.state is empty")
	}
	whole := func(ms float64) string {
		return (time.Duration(ms) * time.Millisecond).String()
	}
	seat := func(n int) string {
		if n < 0 {
			return "-"
		}
		return fmt.Sprint(n)
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\nright\tholder\ttoken\tfor\tends in\tnext\tnote\n")
	for _, r := range s.Rights {
		note, ends, since := "", "-", "-"
		if r.Holder >= 0 {
			since = whole(r.SinceMS)
		}
		if r.Mine {
			note, ends = "held here", whole(r.EndMS)
		}
		switch {
		case r.Paused:
			note = "paused"
		case r.RestMS > 0:
			note = fmt.Sprintf("rests for %s: %d holders vanished one after the other", whole(r.RestMS), r.Lost)
		case r.Lost > 0:
			note += fmt.Sprintf(" (%d holders vanished)", r.Lost)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", r.Name, seat(r.Holder), r.Token, since, ends, seat(r.Next), note)
	}
	t.Flush()
	if len(s.Jobs) == 0 {
		return
	}
	fmt.Fprintf(t, "\njob\tstands\tstep\tdone here\tfailed here\tset aside\tnext in\tlast fault\n")
	for _, j := range s.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", j.Name, j.Phase, j.Step, j.Steps, j.Failures, j.Aside, whole(j.WaitMS), j.Error)
	}
	t.Flush()
}
