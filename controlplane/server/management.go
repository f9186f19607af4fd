package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"moleshift/controlplane/core"
	"moleshift/controlplane/membership"
	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

const (
	goneAfter      = 1500 * time.Millisecond // a member silent for so long gives way to one that applies
	dropAfter      = 3 * time.Second         // a member silent for so long is left out, where the others suffice
	leastCore      = 3
	changeDeadline = time.Second
	leaveEvery     = 200 * time.Millisecond
	leaveMargin    = time.Second // before the platform's grace ends
	leaverKeep     = 15 * time.Second
)

// leaver is a member that said it was told to end.
type leaver struct {
	incarnation string
	since       time.Time
}

// manageMembers changes the members of each register where this node is the first live member: it ends changes that were begun,
// takes in applicants, and leaves out members that are gone or about to end.
func (c *Controller) manageMembers() {
	for _, register := range core.Names() {
		if !c.manages(register) {
			continue
		}
		k := c.registers.Known(register)
		if k.Ballot == (quorum.Ballot{}) || time.Since(k.Confirmed) > 3*c.syncEvery {
			continue
		}
		if len(k.Value.Old) > 0 {
			c.endChange(register)
			continue
		}
		if next := c.nextMembers(k.Value.Members); next != nil {
			c.changeMembers(register, k.Value.Members, next)
		}
	}
}

// changeMembers changes the members of a register from those given to next, in the two steps of a change. Where it dies between
// them, whoever manages the members after it ends the change.
func (c *Controller) changeMembers(register string, from, next []quorum.Member) {
	_, err := c.registers.Change(register, time.Now().Add(changeDeadline), func(v quorum.Value) (quorum.Value, error) {
		if len(v.Old) > 0 || !slices.Equal(v.Members, from) {
			return v, core.ErrUnchanged
		}
		return quorum.Begin(v, next), nil
	})
	if err == nil {
		c.endChange(register)
	}
}

func (c *Controller) endChange(register string) {
	v, err := c.registers.Change(register, time.Now().Add(changeDeadline), func(v quorum.Value) (quorum.Value, error) {
		if len(v.Old) == 0 {
			return v, core.ErrUnchanged
		}
		return quorum.End(v), nil
	})
	if err == nil {
		c.log.Info().Str("register", register).Int("members", len(v.Members)).Msg("members changed")
	}
}

// nextMembers gives the members that should be, where they are others than those given.
func (c *Controller) nextMembers(members []quorum.Member) []quorum.Member {
	figures := membership.Settings{Suspect: 2 * c.syncEvery, Gone: goneAfter, Drop: dropAfter}
	return figures.Next(&membership.View{
		Members: members, Applicants: c.liveApplicants(), Silence: c.registers.Silence, Leaving: c.isLeaving, Tolerance: c.tolerance(),
	})
}

func (c *Controller) liveApplicants() []quorum.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.applicants, func(_ string, a applicant) bool { return time.Since(a.last) > applicantKeep })
	var list []quorum.Member
	for _, id := range slices.Sorted(maps.Keys(c.applicants)) {
		list = append(list, quorum.Member{ID: id, Address: c.applicants[id].node.Address})
	}
	return list
}

// Leave hands this node's seat over before its process ends: it has itself replaced by a node that applies, or left out where the
// others suffice, and returns once every register is kept by a majority of those who stay. Where it can't be spared it keeps the
// seat, as its disk may come back. It gives up shortly before the grace ends.
func (c *Controller) Leave(grace time.Duration) {
	if c.acceptor == nil {
		return
	}
	self := c.acceptor.Identity()
	c.noteLeaver(&peer.Leave{From: c.self})
	for until := time.Now().Add(grace - leaveMargin); time.Now().Before(until); {
		for _, m := range c.registers.Members(core.Config) {
			if m.ID != self {
				go func() {
					_ = c.caller.Call(m.Address, peer.CallLeave, &peer.Leave{From: c.self}, &peer.Empty{}, core.CallTimeout)
				}()
			}
		}
		if c.giveUpSeats(self) || !c.pause(leaveEvery) {
			return
		}
	}
	c.log.Warn().Msg("the seat was not handed over: no majority of the members answered")
}

// giveUpSeats takes this node out of each register; true: it is out of all, or keeps its seat as it can't be spared.
func (c *Controller) giveUpSeats(self string) bool {
	done := true
	for _, register := range core.Names() {
		k, err := c.registers.Refresh(register, time.Now().Add(changeDeadline))
		switch {
		case err != nil:
			done = false
		case len(k.Value.Old) > 0:
			c.endChange(register)
			done = false
		case k.Value.Has(self):
			next := c.nextMembers(k.Value.Members)
			if next == nil {
				continue
			}
			c.changeMembers(register, k.Value.Members, next)
			done = false
		}
	}
	return done
}

// leave notes that another member is about to end.
func (c *Controller) leave(in *peer.Leave) (*peer.Empty, error) {
	c.noteLeaver(in)
	return &peer.Empty{}, nil
}

func (c *Controller) noteLeaver(in *peer.Leave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavers[in.From.Acceptor] = leaver{incarnation: in.From.ID, since: time.Now()}
	delete(c.applicants, in.From.Acceptor)
}

// returned forgets that a member leaves once another process of it is heard.
func (c *Controller) returned(node *peer.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.leavers[node.Acceptor]; ok && l.incarnation != node.ID {
		delete(c.leavers, node.Acceptor)
	}
}

// isLeaving tells whether a member said that it is about to end.
func (c *Controller) isLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leavers[id]
	return ok && time.Since(l.since) < leaverKeep
}

// Describe tells in a line what this node knows of the members of each register.
func (c *Controller) Describe() string {
	var b strings.Builder
	for _, register := range core.Names() {
		k := c.registers.Known(register)
		fmt.Fprintf(&b, "%s under %d of %s (confirmed %v ago):", register, k.Ballot.Counter, k.Ballot.Proposer, time.Since(k.Confirmed).Round(time.Millisecond))
		for _, m := range k.Value.All() {
			fmt.Fprintf(&b, " %s at %s", m.ID, m.Address)
			if !k.Value.Has(m.ID) {
				b.WriteString(" (leaves)")
			}
		}
		b.WriteString("; ")
	}
	fmt.Fprintf(&b, "manages: %v", c.acceptor != nil && c.manages(core.Config))
	for _, m := range c.liveApplicants() {
		fmt.Fprintf(&b, ", %s at %s applies", m.ID, m.Address)
	}
	return b.String()
}
