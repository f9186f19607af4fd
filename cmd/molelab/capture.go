package main

// capture.go owns the commands that look at captures and make new ones. It must hold no part of their form.

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"moleshift/capture"
)

type captureCmd struct {
	Info  captureInfo  `cmd:"" help:"Tell what a capture holds, and what of it is damaged."`
	Cut   captureCut   `cmd:"" help:"Keep a window of time."`
	Scale captureScale `cmd:"" help:"Thin the load or multiply it, for all or for one tenant or vertical."`
	Merge captureMerge `cmd:"" help:"Put captures of several routers together, by time."`
	Synth captureSynth `cmd:"" help:"Make a capture from a description (YAML)."`

	Calibrate captureCalibrate `cmd:"" help:"Work out what parts take from the calls that a live capture holds."`
}

// load reads captures whole, and tells of damage.
func load(path string) (*capture.Reader, []*capture.Query, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	r, all, err := capture.ReadAll(f)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, d := range r.Damage {
		fmt.Fprintf(os.Stderr, "%s: at byte %d: %s\n", path, d.Offset, d.Says)
	}
	return r, all, nil
}

// save writes a capture; an old file is not overwritten.
func save(path string, h capture.Header, all []*capture.Query) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	w, err := capture.NewWriter(f, h)
	for _, q := range all {
		if err == nil {
			err = w.Add(q)
		}
	}
	if err == nil {
		err = w.Flush()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = sayJSON(map[string]any{"file": path, "queries": w.Queries, "bytes": w.Written})
	}
	return err
}

func sayJSON(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

type captureInfo struct {
	Files []string `arg:"" help:"Captures."`
}

// Run prints a summary of each.
func (c *captureInfo) Run() error {
	damaged, total := 0, 0
	for _, path := range c.Files {
		r, all, err := load(path)
		if err != nil {
			return err
		}
		s := capture.Summarise(all)
		damaged, total = damaged+len(r.Damage), total+s.Queries
		fmt.Printf(
			"%s: router %s, from %s, %.1f s, %g of the queries\n",
			path,
			r.Header.Router,
			r.Header.Begun.Format(time.RFC3339),
			s.Seconds,
			r.Header.Sample,
		)
		fmt.Printf(
			"%d queries in %d blocks, %.1f a second, %d in the busiest one; %d damaged stretches\n",
			s.Queries,
			r.Blocks,
			float64(s.Queries)/s.Seconds,
			s.Peak,
			len(r.Damage),
		)
		if s.Keys > 0 {
			fmt.Printf("%d keys; the hottest has %.1f%% of the queries\n", s.Keys, 100*s.HotKey)
		}
		t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(
			t,
			"\tqueries\tparts\twork, ms/s\twhole\tpartial\trejected\taborted\tleft\t50% ms\t99% ms",
		)
		for _, list := range [][]capture.GroupSummary{s.Verticals, s.Tenants} {
			for _, g := range list {
				name := g.Name
				if name == "" {
					name = "(none)"
				}
				fmt.Fprintf(
					t,
					"%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n",
					name,
					g.Queries,
					g.Parts,
					g.Work/s.Seconds,
					g.Finals[1],
					g.Finals[2],
					g.Finals[3],
					g.Finals[4],
					g.Finals[5],
					float64(g.Took.ValueAtQuantile(50))/10,
					float64(g.Took.ValueAtQuantile(99))/10,
				)
			}
		}
		t.Flush()
		shards := append([]int{}, s.Shards...)
		sort.Sort(sort.Reverse(sort.IntSlice(shards)))
		if n := len(shards); n > 0 {
			fmt.Printf(
				"parts by shard: most %d, median %d, least %d of %d shards\n",
				shards[0],
				shards[n/2],
				shards[n-1],
				n,
			)
		}
		fmt.Printf("calls by outcome: %v\n\n", s.Calls)
	}
	return sayJSON(map[string]any{"files": len(c.Files), "queries": total, "damaged": damaged})
}

type captureCut struct {
	In   string        `arg:"" help:"Capture."`
	Out  string        `arg:"" help:"New file."`
	From time.Duration `help:"From the capture's start."`
	For  time.Duration `help:"Length of the window; all the rest without it."`
}

// Run cuts.
func (c *captureCut) Run() error {
	r, all, err := load(c.In)
	if err != nil {
		return err
	}
	r.Header.Begun = r.Header.Begun.Add(c.From)
	return save(c.Out, r.Header, capture.Cut(all, c.From, c.For))
}

type captureScale struct {
	In       string  `arg:"" help:"Capture."`
	Out      string  `arg:"" help:"New file."`
	Times    float64 `required:"" help:"Times the load."`
	Tenant   string  `help:"Only of this tenant."`
	Vertical string  `help:"Only of this vertical."`
	Seed     uint64  `default:"1" help:"Of what is drawn."`
}

// Run scales.
func (c *captureScale) Run() error {
	if c.Times < 0 || c.Times > 1000 {
		return errors.New("--times from 0 to 1000")
	}
	r, all, err := load(c.In)
	if err != nil {
		return err
	}
	return save(c.Out, r.Header, capture.Scale(all, c.Times, c.Tenant, c.Vertical, c.Seed))
}

type captureMerge struct {
	Out string   `arg:"" help:"New file."`
	In  []string `arg:"" help:"Captures."`
}

// Run merges.
func (c *captureMerge) Run() error {
	var pieces []capture.Piece
	var h capture.Header
	for i, path := range c.In {
		r, all, err := load(path)
		if err != nil {
			return err
		}
		if i > 0 && (r.Header.Shards != h.Shards || r.Header.Sample != h.Sample) {
			return fmt.Errorf(
				"%s: %d shards, %g of the queries, where %s has %d, %g: they don't go together",
				path,
				r.Header.Shards,
				r.Header.Sample,
				c.In[0],
				h.Shards,
				h.Sample,
			)
		}
		h = r.Header
		pieces = append(pieces, capture.Piece{Begun: r.Header.Begun, Queries: all})
	}
	var all []*capture.Query
	h.Begun, all = capture.Merge(pieces)
	h.Router = "merged"
	return save(c.Out, h, all)
}

type captureSynth struct {
	Load   string `arg:"" help:"Description of a load (YAML)."`
	Out    string `arg:"" help:"New file."`
	Shards int    `required:"" help:"Of the service."`
	Seed   uint64 `default:"1" help:"Of all that is drawn."`
}

// Run makes a capture.
func (c *captureSynth) Run() error {
	s, err := capture.LoadSynth(c.Load)
	if err != nil {
		return err
	}
	if c.Shards < 1 {
		return errors.New("--shards from 1")
	}
	var all []*capture.Query
	source := s.NewSource(c.Shards, c.Seed)
	for q := source.Next(); q != nil; q = source.Next() {
		all = append(all, q)
	}
	return save(c.Out, capture.Header{Router: "synthetic", Sample: 1, Shards: c.Shards}, all)
}
