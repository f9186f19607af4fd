package main

// leases.go owns the flags of `molelab leases`. It must hold no part of the game itself.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/lab/leases"
	"moleshift/lab/plant"
	"moleshift/lab/processes"
)

type leasesCmd struct {
	Instances int           `default:"40" help:"Instances that know one another."`
	Rights    int           `default:"24" help:"Rights, each with a job."`
	For       time.Duration `default:"5m" help:"How long to play."`
	Faults    int           `default:"40" help:"Kills, standstills, ends, cuts (also one way) and full disks, drawn over the run but for its last 30 s."`
	Loss      float64       `help:"Share of messages that are lost."`
	Skew      time.Duration `default:"100ms" help:"The most by which two clocks differ."`
	Lease     time.Duration `default:"600ms" help:"How long a right holds without more time."`
	Diskless  float64       `help:"Share of the restarts after a kill that find nothing kept."`
	Bare      bool          `help:"No work under the rights: what they cost by themselves."`
	Seed      uint64        `default:"1" help:"Of all that is drawn."`
	Seeds     int           `default:"1" help:"Runs, each with the next seed; all are summed up."`
	Poison    bool          `help:"The first right's work takes its holder down each time; two seconds later that is back."`
	Story     string        `help:"Tell what led to the longest time without a holder after faults of a kind, such as sigterm; all for any."`
	Processes int           `help:"Play with so many real routers on loopback instead, and real faults; --for is then a minute where it is not given."`
	Router    string        `default:"bin/moleshift-lab" help:"With --processes: the routers' program."`
	Timeline  string        `help:"With --processes: a YAML file of faults, instead of drawn ones."`
	Every     time.Duration `default:"250ms" help:"With --processes: between two steps of a job."`
	Logs      bool          `help:"With --processes: leave the routers' files and logs, and tell where."`
	Plant     string        `help:"Plant a known fault (all: one after the other) and see whether it is caught; needs the go command and the source."`
	Source    string        `default:"." help:"With --plant: the root of the source."`
	Sweep     bool          `help:"Each run has from 5 to 160 instances and up to 10% of loss, by its seed."`
}

func (c *leasesCmd) Validate() error {
	switch {
	case c.Instances < 1 || c.Instances > 1000 || c.Rights < 1 || c.Rights > 1000:
		return errors.New("--instances and --rights from 1 to 1000")
	case c.Loss < 0 || c.Loss >= 1 || c.Skew < 0 || c.Lease < 4*c.Skew || c.Lease < 100*time.Millisecond || c.For <= 0 || c.Seeds < 1:
		return errors.New("--loss from 0 to 1, --lease from 100ms and four times --skew, --for and --seeds above 0")
	case c.Diskless < 0 || c.Diskless > 1 || c.Faults < 0:
		return errors.New("--diskless from 0 to 1, --faults from 0")
	}
	return nil
}

func (c *leasesCmd) options(seed uint64) leases.Options {
	o := leases.Options{Instances: c.Instances, Rights: c.Rights, For: c.For, Faults: c.Faults, Loss: c.Loss, Skew: c.Skew,
		Lease: c.Lease, Diskless: c.Diskless, Bare: c.Bare, Poison: c.Poison, Story: c.Story, Seed: seed}
	if c.Sweep {
		sizes := []int{5, 7, 12, 20, 40, 80, 160}
		o.Instances, o.Loss = sizes[seed%uint64(len(sizes))], float64(seed%11)/100
	}
	return o
}

// Run plays the runs, several at a time, and tells of them in order.
func (c *leasesCmd) Run() error {
	if c.Plant != "" {
		return c.plant()
	}
	if c.Processes > 0 {
		return c.processes()
	}
	results := make([]*leases.Result, c.Seeds)
	var group errgroup.Group
	group.SetLimit(min(runtime.GOMAXPROCS(0), c.Seeds))
	var over atomic.Int64
	for n := range c.Seeds {
		group.Go(func() (err error) {
			results[n], err = leases.Run(c.options(c.Seed+uint64(n)), func(done, of time.Duration) {
				if c.Seeds == 1 {
					fmt.Fprintf(os.Stderr, "\r%v of %v   ", done.Round(time.Second), of)
				}
			})
			fmt.Fprintf(os.Stderr, "\r%d of %d runs   ", over.Add(1), c.Seeds)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	var sum *leases.Result
	for _, r := range results {
		sum = sum.Plus(r)
	}
	sum.Table(os.Stdout)
	fmt.Println(sum.JSON())
	if sum.Broken() {
		return errBroken
	}
	return nil
}

// plant looks for planted faults.
func (c *leasesCmd) plant() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	o := plant.Options{Root: c.Source, Seeds: max(c.Seeds, 20), Only: c.Plant}
	if o.Only == "all" {
		o.Only = ""
	}
	all, err := plant.Run(ctx, o, func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		return err
	}
	plant.Table(os.Stdout, all)
	missed := 0
	for _, one := range all {
		if one.By == "" {
			missed++
		}
	}
	if err := sayJSON(map[string]any{"planted": len(all), "missed": missed, "faults": all}); err != nil {
		return err
	}
	if missed > 0 {
		return errBroken
	}
	return nil
}

// processes plays with real routers, one run after the other.
func (c *leasesCmd) processes() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	o := processes.Options{Program: c.Router, Instances: c.Processes, Rights: c.Rights, For: c.For, Faults: c.Faults, Lease: c.Lease,
		Skew: c.Skew, Every: c.Every, Link: processes.Link{Loss: c.Loss}, Seed: c.Seed,
		Tell: func(line string) { fmt.Fprintln(os.Stderr, line) }}
	if c.Logs {
		o.Keep = "yes"
	}
	if c.Timeline != "" {
		var err error
		if o.Timeline, err = processes.ReadTimeline(c.Timeline, c.Processes); err != nil {
			return err
		}
	}
	var sum *processes.Result
	for n := range c.Seeds {
		o.Seed = c.Seed + uint64(n)
		r, err := processes.Run(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		if c.Logs {
			fmt.Fprintln(os.Stderr, "files and logs:", r.Dir)
		}
		if r.Bad() && c.Seeds > 1 {
			r.Table(os.Stdout)
		}
		sum = sum.Plus(r)
	}
	sum.Table(os.Stdout)
	fmt.Println(sum.JSON())
	if sum.Bad() {
		return errBroken
	}
	return nil
}
