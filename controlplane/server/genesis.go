package server

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/membership"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	genesisLeast    = 1500 * time.Millisecond // after the start, before the first elector proposes a membership
	genesisQuiet    = 700 * time.Millisecond  // after the last newcomer was heard
	genesisTurn     = 1200 * time.Millisecond // after which the next elector proposes too
	genesisPatience = 4500 * time.Millisecond // after the start, when a membership of fewer than the tolerated losses ask for is proposed
	genesisEvery    = 100 * time.Millisecond
)

// runGenesis has the first membership chosen while the members are unknown and this node is an elector: the first elector in the
// order of addresses proposes it once the newcomers were heard, the others in their turns where nothing has come of that.
func (c *Controller) runGenesis() {
	electors := slices.Clone(c.elector.Electors())
	turn := slices.IndexFunc(electors, func(m quorum.Member) bool { return m.Address == c.self.Address })
	if turn < 0 {
		return
	}
	slices.SortFunc(electors, func(a, b quorum.Member) int { return cmp.Compare(a.Address, b.Address) })
	delay := time.Duration(turn) * genesisTurn
	if c.elector.IsRecovering() {
		delay += genesisPatience // those that remember their votes come first
	}
	var above quorum.Ballot
	for len(c.directory.Members()) == 0 {
		if members := c.proposedMembers(delay); members != nil && !c.elector.Yields() {
			c.chooseGenesis(members, &above)
		}
		if !c.pause(genesisEvery + rand.N(genesisEvery)) {
			return
		}
	}
}

// proposedMembers gives the members that this elector would propose; nil: it waits for more, or for its turn.
func (c *Controller) proposedMembers(turn time.Duration) []quorum.Member {
	c.mu.Lock()
	nodes := maps.Clone(c.freshNodes)
	quiet := time.Since(c.lastFresh) >= genesisQuiet
	c.mu.Unlock()
	waited := time.Since(c.started) - turn
	wanted := c.tolerance().Least(leastCore)
	switch {
	case c.set.FaultTolerance == (settings.FaultTolerance{}):
		wanted = 1 // nothing need be borne: the core may be a single machine
	case waited >= genesisPatience:
		wanted = wanted/2 + 1
	}
	if waited < genesisLeast || !quiet || len(nodes) < wanted {
		return nil
	}
	var members []quorum.Member
	for _, address := range slices.Sorted(maps.Keys(nodes)) {
		members = append(members, quorum.Member{ID: nodes[address].Acceptor, Address: address})
	}
	return members
}

// chooseGenesis plays a round of the electors and tells all members of its outcome.
func (c *Controller) chooseGenesis(members []quorum.Member, above *quorum.Ballot) {
	proposal, err := (&peer.Genesis{Members: members}).MarshalMsg(nil)
	if err != nil {
		return
	}
	data, ok := c.elector.Choose(c.caller, proposal, above)
	if !ok {
		return
	}
	var chosen peer.Genesis
	if _, err := chosen.UnmarshalMsg(data); err != nil {
		c.log.Error().Err(err).Msg("the first membership cannot be read: start all nodes with the same release")
		return
	}
	c.log.Info().Int("members", len(chosen.Members)).Msg("first membership chosen")
	_, _ = c.genesis(&chosen)
	for _, m := range chosen.Members {
		if m.Address != c.self.Address {
			go c.sendGenesis(m, chosen.Members)
		}
	}
}

func (c *Controller) sendGenesis(to quorum.Member, members []quorum.Member) {
	for {
		err := c.caller.Call(to.Address, peer.CallGenesis, &peer.Genesis{Members: members}, &peer.Empty{}, core.CallTimeout)
		if err == nil || !c.pause(findEvery) {
			return
		}
	}
}

// genesis takes the first membership. An acceptor whose identity it names has it in every register of which it has accepted nothing:
// an identity does not outlive its state.
func (c *Controller) genesis(in *peer.Genesis) (*peer.Empty, error) {
	isMember := c.acceptor != nil && slices.ContainsFunc(in.Members, func(m quorum.Member) bool { return m.ID == c.acceptor.Identity() })
	if isMember {
		if err := c.acceptor.Install(in.Members); err != nil {
			return nil, err
		}
		c.lacksNoEnds() // nothing was acknowledged before the first membership
	}
	c.mu.Lock()
	c.firstMembers = in.Members
	c.mu.Unlock()
	if len(c.directory.Members()) == 0 {
		c.learnMembers(in.Members)
	}
	return &peer.Empty{}, nil
}

func (c *Controller) vote(in *peer.Vote) (*peer.AcceptorReply, error) { return c.elector.Vote(in) }

// tolerance is what the deployment must bear.
func (c *Controller) tolerance() membership.Tolerance {
	t := c.set.FaultTolerance
	return membership.Tolerance{Machines: t.Machines, Places: t.Zones > 0 || t.Regions > 0}
}
