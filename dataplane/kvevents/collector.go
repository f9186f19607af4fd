package kvevents

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/core"
	"moleshift/controlplane/directory"
	"moleshift/dataplane/follower"
	"moleshift/peer"
)

const (
	passEvery   = 100 * time.Millisecond
	exportEvery = 2  // of passEvery: batches for other zones gather for longer, as their bytes are dear
	fanOut      = 12 // routers that one sends a batch to at the most; with more in a zone, they pass it on to groups
	passTimeout = 500 * time.Millisecond
)

// Sink takes what is learned of holders.
type Sink interface {
	TakeEvents(list []peer.Events)
	// HolderState lists what is known of a holder, for a router that has just come.
	HolderState(holder string) []peer.Event
	// LoadAccount gives what is due to the other routers of this router's work in flight; nil: nothing.
	LoadAccount() *peer.LoadAccount
	// TakeAccounts takes what other routers told of theirs.
	TakeAccounts(list []peer.LoadAccount)
}

// holderOf is a server or a store whose events may be drawn.
type holderOf struct {
	id, address, zone string
}

// news is what is passed on together.
type news struct {
	events   []peer.Events
	accounts []peer.LoadAccount
}

func (n *news) add(more news) {
	n.events = append(n.events, more.events...)
	n.accounts = append(n.accounts, more.accounts...)
}

// batch gives the message that brings the news to another router.
func (n *news) batch() *peer.EventBatch {
	return &peer.EventBatch{List: n.events, Accounts: n.accounts}
}

func (n *news) empty() bool { return len(n.events) == 0 && len(n.accounts) == 0 }

// Collector draws the events of the holders that fall to this router.
type Collector struct {
	self   peer.Node
	caller core.Caller
	sink   Sink
	log    zerolog.Logger
	closed chan struct{}
	get    func(address, path string) ([]byte, error) // asks a holder
	send   func(to peer.Node, batch *peer.EventBatch) // in a goroutine of its own

	mu      sync.Mutex
	drawing map[string]chan struct{} // by holder: closed to end it
	nodes   []peer.Node
	greeted map[string]bool // nodes that have been sent the whole state
	drawn   news            // drawn here, not passed on yet
	zone    news            // to be spread in this zone, at its leader
	export  news            // drawn in this zone, for the others, at its leader
}

// New makes a collector.
func New(ip string, self peer.Node, caller core.Caller, sink Sink, log zerolog.Logger) *Collector {
	c := &Collector{
		self: self, caller: caller, sink: sink, log: log, closed: make(chan struct{}),
		drawing: map[string]chan struct{}{}, greeted: map[string]bool{},
		get: newHolderClient(ip),
	}
	c.send = func(to peer.Node, batch *peer.EventBatch) { go c.call(to.Address, batch) }
	return c
}

