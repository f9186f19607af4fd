package main

// reshape.go owns the flags of `molelab reshape`, and how a run is told. It must hold no part of it itself.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"moleshift/lab/reshape"
)

type reshapeCmd struct {
	Router string        `default:"bin/moleshift" help:"The router's program."`
	For    time.Duration `default:"60s" help:"How long."`
	Every  time.Duration `default:"1s" help:"Between changes."`
	Rate   float64       `default:"150" help:"Queries a second."`
	Seed   uint64        `default:"1" help:"Of all that is drawn."`
}

// Run reshapes.
func (c *reshapeCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := reshape.Run(ctx, reshape.Options{Program: c.Router, For: c.For, Every: c.Every, Rate: c.Rate, Seed: c.Seed,
		Tell: func(at time.Duration, version int64) {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%v of %v, version %d", at.Round(time.Second), c.For, version)
		}})
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr)
	fmt.Printf("%d versions: %d splits, %d merges, %d moves ended; the snapshot has version %d\n", r.Changes, r.Splits, r.Merges, r.Moves, r.Version)
	fmt.Printf("%d queries: %d whole, %d partly, %d refused, %d failed, mean %.1f ms\n", r.Queries, r.Whole, r.Partly, r.Refused, r.Failed, r.MeanMS)
	fmt.Printf("wrong answers %d, run twice %d, worked on by others %d, turned away by leaves %d, late %d; cold holders got %d of "+
		"%d parts of their ranges\n", r.Wrong, r.Twice, r.Misplaced, r.Turned, r.Late, r.ColdParts, r.ColdOf)
	for _, line := range r.Log() {
		fmt.Println("not published:", line)
	}
	for _, b := range r.Broken() {
		fmt.Println("broken:", b)
	}
	if err := sayJSON(r); err != nil {
		return err
	}
	if len(r.Broken()) > 0 {
		return errBounds
	}
	return nil
}
