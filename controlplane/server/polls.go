package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/core"
	"moleshift/controlplane/delta"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

// notify wakes the polls that wait where the table has changed for routers.
func (c *Controller) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.tableChanged)
	c.tableChanged = make(chan struct{})
}

// Poll answers a router at once where it lacks something, and else when there is something new or its wait is over.
func (c *Controller) Poll(in *peer.Poll) (*peer.PollReply, error) {
	if c.acceptor == nil {
		return nil, errNotMember
	}
	c.takeReports(in.From.ID, in.Releases)
	deadline := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		registersChanged, tableChanged := c.registers.Changed(), c.watchTable(in)
		reply, news := c.pollReply(in)
		if news {
			return reply, nil
		}
		select {
		case <-registersChanged:
		case <-tableChanged:
		case <-c.closed:
			return reply, nil
		case <-deadline.C:
			reply, _ = c.pollReply(in)
			return reply, nil
		}
	}
}

// watchTable notes the caller's session and gives the channel that is closed at the table's next change.
func (c *Controller) watchTable(in *peer.Poll) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[in.From.ID] = session{node: in.From, last: time.Now(), here: true}
	return c.tableChanged
}

// pollReply gathers what the caller lacks and tells whether that is anything.
func (c *Controller) pollReply(in *peer.Poll) (*peer.PollReply, bool) {
	config, weights := c.registers.Known(core.Config), c.registers.Known(core.Weights)
	reply := &peer.PollReply{Members: config.Value.Members}
	news := false
	if config.Ballot != (quorum.Ballot{}) && !config.Confirmed.IsZero() {
		reply.Knows, reply.Config = true, config.Ballot
		reply.AgeMs = float64(time.Since(config.Confirmed)) / float64(time.Millisecond)
		if in.Config.Less(config.Ballot) {
			news = c.writeConfig(reply, in, &config)
		}
	}
	if weights.Ballot != (quorum.Ballot{}) {
		reply.Weights = weights.Ballot
		if in.Weights.Less(weights.Ballot) {
			reply.WeightsIn = weights.Value.Data
		}
	}
	c.noteNamings()
	c.mu.Lock()
	defer c.mu.Unlock()
	news = news || len(reply.WeightsIn) > 0 && in.Weights.Less(c.weightsNews)
	reply.Namings = c.toldNamings()
	reply.Table, reply.Revision = c.tableID, c.table.Revision()
	since := in.Revision
	if in.Table != c.tableID {
		since = 0
	}
	if since != reply.Revision || in.Table != c.tableID {
		reply.Instances, reply.Full = c.table.Since(since)
		news = true
	}
	nodes := c.nodes()
	reply.NodesSome = !c.knowsSessions()
	reply.NodesHash = nodesHash(nodes, reply.NodesSome)
	if reply.NodesHash != in.Nodes {
		reply.Nodes, news = nodes, true
	}
	return reply, news
}

// knowsSessions tells whether this controller has run for long enough to have heard of every router's session. Until then its list
// of nodes lacks many of them, and says so: a router that took it for the whole would take itself for almost alone, with the work and
// the retry budget of all.
func (c *Controller) knowsSessions() bool {
	return c.now() >= sessionKeep+time.Duration(sessionsEvery)*c.syncEvery
}

// nodes lists the routers with a session at any controller. The lock is held.
func (c *Controller) nodes() []peer.Node {
	nodes := make([]peer.Node, 0, len(c.sessions))
	for _, id := range slices.Sorted(maps.Keys(c.sessions)) {
		nodes = append(nodes, c.sessions[id].node)
	}
	return nodes
}

// routerConfigs writes the configuration for routers: many polls that wait for the same change cost one writing.
type routerConfigs struct {
	building *semaphore.Weighted // of one; guards state
	state    routerState
	writer   delta.Writer
}

// routerState is the configuration's state without what only controllers need.
type routerState struct {
	ballot quorum.Ballot
	data   []byte
}

// writeConfig puts the configuration into a reply, written against the one that the caller has where that is known here; false: there
// is none before the operator's first order.
func (c *Controller) writeConfig(reply *peer.PollReply, in *peer.Poll, config *core.Known) bool {
	_ = c.configs.building.Acquire(context.Background(), 1) // fails only where the context ends
	defer c.configs.building.Release(1)
	if c.configs.state.ballot != config.Ballot {
		c.configs.state = routerState{config.Ballot, withoutOrders(config.Value.Data)}
	}
	if len(c.configs.state.data) == 0 {
		return false
	}
	content := c.configs.writer.Write(c.configs.state.data, in.Hash)
	if in.Most > 0 && len(content.Data) > in.Most {
		reply.Size = len(content.Data)
	} else {
		reply.Content = content
	}
	return true
}

// withoutOrders leaves out of the register's state what only controllers need.
func withoutOrders(data []byte) []byte {
	var s configuration.State
	if _, err := s.UnmarshalMsg(data); err != nil {
		return nil // an empty register: there is no configuration yet
	}
	s.Orders = nil
	out, err := s.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return out
}
