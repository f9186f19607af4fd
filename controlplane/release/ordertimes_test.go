package release

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"moleshift/peer"
)

func TestOrderTimes(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var known OrderTimes
	must.Eq(t, 0, known.AtLeast("llm", 1, at(9)))
	known.Note("llm", 2, at(5), false)
	must.Eq(t, 4*time.Second, known.AtLeast("llm", 2, at(9)))
	must.Eq(t, 4*time.Second, known.AtLeast("llm", 1, at(9)), must.Sprint("an earlier order is no younger"))
	must.Eq(t, 0, known.AtLeast("llm", 3, at(9)))
	must.False(t, known.Witnessed("llm", 2))
	known.Take(at(6), []peer.OrderAge{{Service: "llm", Number: 2, AgeMs: 3000, Witnessed: true}, {Service: "llm", Number: 1, AgeMs: 500}})
	must.Eq(t, 6*time.Second, known.AtLeast("llm", 2, at(9)))
	must.Eq(t, 6*time.Second, known.AtLeast("llm", 1, at(9)))
	must.True(t, known.Witnessed("llm", 2))
	must.False(t, known.Knows("llm", 3))

	// The register holds whole steps, no more than matters, and what its releases remember.
	releases := []Release{{Service: "llm", Number: 2, DeadlineMs: 12000, Phase: Running, Ordered: []Ordered{{"v1", 1}}}}
	record := known.Record(at(9).Add(time.Second/2), releases, 5500*time.Millisecond, time.Second)
	must.Eq(t, []peer.OrderAge{{Service: "llm", Number: 1, AgeMs: 6000}, {Service: "llm", Number: 2, AgeMs: 6000}}, record)
	must.Eq(t, 12000, known.Record(at(99), releases, 6*time.Second, time.Second)[1].AgeMs)
	releases[0].Phase, releases[0].Ordered = RolledBack, nil
	must.Eq(t, []peer.OrderAge{{Service: "llm", Number: 2, AgeMs: 6000}}, known.Record(at(99), releases, 6*time.Second, time.Second))
	known.Keep(releases)
	must.False(t, known.Knows("llm", 1))
	known.Keep(nil)
	must.SliceEmpty(t, known.Tell(at(9)))
}

// Whatever is told in whatever order, and however late: no order is ever taken for older than it is.
func TestNoOrderIsTakenForOlderThanItIs(t *testing.T) {
	const orders = 8
	start := time.Now()
	moment := func(t *rapid.T, from int) time.Time {
		return start.Add(time.Duration(rapid.IntRange(from, 10000).Draw(t, "moment")) * time.Millisecond)
	}
	rapid.Check(t, func(t *rapid.T) {
		var known OrderTimes
		for range rapid.IntRange(1, 60).Draw(t, "notes") {
			number := rapid.IntRange(1, orders).Draw(t, "number")
			taken := 1000 * number
			told := moment(t, taken)
			age := float64(rapid.IntRange(0, int(told.Sub(start)/time.Millisecond)-taken).Draw(t, "age"))
			known.Take(told, []peer.OrderAge{{Service: "llm", Number: uint64(number), AgeMs: age}})
			for n := 1; n <= orders; n++ {
				must.LessEq(t, 20*time.Second-time.Duration(n)*time.Second, known.AtLeast("llm", uint64(n), start.Add(20*time.Second)))
			}
		}
	})
}
