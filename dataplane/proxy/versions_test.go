package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/settings"
)

// The longer requests wait in their servers' queues, the earlier the last one goes to a server with older weights; none that waits as
// long as those seen lately begins there after version-ms.
func TestLastRequestToOlderWeights(t *testing.T) {
	set := settings.Default()
	set.Bounds.VersionMs = 8000
	for _, row := range []struct{ wait, last time.Duration }{
		{0, 6000 * time.Millisecond},
		{time.Second, 6000 * time.Millisecond},
		{2 * time.Second, 4920 * time.Millisecond},
		{3200 * time.Millisecond, 3360 * time.Millisecond},
		{10 * time.Second, 3200 * time.Millisecond},
	} {
		must.Eq(t, row.last, lastOld(&set, row.wait), must.Sprint(row.wait))
		if row.wait < 4*time.Second {
			must.Less(t, 8*time.Second, row.last+row.wait)
		}
	}
}

func TestLongestWaitFades(t *testing.T) {
	var w longestWait
	w.note(0, 3*time.Second)
	w.note(time.Second, 500*time.Millisecond)
	must.Eq(t, 2500*time.Millisecond, w.now(time.Second))
	w.note(4*time.Second, 2*time.Second)
	must.Eq(t, 2*time.Second, w.now(4*time.Second))
	must.Eq(t, 0, w.now(time.Minute))
}

// Each naming of new weights has a bound of its own: a second one must not put off the first one's.
func TestEachNamingKeepsItsOwnBound(t *testing.T) {
	fleet, first := fleetOf(t, 1, 1)
	now := time.Now()
	first.Weights, first.WeightsAt = map[string]int64{"m": 2}, map[string]time.Time{"m": now.Add(-9 * time.Second)}
	fleet[0].Update(first)
	must.Nil(t, fleet[0].choose(requestFor(t, first)), must.Sprint("version 2 was named 9 s of 10 ago"))

	second := *first
	second.Weights, second.WeightsAt = map[string]int64{"m": 3}, map[string]time.Time{"m": now.Add(-time.Second)}
	fleet[0].Update(&second)
	must.Nil(t, fleet[0].choose(requestFor(t, &second)), must.Sprint("version 3 was named since"))
}
