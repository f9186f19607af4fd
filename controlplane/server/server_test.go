package server

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/controlplane/registry"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/settings"
)

// lan carries calls between controllers in memory; those that are off, or cut off from the caller, do not answer.
type lan struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler
	off      map[string]bool
}

var errOff = errors.New("no answer")

// port is one controller's way into the lan.
type port struct {
	lan  *lan
	from string
}

func (p *port) Call(address, call string, in msgp.Marshaler, out msgp.Unmarshaler, _ time.Duration) error {
	p.lan.mu.Lock()
	h := p.lan.handlers[address][call]
	off := p.lan.off[address] || p.lan.off[p.from]
	p.lan.mu.Unlock()
	if h == nil || off {
		return errOff
	}
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	reply, err := h(body)
	if err != nil {
		return err
	}
	body, err = reply.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(body)
	return err
}

func (l *lan) set(address string, off bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off[address] = off
}

// node starts a controller. seeds are the addresses that its settings file names.
func (l *lan) node(t testing.TB, i int, counts, first bool, store core.Store, seeds ...string) *Controller {
	t.Helper()
	set := settings.Default()
	set.IP = fmt.Sprintf("10.0.0.%d", i)
	set.PortRange = []int{7000, 7009}
	set.Bootstrap, set.HeartbeatMs = first, 200
	set.Listen.Control = set.IP + ":80"
	set.Seeds = nil
	for _, s := range seeds {
		set.Seeds = append(set.Seeds, s+":80")
	}
	var acceptor *core.Acceptor
	self := peer.Node{ID: fmt.Sprintf("incarnation-%d-%p", i, &set), Address: set.PeerAddress()}
	if counts {
		var err error
		if store == nil {
			store = core.NewMemory()
		}
		if !first {
			must.NoError(t, PrepareNewcomer(store))
		}
		acceptor, err = core.NewAcceptor(store)
		must.NoError(t, err)
		self.Acceptor, self.Fresh = acceptor.Identity(), acceptor.Empty()
	}
	elector, err := core.NewElector(&self, set.SeedPeers(), first, acceptor)
	must.NoError(t, err)
	c := New(&set, set.SeedPeers, self, acceptor, elector, &port{l, self.Address}, directory.New(), zerolog.Nop())
	l.mu.Lock()
	l.handlers[self.Address] = c.Handlers()
	l.off[self.Address] = false
	l.mu.Unlock()
	go c.Run()
	t.Cleanup(func() { c.Close() })
	return c
}

func newLan() *lan {
	return &lan{handlers: map[string]map[string]peer.Handler{}, off: map[string]bool{}}
}

// eventually waits for what comes about within a bound, not at once.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

const wholeText = `{"version":2,"routes":[],"services":[{"name":"llm"}]}`

func replace(c *Controller, ifVersion int64, body string) fault.Kind {
	return fault.Kind(c.Order(&peer.Order{Kind: configuration.Replace, IfVersion: ifVersion, Body: []byte(body)}).Kind)
}

// Guards against a core that rests for ever after a kill of all: the members that return have accepted different values, as the proposer of
// the newer one does not return, and nobody asks for anything that would settle which holds.
func TestMembersThatReturnSettleWhatWasLeftHalfDone(t *testing.T) {
	l := newLan()
	stores := []core.Store{newStore(), newStore(), newStore()}
	members := startConfigured(t, l, stores...)
	eventually(t, "all have it", func() bool {
		return members[1].registers.Known(core.Config).Ballot == members[0].registers.Known(core.Config).Ballot
	})
	l.set(members[1].self.Address, true)
	eventually(t, "a newer one", func() bool {
		return replace(members[0], 2, `{"version":3,"routes":[],"services":[{"name":"llm"}]}`) == fault.None
	})
	l.kill(members...)
	for i := 1; i < 3; i++ {
		c := l.node(t, i+1, true, false, stores[i], coreSeeds...)
		defer c.Close()
		members[i] = c
	}
	for _, c := range members[1:] {
		eventually(t, "the newer one is known to be chosen", func() bool {
			state, err := readConfiguration(c.registers.Known(core.Config).Value.Data)
			return err == nil && state.Version == 3 && !c.registers.Known(core.Config).Confirmed.IsZero()
		})
	}
}

// Guards against a core that never takes an order: all members are killed after the first membership has reached the disk in one register,
// and before it has in the other.
func TestFirstMembershipOutlastsAKillBetweenTwoRegisters(t *testing.T) {
	for _, lost := range core.Names() {
		synctest.Test(t, func(t *testing.T) {
			l := newLan()
			stores := []core.Store{newStore(), newStore(), newStore()}
			members := startCore(t, l, true, stores...)
			for _, c := range members {
				eventually(t, "the membership is installed", func() bool { return c.acceptor.Kept(core.Config) != nil && c.acceptor.Kept(core.Weights) != nil })
			}
			l.kill(members...)
			for i := range stores {
				delete(stores[i].(*store).records, lost)
				members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
			}
			eventually(t, "a configuration", func() bool { return replace(members[1], 0, wholeText) == fault.None })
			name(t, members[2], 2)
		})
	}
}

