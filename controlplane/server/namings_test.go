package server

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/core"
	"moleshift/controlplane/rollout"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/settings"
)

// name names a version of a model's weights, and gives the moment of its acknowledgement.
func name(t *testing.T, c *Controller, version int) time.Time {
	t.Helper()
	eventually(t, "the naming is taken", func() bool {
		reply := c.Order(&peer.Order{Kind: orderVersion, Body: fmt.Appendf(nil, `{"model":"m","version":%d}`, version)})
		return fault.Kind(reply.Kind) == fault.None
	})
	return time.Now()
}

// namedBy gives the newest version that a router which has just started takes for named before the bound, as it is told by a member.
func namedBy(c *Controller, bound time.Duration) int64 {
	reply, err := c.Poll(&peer.Poll{From: peer.Node{ID: "young"}})
	if err != nil || len(reply.WeightsIn) == 0 {
		return -1
	}
	state, err := readWeights(reply.WeightsIn)
	if err != nil {
		return -1
	}
	now := time.Now()
	var namings rollout.Namings
	namings = namings.Take(now, reply.Namings).Take(now, state.NamingAges)
	namings, _ = namings.Note("m", state.Version("m"), now)
	return namings.NamedBy("m", now.Add(-bound))
}

// Guards against VERSION: behind a kill of all members weights that were named long ago counted as named just now, and requests went to
// older ones for most of version-ms more. Both sides: what was named long ago stays so, and what was named just now is not taken for old,
// so that servers have their time to load it.
func TestNamingsKeepTheirAgeBehindAKillOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		stores := []core.Store{newStore(), newStore(), newStore()}
		members := startConfigured(t, l, stores...)
		bound := settings.Millis(members[0].set.Bounds.VersionMs)
		restart := func() {
			l.kill(members...)
			for i := range members {
				members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
			}
			eventually(t, "weights are told", func() bool { return namedBy(members[0], 0) >= 0 })
		}
		name(t, members[0], 2)
		time.Sleep(2 * bound)
		restart()
		must.Eq(t, 2, namedBy(members[0], bound*3/4), must.Sprint("it was named long ago"))

		named := name(t, members[0], 3)
		restart()
		must.Eq(t, 2, namedBy(members[0], bound/2), must.Sprint("version 3 was named ", time.Since(named), " ago"))

		// Killed again and again: each kill takes a step of the record, and the time until it is written again, at the most.
		const kills, every = 3, 3 * time.Second
		for range kills {
			time.Sleep(every)
			restart()
		}
		lost := (kills + 1) * (ageStep + releaseYoung + ageTick + time.Second)
		time.Sleep(bound*3/4 + lost - time.Since(named))
		restart()
		must.Eq(t, 3, namedBy(members[0], bound*3/4), must.Sprint("version 3 was named ", time.Since(named), " ago"))

		// One member that restarts alone is told by the others, however long ago it was.
		time.Sleep(namingsKeep*bound + time.Minute)
		l.kill(members[1])
		members[1] = l.node(t, 2, true, false, stores[1], coreSeeds...)
		eventually(t, "weights are told", func() bool { return namedBy(members[1], 0) >= 0 })
		must.Eq(t, 3, namedBy(members[1], bound))
	})
}

// What is written for members alone, ages and leases, wakes no router.
func TestAgesWakeNoRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLan()
		members := startConfigured(t, l, newStore(), newStore(), newStore())
		in := &peer.Poll{From: peer.Node{ID: "router"}}
		poll := func() {
			reply, err := members[0].Poll(in)
			must.NoError(t, err)
			in.Weights, in.Config, in.Table, in.Revision, in.Nodes = reply.Weights, reply.Config, reply.Table, reply.Revision, reply.NodesHash
		}
		for range 10 { // until the members know all sessions
			poll()
			time.Sleep(time.Second)
		}
		name(t, members[0], 2)
		eventually(t, "the member has heard of it", func() bool {
			state, err := readWeights(members[0].registers.Known(core.Weights).Value.Data)
			return err == nil && state.Version("m") == 2
		})
		poll()
		in.WaitMs = 3000
		began, before := time.Now(), members[0].registers.Known(core.Weights).Ballot
		_, err := members[0].Poll(in)
		must.NoError(t, err)
		must.Eq(t, 3*time.Second, time.Since(began))
		must.NotEq(t, before, members[0].registers.Known(core.Weights).Ballot, must.Sprint("ages were written meanwhile"))
	})
}
