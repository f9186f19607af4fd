package main

// system.go owns the flags of `molelab system`, its table and the logs that it keeps. It must hold no part of the run itself.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	"moleshift/lab/soak"
)

const (
	mostSoakNodes   = 60
	mostSoakServers = 120
	mostStories     = 3 // that are printed of one seed
)

type systemCmd struct {
	Program     string        `default:"target/moleshiftd" help:"The system's program; make system builds it."`
	Nodes       int           `default:"3" help:"Processes of the system, 3 to 60; the first three count for the quorum."`
	Servers     int           `default:"4" help:"Stand-in model servers, 2 to 120, beside a third as many others."`
	Clients     int           `default:"24" help:"Clients, each with one connection at a time."`
	For         time.Duration `default:"40s" help:"How long clients, operator and strikes are at work, for each seed."`
	Seed        uint64        `default:"1" help:"The first one."`
	Seeds       int           `default:"1" help:"How many, one after the other."`
	Planned     bool          `help:"Planned work only: SIGTERM, SIGHUP, changes and namings. Nothing at all may be lost."`
	Sound       bool          `help:"Stand-in servers that break nothing off and take every order."`
	ChangeEvery time.Duration `default:"200ms" help:"Between two changes of the configuration."`
	StrikeEvery time.Duration `default:"2s" help:"Mean time between two strikes."`
	LogLevel    string        `default:"info" enum:"debug,info,warn,error" help:"Of the processes; debug has a line for each step of a request."`
	Out         string        `type:"path" help:"Folder for logs; without it those of seeds that break nothing are removed."`
}

func (c *systemCmd) Validate() error {
	switch {
	case c.Nodes < 3 || c.Nodes > mostSoakNodes:
		return fmt.Errorf("--nodes from 3 to %d", mostSoakNodes)
	case c.Servers < 2 || c.Servers > mostSoakServers:
		return fmt.Errorf("--servers from 2 to %d", mostSoakServers)
	case c.Clients < 1 || c.Seeds < 1 || c.For < time.Second || c.ChangeEvery <= 0 || c.StrikeEvery <= 0:
		return errors.New("--clients and --seeds from 1, --for from 1s, --change-every and --strike-every above 0")
	}
	return nil
}

// Run soaks, one seed after the other.
func (c *systemCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var total systemTotal
	for i := range uint64(c.Seeds) {
		result, err := c.play(ctx, c.Seed+i)
		if err != nil {
			return err
		}
		total.add(result)
	}
	if err := sayJSON(&total); err != nil {
		return err
	}
	if total.Broken > 0 {
		return errBounds
	}
	return nil
}

// systemTotal is what all seeds of a call come to.
type systemTotal struct {
	Seeds         int     `json:"seeds"`
	SeedsBroken   int     `json:"seeds_broken"`
	Broken        int     `json:"broken"`
	Requests      int     `json:"requests"`
	JudgedLost    int     `json:"judged_for_loss"`
	JudgedVersion int     `json:"judged_for_versions"`
	Margin        float64 `json:"most_of_the_bound_on_versions"`
}

func (t *systemTotal) add(r *soak.Result) {
	t.Seeds++
	t.SeedsBroken += min(len(r.Violations), 1)
	t.Broken += len(r.Violations)
	t.Requests += len(r.History.Requests)
	t.JudgedLost += r.Judged.Lost
	t.JudgedVersion += r.Judged.Version
	t.Margin = max(t.Margin, r.Margin)
}

// play plays one seed.
func (c *systemCmd) play(ctx context.Context, seed uint64) (*soak.Result, error) {
	dir, err := c.folder(seed)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	result, err := soak.Run(ctx, soak.Options{
		Program: c.Program, Nodes: c.Nodes, Servers: c.Servers, Clients: c.Clients, For: c.For, Seed: seed, Planned: c.Planned, Sound: c.Sound,
		ChangeEvery: c.ChangeEvery, StrikeEvery: c.StrikeEvery, Dir: dir, LogLevel: c.LogLevel,
		Tell: func(line string) { fmt.Fprintln(os.Stderr, line) },
	})
	if err != nil {
		return nil, err
	}
	c.print(seed, time.Since(began), result)
	switch {
	case len(result.Violations) > 0:
		fmt.Printf("logs: %s; again: molelab system --seed %d --nodes %d --servers %d --clients %d --for %v --planned=%v\n",
			dir, seed, c.Nodes, c.Servers, c.Clients, c.For, c.Planned)
	case c.Out == "":
		_ = os.RemoveAll(dir) // what is left lies in the folder for temporary files
	}
	return result, nil
}

func (c *systemCmd) folder(seed uint64) (string, error) {
	if c.Out == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	}
	return filepath.Join(c.Out, fmt.Sprint("seed-", seed)), nil
}

// brokenOff counts the runs that their servers broke off.
func brokenOff(h *soak.History) int {
	return lo.CountBy(h.Runs, func(run soak.Execution) bool { return run.Broken })
}

func (c *systemCmd) print(seed uint64, took time.Duration, result *soak.Result) {
	h := result.History
	outcomes, strikes := map[int]int{}, map[string]int{}
	cut := 0
	for _, r := range h.Requests {
		outcomes[r.Status]++
		if !r.Whole && !r.Left {
			cut++
		}
	}
	for _, s := range h.Strikes {
		strikes[s.Name]++
	}
	fmt.Printf("seed %d, %.0f s: %d requests (", seed, took.Seconds(), len(h.Requests))
	for _, status := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Printf("%d: %d, ", status, outcomes[status])
	}
	fmt.Printf("not whole %d), %d judged for loss, %d for versions, %d runs, %d broken off, %d changes, %d reads, %d keys, %d namings, strikes %v; %.2f of the bound on versions used; broken: %d\n",
		cut, result.Judged.Lost, result.Judged.Version, len(h.Runs), brokenOff(h), len(h.Changes), len(h.Reads), len(h.Keys), len(h.Namings), strikes, result.Margin, len(result.Violations))
	rules := map[string]int{}
	for _, v := range result.Violations {
		if rules[v.Rule]++; rules[v.Rule] <= mostStories {
			fmt.Println(v)
		}
	}
	for _, rule := range slices.SortedFunc(maps.Keys(rules), cmp.Compare[string]) {
		fmt.Printf("%s: %d\n", rule, rules[rule])
	}
}
