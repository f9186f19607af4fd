package control

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"moleshift/peer"
)

// Link figures.
const (
	leastDelay   = 300 * time.Microsecond
	mostDelay    = 1500 * time.Microsecond
	lateAtMost   = 3 * time.Second // a late message comes within that
	bytesASecond = 12_500_000      // of a machine's link: 100 Mbit/s
	apiTimeout   = time.Second     // of a call of an operator or a server
)

var (
	errSilence = errors.New("no answer in time")
	errRefused = errors.New("connection refused")
	errDead    = errors.New("the calling process has ended")
)

// link is an ordered pair of machines, by name.
type link struct{ from, to string }

// network carries calls between the processes of a world. Cuts lose messages silently.
type network struct {
	mu       sync.Mutex
	rand     *rand.Rand
	machines map[string]*machine // by peer address
	cut      map[link]int        // how many cuts a link lies under
	loss     float64             // share of messages lost
	late     float64             // share of messages that come late
	doubled  float64             // share of messages that come twice
}

func newNetwork(r *rand.Rand) *network {
	return &network{rand: r, machines: map[string]*machine{}, cut: map[link]int{}}
}

// fate is what becomes of one message.
type fate struct {
	lost    bool
	delay   time.Duration
	doubled bool
}

func (n *network) draw(from, to string, size int) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := fate{
		lost:    n.cut[link{from, to}] > 0 || n.rand.Float64() < n.loss,
		delay:   leastDelay + time.Duration(n.rand.Int64N(int64(mostDelay-leastDelay))) + time.Duration(size)*time.Second/bytesASecond,
		doubled: n.rand.Float64() < n.doubled,
	}
	if n.rand.Float64() < n.late {
		f.delay += time.Duration(n.rand.Int64N(int64(lateAtMost)))
	}
	return f
}

// setCut cuts a link, or takes one cut back.
func (n *network) setCut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.cut[link{from, to}]++
	} else {
		n.cut[link{from, to}]--
	}
}

func (n *network) setTrouble(loss, late, doubled float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.late, n.doubled = loss, late, doubled
}

func (n *network) machineAt(address string) *machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machines[address]
}

// outcome is what a call came to.
type outcome struct {
	value any
	err   error
}

// exchange carries one call to the process at an address and its answer back. from is the name of the calling machine; ended is
// closed when the caller dies, or nil. work runs at the callee, also where the caller has given up meanwhile.
func (n *network) exchange(from, address string, size int, timeout time.Duration, ended <-chan struct{}, work func(p *process) (any, int, error)) (any, error) {
	to := n.machineAt(address)
	if to == nil {
		return n.silence(timeout, ended)
	}
	answers := make(chan outcome, 2)
	send := n.draw(from, to.name, size)
	copies := 1
	if send.doubled {
		copies = 2
	}
	for i := range copies {
		go func() { n.deliver(from, to, send.lost, send.delay*time.Duration(i+1), work, answers) }()
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a := <-answers:
		return a.value, a.err
	case <-timer.C:
		return nil, errSilence
	case <-ended:
		return nil, errDead
	}
}

func (n *network) silence(timeout time.Duration, ended <-chan struct{}) (any, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil, errSilence
	case <-ended:
		return nil, errDead
	}
}

// deliver brings one copy of a call to its machine and the answer back.
func (n *network) deliver(from string, to *machine, lost bool, delay time.Duration, work func(p *process) (any, int, error), answers chan<- outcome) {
	time.Sleep(delay)
	if lost {
		return
	}
	p, on := to.running()
	if !on {
		return // a machine without power says nothing
	}
	if p == nil {
		answers <- outcome{err: errRefused}
		return
	}
	if !p.awaitThaw() {
		return
	}
	value, size, err := work(p)
	if !p.awaitThaw() {
		return
	}
	back := n.draw(to.name, from, size)
	time.Sleep(back.delay)
	if !back.lost && p.alive() {
		select {
		case answers <- outcome{value, err}:
		default: // the other copy was answered already
		}
	}
}

// caller is one process's way to its peers. It is a core.Caller.
type caller struct {
	network *network
	process *process
}

// Call carries a call through the forms of the wire.
func (c *caller) Call(address, call string, in msgp.Marshaler, out msgp.Unmarshaler, timeout time.Duration) error {
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	if !c.process.awaitThaw() {
		return errDead
	}
	value, err := c.network.exchange(c.process.machine.name, address, len(body), timeout, c.process.ended, func(p *process) (any, int, error) {
		reply, err := p.handle(call, body)
		return reply, len(reply), err
	})
	if !c.process.awaitThaw() {
		return errDead
	}
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(value.([]byte))
	return err
}

// handle answers a peer's call.
func (p *process) handle(call string, body []byte) ([]byte, error) {
	h := p.handlers[call]
	if h == nil {
		return nil, peer.ErrFailed
	}
	reply, err := h(body)
	if err != nil {
		return nil, err
	}
	return reply.MarshalMsg(nil)
}
