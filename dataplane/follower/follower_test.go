package follower

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/delta"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/quorum"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/rollout"
	"moleshift/peer"
	"moleshift/settings"
)

func newFollower(failClosed bool) *Follower {
	set := settings.Default()
	set.Bounds.FailClosed = failClosed
	return New(&set, peer.Node{ID: "me"}, nil, directory.New(), nil, func(*Snapshot) {}, zerolog.Nop())
}

// controllers answers polls; those that are dark take the whole time of a call.
type controllers struct {
	state []byte // of the configuration

	slow string // takes longer to answer than the others

	mu    sync.Mutex
	dark  map[string]bool
	list  []peer.Instance
	polls map[string]int // by address
}

var errDark = errors.New("no answer")

func (c *controllers) Call(address, _ string, in msgp.Marshaler, out msgp.Unmarshaler, timeout time.Duration) error {
	held := time.Millisecond + time.Duration(in.(*peer.Poll).WaitMs)*time.Millisecond
	if address == c.slow {
		held += 20 * time.Millisecond
	}
	time.Sleep(held)
	c.mu.Lock()
	if c.polls == nil {
		c.polls = map[string]int{}
	}
	c.polls[address]++
	dark, list := c.dark[address], c.list
	c.mu.Unlock()
	if dark {
		time.Sleep(timeout - held)
		return errDark
	}
	told := reply(1, nil, 0)
	told.Content = delta.Whole(c.state)
	told.Table, told.Revision, told.Full, told.Instances = address, 1, true, list
	body, err := told.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(body)
	return err
}

// Guards against DRAIN: a router whose controller falls silent hears of an end within the time of one poll and one call, also where the
// next controller in its order is silent too.
func TestSilentControllersHoldUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &controllers{state: config(t, 3), dark: map[string]bool{}, list: []peer.Instance{server("a", registry.Ready, 1)}}
		set := settings.Default()
		dir := directory.New()
		dir.Set([]quorum.Member{{ID: "1", Address: "n1"}, {ID: "2", Address: "n2"}, {ID: "3", Address: "n3"}})
		f := New(&set, peer.Node{ID: "me", Name: "me"}, calls, dir, nil, func(*Snapshot) {}, zerolog.Nop())
		go f.Run()
		defer time.Sleep(2 * pollWait) // until the last poll has ended
		defer f.Close()
		time.Sleep(5500 * time.Millisecond)
		must.Len(t, 1, f.Snapshot().Instances["llm"])
		order := dir.Try("poll-me")
		calls.mu.Lock()
		calls.dark[order[0].Address], calls.dark[order[1].Address] = true, true
		calls.list = []peer.Instance{server("a", registry.Gone, 1)}
		calls.mu.Unlock()
		silent := time.Now()
		for len(f.Snapshot().Instances["llm"]) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		must.Less(t, pollWait+pollSlack+failPause+firstPoll, time.Since(silent))
		heard := f.Snapshot().Confirmed
		for range 40 { // the silent ones are not gone back to
			time.Sleep(500 * time.Millisecond)
			must.Less(t, 2*pollWait+firstPoll, time.Since(f.Snapshot().Confirmed), must.Sprint("since ", heard))
		}
	})
}

// Guards against routers that drift to the controllers that answer fastest: one goes back to the controller that it prefers, and asks no
// other while that is fit.
func TestRouterGoesBackToItsController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := directory.New()
		dir.Set([]quorum.Member{{ID: "1", Address: "n1"}, {ID: "2", Address: "n2"}, {ID: "3", Address: "n3"}})
		preferred := dir.Try("poll-me")[0].Address
		calls := &controllers{state: config(t, 3), slow: preferred, dark: map[string]bool{}}
		set := settings.Default()
		f := New(&set, peer.Node{ID: "me", Name: "me"}, calls, dir, nil, func(*Snapshot) {}, zerolog.Nop())
		go f.Run()
		defer time.Sleep(2 * pollWait) // until the last poll has ended
		defer f.Close()
		setDark := func(dark bool) {
			calls.mu.Lock()
			defer calls.mu.Unlock()
			calls.dark[preferred] = dark
			calls.polls = nil
		}
		time.Sleep(5 * time.Second)
		setDark(true)
		time.Sleep(5 * time.Second)
		setDark(false)
		time.Sleep(2 * returnEvery)
		setDark(false)
		time.Sleep(3 * returnEvery)
		calls.mu.Lock()
		defer calls.mu.Unlock()
		must.MapLen(t, 1, calls.polls)
		must.MapContainsKey(t, calls.polls, preferred)
	})
}

