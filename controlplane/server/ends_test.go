package server

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/core"
	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/storage/ring"
)

var coreSeeds = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}

// startCore starts three members with the given stores.
func startCore(t testing.TB, l *lan, first bool, stores ...core.Store) []*Controller {
	t.Helper()
	var members []*Controller
	for i, s := range stores {
		members = append(members, l.node(t, i+1, true, first, s, coreSeeds...))
	}
	return members
}

// startConfigured starts three members with the given stores, all of which know a configuration when it returns.
func startConfigured(t testing.TB, l *lan, stores ...core.Store) []*Controller {
	t.Helper()
	members := startCore(t, l, true, stores...)
	for _, c := range members {
		eventually(t, "configuration", func() bool { return replace(c, 0, wholeText) == fault.None })
	}
	return members
}

// kill ends members as a kill of their processes does: nothing that they have not written lasts.
func (l *lan) kill(members ...*Controller) {
	for _, c := range members {
		l.set(c.self.Address, true)
		c.Close()
	}
}

func stateAt(c *Controller, id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, _ := c.table.Get(id)
	return in.State
}

func ready(id string, sequence int64) *peer.Beat {
	return &peer.Beat{Instance: peer.Instance{ID: id, Service: "llm", Address: "10.1.0.1:80", Sequence: sequence}}
}

func gone(id string) *peer.Beat {
	return &peer.Beat{Instance: peer.Instance{ID: id, State: registry.Gone}}
}

// Guards against DRAIN: an end that was acknowledged is known to a majority right after all members were killed at once, and no heartbeat
// of before it makes any member take the server for ready again.
func TestAcknowledgedEndOutlastsAKillOfAll(t *testing.T) {
	for name, leave := range map[string]*peer.Beat{
		"gone":     gone("i1"),
		"draining": {Instance: peer.Instance{ID: "i1", Service: "llm", Address: "10.1.0.1:80", Sequence: 9, State: registry.Draining}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLan()
			stores := []core.Store{newStore(), newStore(), newStore()}
			members := startConfigured(t, l, stores...)
			_, err := members[0].Heartbeat(ready("i1", 1))
			must.NoError(t, err)
			for _, c := range members {
				eventually(t, "all have it on disk", func() bool {
					return slices.ContainsFunc(c.kept(instancesRecord), func(in peer.Instance) bool { return in.ID == "i1" })
				})
			}
			_, err = members[0].Heartbeat(leave)
			must.NoError(t, err)
			l.kill(members...)

			again := startCore(t, l, false, stores...)
			keep := 0
			for _, c := range again {
				if stateAt(c, "i1") == leave.Instance.State {
					keep++
				}
			}
			must.GreaterEq(t, 2, keep, must.Sprint("members that know of the end before they have heard of anybody"))
			for _, c := range again {
				eventually(t, "the others tell the third", func() bool { return stateAt(c, "i1") == leave.Instance.State })
				_, _ = c.Heartbeat(ready("i1", 3)) // a late one; whether it is acknowledged does not matter
				must.Eq(t, leave.Instance.State, stateAt(c, "i1"))
			}
		})
	}
}

// Guards against DRAIN: a member that has never heard of a server, and gets a late heartbeat of it, learns from the others that it has left.
func TestLateHeartbeatAtAMemberThatKnowsNothing(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	for _, c := range members[:2] {
		c.takeAll([]peer.Instance{gone("i1").Instance})
	}
	_, err := members[2].Heartbeat(ready("i1", 7))
	must.NoError(t, err)
	must.Eq(t, registry.Gone, stateAt(members[2], "i1"))
	_, err = members[2].Heartbeat(ready("i2", 1))
	must.NoError(t, err)
	must.True(t, members[2].knowsInstance("i2"))
	must.Eq(t, registry.Ready, stateAt(members[2], "i2"))
}

// Guards against DRAIN: a member that came with an empty disk in the place of one that had an end does not count for those who know that a
// server has not left, until it has the others' ends; a late heartbeat is not acknowledged meanwhile.
func TestNewcomerDoesNotVouchForEndsItNeverHeardOf(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	for _, c := range members[:2] {
		c.takeAll([]peer.Instance{gone("i1").Instance})
	}
	l.kill(members[0])
	newcomer := l.node(t, 1, true, false, newStore(), coreSeeds...)
	must.True(t, newcomer.mayLackEnds())
	l.set(members[1].self.Address, true) // the only one that knows of the end is silent
	_, err := newcomer.beat(ready("i1", 3))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	_, err = members[2].beat(ready("i1", 3))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.False(t, members[2].knowsInstance("i1"))
	l.set(members[1].self.Address, false)
	eventually(t, "it is taken in", newcomer.isMember)
	eventually(t, "it has the others' ends", func() bool { return !newcomer.mayLackEnds() })
	must.Eq(t, registry.Gone, stateAt(newcomer, "i1"))
	must.Zero(t, len(newcomer.acceptor.Kept(lacksEndsRecord)))
	_, err = newcomer.Heartbeat(ready("i1", 3))
	must.NoError(t, err)
	must.Eq(t, registry.Gone, stateAt(newcomer, "i1"))
}

