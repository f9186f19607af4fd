package core

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"moleshift/controlplane/quorum"
	"moleshift/fault"
	"moleshift/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network carries calls between nodes in memory, through the forms of the wire. It loses calls and answers by lot, and holds back
// those of nodes that are off.
type network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[string]*member // by address
	loss  int                // one call in so many is lost; 0: none
}

type member struct {
	address   string
	store     *memory
	process   *process
	acceptor  *Acceptor
	registers *Registers
	off       bool
}

func newNetwork(t *testing.T, n int, seed uint64) *network {
	t.Helper()
	net := &network{rand: rand.New(rand.NewPCG(seed, 4)), nodes: map[string]*member{}}
	var members []quorum.Member
	for i := range n {
		m := &member{address: fmt.Sprint("n", i), store: &memory{records: map[string][]byte{}}}
		net.nodes[m.address] = m
		net.start(t, m)
		members = append(members, quorum.Member{ID: m.acceptor.Identity(), Address: m.address})
	}
	for _, m := range net.nodes {
		must.NoError(t, m.acceptor.Install(members))
	}
	return net
}

// process is one process's way to its node's store; a killed process reaches it no more.
type process struct {
	*memory
	mu     sync.Mutex
	killed bool
}

func (p *process) Put(name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return errLost
	}
	return p.memory.Put(name, data)
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

// start begins a process on what the node's store keeps; the one before it is killed.
func (n *network) start(t *testing.T, m *member) {
	t.Helper()
	if m.process != nil {
		m.process.kill()
	}
	m.process = &process{memory: m.store}
	acceptor, err := NewAcceptor(m.process)
	must.NoError(t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	m.acceptor, m.off = acceptor, false
	m.registers = NewRegisters(acceptor, peer.Node{ID: peer.NewID(), Address: m.address, Acceptor: acceptor.Identity()}, n, zerolog.Nop())
}

var errLost = errors.New("lost")

func (n *network) Call(address, call string, in peerIn, out peerOut, _ time.Duration) error {
	n.mu.Lock()
	m := n.nodes[address]
	lost, answerLost := m == nil || m.off || n.drawn(), n.drawn()
	var acceptor *Acceptor
	var registers *Registers
	if !lost {
		acceptor, registers = m.acceptor, m.registers
	}
	n.mu.Unlock()
	if lost {
		return errLost
	}
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	var reply peerIn
	switch call {
	case peer.CallPrepare:
		var msg peer.Prepare
		_, _ = msg.UnmarshalMsg(body)
		reply, err = acceptor.TakePrepare(&msg)
	case peer.CallAccept:
		var msg peer.Accept
		_, _ = msg.UnmarshalMsg(body)
		reply, err = acceptor.TakeAccept(&msg)
	case peer.CallLearn:
		var msg peer.Learn
		_, _ = msg.UnmarshalMsg(body)
		registers.Learn(&msg)
		reply = &peer.Empty{}
	case peer.CallSync:
		var msg peer.Sync
		_, _ = msg.UnmarshalMsg(body)
		reply = &peer.SyncReply{Reads: registers.AnswerReads(msg.Reads)}
	}
	if err != nil || answerLost {
		return errLost
	}
	body, err = reply.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(body)
	return err
}

// drawn tells by lot whether a message is lost. The lock is held.
func (n *network) drawn() bool { return n.loss > 0 && n.rand.IntN(n.loss) == 0 }

func (n *network) member(i int) *member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[fmt.Sprint("n", i)]
}

func (n *network) driver(i int) *Registers {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[fmt.Sprint("n", i)].registers
}

// lives tells whether a driver is that of a process that still runs.
func (n *network) lives(r *Registers) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.nodes {
		if m.registers == r {
			return true
		}
	}
	return false
}

func (n *network) set(i int, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[fmt.Sprint("n", i)].off = off
}

func soon() time.Time { return time.Now().Add(2 * time.Second) }

func put(r *Registers, text string) error {
	_, err := r.Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) {
		v.Data = append([]byte(string(v.Data)), text...)
		return v, nil
	})
	return err
}