func config(t *testing.T, version int64) []byte {
	t.Helper()
	s := configuration.State{Version: version, Body: []byte(`{"version":` + string(rune('0'+version)) + `,"routes":[],"services":[{"name":"llm"}]}`)}
	data, err := s.MarshalMsg(nil)
	must.NoError(t, err)
	return data
}

func reply(ballot uint64, data []byte, ageMs float64) *peer.PollReply {
	return &peer.PollReply{Knows: true, Config: quorum.Ballot{Counter: ballot}, Content: delta.Whole(data), AgeMs: ageMs}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFollower(false)
	must.False(t, f.Fresh())
	f.take(time.Now(), reply(5, config(t, 3), 9000))
	must.Nil(t, f.Snapshot().Table, must.Sprint("a first configuration that nobody confirmed lately may be an old one"))
	f.take(time.Now(), reply(5, config(t, 3), 100))
	must.Eq(t, 3, f.Snapshot().Table.Version)
	f.take(time.Now(), reply(4, config(t, 2), 0))
	must.Eq(t, 3, f.Snapshot().Table.Version, must.Sprint("a controller that lags behind"))
	f.take(time.Now(), reply(7, config(t, 2), 0))
	must.Eq(t, 3, f.Snapshot().Table.Version)
	f.take(time.Now(), reply(8, []byte("garbage"), 0))
	must.Eq(t, 3, f.Snapshot().Table.Version)
	f.take(time.Now(), reply(9, config(t, 6), 0))
	must.Eq(t, 6, f.Snapshot().Table.Version)
	must.True(t, f.Fresh())
}

// Where the deployment fails closed, the configuration serves keyed routes until a second before revoke-ms after the moment at which
// it is known to have been in force: the poll's beginning, less the age that the controller tells.
func TestLeaseOnTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(true)
		time.Sleep(time.Second) // what was in force before the start counts from the start
		asked := time.Now()
		f.take(asked, reply(5, config(t, 3), 100))
		must.True(t, f.Fresh())
		time.Sleep(3899 * time.Millisecond)
		must.True(t, f.Fresh(), must.Sprint("3.999 s of 5 s"))
		time.Sleep(time.Millisecond)
		must.False(t, f.Fresh(), must.Sprint("4 s of 5 s"))
		f.take(time.Now(), reply(6, nil, 0))
		must.False(t, f.Fresh(), must.Sprint("a newer configuration is in force, and it was not delivered"))
		f.take(time.Now(), reply(5, nil, 0))
		must.True(t, f.Fresh())
		f.take(asked, reply(5, nil, 0))
		must.True(t, f.Fresh(), must.Sprint("an answer to an earlier poll takes nothing back"))
	})
}

func instances(revision uint64, full bool, list ...peer.Instance) *peer.PollReply {
	return &peer.PollReply{Table: "controller", Revision: revision, Full: full, Instances: list}
}

func server(id string, state int, version int64) peer.Instance {
	return peer.Instance{ID: id, Service: "llm", State: state, Models: []peer.Model{{Name: "m", Version: version}}}
}

