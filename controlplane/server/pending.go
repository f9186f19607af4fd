package server

import (
	"slices"
	"sync"
	"time"

	"moleshift/controlplane/configuration"
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
	orders map[string]*pendingOrder // by their hash
}

type pendingOrder struct {
	done chan struct{} // closed once err stands
	err  error
}

// errUnderWay is the error of an order that has no outcome yet.
var errUnderWay = fault.New(fault.Unavailable, "the order is under way")

// await has an order worked on, and gives its outcome; errUnderWay where there is none before the deadline.
func (p *pendingOrders) await(in *peer.Order, deadline time.Time, work func(order *configuration.Order, patience time.Time) error) error {
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

// begin has an order worked on unless it is already. It may outlast the call that brought it, so it is worked on as a copy.
func (p *pendingOrders) begin(in *peer.Order, work func(order *configuration.Order, patience time.Time) error) *pendingOrder {
	order := &configuration.Order{Kind: in.Kind, IfVersion: in.IfVersion, Body: in.Body}
	key := string(order.Hash())
	patience := time.Now().Add(orderPatience + core.TransferTime(len(in.Body)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.orders[key]; ok {
		return known
	}
	order.Body = slices.Clone(in.Body)
	pending := &pendingOrder{done: make(chan struct{})}
	p.orders[key] = pending
	go func() {
		pending.err = work(order, patience)
		p.mu.Lock()
		delete(p.orders, key)
		p.mu.Unlock()
		close(pending.done)
	}()
	return pending
}