// Update takes a new snapshot: holders and routers come and go.
func (c *Collector) Update(s *follower.Snapshot) {
	if s.Table == nil {
		return
	}
	mine := map[string]holderOf{}
	for _, h := range holders(s) {
		if collectorOf(h, s.Nodes) == c.self.ID {
			mine[h.id] = h
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = s.Nodes
	for id, end := range c.drawing {
		if _, ok := mine[id]; !ok {
			close(end)
			delete(c.drawing, id)
		}
	}
	for id, h := range mine {
		if c.drawing[id] == nil {
			end := make(chan struct{})
			c.drawing[id] = end
			go newDrawer(c, h).run(end)
		}
	}
}

func holders(s *follower.Snapshot) []holderOf {
	var list []holderOf
	for name, instances := range s.Instances {
		service := s.Table.Services[name]
		if service == nil || service.Engine == nil {
			continue
		}
		for _, in := range instances {
			list = append(list, holderOf{in.ID, in.Address, in.Zone})
		}
	}
	for _, store := range s.Table.Stores {
		list = append(list, holderOf{store.StoreAddress, store.StoreAddress, store.Zone})
	}
	return list
}

// collectorOf names the router that draws a holder's events: of the holder's zone where there is one, by rendezvous.
func collectorOf(h holderOf, nodes []peer.Node) string {
	best, weight, inZone := "", uint64(0), false
	for _, n := range nodes {
		w, same := directory.Weight(h.id, n.ID), n.Zone == h.zone
		if best == "" || (same && !inZone) || (same == inZone && w > weight) {
			best, weight, inZone = n.ID, w, same
		}
	}
	return best
}

// learned takes events to this router's index and to what is passed on.
func (c *Collector) learned(e peer.Events) {
	c.sink.TakeEvents([]peer.Events{e})
	c.mu.Lock()
	c.drawn.events = append(c.drawn.events, e)
	c.mu.Unlock()
}

// Run passes events on until Close.
func (c *Collector) Run() {
	ticker := time.NewTicker(passEvery)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		c.passOn()
		if n%exportEvery == 0 {
			c.passOut()
		}
	}
}

// Close ends Run and all drawing.
func (c *Collector) Close() { close(c.closed) }

// passOn sends what has gathered to every router, and all that is known of this router's holders to those that have just come.
func (c *Collector) passOn() {
	account := c.sink.LoadAccount()
	c.mu.Lock()
	if account != nil {
		c.drawn.accounts = append(c.drawn.accounts, *account)
	}
	batch, nodes := c.drawn, c.nodes
	c.drawn = news{}
	var fresh []peer.Node
	known := map[string]bool{}
	for _, n := range nodes {
		known[n.ID] = true
		if n.ID != c.self.ID && !c.greeted[n.ID] {
			c.greeted[n.ID] = true
			fresh = append(fresh, n)
		}
	}
	for id := range c.greeted {
		if !known[id] {
			delete(c.greeted, id)
		}
	}
	var mine []string
	for id := range c.drawing {
		mine = append(mine, id)
	}
	c.mu.Unlock()
	if !batch.empty() {
		c.toZone(batch, nodes)
	}
	c.spread(nodes)
	if len(fresh) == 0 {
		return
	}
	var whole []peer.Events
	for _, id := range mine {
		if state := c.sink.HolderState(id); len(state) > 0 {
			whole = append(whole, peer.Events{Holder: id, Reset: true, List: state})
		}
	}
	if len(whole) > 0 {
		for _, n := range fresh {
			c.send(n, &peer.EventBatch{List: whole})
		}
	}
}

// toZone brings what was drawn here to the routers of the zone: to each where they are few, else to the leader, which spreads it. The
// leader sends it to the other zones in any case.
func (c *Collector) toZone(batch news, nodes []peer.Node) {
	others, leader := c.zoneMates(nodes), leaderOf(c.self.Zone, nodes)
	few := len(others) <= fanOut
	if leader.ID == c.self.ID {
		c.collect(batch, true, !few)
	} else if !few {
		message := batch.batch()
		message.Export, message.Spread = true, true
		c.send(leader, message)
	}
	if !few {
		return
	}
	for _, n := range others {
		message := batch.batch()
		message.Export = n.ID == leader.ID
		c.send(n, message)
	}
}

// zoneMates lists the other routers of this zone.
func (c *Collector) zoneMates(nodes []peer.Node) []peer.Node {
	return lo.Filter(nodes, func(n peer.Node, _ int) bool { return n.Zone == c.self.Zone && n.ID != c.self.ID })
}

// collect takes what this router, as its zone's leader, is to send to other zones or to spread in its own.
func (c *Collector) collect(batch news, export, spread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spread {
		c.zone.add(batch)
	}
	if export {
		c.export.add(batch)
	}
}

// spread sends what has gathered to the routers of the zone: to fanOut of them, which pass it on to a group each.
func (c *Collector) spread(nodes []peer.Node) {
	c.mu.Lock()
	batch := c.zone
	c.zone = news{}
	c.mu.Unlock()
	if batch.empty() {
		return
	}
	others := c.zoneMates(nodes)
	size := max(1, (len(others)+fanOut-1)/fanOut)
	for _, group := range lo.Chunk(others, size) {
		passTo := lo.Map(group[1:], func(n peer.Node, _ int) string { return n.Address })
		message := batch.batch()
		message.PassTo = passTo
		c.send(group[0], message)
	}
}

// passOut sends what was drawn in this zone to the leaders of the other zones.
func (c *Collector) passOut() {
	c.mu.Lock()
	batch, nodes := c.export, c.nodes
	c.export = news{}
	c.mu.Unlock()
	if batch.empty() {
		return
	}
	for _, zone := range lo.Uniq(lo.Map(nodes, func(n peer.Node, _ int) string { return n.Zone })) {
		if zone != c.self.Zone {
			message := batch.batch()
			message.Spread = true
			c.send(leaderOf(zone, nodes), message)
		}
	}
}

// leaderOf names the router that passes events on for its zone: the first by rendezvous.
func leaderOf(zone string, nodes []peer.Node) peer.Node {
	var leader peer.Node
	for _, n := range nodes {
		if n.Zone == zone && (leader.ID == "" || directory.Weight(zone, n.ID) > directory.Weight(zone, leader.ID)) {
			leader = n
		}
	}
	return leader
}

func (c *Collector) call(address string, batch *peer.EventBatch) {
	// What is lost here is learned from own sends, or at the latest when the part is used again.
	_ = c.caller.Call(address, peer.CallEvents, batch, &peer.Empty{}, passTimeout)
}

// Handler takes batches from other routers.
func (c *Collector) Handler(body []byte) (msgp.Marshaler, error) {
	var batch peer.EventBatch
	if _, err := batch.UnmarshalMsg(body); err != nil {
		return nil, err
	}
	c.sink.TakeEvents(c.unknown(batch.List))
	c.sink.TakeAccounts(batch.Accounts)
	got := news{batch.List, batch.Accounts}
	c.collect(got, batch.Export, batch.Spread)
	for _, address := range batch.PassTo {
		c.send(peer.Node{Address: address, Zone: c.self.Zone}, got.batch())
	}
	return &peer.Empty{}, nil
}

// unknown leaves out the events of holders that this router draws itself: it knew them first.
func (c *Collector) unknown(list []peer.Events) []peer.Events {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.Filter(list, func(e peer.Events, _ int) bool { return c.drawing[e.Holder] == nil })
}
