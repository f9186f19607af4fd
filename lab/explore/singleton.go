package explore

import (
	"fmt"
	"strconv"
	"time"

	"moleshift/controlplane/singleton"
)

// LeaseFromAnswer is a fault: a holder counts its lease from when the answer to its renewal came.
const LeaseFromAnswer Fault = "counts the lease from the answer"

// Figures of the lease, in ticks.
const (
	leaseUse   = 2 * time.Second
	leaseGuard = 4 * time.Second
	leaseTick  = time.Second
	leaseEnd   = 10 * time.Second
)

// singletonWorld is a lease in a register and two nodes that want to act alone. A node may stand still between any two things that it
// does; writes are late or lost, and so is word of their success.
type singletonWorld struct {
	fault    Fault
	now      time.Duration
	register singleton.Lease
	nodes    [2]leaseNode
	last     leaseAct
	err      error
}

type leaseNode struct {
	watch    singleton.Watch
	restarts int
	write    leaseWrite
}

// leaseWrite is a write under way.
type leaseWrite struct {
	over, next singleton.Lease
	began      time.Duration
	stage      int // 0: none, 1: on its way, 2: in the register
}

// leaseAct is what the receiver of the acts saw last.
type leaseAct struct {
	node  int
	at    time.Duration
	epoch uint64
	any   bool
}

// NewSingleton makes the world.
func NewSingleton(f Fault) World {
	w := &singletonWorld{fault: f}
	for i := range w.nodes {
		w.nodes[i].watch = newWatch(i, 0)
	}
	return w
}

func newWatch(i, restarts int) singleton.Watch {
	return *singleton.NewWatch(singleton.Settings{Use: leaseUse, Guard: leaseGuard}, strconv.Itoa(i)+"."+strconv.Itoa(restarts))
}

// Key prints the state.
func (w *singletonWorld) Key() string {
	return fmt.Sprintf("%v %v %+v %v %v", w.now, w.register, w.nodes, w.last, w.err)
}

// Check gives what an act broke.
func (w *singletonWorld) Check() error { return w.err }

// Moves lists what can happen.
func (w *singletonWorld) Moves() []Move {
	var moves []Move
	if w.now < leaseEnd {
		moves = append(moves, w.move("time passes", func(c *singletonWorld) { c.now += leaseTick }))
	}
	for i := range w.nodes {
		moves = append(moves, w.nodeMoves(i)...)
	}
	return moves
}

func (w *singletonWorld) move(name string, f func(c *singletonWorld)) Move {
	return Move{name, func() World {
		c := *w
		f(&c)
		return &c
	}}
}

func (w *singletonWorld) nodeMoves(i int) []Move {
	n := &w.nodes[i]
	name := func(what string) string { return fmt.Sprintf("node %d %s", i, what) }
	moves := []Move{w.move(name("looks at the register"), func(c *singletonWorld) { c.nodes[i].watch.Observe(c.now, c.register) })}
	if n.watch.MayTake(w.now, false) && n.write.stage == 0 {
		moves = append(moves, w.move(name("begins to write"), func(c *singletonWorld) {
			over, next := c.nodes[i].watch.Next()
			c.nodes[i].write = leaseWrite{over, next, c.now, 1}
		}))
	}
	if n.write.stage == 1 {
		moves = append(moves, w.move(name("has its write come in"), func(c *singletonWorld) { c.write(i) }))
	}
	if n.write.stage == 2 {
		moves = append(moves, w.move(name("hears of its write"), func(c *singletonWorld) { c.written(i) }))
	}
	if _, holds := n.watch.Holds(w.now); holds {
		moves = append(moves, w.move(name("acts"), func(c *singletonWorld) { c.act(i) }))
	}
	if n.restarts == 0 {
		moves = append(moves, w.move(name("restarts"), func(c *singletonWorld) {
			c.nodes[i] = leaseNode{watch: newWatch(i, 1), restarts: 1}
		}))
	}
	return moves
}

func (w *singletonWorld) write(i int) {
	n := &w.nodes[i]
	if w.register != n.write.over {
		n.write = leaseWrite{}
		return
	}
	w.register, n.write.stage = n.write.next, 2
}

func (w *singletonWorld) written(i int) {
	n := &w.nodes[i]
	began := n.write.began
	if w.fault == LeaseFromAnswer {
		began = w.now
	}
	n.watch.Written(began, w.now, n.write.next)
	n.write = leaseWrite{}
}

// act is seen by its receiver: two holders lie the rest between their leases apart, and epochs only grow.
func (w *singletonWorld) act(i int) {
	epoch, _ := w.nodes[i].watch.Holds(w.now)
	last := w.last
	w.last = leaseAct{i, w.now, epoch, true}
	switch {
	case !last.any:
	case epoch < last.epoch:
		w.err = fmt.Errorf("epoch %d acts after epoch %d", epoch, last.epoch)
	case epoch == last.epoch && i != last.node:
		w.err = fmt.Errorf("two nodes act under epoch %d", epoch)
	case i != last.node && w.now-last.at < leaseGuard-leaseUse:
		w.err = fmt.Errorf("two holders act within %v", w.now-last.at)
	}
}
