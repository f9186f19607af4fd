package main

// subset.go owns the flags of `molelab subset`. It must hold no part of the comparison itself.

import (
	"errors"
	"os"

	uneven "moleshift/lab/spread"
)

type subsetCmd struct {
	Routers []int  `default:"10,30,100,300,1000" help:"Numbers of routers."`
	Leaves  []int  `default:"12,60" help:"Numbers of leaves with the same shards."`
	Hold    int    `default:"4" help:"Leaves that each router holds."`
	Seed    uint64 `default:"1" help:"Of all that is drawn."`
}

func (c *subsetCmd) Validate() error {
	if c.Hold < 1 {
		return errors.New("--hold from 1")
	}
	for _, n := range append(append([]int{}, c.Routers...), c.Leaves...) {
		if n < 1 || n > 10000 {
			return errors.New("--routers and --leaves from 1 to 10000")
		}
	}
	return nil
}

// Run compares.
func (c *subsetCmd) Run() error {
	var all []uneven.Held
	for _, leaves := range c.Leaves {
		for _, routers := range c.Routers {
			all = append(all, uneven.Subsets(routers, leaves, c.Hold, c.Seed)...)
		}
	}
	uneven.SubsetTable(os.Stdout, all)
	return sayJSON(map[string]any{"hold": c.Hold, "seed": c.Seed, "ways": all})
}
