package server

import "moleshift/peer"

// instancesRecord keeps the table of servers on disk, so that a whole core that comes back knows where to send before the next
// heartbeats. It is a hint: what servers say of themselves supersedes it, and a request names the instance that it is meant for. Ends
// are no hint: see endsRecord.
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

// recall takes the table and the ends over that were kept before the process started.
func (c *Controller) recall() {
	if c.acceptor == nil {
		return
	}
	for _, in := range append(c.kept(endsRecord), c.kept(instancesRecord)...) {
		in.Loading = false
		c.table.Restore(c.now(), in)
	}
	c.remembered = c.table.Digest()
}

// kept gives the instances in a record on disk.
func (c *Controller) kept(record string) []peer.Instance {
	data := c.acceptor.Kept(record)
	if data == nil {
		return nil
	}
	var list peer.Instances
	if _, err := list.UnmarshalMsg(data); err != nil {
		c.log.Warn().Err(err).Str("record", record).Msg("kept record of servers cannot be read: heartbeats will tell")
		return nil
	}
	return list.List
}
