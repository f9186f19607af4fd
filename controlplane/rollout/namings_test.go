package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/peer"
)

func TestNamingsKeepEachMoment(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	n, changed := Namings(nil).Note("m", 2, at(4))
	must.True(t, changed)
	n, _ = n.Note("m", 5, at(9))
	must.Eq(t, 5, n.Newest("m"))
	must.Eq(t, 0, n.Newest("other"))
	must.Eq(t, 0, n.NamedBy("m", at(3)))
	must.Eq(t, 2, n.NamedBy("m", at(4)))
	must.Eq(t, 5, n.NamedBy("m", at(9)))

	first, ok := n.FirstAbove("m", 2)
	must.True(t, ok)
	must.Eq(t, at(9), first)
	_, ok = n.FirstAbove("m", 5)
	must.False(t, ok)

	same, changed := n.Note("m", 5, at(12))
	must.False(t, changed, must.Sprint("a later account tells nothing new"))
	must.Eq(t, at(9), same["m"][1].At)
	earlier, changed := n.Note("m", 5, at(3))
	must.True(t, changed)
	must.Eq(t, 5, earlier.NamedBy("m", at(3)), must.Sprint("version 2 cannot have been named after 5"))
	must.Eq(t, at(9), n["m"][1].At, must.Sprint("a value never changes"))
	must.Len(t, 1, n.Without(at(10))["m"])
	must.Len(t, 2, n.Without(at(8))["m"])
}

// Whatever is noted in whatever order: versions and moments rise together, and no bound is put off by what is noted later.
func TestNoNotePutsABoundOff(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var n Namings
		for range rapid.IntRange(1, 200).Draw(t, "notes") {
			version := int64(rapid.IntRange(1, 300).Draw(t, "version"))
			at := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond * 100)
			before := n
			n, _ = n.Note("m", version, at)
			list := n["m"]
			must.LessEq(t, mostNamings, len(list))
			for i := range list[1:] {
				must.Less(t, list[i+1].Version, list[i].Version)
				must.False(t, list[i].At.After(list[i+1].At))
			}
			for _, naming := range before["m"] {
				must.GreaterEq(t, naming.Version, n.NamedBy("m", naming.At))
			}
			must.GreaterEq(t, min(version, n.Newest("m")), n.NamedBy("m", at.Add(agreeWithin)))
		}
	})
}

// The newest naming is told whatever its age: whoever is not told of it would take it for named just now. The register holds whole steps,
// no more than matters, and never less than it held.
func TestWhatIsToldOfNamings(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var n Namings
	for version, moment := range []float64{0, 1, 5, 7.5} {
		n, _ = n.Note("m", int64(version), at(moment))
	}
	must.Eq(t, []peer.Naming{{Model: "m", Version: 3, AgeMs: 92500}}, n.Tell(at(100), 30*time.Second))
	must.Len(t, 2, n.Tell(at(11), 6*time.Second))

	const bound, step = 8 * time.Second, time.Second
	record := n.Record(at(11), nil, bound, step)
	must.Eq(t, []peer.Naming{{Model: "m", Version: 1, AgeMs: 8000}, {Model: "m", Version: 2, AgeMs: 6000}, {Model: "m", Version: 3, AgeMs: 3000}}, record)
	must.Eq(t, 3500, n.Record(at(11), []peer.Naming{{Model: "m", Version: 3, AgeMs: 3500}}, bound, step)[2].AgeMs)
	must.Eq(t, []peer.Naming{{Model: "m", Version: 3, AgeMs: 8000}}, n.Record(at(100), record, bound, step))
}
