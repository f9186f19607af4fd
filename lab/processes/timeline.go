package processes

// timeline.go owns what befalls the routers and when: read from a file, or drawn by a seed. It must never leave a fault without its end.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// Fault is one thing that befalls one or more routers.
type Fault struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	Who  []int         `yaml:"who"` // seats; of a cut: one side
	For  time.Duration `yaml:"for"` // until the process is started again, goes on, or the cut heals
	Link *Link         `yaml:"link"`
}

// The kinds of faults.
const (
	Kill    = "kill"     // SIGKILL, and a start after a time
	Wipe    = "wipe"     // the same, and its disk is lost
	Stop    = "stop"     // SIGSTOP, and SIGCONT after a time
	Pulse   = "pulse"    // SIGSTOP and SIGCONT in turn, a few times a second
	Term    = "term"     // SIGTERM, and a start after a time
	Cut     = "cut"      // nothing passes between a side and the rest
	Deaf    = "deaf"     // nothing passes to a side
	Mute    = "mute"     // nothing passes from a side
	Slow    = "slow"     // a side's links are as Link says, both ways
	Limited = "limited"  // killed, and started with few descriptors and files that can't grow
	All     = "kill_all" // all are killed at once
	Third   = "kill_some"
)

var kinds = []string{Kill, Wipe, Stop, Pulse, Term, Cut, Deaf, Mute, Slow, Limited, All, Third}

// ReadTimeline reads a YAML file: a list of faults.
func ReadTimeline(path string, instances int) ([]Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all []Fault
	if err := yaml.UnmarshalWithOptions(text, &all, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, f := range all {
		switch {
		case !slices.Contains(kinds, f.Kind):
			return nil, fmt.Errorf("%s: [%d].kind: %q is none of %v", path, i, f.Kind, kinds)
		case f.At < 0 || f.For <= 0:
			return nil, fmt.Errorf("%s: [%d]: at must be from 0, for above 0", path, i)
		case f.Kind == Slow && f.Link == nil:
			return nil, fmt.Errorf("%s: [%d].link: missing", path, i)
		case f.Kind != All && len(f.Who) == 0:
			return nil, fmt.Errorf("%s: [%d].who: missing", path, i)
		}
		for _, seat := range f.Who {
			if seat < 0 || seat >= instances {
				return nil, fmt.Errorf("%s: [%d].who: there is no seat %d of %d", path, i, seat, instances)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all, nil
}

// Draw makes a timeline of so many faults. They come one upon the other; most leave a majority, some do not.
func Draw(seed uint64, instances, faults int, length, lease time.Duration) (all []Fault) {
	rng := rand.New(rand.NewPCG(seed, 21))
	some := func(most int) []int { return rng.Perm(instances)[:1+rng.IntN(max(most, 1))] }
	minority := (instances - 1) / 2
	weights := []struct {
		kind   string
		weight int
	}{{Kill, 6}, {Wipe, 1}, {Stop, 5}, {Pulse, 2}, {Term, 5}, {Cut, 4}, {Deaf, 2}, {Mute, 2}, {Slow, 3}, {Limited, 1}, {All, 1}}
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	for range faults {
		f := Fault{At: time.Duration(rng.Int64N(int64(length))), For: time.Second/2 + time.Duration(rng.Int64N(int64(5*time.Second)))}
		draw := rng.IntN(sum)
		for _, w := range weights {
			if draw -= w.weight; draw < 0 {
				f.Kind = w.kind
				break
			}
		}
		switch f.Kind {
		case Cut, Slow:
			f.Who = some(minority)
		case All:
			f.For = time.Second
		default:
			f.Who = some(1)
		}
		if f.Kind == Stop && rng.IntN(3) == 0 {
			f.For = time.Duration(rng.Int64N(int64(2 * lease)))
		}
		if f.Kind == Slow {
			f.Link = &Link{Delay: time.Duration(rng.IntN(40)) * time.Millisecond, Jitter: time.Duration(1+rng.IntN(60)) * time.Millisecond,
				Loss: float64(rng.IntN(15)) / 100, Twice: 0.1, Drained: 20_000}
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}
