package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

// One way of a message between two members takes from leastDelay to mostDelay.
const (
	leastDelay = 300 * time.Microsecond
	mostDelay  = 1500 * time.Microsecond
)

var errLost = errors.New("lost")

// inVirtualTime runs a test in a bubble of virtual time, and lets calls that nobody waits for any more come to their end.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * CallTimeout)
		test(t)
	})
}

// network carries calls between members in memory, through the forms of the wire. It delays and loses calls and answers as the seed
// says, and holds back those of members that are off. The caller runs in a bubble of virtual time.
type network struct {
	seed uint64

	mu    sync.Mutex
	nodes map[string]*member // by address
	calls map[string]int     // by caller, callee and kind of call: how many there were
	loss  int                // one message in so many is lost; 0: none
}

type member struct {
	address   string
	starts    int
	store     *memory
	process   *process
	acceptor  *Acceptor
	registers *Registers
	off       bool
}

func emptyNetwork(seed uint64) *network {
	return &network{seed: seed, nodes: map[string]*member{}, calls: map[string]int{}}
}

func newNetwork(t *testing.T, n int, seed uint64) *network {
	t.Helper()
	net := emptyNetwork(seed)
	var members []quorum.Member
	for i := range n {
		m := net.add(t, i)
		members = append(members, quorum.Member{ID: m.acceptor.Identity(), Address: m.address})
	}
	for _, m := range net.nodes {
		must.NoError(t, m.acceptor.Install(members))
	}
	return net
}

// add starts a new member. Its identity follows from its number, so that a seed always gives the same history.
func (n *network) add(t *testing.T, i int) *member {
	t.Helper()
	m := &member{address: fmt.Sprint("n", i)}
	m.store = &memory{records: map[string][]byte{identityRecord: fmt.Append(nil, "identity", i)}}
	n.nodes[m.address] = m
	n.start(t, m)
	return m
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
	m.starts++
	id := fmt.Sprintf("%s.%d", m.address, m.starts)
	node := peer.Node{ID: id, Address: m.address, Acceptor: acceptor.Identity()}
	m.acceptor, m.off = acceptor, false
	m.registers = NewRegisters(acceptor, node, &caller{n, id}, zerolog.Nop())
}

// caller is one process's end of the network.
type caller struct {
	net *network
	id  string
}

// fate is what becomes of a call.
type fate struct {
	callLost, answerLost   bool
	callDelay, answerDelay time.Duration
}

// draw draws the fate of a call from the seed, the two ends and how many such calls there were: whichever goroutine comes first, a
// call has the same fate.
func (n *network) draw(from, to, call string) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := fmt.Sprint(from, " ", to, " ", call)
	n.calls[key]++
	random := rand.New(rand.NewPCG(n.seed, xxhash.Sum64String(fmt.Sprint(key, " ", n.calls[key]))))
	lost := func() bool { return n.loss > 0 && random.IntN(n.loss) == 0 }
	delay := func() time.Duration { return leastDelay + time.Duration(random.Int64N(int64(mostDelay-leastDelay))) }
	return fate{callLost: lost(), answerLost: lost(), callDelay: delay(), answerDelay: delay()}
}

// running gives what runs at an address now.
func (n *network) running(address string) (*Acceptor, *Registers) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.nodes[address]
	if m == nil || m.off {
		return nil, nil
	}
	return m.acceptor, m.registers
}

// Call implements Caller. What is lost shows as silence, for as long as the caller waits.
func (c *caller) Call(address, call string, in peerIn, out peerOut, timeout time.Duration) error {
	f := c.net.draw(c.id, address, call)
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	time.Sleep(f.callDelay)
	var reply peerIn
	acceptor, registers := c.net.running(address)
	if !f.callLost && acceptor != nil {
		reply = serve(acceptor, registers, call, body)
	}
	if reply == nil || f.answerLost {
		time.Sleep(timeout - f.callDelay)
		return errLost
	}
	time.Sleep(f.answerDelay)
	body, err = reply.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(body)
	return err
}

// serve has a member answer a call; nil: it does not.
func serve(acceptor *Acceptor, registers *Registers, call string, body []byte) peerIn {
	var reply *peer.AcceptorReply
	var err error
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
		return &peer.Empty{}
	case peer.CallSync:
		var msg peer.Sync
		_, _ = msg.UnmarshalMsg(body)
		return &peer.SyncReply{Reads: registers.AnswerReads(msg.Reads)}
	}
	if err != nil {
		return nil
	}
	return reply
}

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

func (n *network) setLoss(loss int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}
