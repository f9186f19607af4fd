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
	callTimeout    = 350 * time.Millisecond
	findEvery      = 80 * time.Millisecond
	announceEvery  = time.Second
	applyEvery     = 400 * time.Millisecond
	applicantKeep  = 2 * time.Second
	genesisLeast   = 1500 * time.Millisecond // after the start, before the first membership is decided
	genesisQuiet   = 700 * time.Millisecond  // after the last newcomer was heard
	deadAfter      = 1500 * time.Millisecond // a member silent for so long gives way to one that applies
	dropAfter      = 10 * time.Second        // a member silent for so long is left out, where enough are left
	leastMembers   = 3
	changeDeadline = time.Second
)

// applicant is a node that counts for the quorum and is no member.
type applicant struct {
	node peer.Node
	last time.Time
}

// who answers what this node knows of the members, and notes the caller: one that starts with the whole system, or one that applies.
func (c *Controller) who(in *peer.Who) (*peer.WhoReply, error) {
	if in.From.Acceptor != "" {
		c.mu.Lock()
		if in.From.Fresh {
			if _, known := c.freshNodes[in.From.Acceptor]; !known {
				c.freshNodes[in.From.Acceptor] = in.From
				c.lastFresh = time.Now()
			}
		}
		for id, a := range c.applicants {
			if a.node.Address == in.From.Address {
				delete(c.applicants, id) // whoever was at the address before has lost its state
			}
		}
		c.applicants[in.From.Acceptor] = applicant{in.From, time.Now()}
		c.mu.Unlock()
	}
	if len(in.Members) > 0 && len(c.directory.Members()) == 0 {
		c.learnMembers(in.Members)
	}
	return &peer.WhoReply{Members: c.directory.Members()}, nil
}