func TestChangeIsSeenByAll(t *testing.T) {
	net := newNetwork(t, 3, 1)
	must.NoError(t, put(net.driver(0), "a"))
	must.NoError(t, put(net.driver(1), "b"))
	for i := range 3 {
		k, err := net.driver(i).Refresh(Config, soon())
		must.NoError(t, err)
		must.Eq(t, "ab", string(k.Value.Data))
	}
	net.set(2, true)
	must.NoError(t, put(net.driver(0), "c"))
	net.set(1, true)
	_, err := net.driver(0).Change(Config, time.Now(), func(v quorum.Value) (quorum.Value, error) { return v, nil })
	must.Eq(t, fault.Unavailable, fault.KindOf(err), must.Sprint("one of three is no majority"))
}

func TestEditThatFailsChangesNothing(t *testing.T) {
	net := newNetwork(t, 3, 1)
	must.NoError(t, put(net.driver(0), "a"))
	wrong := fault.New(fault.WrongVersion, "not now")
	_, err := net.driver(1).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) { return quorum.Value{}, wrong })
	must.ErrorIs(t, err, wrong)
	k, err := net.driver(2).Refresh(Config, soon())
	must.NoError(t, err)
	must.Eq(t, "a", string(k.Value.Data))
}

// A value that one acceptor took before its proposer failed is found and settled, and then it is there for good.
func TestHalfDoneChangeIsSettled(t *testing.T) {
	net := newNetwork(t, 3, 1)
	must.NoError(t, put(net.driver(0), "a"))
	m := net.member(1)
	s := m.acceptor.State(Config)
	b := s.Promised.Next("failed")
	_, err := m.acceptor.Accept(&peer.Accept{Register: Config, Target: m.acceptor.Identity(), Ballot: b,
		Value: quorum.Value{Members: s.Value.Members, Data: []byte("ab")}})
	must.NoError(t, err)
	net.driver(1).Look(nil, nil)
	must.Eq(t, "a", string(net.driver(0).Known(Config).Value.Data))
	must.NotEq(t, b, net.driver(1).Known(Config).Ballot, must.Sprint("it is not chosen"))
	net.driver(1).Settle(Config, soon())
	for i := range 3 {
		k, err := net.driver(i).Refresh(Config, soon())
		must.NoError(t, err)
		must.Eq(t, "ab", string(k.Value.Data))
	}
}

// A node that comes back with an empty disk answers for nobody, until the others have taken its new identity in.
func TestEmptyDiskCountsForNothing(t *testing.T) {
	net := newNetwork(t, 3, 1)
	must.NoError(t, put(net.driver(0), "a"))
	wiped := net.member(0)
	wiped.store = &memory{records: map[string][]byte{}}
	net.start(t, wiped)
	must.True(t, wiped.acceptor.Fresh())
	net.set(1, true)
	_, err := net.driver(2).Change(Config, time.Now(), func(v quorum.Value) (quorum.Value, error) { return v, nil })
	must.Error(t, err, must.Sprint("one member and one that is none are no quorum"))
	net.set(1, false)
	_, err = net.driver(2).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) {
		next := []quorum.Member{{ID: wiped.acceptor.Identity(), Address: wiped.address}}
		for _, m := range v.Members {
			if m.Address != wiped.address {
				next = append(next, m)
			}
		}
		return quorum.Begin(v, next), nil
	})
	must.NoError(t, err)
	_, err = net.driver(2).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) { return quorum.End(v), nil })
	must.NoError(t, err)
	net.set(1, true)
	must.NoError(t, put(net.driver(2), "b"))
	k, err := wiped.registers.Refresh(Config, soon())
	must.NoError(t, err)
	must.Eq(t, "ab", string(k.Value.Data))
}

// A node that is no member yet learns what is chosen also where the last answer that can come is the one that settles it.
func TestLookThatNeedsEveryAnswer(t *testing.T) {
	net := newNetwork(t, 3, 1)
	must.NoError(t, put(net.driver(0), "a"))
	members := net.driver(0).Members(Config)
	wiped := net.member(2)
	wiped.store = &memory{records: map[string][]byte{}}
	net.start(t, wiped)
	wiped.registers.Hint(members)
	wiped.registers.Look(nil, nil)
	k := wiped.registers.Known(Config)
	must.False(t, k.Confirmed.IsZero())
	must.Eq(t, "a", string(k.Value.Data))
}

