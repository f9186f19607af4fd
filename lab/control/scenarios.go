package control

import "time"

// Scenario is a world with a fixed script. Each one brings about a failure that operators have met with systems of this kind, or one
// that was found here.
type Scenario struct {
	Name    string
	About   string
	Options Options
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scenario makes a world of some members that may lose so many disks at once.
func scenario(name, about string, members, disks int, script ...Step) Scenario {
	return Scenario{name, about, Options{
		Members: members, Routers: 3, Tolerance: disks, Length: 30 * time.Second, Operators: 2, Gap: 300 * time.Millisecond, Servers: 4, Script: script,
	}}
}

// minutes makes a world of a quarter of an hour, in which little happens but that versions are ordered, and ordered again after minutes.
func minutes(name, about string, script ...Step) Scenario {
	return Scenario{name, about, Options{
		Members: 3, Routers: 1, Tolerance: 1, Length: 15 * time.Minute, Operators: 1, Gap: 20 * time.Second, Releases: time.Minute, Script: script,
	}}
}

// Scenarios lists them.
var Scenarios = []Scenario{
	scenario("cut-off-twenty-seconds", "a member is cut off from the core for twenty seconds while changes go on", 3, 1,
		Step{At: seconds(5), Kind: Cut, For: seconds(20)}, Step{At: seconds(8), Kind: Race}, Step{At: seconds(12), Kind: Race}),
	scenario("cut-off-from-all", "a member is cut off from every machine for twenty seconds, and its disk is slow as it comes back", 3, 1,
		Step{At: seconds(4), Kind: CutAll, For: seconds(20), Which: 1}, Step{At: seconds(23), Kind: DiskSlow, For: seconds(4), Which: 1}),
	scenario("deaf-member", "what a member sends is lost, it hears the others", 3, 1,
		Step{At: seconds(4), Kind: CutOneWay, For: seconds(20)}, Step{At: seconds(10), Kind: Race}),
	scenario("frozen-member", "a member stands still for twenty seconds, in the middle of a storm of changes", 4, 1,
		Step{At: seconds(4), Kind: Storm}, Step{At: seconds(5), Kind: Freeze, For: seconds(20)}),
	scenario("halves", "the core is cut into halves twice", 4, 1,
		Step{At: seconds(5), Kind: Split, For: seconds(6), Which: -1}, Step{At: seconds(14), Kind: Split, For: seconds(6), Which: -1},
		Step{At: seconds(7), Kind: Race}, Step{At: seconds(16), Kind: Race}),
	scenario("two-under-one-number", "operators race while acknowledgements are lost", 4, 1,
		Step{At: seconds(4), Kind: AckLost, For: seconds(18)}, Step{At: seconds(5), Kind: Race}, Step{At: seconds(7), Kind: Race},
		Step{At: seconds(9), Kind: Race}, Step{At: seconds(9.2), Kind: Kill}, Step{At: seconds(12), Kind: Race}, Step{At: seconds(12.1), Kind: PowerAll, For: seconds(1)}),
	scenario("replaced-twice", "the oldest member is replaced with notice, then the next without", 3, 1,
		Step{At: seconds(5), Kind: Planned, Which: 0}, Step{At: seconds(13), Kind: Replace, Which: 0}),
	scenario("wiped-after-replacement", "a disk is lost, with everything else dark, as soon as a replacement counts no longer", 3, 1,
		Step{At: seconds(5), Kind: Replace, Which: 0}, Step{At: seconds(16), Kind: WipeDark, For: seconds(2), Which: 0}),
	scenario("wiped-after-notice", "a disk is lost, with everything else dark, after a replacement with notice", 4, 1,
		Step{At: seconds(5), Kind: Planned, Which: 1}, Step{At: seconds(17), Kind: WipeDark, For: seconds(2), Which: 2}),
	scenario("leaves-cut-off", "a member is told to end while it is cut off, then another disk is lost", 4, 1,
		Step{At: seconds(5), Kind: Cut, For: seconds(4), Which: 0}, Step{At: seconds(5.5), Kind: Roll, Which: 0}, Step{At: seconds(20), Kind: Wipe, For: seconds(1), Which: 1}),
	scenario("rolled", "every member is told to end in its turn, among changes", 4, 1,
		Step{At: seconds(4), Kind: Roll, Which: 0}, Step{At: seconds(9), Kind: Roll, Which: 1}, Step{At: seconds(14), Kind: Roll, Which: 2}, Step{At: seconds(19), Kind: Roll, Which: 3}),
	scenario("hundreds-of-changes", "a member restarts after hundreds of changes, and another one with an empty disk", 3, 1,
		Step{At: seconds(3), Kind: Power, For: seconds(14), Which: 0}, Step{At: seconds(3.5), Kind: Storm}, Step{At: seconds(20), Kind: Wipe, For: seconds(1), Which: 1}),
	scenario("first-member-dark", "a machine that counts loses power before the first membership is chosen", 3, 1,
		Step{At: seconds(1), Kind: Power, For: seconds(15), Which: 0}),
	scenario("first-member-cut", "a machine that counts is cut off from all from the start", 3, 1,
		Step{At: seconds(0.5), Kind: CutAll, For: seconds(25), Which: 0}),
	scenario("all-killed-at-the-start", "every process is killed as the first membership is about to be chosen", 4, 1,
		Step{At: seconds(1.55), Kind: Kill, Which: 0}, Step{At: seconds(1.55), Kind: Kill, Which: 1}, Step{At: seconds(1.55), Kind: Kill, Which: 2}, Step{At: seconds(1.55), Kind: Kill, Which: 3}),
	scenario("restarted-between-registers", "a wiped member is killed again and again while it is taken in", 3, 1,
		Step{At: seconds(6), Kind: Wipe, For: seconds(0.1), Which: 0}, Step{At: seconds(9), Kind: Kill, Which: 0}, Step{At: seconds(9.9), Kind: Kill, Which: 0},
		Step{At: seconds(10.8), Kind: Kill, Which: 0}, Step{At: seconds(12), Kind: Kill, Which: 0}),
	scenario("power-lost-everywhere", "all machines lose power, twice, with changes under way", 6, 2,
		Step{At: seconds(6), Kind: Storm}, Step{At: seconds(7), Kind: PowerAll, For: seconds(1)}, Step{At: seconds(14), Kind: PowerAll, For: seconds(1)}),
	minutes("minutes-and-kills-of-all", "versions are ordered again after minutes, around kills of every process",
		Step{At: seconds(120), Kind: AckKill, For: seconds(60)}, Step{At: seconds(300), Kind: AckKill, For: seconds(60)},
		Step{At: seconds(480), Kind: KillAll}, Step{At: seconds(490), Kind: KillAll}, Step{At: seconds(720), Kind: PowerAll, For: seconds(2)}),
	minutes("minutes-and-single-losses", "versions are ordered again after minutes; one member after the other restarts, loses its disk and is replaced",
		Step{At: seconds(100), Kind: Kill, Which: 0}, Step{At: seconds(220), Kind: Wipe, For: seconds(1), Which: 1}, Step{At: seconds(340), Kind: Replace, Which: 2},
		Step{At: seconds(500), Kind: Roll, Which: 0}, Step{At: seconds(620), Kind: Freeze, For: seconds(15), Which: 1}, Step{At: seconds(760), Kind: Planned, Which: 0}),
	scenario("full-disks", "disks refuse writes one after the other, and one answers nothing", 3, 1,
		Step{At: seconds(5), Kind: DiskFull, For: seconds(5), Which: 0}, Step{At: seconds(8), Kind: DiskFull, For: seconds(5), Which: 1}, Step{At: seconds(15), Kind: DiskStall, For: seconds(5), Which: 2}),
}
