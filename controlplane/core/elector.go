package core

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

const (
	electorRecord = "elector"
	// recoveringRecord holds the votes of an elector that is recovering.
	recoveringRecord = "elector-recovering"

	// electorPhase is after which an elector gives a phase of its round up for now: longer than slow disks take, as a new ballot has every
	// elector write anew.
	electorPhase = 5 * time.Second
)

// electorsBallot is the ballot of the electors themselves, who are given: below every ballot of a vote.
var electorsBallot = quorum.Ballot{Proposer: "electors"}

// Elector is a seed's vote on the first membership of the system. The electors are the seeds of the first start, and a majority
// of them chooses, by ballots as in any register, once.
//
// A vote counts only while the elector remembers all that it voted: in the process that was started with the whole system, or on
// its disk. One that restarted without a disk abstains for good.
//
// A seed with a disk that holds nothing has either lost it, or its first process was killed before it wrote anything. It is recovering: it
// votes only in rounds in which every elector promises. As no more disks are lost than are tolerated, whoever accepted a value that was
// chosen is among them and tells it; where nobody does, none was chosen. With the value that it accepts in such a round it remembers all
// that it has to, and votes like the others.
type Elector struct {
	address  string    // peer address: the elector's name
	proposer string    // names this process in ballots: one that restarts must use none of those that went before
	acceptor *Acceptor // keeps the votes on disk; nil: they are kept in memory

	writing *semaphore.Weighted // of one; held across a write to the store

	mu    sync.Mutex    // short: guards what follows
	mode  electorMode   // whether it votes
	state quorum.State  // Value.Members are the electors, whether a value is accepted or not
	rival rival         // the highest ballot that was asked for in this process
	took  time.Duration // how long the last write took
}

// electorMode is in which rounds an elector votes.
type electorMode int

const (
	abstaining  electorMode = iota
	recovering              // in rounds of all electors
	remembering             // in every round
)

// NewElector makes the elector of a node, which names its process. bootstrap says that this process was started with the whole system, by
// whose settings the seeds at the given peer addresses are the electors.
func NewElector(self *peer.Node, seeds []string, bootstrap bool, acceptor *Acceptor) (*Elector, error) {
	e := &Elector{address: self.Address, proposer: self.ID, acceptor: acceptor, writing: semaphore.NewWeighted(1)}
	for _, kept := range []struct {
		record string
		mode   electorMode
	}{{electorRecord, remembering}, {recoveringRecord, recovering}} {
		found, err := e.read(kept.record)
		if err != nil {
			return nil, err
		}
		if found {
			e.mode = kept.mode
			return e, nil
		}
	}
	for _, seed := range seeds {
		e.state.Value.Members = append(e.state.Value.Members, quorum.Member{ID: seed, Address: seed})
	}
	switch {
	case !e.state.Value.Has(self.Address):
	case bootstrap:
		e.mode = remembering
		return e, trace.Wrap(e.keep(electorRecord, e.state))
	case acceptor != nil && acceptor.isLasting() && acceptor.Empty():
		e.mode = recovering
	}
	return e, nil
}

// read reads the votes of an earlier process; false: the disk has no such record.
func (e *Elector) read(record string) (bool, error) {
	if e.acceptor == nil {
		return false, nil
	}
	data := e.acceptor.Kept(record)
	if data == nil {
		return false, nil
	}
	if _, err := e.state.UnmarshalMsg(data); err != nil {
		return false, trace.BadParameter("record %q on disk cannot be read (%v): empty the data-dir, the others will restore it", record, err)
	}
	return true, nil
}

// IsRecovering tells whether this elector votes only in rounds of all electors.
func (e *Elector) IsRecovering() bool { return e.currentMode() == recovering }

func (e *Elector) currentMode() electorMode {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode
}

// Electors are those who choose, in a fixed order; empty: this node is none of them, or abstains.
func (e *Elector) Electors() []quorum.Member {
	if e.currentMode() == abstaining {
		return nil
	}
	return e.votes().Value.Members
}

// votesIn tells whether this elector votes in the round of a call.
func (e *Elector) votesIn(in *peer.Vote) bool {
	mode := e.currentMode()
	if len(in.Unanimous) == 0 {
		return mode == remembering
	}
	// There is a membership where the node is a member, and electors that were named by other settings need not meet these.
	isMember := e.acceptor != nil && !e.acceptor.Empty()
	return mode != abstaining && !isMember && sameElectors(in.Unanimous, e.Electors())
}

