package main

// limits.go owns how the books of a running router are told to people. It must only ask, never change
// anything.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"moleshift/limits"
	"moleshift/router"
)

type limitsCmd struct {
	Admin string        `default:"127.0.0.1:7071" help:"Where the router has its page for operators (admin.listen)."`
	JSON  bool          `help:"Print the page as it is."`
	Wait  time.Duration `default:"5s" help:"How long to wait for the router."`
}

// Run asks and prints.
func (s *limitsCmd) Run() error {
	body, err := page(s.Admin, "/limits", s.Wait)
	if err != nil {
		return err
	}
	if s.JSON {
		_, err := os.Stdout.Write(body)
		return err
	}
	var l router.LimitsStatus
	if err := json.Unmarshal(body, &l); err != nil {
		return err
	}
	printLimits(os.Stdout, &l)
	return nil
}

func printLimits(out io.Writer, l *router.LimitsStatus) {
	is := map[bool]string{true: "on", false: "off"}
	fmt.Fprintf(
		out,
		"admission %s: %d of %d connections, %d kept for known clients, %d known; %d made way, %d turned away without a word\n",
		is[l.Admission],
		l.Connections,
		l.Most,
		l.Reserve,
		l.Known,
		l.Displaced,
		l.Unclear,
	)
	var whys []string
	for why := range l.Turned {
		whys = append(whys, why)
	}
	sort.Strings(whys)
	for _, why := range whys {
		fmt.Fprintf(out, "  turned away, %s: %d\n", why, l.Turned[why])
	}
	for _, s := range l.Largest {
		fmt.Fprintf(out, "  %s: %d connections\n", s.Holder, s.Count)
	}
	fmt.Fprintf(
		out,
		"memory %s: %s of %s held by the book, heap %s, %d open queries, %d returns too many\n",
		is[l.Memory],
		size(l.Held),
		size(l.Whole),
		size(l.Heap),
		l.Open,
		l.Uneven,
	)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "for\theld\tpeak\tfloor\tcap\tdid not fit")
	for _, p := range limits.Purposes() {
		e := l.Purposes[p.String()]
		fmt.Fprintf(
			t,
			"%v\t%s\t%s\t%s\t%s\t%d\n",
			p,
			size(e.Held),
			size(e.Peak),
			size(e.Floor),
			size(e.Cap),
			e.Refused,
		)
	}
	t.Flush()
}

func size(n int64) string {
	switch {
	case n >= 10<<20:
		return fmt.Sprintf("%d MB", n>>20)
	case n >= 10<<10:
		return fmt.Sprintf("%d kB", n>>10)
	}
	return fmt.Sprintf("%d B", n)
}