func TestServersJoin(t *testing.T) {
	f := newFollower(false)
	f.take(time.Now(), instances(2, true, server("a", registry.Ready, 2), server("b", registry.Draining, 1)))
	must.Len(t, 2, f.Snapshot().Instances["llm"])
	other := instances(9, false, server("c", registry.Ready, 1))
	other.Table = "another controller"
	f.take(time.Now(), other)
	must.Len(t, 2, f.Snapshot().Instances["llm"], must.Sprint("a change to a table that is not known"))
	must.Eq(t, 2, f.revision)
	f.take(time.Now(), instances(3, false, server("a", registry.Ready, 1), server("b", registry.Ready, 1)))
	must.Eq(t, registry.Draining, f.Snapshot().Instances["llm"][1].State, must.Sprint("leaving is not taken back"))
	must.Eq(t, 2, rollout.VersionOf(f.Snapshot().Instances["llm"][0].Models, "m"))
	f.take(time.Now(), instances(4, false, server("b", registry.Gone, 1)))
	must.Len(t, 1, f.Snapshot().Instances["llm"])
	f.take(time.Now(), instances(1, true, server("b", registry.Ready, 1)))
	must.Len(t, 1, f.Snapshot().Instances["llm"], must.Sprint("an end is final, and what a controller does not know is kept for a while"))
	must.Eq(t, "a", f.Snapshot().Instances["llm"][0].ID)
	f.known["a"].missing = time.Now().Add(-time.Hour)
	f.take(time.Now(), instances(1, true))
	must.Len(t, 0, f.Snapshot().Instances["llm"])
}

// A server that gave way to another incarnation at its address is not sent to, until it is heard again.
func TestReplacedServersAreNotUsed(t *testing.T) {
	f := newFollower(false)
	younger, older := server("a", registry.Ready, 1), server("b", registry.Ready, 1)
	older.Replaced = true
	f.take(time.Now(), instances(2, true, younger, older))
	must.Len(t, 1, f.Snapshot().Instances["llm"])
	must.Eq(t, "a", f.Snapshot().Instances["llm"][0].ID)
	older.Replaced = false
	f.take(time.Now(), instances(3, false, older))
	must.Len(t, 2, f.Snapshot().Instances["llm"])
}

// A reply may share its parts with the table of a controller in the same process: it must not be written to.
func TestRepliesAreNotWrittenTo(t *testing.T) {
	f := newFollower(false)
	f.take(time.Now(), instances(2, true, server("a", registry.Ready, 2)))
	older := instances(3, false, server("a", registry.Ready, 1))
	f.take(time.Now(), older)
	must.Eq(t, 1, older.Instances[0].Models[0].Version)
	must.Eq(t, 2, rollout.VersionOf(f.Snapshot().Instances["llm"][0].Models, "m"))
}

func TestWeightsOnlyRise(t *testing.T) {
	f := newFollower(false)
	weights := func(ballot uint64, version int64) *peer.PollReply {
		s := rollout.State{Versions: []peer.Model{{Name: "m", Version: version}}}
		data, err := s.MarshalMsg(nil)
		must.NoError(t, err)
		return &peer.PollReply{Weights: quorum.Ballot{Counter: ballot}, WeightsIn: data}
	}
	f.take(time.Now(), weights(2, 4))
	at := f.Snapshot().Namings["m"][0].At
	f.take(time.Now(), weights(1, 9))
	must.Eq(t, 4, f.Snapshot().Namings.Newest("m"))
	f.take(time.Now(), weights(3, 4)) // the lease was renewed
	must.Eq(t, at, f.Snapshot().Namings["m"][0].At)
	f.take(time.Now(), weights(4, 5))
	must.Eq(t, 5, f.Snapshot().Namings.Newest("m"))
	must.Eq(t, at, f.Snapshot().Namings["m"][0].At, must.Sprint("the earlier naming keeps its moment"))
}

// A router that has just started, or was cut off, learns from the controllers how long ago weights were named.
func TestMomentsOfNamingsAreTold(t *testing.T) {
	f := newFollower(false)
	s := rollout.State{Versions: []peer.Model{{Name: "m", Version: 4}}}
	data, err := s.MarshalMsg(nil)
	must.NoError(t, err)
	f.take(time.Now(), &peer.PollReply{
		Weights: quorum.Ballot{Counter: 2}, WeightsIn: data,
		Namings: []peer.Naming{{Model: "m", Version: 3, AgeMs: 6000}, {Model: "m", Version: 4, AgeMs: 1000}},
	})
	namings := f.Snapshot().Namings
	must.Eq(t, 3, namings.NamedBy("m", time.Now().Add(-5*time.Second)))
	must.Eq(t, 4, namings.NamedBy("m", time.Now().Add(-900*time.Millisecond)))
	f.take(time.Now(), &peer.PollReply{Namings: []peer.Naming{{Model: "m", Version: 4, AgeMs: 3000}}})
	must.Eq(t, 4, f.Snapshot().Namings.NamedBy("m", time.Now().Add(-2900*time.Millisecond)), must.Sprint("another controller knew of it earlier"))
}