// announce tells the seeds who the members are, again and again. Seeds may be machines that count for no quorum and keep nothing:
// after a loss of power they know nobody, and all who look for the members ask them.
func (c *Controller) announce() {
	for pause := findEvery; ; pause = min(2*pause, announceEvery) {
		if members := c.directory.Members(); len(members) > 0 {
			for _, address := range c.seeds() {
				if address != c.self.Address {
					go func() {
						_ = c.caller.Call(address, peer.CallWho, &peer.Who{From: c.self, Members: members}, &peer.WhoReply{}, callTimeout)
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
	if c.acceptor != nil && !c.acceptor.Empty() {
		c.directory.Set(c.registers.Members(core.Config))
	}
	for len(c.directory.Members()) == 0 {
		for _, address := range c.seeds() {
			go c.askWho(address)
		}
		c.decideGenesis()
		select {
		case <-c.closed:
			return
		case <-time.After(findEvery):
		}
	}
	c.log.Info().Int("members", len(c.directory.Members())).Msg("members found")
	go c.apply()
}

func (c *Controller) askWho(address string) {
	if address == c.self.Address {
		_, _ = c.who(&peer.Who{From: c.self})
		return
	}
	var reply peer.WhoReply
	if err := c.caller.Call(address, peer.CallWho, &peer.Who{From: c.self}, &reply, callTimeout); err != nil {
		return
	}
	if len(reply.Members) > 0 && len(c.directory.Members()) == 0 {
		c.learnMembers(reply.Members)
	}
}

func (c *Controller) learnMembers(members []quorum.Member) {
	c.directory.Set(members)
	c.registers.Hint(members)
}

// decideGenesis decides the first membership. Only one process ever may: the one at the lowest seed address, in the incarnation
// that was started with the whole system. It decides once, in memory; a restarted process is no longer told that it is the first.
func (c *Controller) decideGenesis() {
	seeds := c.set.SeedPeers()
	if !c.set.Bootstrap || len(seeds) == 0 || slices.Min(seeds) != c.self.Address || time.Since(c.started) < genesisLeast {
		return
	}
	c.mu.Lock()
	nodes := maps.Clone(c.freshNodes)
	quiet := time.Since(c.lastFresh) >= genesisQuiet
	c.mu.Unlock()
	if !quiet || len(nodes) == 0 {
		return
	}
	var members []quorum.Member
	for _, id := range slices.Sorted(maps.Keys(nodes)) {
		members = append(members, quorum.Member{ID: id, Address: nodes[id].Address})
	}
	c.log.Info().Int("members", len(members)).Msg("first membership decided")
	_, _ = c.genesis(&peer.Genesis{Members: members})
	for _, m := range members {
		if m.Address != c.self.Address {
			go c.sendGenesis(m, members)
		}
	}
}

func (c *Controller) sendGenesis(to quorum.Member, members []quorum.Member) {
	for {
		err := c.caller.Call(to.Address, peer.CallGenesis, &peer.Genesis{Members: members}, &peer.Empty{}, callTimeout)
		if err == nil {
			return
		}
		select {
		case <-c.closed:
			return
		case <-time.After(findEvery):
		}
	}
}

// genesis takes the first membership. A node whose identity it names has never promised or accepted anything, or it keeps what it
// has: an identity does not outlive its state.
func (c *Controller) genesis(in *peer.Genesis) (*peer.Empty, error) {
	isMember := c.acceptor != nil && slices.ContainsFunc(in.Members, func(m quorum.Member) bool { return m.ID == c.acceptor.Identity() })
	if isMember {
		if err := c.acceptor.Install(in.Members); err != nil {
			return nil, err
		}
	}
	if len(c.directory.Members()) == 0 {
		c.learnMembers(in.Members)
	}
	return &peer.Empty{}, nil
}

// apply asks the members to be taken in for as long as this node counts and is no member of some register.
func (c *Controller) apply() {
	if c.acceptor == nil {
		return
	}
	for {
		if !c.isMember() {
			for _, m := range c.directory.Members() {
				if m.Address != c.self.Address {
					go c.askWho(m.Address)
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

func (c *Controller) isMember() bool {
	return !slices.ContainsFunc(core.Names(), func(register string) bool {
		k := c.registers.Known(register)
		return !k.Value.Has(c.acceptor.Identity())
	})
}

// manageMembers changes the members of each register where this node is the first live member: ends changes that were begun, takes
// in applicants in place of members that are gone, and leaves out members that have been silent for long.
func (c *Controller) manageMembers() {
	for _, register := range core.Names() {
		if !c.first("members-" + register) {
			continue
		}
		k := c.registers.Known(register)
		if k.Ballot == (quorum.Ballot{}) || time.Since(k.Confirmed) > 3*c.syncEvery {
			continue
		}
		if len(k.Value.Old) > 0 {
			c.changeMembers(register, k, nil)
			continue
		}
		if next := c.nextMembers(&k.Value); next != nil {
			c.changeMembers(register, k, next)
		}
	}
}

// changeMembers begins a change to next, or ends the one under way.
func (c *Controller) changeMembers(register string, seen core.Known, next []quorum.Member) {
	_, err := c.registers.Change(register, time.Now().Add(changeDeadline), func(v quorum.Value) (quorum.Value, error) {
		switch {
		case len(v.Old) > 0:
			return quorum.End(v), nil
		case next == nil || !slices.Equal(v.Members, seen.Value.Members):
			return v, errNothing
		}
		return quorum.Begin(v, next), nil
	})
	if err == nil {
		c.log.Info().Str("register", register).Int("members", len(next)).Bool("ended", next == nil).Msg("members changed")
	}
}

// nextMembers gives the members that should be, where they are others than those of v.
func (c *Controller) nextMembers(v *quorum.Value) []quorum.Member {
	c.mu.Lock()
	for id, a := range c.applicants {
		if time.Since(a.last) > applicantKeep {
			delete(c.applicants, id)
		}
	}
	applicants := maps.Clone(c.applicants)
	c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(applicants)) {
		if v.Has(id) {
			continue
		}
		node := applicants[id].node
		next := slices.Clone(v.Members)
		i := c.givesWay(next, node.Address)
		if i >= 0 && c.registers.Silence(next[i].ID) < 2*c.syncEvery {
			continue // the member at that address lives: what applied is older than it
		}
		if i >= 0 {
			next = slices.Delete(next, i, i+1)
		}
		return append(next, quorum.Member{ID: id, Address: node.Address})
	}
	if len(v.Members) > leastMembers {
		for i, m := range v.Members {
			if c.registers.Silence(m.ID) > dropAfter {
				return slices.Delete(slices.Clone(v.Members), i, i+1)
			}
		}
	}
	return nil
}

// givesWay finds the member that an applicant replaces: the one that had its address, or else the one silent for longest, if any
// seems gone.
func (c *Controller) givesWay(members []quorum.Member, address string) int {
	if i := slices.IndexFunc(members, func(m quorum.Member) bool { return m.Address == address }); i >= 0 {
		return i
	}
	longest, at := deadAfter, -1
	for i, m := range members {
		if s := c.registers.Silence(m.ID); s > longest {
			longest, at = s, i
		}
	}
	return at
}
