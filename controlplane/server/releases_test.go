package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/release"
	"moleshift/fault"
	"moleshift/peer"
)

// callAPI makes one call of the operator's interface.
func callAPI(c *Controller, method, path, body string) (status int, answer string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	c.serveAPI(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

// operatorPause is between two calls of an operator with the same order.
const operatorPause = 250 * time.Millisecond

const releaseOrder = `{"service":"llm","target-version":"v2","deadline-s":12}`

// Guards against SHORT: an order for a release that nobody acknowledges.
func TestOrderOfAReleaseIsAcknowledged(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	status, answer := callAPI(members[0], "POST", "/rollouts/start", releaseOrder)
	must.Eq(t, 200, status, must.Sprint(answer))
	status, answer = callAPI(members[1], "GET", "/rollouts/llm/read", "")
	must.Eq(t, 200, status, must.Sprint(answer))
	must.Eq(t, `{"state":"running","target-version":"v2"}`, answer)
}

// An order that was acknowledged outlives a kill of all members, is carried out by whoever returns, and is final then; repeats and
// wrong orders have clear answers.
func TestReleaseOutlivesAKillOfAll(t *testing.T) {
	l := newLan()
	stores := []core.Store{newStore(), newStore(), newStore()}
	members := startConfigured(t, l, stores...)
	for _, row := range []struct {
		body   string
		status int
	}{
		{`{"service":"llm","target-version":"v2","deadline-s":0}`, 400},
		{`{"service":"none","target-version":"v2","deadline-s":2}`, 400},
		{`{"service":"llm","target-version":"v2","deadline-s":2}`, 200},
		{`{"service":"llm","target-version":"v2","deadline-s":2}`, 200},
		{`{"service":"llm","target-version":"v3","deadline-s":2}`, 409},
	} {
		status, answer := callAPI(members[0], "POST", "/rollouts/start", row.body)
		must.Eq(t, row.status, status, must.Sprint(row.body, answer))
	}
	status, _ := callAPI(members[0], "GET", "/rollouts/none/read", "")
	must.Eq(t, 404, status)
	l.kill(members...)
	for i := range members {
		members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
	}
	// No server of the version ever comes: it is rolled back in time, and said to be so by all.
	for _, c := range members {
		eventually(t, "rolled back", func() bool {
			status, answer := callAPI(c, "GET", "/rollouts/llm/read", "")
			return status == 200 && answer == `{"state":"rolled_back","target-version":"v2"}`
		})
	}
	status, answer := callAPI(members[1], "POST", "/rollouts/start", `{"service":"llm","target-version":"v2","deadline-s":2}`)
	must.Eq(t, 503, status, must.Sprint("it may be the order that was taken, or a new one: ", answer))
	status, answer = callAPI(members[1], "GET", "/rollouts/llm/read", "")
	must.Eq(t, 200, status)
	must.Eq(t, `{"state":"rolled_back","target-version":"v2"}`, answer, must.Sprint("a late repeat begins nothing anew"))
}

// releaseOf reads the newest release at a member.
func releaseOf(c *Controller) string {
	_, answer := callAPI(c, "GET", "/rollouts/llm/read", "")
	return answer
}

const (
	shortOrder = `{"service":"llm","target-version":"v2","deadline-s":2}`
	runsAgain  = `{"state":"running","target-version":"v2"}`
	wentBack   = `{"state":"rolled_back","target-version":"v2"}`
)

// isTaken sends an order for a release to a member, and tells whether it was acknowledged. Any other answer must leave it open: doubt tells
// that it may be an earlier order; else there was no quorum.
func isTaken(t *testing.T, c *Controller) (taken, doubt bool) {
	t.Helper()
	status, answer := callAPI(c, "POST", "/rollouts/start", shortOrder)
	must.True(t, status == 200 || status == 503, must.Sprint("a proper order is refused: ", status, answer))
	return status == 200, strings.Contains(answer, "was ordered lately")
}

// takeNew has an order taken that is certain to be new.
func takeNew(t *testing.T, c *Controller) {
	t.Helper()
	eventually(t, "the order is taken", func() bool {
		taken, doubt := isTaken(t, c)
		must.False(t, doubt, must.Sprint("it is no repeat"))
		return taken
	})
}

// Guards against LOST: behind a kill of all members a new order for a version that was ordered before was acknowledged and dropped, as it
// passed for the earlier one sent again. An order sent again across the kill begins nothing; a new one begins, and is carried out.
func TestVersionOrderedAgainBehindAKillOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		stores := []core.Store{newStore(), newStore(), newStore()}
		members := startConfigured(t, l, stores...)
		restart := func() {
			l.kill(members...)
			for i := range members {
				members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
			}
			for _, c := range members {
				eventually(t, "the release is read", func() bool { return releaseOf(c) == wentBack })
			}
		}
		ordered := time.Now()
		takeNew(t, members[0])
		eventually(t, "rolled back, as it has no servers", func() bool { return releaseOf(members[0]) == wentBack })
		restart()

		// The order that was taken, sent again for as long as it may be: it begins nothing.
		for time.Since(ordered) < members[0].repeatedFor() {
			taken, _ := isTaken(t, members[1])
			must.False(t, taken, must.Sprint("it may be a new one, and begins nothing"))
			must.Eq(t, wentBack, releaseOf(members[1]))
			time.Sleep(operatorPause)
		}
		// What comes later is a new order, and has its answer in time: when it is acknowledged it is carried out.
		asked := time.Now()
		eventually(t, "the new order is taken", func() bool {
			taken, _ := isTaken(t, members[2])
			return taken
		})
		must.Less(t, members[0].repeatedFor(), time.Since(asked))
		must.Eq(t, runsAgain, releaseOf(members[2]))
		eventually(t, "rolled back once more", func() bool { return releaseOf(members[2]) == wentBack })

		// Long after an order no restart brings a doubt back: neither of all members, nor of the one that takes the order.
		for _, age := range []time.Duration{3 * members[0].repeatedFor(), 11 * time.Minute} {
			time.Sleep(age)
			restart()
			takeNew(t, members[0])
			must.Eq(t, runsAgain, releaseOf(members[0]))
			eventually(t, "rolled back", func() bool { return releaseOf(members[0]) == wentBack })
		}
		time.Sleep(11 * time.Minute)
		l.kill(members[1])
		members[1] = l.node(t, 2, true, false, stores[1], coreSeeds...)
		eventually(t, "the release is read", func() bool { return releaseOf(members[1]) == wentBack })
		takeNew(t, members[1])
		must.Eq(t, runsAgain, releaseOf(members[1]))
	})
}