// Guards against VERSION: a router that has just started takes weights for old that were named long ago, though no controller that runs
// was there when they were.
func TestWeightsNamedLongAgoAreOldForARouterThatStarts(t *testing.T) {
	f := newFollower(false)
	data, err := (&rollout.State{
		Versions: []peer.Model{{Name: "m", Version: 3}}, NamingAges: []peer.Naming{{Model: "m", Version: 2, AgeMs: 9000}, {Model: "m", Version: 3, AgeMs: 4000}},
	}).MarshalMsg(nil)
	must.NoError(t, err)
	f.take(time.Now(), &peer.PollReply{Weights: quorum.Ballot{Counter: 1}, WeightsIn: data})
	namings := f.Snapshot().Namings
	must.Eq(t, 3, namings.NamedBy("m", time.Now().Add(-4*time.Second)))
	must.Eq(t, 2, namings.NamedBy("m", time.Now().Add(-9*time.Second)))
	must.Eq(t, 3, namings.Newest("m"))
}

// Some of the nodes take no others away; the whole list does. A router that knew none has what it is told, and grows from there.
func TestSomeNodesTakeNoOthersAway(t *testing.T) {
	f := newFollower(false)
	nodes := func(some bool, hash uint64, ids ...string) *peer.PollReply {
		reply := &peer.PollReply{NodesHash: hash, NodesSome: some}
		for _, id := range ids {
			reply.Nodes = append(reply.Nodes, peer.Node{ID: id, Address: id[:1]})
		}
		return reply
	}
	known := func() (ids []string) {
		for _, n := range f.Snapshot().Nodes {
			ids = append(ids, n.ID)
		}
		return ids
	}
	f.take(time.Now(), nodes(true, 1, "a1"))
	must.Eq(t, []string{"a1"}, known())
	f.take(time.Now(), nodes(true, 2, "a1", "b1"))
	must.Eq(t, []string{"a1", "b1"}, known())
	f.take(time.Now(), nodes(false, 3, "a1", "b1", "c1", "d1"))
	f.take(time.Now(), nodes(true, 4, "c2"))
	must.Eq(t, []string{"a1", "b1", "c2", "d1"}, known(), must.Sprint("a node that started again takes its own place"))
	f.take(time.Now(), nodes(false, 5, "a1", "c2"))
	must.Eq(t, []string{"a1", "c2"}, known())
	must.Eq(t, 5, f.nodes)
}

// Guards against a router that goes on with an older table of servers until the next change: two replies are taken at once, and the older
// snapshot is told of last.
func TestSnapshotsAreToldOfInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []*Snapshot
		held := make(chan struct{})
		set := settings.Default()
		f := New(&set, peer.Node{ID: "me"}, nil, directory.New(), nil, func(s *Snapshot) {
			if len(s.Instances["llm"]) == 1 {
				<-held
			}
			told = append(told, s)
		}, zerolog.Nop())
		list := func(revision uint64, instances ...peer.Instance) *peer.PollReply {
			return &peer.PollReply{Table: "t", Revision: revision, Full: true, Instances: instances}
		}
		go f.take(time.Now(), list(1, server("a", registry.Ready, 1)))
		synctest.Wait()
		go f.take(time.Now(), list(2, server("a", registry.Ready, 1), server("b", registry.Ready, 1)))
		synctest.Wait()
		close(held)
		synctest.Wait()
		must.SliceNotEmpty(t, told)
		must.Len(t, 2, told[len(told)-1].Instances["llm"])
	})
}
