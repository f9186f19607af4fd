// Molelab is the laboratory of moleshift: it plays what a router meets, and measures. This file owns the
// commands and their flags; what they do is in lab/. The daemon must never link any of it.
package main

import (
	"errors"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Duties     dutiesCmd     `cmd:"" help:"Play instances that share periodic duties: who probes whom when, with kills, partitions and losses."`
	Leases     leasesCmd     `cmd:"" help:"Play instances among which rights have one holder: election, fencing, handover, and work under them."`
	Subset     subsetCmd     `cmd:"" help:"Compare ways in which routers choose the leaves that they hold connections to."`
	Capture    captureCmd    `cmd:"" help:"Look at captures of load, and make new ones."`
	Fleet      fleetCmd      `cmd:"" help:"Make and check descriptions of a service."`
	Plan       planCmd       `cmd:"" help:"Say what a fleet bears: what breaks first, how many leaves a goal takes, what losses do."`
	Validate   validateCmd   `cmd:"" help:"Play a load on sockets, with real routers, and in emulation, and hold them against each other."`
	Flood      floodCmd      `cmd:"" help:"Flood a router with what bad clients do, and see whether known clients are still served."`
	Soak       soakCmd       `cmd:"" help:"A long run with floods now and then: does what a router holds grow?"`
	System     systemCmd     `cmd:"" help:"Soak the whole system: its real processes under signals, restarts and changes that overlap, judged from outside."`
	Conform    conformCmd    `cmd:"" help:"One script through both fronts: is it settled the same, and is every answer right?"`
	Reshape    reshapeCmd    `cmd:"" help:"Have shards split, merge and move under load: is every answer complete and right?"`
	Emulate    emulateCmd    `cmd:"" help:"Play a described fleet and load in virtual time, with the real decision module in each router."`
	Days       daysCmd       `cmd:"" help:"Draw day files for the operators' bench, over every kind of disruption."`
	Control    controlCmd    `cmd:"" help:"Play the control plane in virtual time: members and routers among drawn faults, judged from outside."`
	Releases   releasesCmd   `cmd:"" help:"Play releases of good and bad versions in virtual time, under the real decisions: who is completed, who is rolled back, what a bad one gets."`
	Explore    exploreCmd    `cmd:"" help:"Visit every state of small worlds of the decision packages, and check what must hold in each."`
	Placements placementsCmd `cmd:"" help:"Say from request logs where servers had shared prompt parts from, and what was read again."`
}

// The exit statuses of a call whose flags are wrong: what kong gives, and what is usual.
const (
	kongUsage = 80
	exitUsage = 2
)

func exit(code int) {
	if code == kongUsage {
		code = exitUsage
	}
	os.Exit(code)
}

func main() {
	ctx := kong.Parse(
		&commands{},
		kong.Name("molelab"),
		kong.Description(
			"The laboratory of moleshift. Every command takes a seed, prints a table, ends with one line of JSON, "+
				"and exits with 1 when a bound was broken.",
		),
		kong.UsageOnError(),
		kong.Exit(exit),
	)
	err := ctx.Run()
	if errors.Is(err, errOutOfReach) {
		ctx.Errorf("%s", err)
		ctx.Exit(2)
	}
	ctx.FatalIfErrorf(err)
}
