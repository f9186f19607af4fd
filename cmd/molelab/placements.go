package main

// placements.go owns the flags of `molelab placements`. It must hold no part of the counting itself.

import (
	"fmt"
	"os"

	"moleshift/lab/placements"
)

type placementsCmd struct {
	Log         []string `arg:"" type:"existingfile" help:"Request logs of all routers, written at the level debug; the bench's output with --log all will do."`
	LeastShared float64  `default:"1000" help:"Count requests whose prompts have at least so many shared tokens."`
}

// Run prints the table.
func (c *placementsCmd) Run() error {
	var list []placements.Sent
	for _, name := range c.Log {
		sent, err := readPlacements(name)
		if err != nil {
			return err
		}
		list = append(list, sent...)
	}
	table := placements.Count(list, c.LeastShared)
	if table.Requests == 0 {
		return fmt.Errorf("no request with %.0f shared tokens in these logs: the routers write them at --log-level debug only", c.LeastShared)
	}
	table.Write(os.Stdout)
	return sayJSON(table)
}

func readPlacements(name string) ([]placements.Sent, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return placements.Read(file)
}