// Guards against DRAIN: a member to which a server is silent, and which has missed its end, learns of it though tables are compared without
// the silent.
func TestMissedEndOfASilentServer(t *testing.T) {
	l := newLan()
	members := startConfigured(t, l, newStore(), newStore(), newStore())
	silent := ready("i1", 1).Instance
	members[2].mu.Lock()
	members[2].table.Take(members[2].now()-time.Second, silent, true) // 3.5 heartbeats of 0.2 s ago and more
	members[2].table.Sweep(members[2].now())
	must.Eq(t, []string{"i1"}, members[2].table.Silent(10))
	members[2].mu.Unlock()
	for _, c := range members[:2] {
		c.takeAll([]peer.Instance{gone("i1").Instance})
	}
	eventually(t, "the others tell it", func() bool { return stateAt(members[2], "i1") == registry.Gone })
}

// fullDisk is a store that takes no ends while full is set.
type fullDisk struct {
	*store
	full atomic.Bool
}

func (s *fullDisk) Put(name string, data []byte) error {
	if name == endsRecord && s.full.Load() {
		return errors.New("no space left")
	}
	return s.store.Put(name, data)
}

// An end is acknowledged where a majority has it on disk, and by nobody where fewer have, however many know of it.
func TestEndIsAcknowledgedOnceAMajorityHasItOnDisk(t *testing.T) {
	l := newLan()
	disks := []*fullDisk{{store: newStore()}, {store: newStore()}, {store: newStore()}}
	members := startConfigured(t, l, disks[0], disks[1], disks[2])
	for _, id := range []string{"i1", "i2"} {
		_, err := members[0].Heartbeat(ready(id, 1))
		must.NoError(t, err)
	}
	disks[0].full.Store(true)
	_, err := members[0].Heartbeat(gone("i1"))
	must.NoError(t, err, must.Sprint("the two others have it on disk"))
	disks[1].full.Store(true)
	_, err = members[0].Heartbeat(gone("i2"))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	disks[0].full.Store(false)
	eventually(t, "the call again, when the disk takes it", func() bool {
		_, err := members[0].Heartbeat(gone("i2"))
		return err == nil
	})
}

// Guards against an end that is acknowledged and was never delivered: another account of the server, made before its end, comes into the
// outbox behind it, or is there when a delivery failed.
func TestOutboxKeepsAnEnd(t *testing.T) {
	before, end := ready("i1", 3).Instance, gone("i1").Instance
	delivered := make(chan struct{}, 4)
	for name, fill := range map[string]func(o *outbox){
		"behind it": func(o *outbox) {
			o.add(end, beatCame, delivered)
			o.add(before, loadChanged, delivered)
		},
		"when it comes back": func(o *outbox) {
			o.add(end, beatCame, delivered)
			batch, _ := o.take()
			o.add(before, loadChanged, delivered)
			o.putBack(batch)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := &outbox{pending: map[string]outgoing{}, sending: true} // nothing is sent
			fill(o)
			batch, message := o.take()
			must.Len(t, 1, message.List)
			must.Eq(t, registry.Gone, message.List[0].State)
			must.Eq(t, []string{"i1"}, message.Load)
			must.Len(t, 2, batch["i1"].delivered)
		})
	}
}

// The time from a server's word that it leaves to its acknowledgement, with three members whose disks are real files.
func BenchmarkAcknowledgedEnd(b *testing.B) {
	l := newLan()
	var stores []core.Store
	for range 3 {
		dir, err := ring.Folder(b.TempDir())
		must.NoError(b, err)
		store, err := ring.Open(dir, 8<<20)
		must.NoError(b, err)
		stores = append(stores, store)
	}
	members := startConfigured(b, l, stores...)
	var took []time.Duration
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint("i", n)
		_, err := members[0].Heartbeat(&peer.Beat{Instance: peer.Instance{ID: id, Service: "llm", Address: id + ":80", Sequence: 1}})
		must.NoError(b, err)
		began := time.Now()
		_, err = members[0].Heartbeat(gone(id))
		must.NoError(b, err)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}
