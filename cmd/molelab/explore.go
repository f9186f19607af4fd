package main

// explore.go owns the flags of `molelab explore`. It must hold no part of the exploration itself.

import (
	"errors"
	"fmt"
	"strings"

	"moleshift/lab/explore"
)

type exploreCmd struct {
	World  string `help:"Part of the names of the worlds to explore; all where it is empty."`
	Large  bool   `help:"Also the worlds that are too large for CI."`
	Most   int    `default:"0" help:"States visited at most in a world; 0: the world's own bound."`
	Plants bool   `help:"Plant each known fault and see that it is caught."`
}

// Run explores.
func (c *exploreCmd) Run() error {
	broken := 0
	var reports []map[string]any
	note := func(name string, r *explore.Report, wanted bool) {
		fmt.Printf("%-62s %v\n", name, r)
		if (r.Violation != nil) != wanted {
			broken++
			fmt.Println("  " + strings.Join(r.Trace, "\n  "))
		}
		reports = append(reports, map[string]any{"world": name, "states": r.States, "depth": r.Depth, "complete": r.Complete, "moves": len(r.Trace)})
	}
	for _, w := range explore.Worlds {
		if (w.Large && !c.Large) || !strings.Contains(w.Name, c.World) {
			continue
		}
		most := w.Most
		if c.Most > 0 {
			most = c.Most
		}
		note(w.Name, explore.Explore(w.Start(explore.Sound), most), false)
	}
	for _, p := range explore.PlantedFaults {
		if c.Plants {
			w := explore.WorldOf(explore.Worlds, p.World)
			note(string(p.Fault)+" in: "+p.World, explore.Explore(w.Start(p.Fault), w.Most), true)
		}
	}
	if err := sayJSON(map[string]any{"worlds": reports, "broken": broken}); err != nil {
		return err
	}
	if broken > 0 {
		return errors.New("worlds with a violation, or planted faults that were not caught")
	}
	return nil
}
