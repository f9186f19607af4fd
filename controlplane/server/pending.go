package server

import (
	"sync"
	"time"

	"moleshift/controlplane/core"
	"moleshift/fault"
	"moleshift/peer"
)

// orderPatience is how long a member works on an order, beside the time of its transfer: longer than its caller waits, so that an order that
// meets slow disks, or no majority for a while, does not begin anew with each call.
const orderPatience = 8 * time.Second

// pendingOrders are the orders that this member works on. One that is sent again while it is under way waits for the same outcome.
type pendingOrders struct {
	mu     sync.Mutex
	orders map[orderKey]*pendingOrder
}

// orderKey tells orders apart.
type orderKey struct {
	kind      string
	ifVersion int64
	body      string
}

type pendingOrder struct {
	done chan struct{} // closed once err stands
	err  error
}

// errUnderWay is the error of an order that has no outcome yet.
var errUnderWay = fault.New(fault.Unavailable, "the order is under way")

// await has an order worked on, and gives its outcome; errUnderWay where there is none before the deadline.
func (p *pendingOrders) await(in *peer.Order, deadline time.Time, work func(patience time.Time) error) error {
	order := p.begin(in, work)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-order.done:
		return order.err
	case <-timer.C:
		return errUnderWay
	}
}

// begin has an order worked on unless it is already.
func (p *pendingOrders) begin(in *peer.Order, work func(patience time.Time) error) *pendingOrder {
	key := orderKey{in.Kind, in.IfVersion, string(in.Body)}
	patience := time.Now().Add(orderPatience + core.TransferTime(len(in.Body)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if order, ok := p.orders[key]; ok {
		return order
	}
	order := &pendingOrder{done: make(chan struct{})}
	p.orders[key] = order
	go func() {
		order.err = work(patience)
		p.mu.Lock()
		delete(p.orders, key)
		p.mu.Unlock()
		close(order.done)
	}()
	return order
}
