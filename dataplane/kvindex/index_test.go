package kvindex

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func prompt(ids ...string) []Part {
	var parts []Part
	for _, id := range ids {
		parts = append(parts, Part{id, 100})
	}
	return parts
}

func TestPrefixEndsAtTheFirstGap(t *testing.T) {
	x := New()
	must.Eq(t, 0, x.Prefix("s", "v1", prompt("a")))
	x.SetHolder("s", 1000)
	for _, p := range prompt("a", "c") {
		x.Kept(0, "s", "v1", p)
	}
	must.Eq(t, 100, x.Prefix("s", "v1", prompt("a", "b", "c")))
	must.Eq(t, 200, x.Prefix("s", "v1", prompt("a", "c")))
	must.Eq(t, 0, x.Prefix("s", "v1", prompt("b", "a")))
	must.Eq(t, 0, x.Prefix("s", "v2", prompt("a")), must.Sprint("another salt"))
	x.Kept(0, "s", "v1", Part{"b", 60})
	must.Eq(t, 160, x.Prefix("s", "v1", prompt("a", "b", "c")), must.Sprint("a part that is kept in part ends it"))
	x.Lost("s", "v1", "a")
	must.Eq(t, 0, x.Prefix("s", "v1", prompt("a", "b")))
	must.True(t, x.Has("s", "v1", "b"))
	x.Reset("s")
	must.Eq(t, 0, x.Size())
	x.DropHolder("s")
	x.Kept(0, "s", "v1", Part{"a", 1})
	must.Eq(t, 0, x.Size(), must.Sprint("holders that are gone keep nothing"))
}

// A holder that seems to keep more than it can has dropped something of which word is late: what it dropped cannot be told from here,
// so nothing is forgotten until far more is kept than can be. Then what was used longest ago goes.
func TestMemoryOfAHolderIsBounded(t *testing.T) {
	x := New()
	x.SetHolder("s", 200)
	for _, id := range []string{"a", "b", "c"} {
		x.Kept(0, "s", "v", Part{id, 100})
	}
	for _, id := range []string{"a", "b", "c"} {
		must.True(t, x.Has("s", "v", id), must.Sprint(id))
	}
	x.Kept(0, "s", "v", Part{"a", 100}) // used again
	x.Kept(0, "s", "v", Part{"d", 100})
	must.False(t, x.Has("s", "v", "b"), must.Sprint("unused longest"))
	must.True(t, x.Has("s", "v", "a"))
	x.SetHolder("t", 0)
	for i := range maxParts + 10 {
		x.Kept(0, "t", "v", Part{fmt.Sprint(i), 1})
	}
	must.Eq(t, maxParts+3, x.Size())
	n := 0
	x.State("s", func(salt, part string, tokens float64) { n++ })
	must.Eq(t, 3, n)
}

// A router that sees one use in fifty keeps the part on which all others rest, though the holder is always full: it must not take the
// part that it saw longest ago for the one that gave way.
func TestPartUsedByOthersIsNotForgotten(t *testing.T) {
	const capacity, first, own, lag = 10000, 2500, 700, 3
	x := New()
	x.SetHolder("s", capacity)
	x.Kept(0, "s", "v", Part{"first", first})
	var kept []string
	for i := range 2000 {
		now := time.Duration(i) * 100 * time.Millisecond
		id := fmt.Sprint(i)
		x.Kept(now, "s", "v", Part{id, own})
		kept = append(kept, id)
		if len(kept) > (capacity-first)/own+lag { // word of what gave way comes some parts later
			x.Lost("s", "v", kept[0])
			kept = kept[1:]
		}
		must.Eq(t, first+own, x.Prefix("s", "v", []Part{{"first", first}, {id, own}}), must.Sprintf("after %d parts", i))
	}
}

// What a holder kept under other weights is forgotten once it has loaded, whatever becomes of its events.
func TestKeepOnly(t *testing.T) {
	x := New()
	x.SetHolder("s", 1000)
	for _, salt := range []string{"m@1", "m@2", "m@1/t"} {
		x.Kept(0, "s", salt, Part{"a", 100})
	}
	x.KeepOnly("s", func(salt string) bool { return salt == "m@2" })
	must.Eq(t, 0, x.Prefix("s", "m@1", prompt("a")))
	must.Eq(t, 0, x.Prefix("s", "m@1/t", prompt("a")))
	must.Eq(t, 100, x.Prefix("s", "m@2", prompt("a")))
	must.Eq(t, 0.1, x.Fill("s"))
	x.KeepOnly("unknown", func(string) bool { return false })
}

func TestPartIDs(t *testing.T) {
	must.Eq(t, PartID("00ab"), PartID("ab"))
	must.NotEq(t, PartID("ab00"), PartID("ab"))
}

// Against a holder's truth: with all events the index is the truth; with a tenth of them lost it errs for a few parts only, and one
// reset with the whole list sets it right.
func TestAgainstTruthUnderGaps(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	exact, gappy := New(), New()
	exact.SetHolder("s", 0)
	gappy.SetHolder("s", 2000)
	truth := map[string]bool{}
	var order []string
	wrong, looks := 0, 0
	for step := range 5000 {
		now := time.Duration(step)
		id := fmt.Sprint(r.IntN(60))
		if !truth[id] {
			truth[id] = true
			order = append(order, id)
			tell(now, id, true, exact, gappy, r)
		}
		if len(order) > 20 {
			oldest := order[0]
			order = order[1:]
			delete(truth, oldest)
			tell(now, oldest, false, exact, gappy, r)
		}
		must.Eq(t, truth[id], exact.Has("s", "v", id))
		looks++
		if truth[id] != gappy.Has("s", "v", id) {
			wrong++
		}
	}
	must.Less(t, looks/5, wrong)
	gappy.Reset("s")
	for _, id := range order {
		gappy.Kept(0, "s", "v", Part{id, 100})
	}
	for id := range 60 {
		must.Eq(t, truth[fmt.Sprint(id)], gappy.Has("s", "v", fmt.Sprint(id)))
	}
}

func tell(now time.Duration, id string, kept bool, exact, gappy *Index, r *rand.Rand) {
	for _, x := range []*Index{exact, gappy} {
		if x == gappy && r.IntN(10) == 0 {
			continue
		}
		if kept {
			x.Kept(now, "s", "v", Part{id, 100})
		} else {
			x.Lost("s", "v", id)
		}
	}
}
