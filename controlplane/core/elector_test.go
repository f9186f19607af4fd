package core

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

// electorSeeds are the electors of the tests.
var electorSeeds = []string{"a", "b", "c"}

// disk is a store that outlasts processes.
type disk struct {
	Store
	fails bool // every write fails
}

func newDisk() *disk { return &disk{Store: NewMemory()} }

// Put writes a record.
func (d *disk) Put(name string, data []byte) error {
	if d.fails {
		return errLost
	}
	return d.Store.Put(name, data)
}

// electorWorld is the electors of a first start, with their disks.
type electorWorld struct {
	t     *testing.T
	disks map[string]*disk

	mu       sync.Mutex // guards what follows
	electors map[string]*Elector
	down     map[string]bool
	started  int                      // processes so far
	lose     func() bool              // draws whether a call, or its answer, is lost; nil: none is
	drop     func(in *peer.Vote) bool // tells whether a call is lost; nil: none is
}

func newElectorWorld(t *testing.T) *electorWorld {
	w := &electorWorld{t: t, disks: map[string]*disk{}, electors: map[string]*Elector{}, down: map[string]bool{}}
	for _, seed := range electorSeeds {
		w.disks[seed] = newDisk()
	}
	return w
}

// start starts the process of an elector on its disk.
func (w *electorWorld) start(seed string, bootstrap bool) *Elector {
	acceptor, err := NewAcceptor(w.disks[seed])
	must.NoError(w.t, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	self := &peer.Node{ID: fmt.Sprint(seed, w.started), Address: seed}
	e, err := NewElector(self, electorSeeds, bootstrap, acceptor)
	must.NoError(w.t, err)
	w.electors[seed] = e
	return e
}

// setDown has an elector answer nothing, or answer again.
func (w *electorWorld) setDown(seed string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[seed] = down
}

// restart starts all processes again, on their disks.
func (w *electorWorld) restart() {
	for _, seed := range electorSeeds {
		w.start(seed, false)
	}
}

// Call carries a vote to an elector.
func (w *electorWorld) Call(address, _ string, in msgp.Marshaler, out msgp.Unmarshaler, _ time.Duration) error {
	w.mu.Lock()
	e, down := w.electors[address], w.down[address]
	lost, unanswered := w.lose != nil && w.lose(), w.lose != nil && w.lose()
	lost = lost || w.drop != nil && w.drop(in.(*peer.Vote))
	w.mu.Unlock()
	if down || lost {
		return errLost
	}
	reply, err := e.Vote(in.(*peer.Vote))
	if err != nil || unanswered {
		return errLost
	}
	data, err := reply.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(data)
	return err
}

// enoughRounds are as many as a proposer needs to meet every ballot that others promised.
const enoughRounds = 6

// choose has an elector propose itself, in so many rounds at the most.
func (w *electorWorld) choose(seed string, rounds int) (chosen string, ok bool) {
	w.mu.Lock()
	e := w.electors[seed]
	w.mu.Unlock()
	var above quorum.Ballot
	for range rounds {
		if data, ok := e.Choose(w, []byte(seed), &above); ok {
			return string(data), true
		}
	}
	return "", false
}

// Guards against a system that never comes up: its processes were killed at their first start, before a majority of the seeds had written that
// they are electors.
func TestElectorsWhoseFirstProcessesWroteNothing(t *testing.T) {
	for written := range len(electorSeeds) + 1 { // so many had
		synctest.Test(t, func(t *testing.T) {
			w := newElectorWorld(t)
			for _, seed := range electorSeeds[:written] {
				w.start(seed, true)
			}
			w.restart()
			proposer := electorSeeds[len(electorSeeds)-1]
			chosen, ok := w.choose(proposer, enoughRounds)
			must.True(t, ok, must.Sprintf("%d of them had written", written))
			must.Eq(t, proposer, chosen)
			again, ok := w.choose(electorSeeds[0], enoughRounds)
			must.True(t, ok)
			must.Eq(t, chosen, again)
			must.False(t, w.electors[proposer].IsRecovering())
		})
	}
}

// An elector that lost its disk votes no second membership into being, with whoever remembers nothing of a choice; nor do those that lack one
// of all electors.
func TestElectorThatForgotNeedsAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newElectorWorld(t)
		for _, seed := range electorSeeds {
			w.start(seed, true)
		}
		w.setDown("c", true)
		chosen, ok := w.choose("a", 1)
		must.True(t, ok)
		must.Eq(t, "a", chosen, must.Sprint("by a and b"))
		w.disks["b"] = newDisk()
		w.start("b", false)
		w.setDown("c", false)
		w.setDown("a", true)
		for _, seed := range []string{"b", "c"} {
			_, ok = w.choose(seed, 2)
			must.False(t, ok, must.Sprint("b may have accepted something with a: it did"))
		}
		must.True(t, w.electors["b"].IsRecovering())
		w.setDown("a", false)
		chosen, ok = w.choose("b", enoughRounds)
		must.True(t, ok)
		must.Eq(t, "a", chosen)
	})
}

