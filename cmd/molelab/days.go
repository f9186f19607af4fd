package main

// days.go owns the flags of `molelab days`. It must hold no part of the drawing itself.

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"moleshift/lab/days"
)

type daysCmd struct {
	Seed    uint64   `default:"1" help:"Of the first day; each further day takes the next."`
	Days    int      `default:"1" help:"How many."`
	Focus   string   `default:"any" enum:"any,control,start,weights,planned" help:"What the days are drawn from: any kind, kinds that strike the control plane, those with the start of the system disturbed, weights named in series beside planned work, or the same without any fault."`
	Without []string `help:"Kinds to leave out, where a deployment does not know them."`
	Out     string   `type:"path" help:"Folder for a file a day; without it the days are printed."`
}

func (c *daysCmd) Validate() error {
	if c.Days < 1 || c.Days > 10000 {
		return errors.New("--days from 1 to 10000")
	}
	return nil
}

// Run draws the days.
func (c *daysCmd) Run() error {
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return fmt.Errorf("the folder for the days cannot be made, see --out: %w", err)
		}
	}
	for i := range uint64(c.Days) {
		day := days.Draw(c.Seed+i, days.Focus(c.Focus), c.Without...)
		if c.Out == "" {
			fmt.Print(day.TOML())
			continue
		}
		if err := os.WriteFile(filepath.Join(c.Out, day.Name+".toml"), []byte(day.TOML()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