// Histories of appends and reads by several clients, while messages are lost, processes are killed and start again on their disks,
// are linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		n := 3 + int(seed%4)
		net := newNetwork(t, n, seed)
		net.loss = 12
		history := &recorder{start: time.Now()}
		var clients sync.WaitGroup
		for c := range 3 {
			clients.Go(func() {
				draw := rand.New(rand.NewPCG(seed, uint64(c)))
				for op := range 12 {
					history.run(c, net, net.driver(draw.IntN(n)), fmt.Sprintf("%d.%d,", c, op), draw.IntN(3) == 0)
				}
			})
		}
		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() {
			draw := rand.New(rand.NewPCG(seed, 99))
			tick := time.NewTicker(3 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					m := net.member(draw.IntN(n))
					net.start(t, m) // a kill and a start in one moment: memory is lost, the disk is not
				}
			}
		})
		clients.Wait()
		close(stop)
		faults.Wait()
		must.True(t, porcupine.CheckOperations(model, history.operations), must.Sprintf("seed %d", seed))
		must.Greater(t, 10, history.certain, must.Sprintf("seed %d: too little came about", seed))
	}
}

type input struct {
	append string // empty: a read
}

type output struct {
	content string
	unknown bool
}

var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(string), in.(input), out.(output)
		if i.append == "" {
			return o.unknown || o.content == s, s
		}
		return true, s + i.append
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	certain    int
}

func (h *recorder) run(client int, net *network, r *Registers, text string, read bool) {
	began := time.Since(h.start).Nanoseconds()
	in, out := input{append: text}, output{}
	var err error
	if read {
		in.append = ""
		var k Known
		k, err = r.Refresh(Config, time.Now().Add(300*time.Millisecond))
		out.content = string(k.Value.Data)
	} else {
		// An append that is sent again must not come about twice: it looks for itself first, as orders of the operator do.
		_, err = r.Change(Config, time.Now().Add(300*time.Millisecond), func(v quorum.Value) (quorum.Value, error) {
			if strings.Contains(string(v.Data), text) {
				return v, ErrUnchanged
			}
			v.Data = append([]byte(string(v.Data)), text...)
			return v, nil
		})
		if errors.Is(err, ErrUnchanged) {
			err = nil
		}
	}
	if !net.lives(r) {
		err = errLost // the process was killed meanwhile: nobody got its answer
	}
	ended := time.Since(h.start).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		if read {
			return
		}
		out.unknown, ended = true, math.MaxInt64 // it may come about at any later moment, or never
	} else {
		h.certain++
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
}

// An acceptor that promised something in one register before word of the first membership came has that membership in every register.
func TestInstallAfterAPromise(t *testing.T) {
	a, err := NewAcceptor(nil)
	must.NoError(t, err)
	first := []quorum.Member{{ID: a.Identity(), Address: "n0"}, {ID: "other", Address: "n1"}}
	_, err = a.Prepare(&peer.Prepare{Register: Config, Target: a.Identity(), Ballot: quorum.Ballot{Counter: 5, Proposer: "p"}})
	must.NoError(t, err)
	must.NoError(t, a.Install(first))
	for _, register := range registers {
		s := a.State(register)
		must.Eq(t, first, s.Value.Members, must.Sprint(register))
		must.Eq(t, quorum.Ballot{Counter: 1}, s.Accepted, must.Sprint(register))
	}
	must.Eq(t, 5, a.State(Config).Promised.Counter, must.Sprint("the promise stands"))
}

// Members that a node was only told of are whom to ask, and no quorum: a register that none of them has a value of is not written.
func TestHintedMembersAreNoQuorum(t *testing.T) {
	net := &network{rand: rand.New(rand.NewPCG(1, 4)), nodes: map[string]*member{}}
	var hinted []quorum.Member
	for i := range 3 {
		m := &member{address: fmt.Sprint("n", i), store: &memory{records: map[string][]byte{}}}
		net.nodes[m.address] = m
		net.start(t, m)
		hinted = append(hinted, quorum.Member{ID: m.acceptor.Identity(), Address: m.address})
	}
	driver := net.driver(0)
	driver.Hint(hinted)
	driver.Look(nil, nil)
	must.True(t, driver.Known(Weights).Confirmed.IsZero(), must.Sprint("nothing is chosen there"))
	_, err := driver.Change(Weights, time.Now().Add(50*time.Millisecond), func(v quorum.Value) (quorum.Value, error) { return v, nil })
	must.Error(t, err)
}
