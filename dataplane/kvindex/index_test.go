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

func TestMemoryOfAHolderIsBounded(t *testing.T) {
	x := New()
	x.SetHolder("s", 250)
	for _, id := range []string{"a", "b"} {
		x.Kept(0, "s", "v", Part{id, 100})
	}
	x.Kept(0, "s", "v", Part{"a", 100}) // used again
	x.Kept(0, "s", "v", Part{"c", 100})
	must.False(t, x.Has("s", "v", "b"), must.Sprint("unused longest"))
	must.True(t, x.Has("s", "v", "a"))
	x.SetHolder("t", 0)
	for i := range maxParts + 10 {
		x.Kept(0, "t", "v", Part{fmt.Sprint(i), 1})
	}
	must.Eq(t, maxParts+2, x.Size())
	n := 0
	x.State("s", func(salt, part string, tokens float64) { n++ })
	must.Eq(t, 2, n)
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
