package main

// duties.go owns the flags of `molelab duties`. It must hold no part of the game itself.

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"moleshift/lab/duties"
)

type dutiesCmd struct {
	Instances  int           `default:"8" help:"Instances that know one another."`
	Leaves     int           `default:"100" help:"Leaves, each with one duty: its probe."`
	Interval   time.Duration `default:"2s" help:"Of the duties."`
	For        time.Duration `default:"2m" help:"How long to play."`
	Kills      int           `help:"Instances that die, to come back with nothing remembered."`
	Partitions int           `help:"Times that the instances fall into two to five sides."`
	Pauses     int           `help:"Instances that stand still for 0.5 to 5.5 s."`
	Churn      bool          `help:"Leaves come and go."`
	Loss       float64       `help:"Share of messages that are lost."`
	Skew       time.Duration `default:"100ms" help:"The most by which two clocks differ."`
	Lease      time.Duration `default:"600ms" help:"How long a leader's right to plan holds."`
	Seed       uint64        `default:"1" help:"Of all that is drawn."`
	Sockets    bool          `help:"Play in real time on loopback sockets, with gossip between the instances; kills only."`
	Seeds      int           `default:"1" help:"Runs, each with the next seed; all are summed up."`
}

var errBroken = errors.New("a bound was broken")

func (c *dutiesCmd) Validate() error {
	switch {
	case c.Instances < 1 || c.Instances > 1000 || c.Leaves < 1:
		return errors.New("--instances from 1 to 1000, --leaves from 1")
	case c.Interval < 4*c.Skew || c.Interval < 100*time.Millisecond:
		return errors.New("--interval must be four times --skew, and 100ms at least")
	case c.Sockets && (c.Partitions > 0 || c.Pauses > 0 || c.Churn || c.Loss > 0 || c.Seeds > 1):
		return errors.New("--sockets knows --kills alone")
	case c.Interval < 3*c.Lease:
		return errors.New(
			"--interval must be three times --lease, or the loss of two leaders is felt for longer than two of them",
		)
	case c.Loss < 0 || c.Loss >= 1 || c.Skew < 0 || c.Lease < 100*time.Millisecond || c.For <= 0 || c.Seeds < 1:
		return errors.New("--loss from 0 to 1, --lease from 100ms, --for and --seeds above 0")
	}
	return nil
}

func (c *dutiesCmd) options(seed uint64) duties.Options {
	return duties.Options{
		Instances:  c.Instances,
		Leaves:     c.Leaves,
		Interval:   c.Interval,
		For:        c.For,
		Kills:      c.Kills,
		Partitions: c.Partitions,
		Pauses:     c.Pauses,
		Churn:      c.Churn,
		Loss:       c.Loss,
		Skew:       c.Skew,
		Lease:      c.Lease,
		Seed:       seed,
	}
}

// Run plays the runs, several at a time, and tells of them in order.
func (c *dutiesCmd) Run() error {
	if c.Sockets {
		r, err := duties.RunSockets(c.options(c.Seed), func(done, of time.Duration) {
			fmt.Fprintf(os.Stderr, "\r%v of %v   ", done.Round(time.Second), of)
		})
		if err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr)
		return tell(r)
	}
	results := make([]*duties.Result, c.Seeds)
	var group errgroup.Group
	group.SetLimit(min(runtime.GOMAXPROCS(0), c.Seeds))
	var over atomic.Int64
	for n := range c.Seeds {
		group.Go(func() (err error) {
			results[n], err = duties.Run(c.options(c.Seed+uint64(n)), func(done, of time.Duration) {
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
	var sum *duties.Result
	for _, r := range results {
		if r.Broken() && c.Seeds > 1 {
			r.Table(os.Stdout)
		}
		sum = sum.Plus(r)
	}
	if c.Seeds > 1 {
		fmt.Printf("%d runs together\n", c.Seeds)
	}
	return tell(sum)
}

// tell prints a result; a broken bound is an error.
func tell(r *duties.Result) error {
	r.Table(os.Stdout)
	fmt.Println(r.JSON())
	if r.Broken() {
		return errBroken
	}
	return nil
}
