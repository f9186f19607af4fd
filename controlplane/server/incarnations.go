package server

import (
	"time"

	"moleshift/peer"
)

// mostIncarnations bounds how many are remembered; ended ones are forgotten beyond it.
const mostIncarnations = 64

// incarnations remembers which processes were heard directly, and which is the newest at each address.
type incarnations struct {
	newest map[string]string    // by peer address: ID of the node heard last
	nodes  map[string]peer.Node // by ID
}

func newIncarnations() incarnations {
	return incarnations{newest: map[string]string{}, nodes: map[string]peer.Node{}}
}

// note takes word that came from a node itself.
func (x *incarnations) note(node peer.Node) {
	x.newest[node.Address], x.nodes[node.ID] = node.ID, node
	if len(x.nodes) <= mostIncarnations {
		return
	}
	for id, n := range x.nodes {
		if x.newest[n.Address] != id {
			delete(x.nodes, id)
		}
	}
}

// gone tells whether a node is known to have ended, as another incarnation of it was heard since, or to reach nobody: as a member it
// has been silent for as long as after which it gives way to another. A node that was never heard is not known to be gone.
func (x *incarnations) gone(id string, silence time.Duration) bool {
	node, ok := x.nodes[id]
	if !ok {
		return false
	}
	return x.newest[node.Address] != id || node.Acceptor != "" && silence >= goneAfter
}

// isGone tells whether a node is known to be gone.
func (c *Controller) isGone(id string) bool {
	c.mu.Lock()
	acceptor := c.incarnations.nodes[id].Acceptor
	c.mu.Unlock()
	silence := time.Duration(0)
	if acceptor != "" {
		silence = c.registers.Silence(acceptor)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations.gone(id, silence)
}
