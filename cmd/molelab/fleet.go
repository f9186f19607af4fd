package main

// fleet.go owns the commands on descriptions of a service. It must hold no part of their form.

import (
	"errors"
	"fmt"
	"os"
	"time"

	"moleshift/config"
	"moleshift/fleet"
)

type fleetCmd struct {
	Import fleetImport `cmd:"" help:"Make a description from routers' configurations (EDGE_CONFIG) and the list of leaves."`
	Check  fleetCheck  `cmd:"" help:"Check a description, and tell what it amounts to."`
}

type fleetImport struct {
	Configs     []string      `arg:"" help:"Configurations of routers, as EDGE_CONFIG names them."`
	List        string        `help:"List of leaves (JSON, as discovery gives it); else the one known in the first configuration."`
	Cores       int           `default:"4" help:"Of a leaf."`
	Speed       float64       `default:"1" help:"Of a leaf's core."`
	Queue       int           `default:"64" help:"Parts that may wait at a leaf."`
	Connections int           `help:"That a leaf holds at most; 0: not told."`
	PerQuery    time.Duration `name:"cpu-per-query" help:"Of a router."`
	PerCall     time.Duration `name:"cpu-per-call" help:"Of a router."`
	Out         string        `short:"o" help:"File to write; else the description is printed."`
}

// Run makes the description. Notes stand in it as comments, and on standard error.
func (c *fleetImport) Run() error {
	var routers []*config.Config
	for _, path := range c.Configs {
		one, err := config.Load(func(key string) string {
			if key == "EDGE_CONFIG" {
				return path
			}
			return ""
		})
		if err != nil {
			return err
		}
		routers = append(routers, one)
	}
	var list *config.List
	if c.List != "" {
		text, err := os.ReadFile(c.List)
		if err != nil {
			return err
		}
		l, left, err := config.DecodeList(text)
		if err != nil {
			return fmt.Errorf("%s: %w", c.List, err)
		}
		for _, why := range left {
			fmt.Fprintf(os.Stderr, "%s: left out: %v\n", c.List, why)
		}
		list = &l
	}
	f, notes, err := fleet.Import(
		routers,
		list,
		fleet.Guess{Cores: c.Cores, Speed: c.Speed, Queue: c.Queue, Connections: c.Connections,
			PerQuery: c.PerQuery, PerCall: c.PerCall},
	)
	for _, n := range notes {
		fmt.Fprintln(os.Stderr, n)
	}
	if err != nil {
		return err
	}
	if c.Out == "" {
		return f.Write(os.Stdout, notes)
	}
	out, err := os.OpenFile(c.Out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Write(out, notes), out.Close()); err != nil {
		return err
	}
	return sayJSON(
		map[string]any{"file": c.Out, "leaves": len(f.Leaves), "routers": len(f.Nodes), "notes": len(notes)},
	)
}

type fleetCheck struct {
	Fleet string `arg:"" help:"Description (YAML)."`
}

// Run checks it.
func (c *fleetCheck) Run() error {
	f, err := fleet.Load(c.Fleet)
	if err != nil {
		return err
	}
	cores := 0
	for _, l := range f.Leaves {
		cores += f.Kinds[l.Kind].Cores
	}
	fmt.Printf(
		"%d leaves with %d cores in %d zones, %d shards in %d cells, %d routers, %d verticals\n",
		len(f.Leaves),
		cores,
		len(f.Zones),
		f.Shards,
		f.Cells,
		len(f.Nodes),
		len(f.Verticals),
	)
	return sayJSON(map[string]any{"leaves": len(f.Leaves), "cores": cores, "routers": len(f.Nodes)})
}