// sendBeats sends a heartbeat of one server of each version to a member.
func sendBeats(t *testing.T, c *Controller, sequence int64, versions ...string) {
	t.Helper()
	for i, version := range versions {
		beat := &peer.Beat{Instance: peer.Instance{
			ID: "i-" + version, Service: "llm", Version: version, Address: fmt.Sprintf("10.1.0.%d:80", i+1), Sequence: sequence,
		}}
		_, err := c.Heartbeat(beat)
		must.NoError(t, err)
	}
}

// Guards against a release that goes on for its whole deadline once more behind a kill of all: late for the operator, and a bad version is
// exposed past its deadline.
func TestDeadlineOfAReleaseOutlastsAKillOfAll(t *testing.T) {
	const deadline, killedAt, downFor = 8 * time.Second, 4 * time.Second, 500 * time.Millisecond
	for _, row := range []struct {
		versions []string // of the servers
		end      string
	}{
		{[]string{"v1"}, wentBack},
		{[]string{"v1", "v2"}, `{"state":"completed","target-version":"v2"}`},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := newLan()
			stores := []core.Store{newStore(), newStore(), newStore()}
			members := startConfigured(t, l, stores...)
			ordered := time.Now()
			status, answer := callAPI(members[0], "POST", "/rollouts/start", `{"service":"llm","target-version":"v2","deadline-s":8}`)
			must.Eq(t, 200, status, must.Sprint(answer))
			time.Sleep(killedAt)
			l.kill(members...)
			time.Sleep(downFor)
			for i := range members {
				members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
			}
			for releaseOf(members[0]) != row.end && time.Since(ordered) < 2*deadline {
				if members[1].IsMember() {
					sendBeats(t, members[1], int64(time.Since(ordered)), row.versions...)
				}
				time.Sleep(operatorPause / 5)
			}
			must.Eq(t, row.end, releaseOf(members[0]))
			must.Less(t, deadline, time.Since(ordered))
		})
	}
}

