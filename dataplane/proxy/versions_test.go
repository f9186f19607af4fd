package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/placement"
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
	fleet, snapshot := fleetOf(t, 1, 1)
	now := time.Now()
	arrived := requestFor(t, snapshot)
	snapshot.Namings, _ = snapshot.Namings.Note("m", 2, now.Add(-9*time.Second))
	must.Nil(t, fleet[0].choose(requestFor(t, snapshot)), must.Sprint("version 2 was named 9 s of 10 ago"))
	must.Nil(t, fleet[0].choose(arrived), must.Sprint("the request came before that was known here"))

	snapshot.Namings, _ = snapshot.Namings.Note("m", 3, now.Add(-time.Second))
	must.Nil(t, fleet[0].choose(requestFor(t, snapshot)), must.Sprint("version 3 was named since"))

	snapshot.Instances["llm"][0].Models[0].Version = 2
	fleet[0].Update(snapshot)
	must.NotNil(t, fleet[0].choose(requestFor(t, snapshot)), must.Sprint("version 2 will do until the bound of version 3"))
}

// A request that has not begun is withdrawn before it may not begin any more on the weights it was sent to.
func TestRequestIsWithdrawnBeforeTheBound(t *testing.T) {
	fleet, snapshot := fleetOf(t, 1, 1)
	now := time.Now()
	r := requestFor(t, snapshot)
	must.Eq(t, now.Add(9200*time.Millisecond), fleet[0].beginBy(r, 1, now), must.Sprint("new weights may be named right after it was sent"))
	snapshot.Namings, _ = snapshot.Namings.Note("m", 2, now.Add(-7*time.Second))
	snapshot.Namings, _ = snapshot.Namings.Note("m", 3, now.Add(-time.Second))
	must.Eq(t, now.Add(2200*time.Millisecond), fleet[0].beginBy(r, 1, now))
	must.Eq(t, now.Add(8200*time.Millisecond), fleet[0].beginBy(r, 2, now))
	to := &routed{Placement: placement.Placement{Version: 1}}
	must.Eq(t, now.Add(2200*time.Millisecond), fleet[0].headLimit(r, to, now))
}