// Guards against a system that never comes up: every process is killed at the first start of all, some before they have written anything, some
// between two writes, some behind both. A node that comes with an empty disk afterwards is taken in as before.
func TestSystemKilledAtItsFirstStartComesUp(t *testing.T) {
	const elector = "elector" // the record
	for started := range 4 {
		for identified := range started + 1 { // of those that started: killed between the two first writes
			synctest.Test(t, func(t *testing.T) {
				l := newLan()
				stores := []core.Store{newStore(), newStore(), newStore()}
				members := make([]*Controller, len(stores))
				for i := range started {
					members[i] = l.node(t, i+1, true, true, stores[i], coreSeeds...)
				}
				l.kill(members[:started]...)
				for i := range stores {
					if i < identified {
						delete(stores[i].(*store).records, elector)
					}
					members[i] = l.node(t, i+1, true, false, stores[i], coreSeeds...)
				}
				what := fmt.Sprintf("a configuration, %d started before, %d of them killed between two writes", started, identified)
				eventually(t, what, func() bool { return replace(members[1], 0, wholeText) == fault.None })
				l.kill(members[0])
				members[0] = l.node(t, 1, true, false, newStore(), coreSeeds...)
				eventually(t, "it is taken in", members[0].IsMember)
				must.Eq(t, fault.None, replace(members[0], 2, `{"version":3,"routes":[],"services":[]}`))
			})
		}
	}
}

// A core of four with three seeds, one of which is a machine that does not count: one membership of all four, known to everyone.
func TestFirstMembership(t *testing.T) {
	l := newLan()
	var members []*Controller
	for i := 1; i <= 4; i++ {
		members = append(members, l.node(t, i, true, true, nil, "10.0.0.2", "10.0.0.3", "10.0.0.9"))
	}
	router := l.node(t, 9, false, true, nil, "10.0.0.2", "10.0.0.3", "10.0.0.9")
	for _, c := range append(members, router) {
		eventually(t, "four members are known", func() bool { return len(c.directory.Members()) == 4 })
	}
	eventually(t, "configuration through a node that does not count", func() bool { return replace(router, 0, wholeText) == fault.None })
	must.Eq(t, fault.None, replace(members[3], 0, wholeText), must.Sprint("the same order again, elsewhere"))
	must.Eq(t, fault.WrongVersion, replace(members[0], 0, `{"version":3,"routes":[],"services":[]}`))
	read := members[1].Order(&peer.Order{Kind: orderRead})
	must.Eq(t, wholeText, string(read.Body))
	must.Eq(t, fault.BadConfig, fault.Kind(router.Order(&peer.Order{Kind: orderVersion, Body: []byte(`{"model":"","version":1}`)}).Kind))

	// One member may be off; a server that leaves is acknowledged by a majority, and by nobody without one.
	l.set(members[3].self.Address, true)
	server := peer.Instance{ID: "i1", Service: "llm", Address: "10.1.0.1:80", Sequence: 1}
	_, err := members[0].Heartbeat(&peer.Beat{Instance: server})
	must.NoError(t, err)
	server.Sequence, server.State = 2, registry.Draining
	_, err = members[0].Heartbeat(&peer.Beat{Instance: server})
	must.NoError(t, err)
	known, ok := members[1].table.Get("i1")
	must.True(t, ok)
	must.Eq(t, registry.Draining, known.State)
	l.set(members[2].self.Address, true)
	_, err = members[0].Heartbeat(&peer.Beat{Instance: peer.Instance{ID: "i1", State: registry.Gone}})
	must.Error(t, err, must.Sprint("two of four cannot promise that routers will hear of it"))
	must.Eq(t, fault.Unavailable, replace(members[0], 2, `{"version":3,"routes":[],"services":[]}`))
	l.set(members[2].self.Address, false)
	_, err = members[0].Heartbeat(&peer.Beat{Instance: peer.Instance{ID: "i1", State: registry.Gone}})
	must.NoError(t, err, must.Sprint("the same call again"))
}