// A seed that is a member of a running system, or whose settings name other seeds, takes no part in a first membership.
func TestElectorThatIsAMemberAbstains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w *electorWorld
		for _, remembers := range []bool{false, true} {
			w = newElectorWorld(t)
			w.start("b", remembers)
			w.restart()
			must.NoError(t, w.electors["b"].acceptor.Install([]quorum.Member{{ID: "x", Address: "x"}}))
			_, ok := w.choose("a", 2)
			must.False(t, ok, must.Sprint("b remembers its votes: ", remembers))
		}
		acceptor, err := NewAcceptor(newDisk())
		must.NoError(t, err)
		for _, seeds := range [][]string{{"b", "c", "d"}, {}} {
			e, err := NewElector(&peer.Node{ID: "a0", Address: "a"}, seeds, false, acceptor)
			must.NoError(t, err)
			must.SliceEmpty(t, e.Electors())
		}
		memory, err := NewAcceptor(nil)
		must.NoError(t, err)
		e, err := NewElector(&peer.Node{ID: "a0", Address: "a"}, electorSeeds, false, memory)
		must.NoError(t, err)
		must.SliceEmpty(t, e.Electors(), must.Sprint("without a disk every restart forgets"))
		other := &peer.Vote{Target: "c", Ballot: quorum.Ballot{Counter: 9}, Unanimous: []quorum.Member{{ID: "c", Address: "c"}}}
		reply, err := w.electors["c"].Vote(other)
		must.NoError(t, err)
		must.True(t, reply.Wrong, must.Sprint("another set of electors"))
	})
}

// However first processes are killed, one disk is lost, processes restart and calls are lost: no two values are chosen, and once all are there
// one is.
func TestDrawnFirstStarts(t *testing.T) {
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) { playFirstStart(t, seed) })
	}
}

func playFirstStart(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x656c))
	w := newElectorWorld(t)
	for _, name := range electorSeeds {
		if random.IntN(3) > 0 {
			w.start(name, true)
		} else {
			w.start(name, false) // its first process was killed before it wrote anything
		}
	}
	chosen, wiped := map[string]bool{}, false
	losses := rand.New(rand.NewPCG(seed, 0x6c6f))
	w.lose = func() bool { return losses.IntN(5) == 0 }
	for range 3 + random.IntN(10) {
		name := electorSeeds[random.IntN(len(electorSeeds))]
		switch random.IntN(5) {
		case 0:
			w.start(name, false)
		case 1:
			if !wiped {
				w.disks[name], wiped = newDisk(), true
				w.start(name, false)
			}
		case 2:
			w.mu.Lock()
			w.down[name] = !w.down[name]
			w.mu.Unlock()
		default:
			if value, ok := w.choose(name, 1); ok {
				chosen[value] = true
			}
		}
	}
	w.mu.Lock()
	w.down, w.lose = map[string]bool{}, nil
	w.mu.Unlock()
	settled := false
	for range 3 {
		for _, name := range electorSeeds {
			if value, ok := w.choose(name, enoughRounds); ok {
				chosen[value], settled = true, true
			}
		}
	}
	must.True(t, settled, must.Sprintf("seed %d: none is chosen", seed))
	must.MapLen(t, 1, chosen, must.Sprint(fmt.Sprintf("seed %d: ", seed), chosen))
}

// Guards against two memberships: an elector that restarts within its round proposes another value under the ballot that it used before, and
// whoever accepted the first one can't be told from those that accepted the second.
func TestElectorThatRestartsUsesNoBallotTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newElectorWorld(t)
		for _, seed := range electorSeeds {
			w.start(seed, true)
		}
		w.disks["a"].fails = true // its first process ends before it has written its own promise
		w.drop = func(in *peer.Vote) bool { return in.Target == "b" && in.Value != nil }
		_, ok := w.electors["a"].Choose(w, []byte("another"), &quorum.Ballot{})
		must.False(t, ok)
		must.Eq(t, "another", string(w.electors["c"].votes().Value.Data))
		synctest.Wait() // calls that the round did not wait for end before the world changes
		w.disks["a"].fails, w.drop = false, nil
		w.start("a", false)
		w.setDown("c", true)
		chosen, ok := w.choose("a", enoughRounds)
		must.True(t, ok)
		must.Eq(t, "a", chosen)
		must.NotEq(t, w.electors["c"].votes().Accepted, w.electors["a"].votes().Accepted, must.Sprint("c holds another value under this ballot"))
	})
}
