package server

import (
	"maps"
	"slices"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

const (
	findEvery     = 80 * time.Millisecond
	announceEvery = time.Second
	applyEvery    = 400 * time.Millisecond
	applicantKeep = 2 * time.Second
)

// applicant is a node that counts for the quorum and is no member.
type applicant struct {
	node peer.Node
	last time.Time
}

// who answers what this node knows of the members, and notes the caller: one that starts with the whole system, or one that applies.
func (c *Controller) who(in *peer.Who) (*peer.WhoReply, error) {
	if in.From.Acceptor != "" {
		c.noteNode(in)
	}
	if len(in.Members) > 0 && len(c.directory.Members()) == 0 {
		c.learnMembers(in.Members)
	}
	reply := &peer.WhoReply{Members: c.directory.Members()}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.First = c.firstMembers
	if len(reply.Members) == 0 {
		for _, address := range slices.Sorted(maps.Keys(c.freshNodes)) {
			reply.Fresh = append(reply.Fresh, c.freshNodes[address])
		}
	}
	return reply, nil
}

func (c *Controller) noteNode(in *peer.Who) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.freshNodes[in.From.Address]; in.From.Fresh && (!ok || known.Acceptor != in.From.Acceptor) {
		c.freshNodes[in.From.Address] = in.From
		c.lastFresh = time.Now()
	}
	for id, a := range c.applicants {
		if a.node.Address == in.From.Address {
			delete(c.applicants, id) // whoever was at the address before has lost its state
		}
	}
	if in.Applies {
		c.applicants[in.From.Acceptor] = applicant{in.From, time.Now()}
	}
}

// announce tells the seeds who the members are, again and again. Seeds may be machines that count for no quorum and keep nothing:
// after a loss of power they know nobody, and all who look for the members ask them.
func (c *Controller) announce() {
	for pause := findEvery; ; pause = min(2*pause, announceEvery) {
		if members := c.directory.Members(); len(members) > 0 {
			for _, address := range c.seeds() {
				if address != c.self.Address {
					go func() {
						_ = c.caller.Call(address, peer.CallWho, &peer.Who{From: c.self, Members: members}, &peer.WhoReply{}, core.CallTimeout)
					}()
				}
			}
		}
		if !c.pause(pause) {
			return
		}
	}
}

// findMembers asks seeds until the members are known, then applies where this node counts and is none of them.
func (c *Controller) findMembers() {
	for _, register := range core.Names() {
		if members := c.registers.Members(register); len(members) > 0 && len(c.directory.Members()) == 0 {
			c.learnMembers(members) // also for a register of which this node kept nothing yet: it may have been taken into one alone
		}
	}
	for len(c.directory.Members()) == 0 {
		for _, address := range c.seeds() {
			go c.askWho(address, false)
		}
		select {
		case <-c.closed:
			return
		case <-time.After(findEvery):
		}
	}
	c.log.Info().Int("members", len(c.directory.Members())).Msg("members found")
	go c.apply()
}

func (c *Controller) askWho(address string, applies bool) {
	in := &peer.Who{From: c.self, Applies: applies}
	if address == c.self.Address {
		_, _ = c.who(in)
		return
	}
	var reply peer.WhoReply
	if err := c.caller.Call(address, peer.CallWho, in, &reply, core.CallTimeout); err != nil {
		return
	}
	c.hearOfFresh(reply.Fresh)
	if len(reply.Members) > 0 && len(c.directory.Members()) == 0 {
		c.learnMembers(reply.Members)
	}
	if len(reply.First) > 0 {
		_, _ = c.genesis(&peer.Genesis{Members: reply.First}) // what fails is tried again with the next answer
	}
}

// hearOfFresh notes nodes that another one has heard of: an elector may not be among the seeds any more that newcomers ask. What a
// node says of itself supersedes it.
func (c *Controller) hearOfFresh(nodes []peer.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range nodes {
		if _, known := c.freshNodes[node.Address]; !known {
			c.freshNodes[node.Address] = node
			c.lastFresh = time.Now()
		}
	}
}

func (c *Controller) learnMembers(members []quorum.Member) {
	c.directory.Set(members)
	c.registers.Hint(members)
}

// apply asks the members to be taken in for as long as this node counts and is no member of some register.
func (c *Controller) apply() {
	if c.acceptor == nil {
		return
	}
	for {
		if !c.isMember() && !c.isLeaving(c.acceptor.Identity()) {
			for _, m := range c.directory.Members() {
				if m.Address != c.self.Address {
					go c.askWho(m.Address, true)
				}
			}
		}
		select {
		case <-c.closed:
			return
		case <-time.After(applyEvery):
		}
	}
}

// IsMember tells whether this node is known to be a member of every register.
func (c *Controller) IsMember() bool { return c.acceptor != nil && c.isMember() }

func (c *Controller) isMember() bool {
	return !slices.ContainsFunc(core.Names(), func(register string) bool {
		k := c.registers.Known(register)
		return !k.Value.Has(c.acceptor.Identity())
	})
}