// A node that is no member passes a small configuration on, and sends the operator to a member for a large one.
func TestLargeConfigurationIsReadAtAMember(t *testing.T) {
	l := newLan()
	seeds := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	var members []*Controller
	for i := 1; i <= 3; i++ {
		members = append(members, l.node(t, i, true, true, nil, seeds...))
	}
	router := l.node(t, 9, false, true, nil, seeds...)
	eventually(t, "configuration", func() bool { return replace(router, 0, wholeText) == fault.None })
	read := router.Order(&peer.Order{Kind: orderRead})
	must.Eq(t, wholeText, string(read.Body))
	must.Eq(t, "", read.Redirect)
	large := `{"version":3,"routes":[],"services":[{"name":"` + strings.Repeat("x", mostPassedOn) + `"}]}`
	must.Eq(t, fault.None, replace(router, 2, large))
	read = router.Order(&peer.Order{Kind: orderRead})
	must.Eq(t, fault.None, fault.Kind(read.Kind))
	must.Zero(t, len(read.Body))
	must.StrContains(t, read.Redirect, "10.0.0.")
	must.StrHasSuffix(t, ":80", read.Redirect)

	// A member whose owner of the register does not answer reads it itself, and whole.
	owner := members[0].directory.Try("order-" + core.Config)[0]
	l.set(owner.Address, true)
	for _, c := range members {
		if c.self.Address != owner.Address {
			read = c.Order(&peer.Order{Kind: orderRead})
			must.True(t, string(read.Body) == large || read.Redirect != "", must.Sprint("an answer that is neither the configuration nor where it is"))
		}
	}
}

// Seeds that keep nothing know nobody after a loss of all power; members tell them, and those who ask them find the members.
func TestSeedsThatKeepNothing(t *testing.T) {
	l := newLan()
	stores := map[int]core.Store{1: newStore(), 2: newStore(), 3: newStore()}
	for i := range 3 {
		l.node(t, i+1, true, true, stores[i+1], "10.0.0.1", "10.0.0.2", "10.0.0.3")
	}
	one := l.node(t, 8, false, true, nil, "10.0.0.1")
	eventually(t, "members are known", func() bool { return len(one.directory.Members()) == 3 })
	eventually(t, "configuration", func() bool { return replace(one, 0, wholeText) == fault.None })

	seeds := []string{"10.0.0.21", "10.0.0.22", "10.0.0.23"}
	var routers []*Controller
	for i := 21; i <= 25; i++ {
		routers = append(routers, l.node(t, i, false, false, nil, seeds...))
	}
	for i := range 3 {
		l.node(t, i+1, true, false, stores[i+1], seeds...)
	}
	for _, c := range routers {
		eventually(t, "members are known again", func() bool { return len(c.directory.Members()) == 3 })
	}
	eventually(t, "what was acknowledged", func() bool {
		return string(routers[4].Order(&peer.Order{Kind: orderRead}).Body) == wholeText
	})
}

// A member whose disk was lost is taken in under its new identity, and the change ends: then another member may be lost.
func TestWipedMemberIsTakenIn(t *testing.T) {
	l := newLan()
	seeds := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	var members []*Controller
	for i := range 3 {
		members = append(members, l.node(t, i+1, true, true, newStore(), seeds...))
	}
	eventually(t, "configuration", func() bool { return replace(members[0], 0, wholeText) == fault.None })
	members[2].Close()
	members[2] = l.node(t, 3, true, false, newStore(), seeds...)
	for _, register := range core.Names() {
		eventually(t, "the change has ended", func() bool {
			v := members[0].registers.Known(register).Value
			return len(v.Old) == 0 && len(v.Members) == 3 && v.Has(members[2].acceptor.Identity())
		})
	}
	l.set(members[1].self.Address, true)
	eventually(t, "a change by the new one and another", func() bool {
		return replace(members[0], 2, `{"version":5,"routes":[],"services":[]}`) == fault.None
	})
}

// store is a disk in memory.
type store struct {
	mu      sync.Mutex
	records map[string][]byte
}

func newStore() *store { return &store{records: map[string][]byte{}} }

func (s *store) Get(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[name]
}

func (s *store) Put(name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[name] = data
	return nil
}

// A controller that has just started knows few routers, and says that its list may lack some; later it tells the whole, also where
// that is the same.
func TestYoungControllerSaysThatItsListMayLackNodes(t *testing.T) {
	set := settings.Default()
	acceptor, err := core.NewAcceptor(nil)
	must.NoError(t, err)
	c := New(&set, set.SeedPeers, peer.Node{ID: "self"}, acceptor, nil, nil, directory.New(), zerolog.Nop()) // it does not run
	in := &peer.Poll{From: peer.Node{ID: "router"}, Nodes: 77}
	c.watchTable(in)
	reply, _ := c.pollReply(in)
	must.Len(t, 1, reply.Nodes)
	must.True(t, reply.NodesSome)

	in.Nodes = reply.NodesHash
	reply, _ = c.pollReply(in)
	must.SliceEmpty(t, reply.Nodes, must.Sprint("it was told already"))
	c.started = c.started.Add(-time.Minute)
	reply, _ = c.pollReply(in)
	must.Len(t, 1, reply.Nodes)
	must.False(t, reply.NodesSome)
}
