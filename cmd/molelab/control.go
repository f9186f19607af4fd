package main

// control.go owns the flags of `molelab control`. It must hold no part of the worlds themselves.

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"moleshift/lab/control"
)

type controlCmd struct {
	Members  []int         `default:"3,4,5,6" help:"Machines that count, in turn by seed."`
	Routers  int           `default:"3" help:"Machines that do not."`
	Seed     uint64        `default:"0" help:"The first one."`
	Seeds    int           `default:"300" help:"How many."`
	Length   time.Duration `default:"30s" help:"Of the time with faults, in virtual time."`
	Scenario string        `help:"Play this scenario instead, with each seed; 'all' plays all."`
}

func (c *controlCmd) Validate() error {
	for _, n := range c.Members {
		if n < 3 || n > 9 {
			return errors.New("--members from 3 to 9")
		}
	}
	if c.Seeds < 1 || c.Routers < 0 || c.Length < time.Second {
		return errors.New("--seeds from 1, --routers from 0, --length from 1s")
	}
	return nil
}

// Run plays the worlds. A bubble of virtual time can only be opened by a test, so the command is one.
func (c *controlCmd) Run() error {
	os.Args = os.Args[:1] // package testing reads its own flags
	match := func(_, _ string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{Name: "control", F: c.play}}, nil, nil)
	return nil
}

func (c *controlCmd) play(t *testing.T) {
	began := time.Now()
	var total control.Total
	t.Run("worlds", func(t *testing.T) {
		for i := range uint64(c.Seeds) {
			seed := c.Seed + i
			for name, o := range c.options(seed) {
				t.Run(fmt.Sprint(name, "-", seed), func(t *testing.T) {
					t.Parallel()
					total.Add(control.Play(t, seed, o))
				})
			}
		}
	})
	total.Write(os.Stdout)
	fmt.Printf("%.1f s\n", time.Since(began).Seconds())
}

// options gives the worlds of a seed by name.
func (c *controlCmd) options(seed uint64) map[string]control.Options {
	if c.Scenario == "" {
		return map[string]control.Options{"drawn": control.Drawn(seed, c.Members, c.Routers, c.Length)}
	}
	chosen := map[string]control.Options{}
	for _, s := range control.Scenarios {
		if c.Scenario == "all" || c.Scenario == s.Name {
			chosen[s.Name] = s.Options
		}
	}
	return chosen
}
