package server

import (
	"moleshift/controlplane/registry"
	"moleshift/peer"
)

// instancesRecord keeps the table of servers on disk, so that a whole core that comes back knows where to send before the next
// heartbeats. It is a hint: what servers say of themselves supersedes it, and a request names the instance that it is meant for.
const instancesRecord = "instances"

// remember keeps the table where it has changed since.
func (c *Controller) remember() {
	c.mu.Lock()
	digest := c.table.Digest()
	due := digest != c.remembered
	list, _ := c.table.Since(0)
	c.mu.Unlock()
	if !due {
		return
	}
	data, err := (&peer.Instances{List: list}).MarshalMsg(nil)
	if err != nil || c.acceptor.Keep(instancesRecord, data) != nil {
		return // the next sweep tries again
	}
	c.mu.Lock()
	c.remembered = digest
	c.mu.Unlock()
}

// recall takes the table over that was kept before the process started.
func (c *Controller) recall() {
	if c.acceptor == nil {
		return
	}
	var kept peer.Instances
	if data := c.acceptor.Kept(instancesRecord); data != nil {
		if _, err := kept.UnmarshalMsg(data); err != nil {
			c.log.Warn().Err(err).Msg("kept table of servers cannot be read: heartbeats will tell")
			return
		}
	}
	for _, in := range kept.List {
		if in.State == registry.Gone {
			continue
		}
		in.Loading = false
		c.table.Take(c.now(), in, false)
		if in.State != registry.Ready {
			c.confirmed[in.ID] = in.State
		}
	}
	c.remembered = c.table.Digest()
}