// Guards against ROUTE: which versions are in service without an order stood in each router's memory alone, as long as that lasted. It stands
// in the register: behind a kill of all members the servers of another version still get nothing, until nothing else is left.
func TestVersionsInServiceOutlastAKillOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		stores := []core.Store{newStore(), newStore(), newStore()}
		members := startConfigured(t, l, stores...)
		began := time.Now()
		inService := func(c *Controller) []string {
			state, err := readWeights(c.registers.Known(core.Weights).Value.Data)
			must.NoError(t, err)
			return release.BaselineOf(state.Baselines, "llm")
		}
		beatFor := func(d time.Duration, versions ...string) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(operatorPause) {
				if members[1].IsMember() {
					sendBeats(t, members[1], int64(time.Since(began)), versions...)
				}
			}
		}
		beatFor(4*time.Second, "v1")
		must.Eq(t, []string{"v1"}, inService(members[0]))
		beatFor(time.Minute, "v1", "v2")
		must.Eq(t, []string{"v1"}, inService(members[2]))
		l.kill(members...)
		for i := range members {
			members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
		}
		eventually(t, "it is known again", func() bool { return len(inService(members[2])) > 0 })
		beatFor(time.Minute, "v2", "v1")
		must.Eq(t, []string{"v1"}, inService(members[2]))
		beatFor(2*keepEntries, "v2")
		must.Eq(t, []string{"v2"}, inService(members[0]), must.Sprint("no other server is left"))
	})
}

// Guards against ROUTE by a member that restarts before the versions in service are recorded: it takes servers that came since for some that
// started beside the first ones.
func TestMemberThatRestartsBeforeVersionsAreRecordedCountsNoLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		stores := []core.Store{newStore(), newStore(), newStore()}
		members := startConfigured(t, l, stores...)
		began := time.Now()
		beatFor := func(d time.Duration, versions ...string) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(operatorPause) {
				if members[1].IsMember() {
					sendBeats(t, members[1], int64(time.Since(began)), versions...)
				}
			}
		}
		beatFor(1300*time.Millisecond, "v1")
		records := slices.IndexFunc(members, func(c *Controller) bool { return c.first(releaseOwner) })
		l.kill(members[records])
		members[records] = l.node(t, records+1, true, false, stores[records], coreSeeds...)
		beatFor(time.Second, "v1")
		beatFor(time.Minute, "v1", "v2")
		state, err := readWeights(members[2].registers.Known(core.Weights).Value.Data)
		must.NoError(t, err)
		must.Eq(t, []string{"v1"}, release.BaselineOf(state.Baselines, "llm"))
	})
}

// Guards against a proper order that is refused: the member that takes it has not yet heard of the configuration that brought the service.
func TestOrderAtAMemberThatLacksTheConfiguration(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	late := members[2]
	l.set(late.self.Address, true)
	must.Eq(t, fault.None, replace(members[0], 2, `{"version":3,"routes":[],"services":[{"name":"llm"},{"name":"new"}]}`))
	l.set(late.self.Address, false)
	must.NoError(t, late.startRelease(&configuration.Order{Body: []byte(`{"service":"new","target-version":"v2","deadline-s":12}`)}, time.Now().Add(time.Second)))
	err := late.startRelease(&configuration.Order{Body: []byte(`{"service":"none","target-version":"v2","deadline-s":12}`)}, time.Now().Add(time.Second))
	must.Eq(t, fault.BadConfig, fault.KindOf(err))
}

// What only time shows is written to the register until it matters no more: a system at rest writes nothing, so that its disks and orders are left
// alone.
func TestRegisterAtRestIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		members := startConfigured(t, l, newStore(), newStore(), newStore())
		began := time.Now()
		beatFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(operatorPause) {
				beat := peer.Instance{ID: "i-other", Service: "other", Version: "v1", Address: "10.1.0.9:80", Sequence: int64(time.Since(began))}
				_, err := members[1].Heartbeat(&peer.Beat{Instance: beat})
				must.NoError(t, err)
				sendBeats(t, members[1], int64(time.Since(began)), "v1")
			}
		}
		takeNew(t, members[0])
		name(t, members[0], 2)
		beatFor(time.Minute)
		must.Eq(t, wentBack, releaseOf(members[0]))
		before := members[0].registers.Known(core.Weights).Ballot
		beatFor(time.Minute)
		after := members[0].registers.Known(core.Weights)
		must.Eq(t, before, after.Ballot)
		state, err := readWeights(after.Value.Data)
		must.NoError(t, err)
		must.Eq(t, []release.Baseline{{Service: "other", Versions: []string{"v1"}}}, state.Baselines)
	})
}