// sameElectors tells whether two lists name the same electors.
func sameElectors(a, b []quorum.Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m quorum.Member) bool { return !slices.Contains(b, m) })
}

func (e *Elector) votes() quorum.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Vote answers a call for a vote. An error means that nothing may be answered.
func (e *Elector) Vote(in *peer.Vote) (*peer.AcceptorReply, error) {
	if in.Target != e.address {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	e.noteAsked(in.Ballot)
	_ = e.writing.Acquire(context.Background(), 1) // fails only where the context ends
	defer e.writing.Release(1)
	state := e.votes()
	if !e.votesIn(in) || in.Value != nil && e.IsRecovering() && state.Promised != in.Ballot {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	next, ok := state.Prepare(in.Ballot)
	voted := next.Promised == state.Promised
	if in.Value != nil {
		next, ok = state.Accept(in.Ballot, *in.Value)
		voted = state.Accepted == in.Ballot && bytes.Equal(state.Value.Data, in.Value.Data)
	}
	if ok && !voted { // a call that came again needs no write
		if err := e.write(next); err != nil {
			return nil, trace.Wrap(err)
		}
		state = next
	}
	reply := &peer.AcceptorReply{OK: ok, Promised: state.Promised, Accepted: state.Accepted}
	if state.Accepted != (quorum.Ballot{}) {
		reply.Value = &state.Value
	}
	return reply, nil
}

// write keeps votes and then lets others see them.
func (e *Elector) write(next quorum.State) error {
	began := time.Now()
	record, mode := electorRecord, remembering
	if e.IsRecovering() && next.Accepted == (quorum.Ballot{}) {
		record, mode = recoveringRecord, recovering
	}
	if err := e.keep(record, next); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.mode, e.took = next, mode, time.Since(began)
	return nil
}

// noteAsked notes the ballot of a call, before the vote is written.
func (e *Elector) noteAsked(ballot quorum.Ballot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rival = e.rival.met(ballot)
}

// Yields tells whether another elector may be in the middle of its round: it is given some times as long as a vote took here.
func (e *Elector) Yields() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rival.ballot.Proposer != e.proposer && e.rival.left(e.took) > 0
}

// keep writes the votes to disk where there is one.
func (e *Elector) keep(record string, s quorum.State) error {
	if e.acceptor == nil {
		return nil
	}
	data, err := s.MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(e.acceptor.Keep(record, data))
}

// Choose plays one round for the given value. It returns the value that is chosen, which may be another one; false: none is known
// to be. above is the highest ballot met before and is brought up to date.
func (e *Elector) Choose(caller Caller, value []byte, above *quorum.Ballot) ([]byte, bool) {
	electors := e.Electors()
	if electors == nil {
		return nil, false
	}
	ballot := above.Next(e.proposer)
	round := quorum.NewRound(ballot, electorsBallot, quorum.Value{Members: electors})
	var unanimous []quorum.Member
	if e.IsRecovering() {
		round = quorum.NewUnanimousRound(ballot, electorsBallot, quorum.Value{Members: electors})
		unanimous = electors
	}
	ask := func(m quorum.Member, proposal *quorum.Value) (*peer.AcceptorReply, error) {
		in := &peer.Vote{Target: m.ID, Ballot: round.Ballot, Value: proposal, Unanimous: unanimous}
		if m.ID == e.address {
			return e.Vote(in)
		}
		var reply peer.AcceptorReply
		err := caller.Call(m.Address, peer.CallVote, in, &reply, CallTimeout)
		return &reply, err
	}
	playPhase(round, electorPhase, func(m quorum.Member) (*peer.AcceptorReply, error) { return ask(m, nil) })
	if round.Phase == quorum.Prepared {
		proposal := round.Current()
		if round.Seen() == electorsBallot {
			proposal.Data = value
		}
		round.Propose(proposal)
		playPhase(round, electorPhase, func(m quorum.Member) (*peer.AcceptorReply, error) { return ask(m, &proposal) })
	}
	*above = round.Higher
	return round.Proposal().Data, round.Phase == quorum.Chosen
}
