// Package days draws day files for the operators' bench: mixes of every kind of disruption that the bench knows, crossing one
// another, with planned work among them and a closing fault.
//
// A drawn day depends on its seed alone. Kinds are drawn from the tables below, not from a deployment: any kind may strike any
// deployment, at any moment and more than once.
package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Focus says which disruptions a day is drawn from.
type Focus string

// The focuses.
const (
	Any     Focus = "any"     // every kind
	Control Focus = "control" // what strikes the control plane, crossed with planned work
	Start   Focus = "start"   // disruptions that begin before the first traffic
	Weights Focus = "weights" // weights of one model named in series beside planned work; some days are long, some have faults too
	Planned Focus = "planned" // the same without any fault
)

// Focuses lists them.
var Focuses = []Focus{Any, Control, Start, Weights, Planned}

// Day is one drawn day.
type Day struct {
	Name    string
	Seed    uint64
	Closing *Entry
	Plan    []Entry
	Faults  []Entry
}

// Entry is one disruption or piece of planned work.
type Entry struct {
	At     float64 // seconds from the start of traffic
	Kind   string
	Fields []Field
}

// Field is a further field of an entry, its value written as TOML.
type Field struct{ Name, Value string }

const (
	dayLength     = 38.0 // seconds in which disruptions are drawn
	startFrom     = -9.5 // machines start about ten seconds before the traffic
	leastFaults   = 3
	mostFaults    = 7
	leastPlans    = 2
	mostPlans     = 5
	crossingShare = 0.6 // of the faults begin within crossingSpan of another entry
	crossingSpan  = 1.5

	leastNamings  = 3
	mostNamings   = 6
	shortestPause = 4.0 // seconds between two namings of the same model's weights
	longestPause  = 12.0
	stormGap      = 0.2 // seconds between two changes of the configuration on a long day
	longDay       = 60.0
)

// Draw draws the day of a seed, without the kinds that its deployment does not know.
func Draw(seed uint64, focus Focus, without ...string) *Day {
	d := &drawer{without: without, rand: rand.New(rand.NewPCG(seed, 0x64617973))}
	day := &Day{Name: fmt.Sprintf("drawn-%s-%d", focus, seed), Seed: seed%900_000_000 + 1}
	if focus == Weights || focus == Planned {
		d.weightsInSeries(day, focus)
		return day
	}
	for range leastPlans + d.rand.IntN(mostPlans-leastPlans+1) {
		day.Plan = append(day.Plan, d.entry(planned, d.rand.Float64()*dayLength))
	}
	kinds := faults
	if focus != Any {
		kinds = coreFaults
	}
	for range leastFaults + d.rand.IntN(mostFaults-leastFaults+1) {
		day.Faults = append(day.Faults, d.entry(kinds, d.moment(day)))
	}
	if focus == Start {
		for i := range day.Faults[:2] {
			day.Faults[i].At = startFrom + d.rand.Float64()*(-startFrom)
		}
	}
	if d.rand.Float64() < 0.75 {
		closing := d.closing()
		day.Closing = &closing
	}
	return day
}

// drawer draws entries.
type drawer struct {
	rand    *rand.Rand
	without []string
}

// weightsInSeries draws a day on which weights of one model are named again and again. Planned work strikes beside that; on a long
// day, the configuration changes all the while.
func (d *drawer) weightsInSeries(day *Day, focus Focus) {
	at := 1 + 4*d.rand.Float64()
	for range leastNamings + d.rand.IntN(mostNamings-leastNamings+1) {
		day.Plan = append(day.Plan, Entry{At: at, Kind: "version_bump", Fields: []Field{{"count", "0"}}})
		at += shortestPause + (longestPause-shortestPause)*d.rand.Float64()
	}
	length := dayLength
	if d.rand.IntN(2) == 0 {
		length = longDay
		storm := []Field{{"gap_s", number(stormGap)}, {"for_s", number(longDay)}}
		day.Plan = append(day.Plan, Entry{At: 2, Kind: "config_storm", Fields: storm})
	}
	for range leastPlans + d.rand.IntN(mostPlans-leastPlans+1) {
		day.Plan = append(day.Plan, d.entry(planned, d.rand.Float64()*length))
	}
	if focus == Weights && d.rand.IntN(2) == 0 {
		for range leastFaults {
			day.Faults = append(day.Faults, d.entry(faults, d.moment(day)))
		}
	}
}

// moment draws when a fault begins: often close to something that happens already.
func (d *drawer) moment(day *Day) float64 {
	others := append(append([]Entry{}, day.Plan...), day.Faults...)
	if d.rand.Float64() < crossingShare && len(others) > 0 {
		at := others[d.rand.IntN(len(others))].At + (2*d.rand.Float64()-1)*crossingSpan
		return max(at, 0)
	}
	return d.rand.Float64() * dayLength
}

func (d *drawer) entry(kinds []kind, at float64) Entry {
	k := kinds[d.rand.IntN(len(kinds))]
	for slices.Contains(d.without, k.name) {
		k = kinds[d.rand.IntN(len(kinds))]
	}
	e := Entry{At: at, Kind: k.name}
	for _, f := range k.fields {
		e.Fields = append(e.Fields, Field{f.name, f.value(d)})
	}
	if len(k.how) > 0 {
		if how := d.how(k); how != "" {
			e.Fields = append(e.Fields, Field{"how", fmt.Sprintf("%q", how)})
		}
	}
	return e
}

// how draws the variant of a kind, with the words that may stand after it.
func (d *drawer) how(k kind) string {
	words := []string{k.how[d.rand.IntN(len(k.how))]}
	if k.machines && d.rand.IntN(2) == 0 {
		words = append(words, machineChoices[d.rand.IntN(len(machineChoices))])
	}
	if k.machines {
		for _, word := range machineWords {
			if d.rand.IntN(5) == 0 {
				words = append(words, word)
			}
		}
	}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

func (d *drawer) closing() Entry {
	c := closings[d.rand.IntN(len(closings))]
	e := Entry{Kind: c.name, Fields: []Field{{"down_s", number(0.8 + 2.2*d.rand.Float64())}}}
	if how := c.how[d.rand.IntN(len(c.how))]; how != "" {
		e.Fields = append(e.Fields, Field{"how", fmt.Sprintf("%q", how)})
	}
	return e
}

func number(x float64) string { return fmt.Sprintf("%.2f", x) }

// TOML writes the day as the bench reads it.
func (d *Day) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	if d.Closing != nil {
		fmt.Fprintf(&b, "closing = { %s }\n", d.Closing.toml(false))
	}
	for _, list := range []struct {
		name    string
		entries []Entry
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		fmt.Fprintf(&b, "%s = [\n", list.name)
		for i := range list.entries {
			fmt.Fprintf(&b, "  { %s },\n", list.entries[i].toml(true))
		}
		b.WriteString("]\n")
	}
	return b.String()
}

func (e *Entry) toml(at bool) string {
	var parts []string
	if at {
		parts = append(parts, "at = "+number(e.At))
	}
	parts = append(parts, fmt.Sprintf("kind = %q", e.Kind))
	for _, f := range e.Fields {
		parts = append(parts, f.Name+" = "+f.Value)
	}
	return strings.Join(parts, ", ")
}
