package core

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"

	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

const (
	electorRecord = "elector"

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
// its disk. One that restarted without a disk, or with an empty one, abstains for good.
type Elector struct {
	address  string    // peer address: the elector's name
	acceptor *Acceptor // keeps the votes on disk; nil: they are kept in memory

	may     bool                // it remembers all that it voted; never changes
	writing *semaphore.Weighted // of one; held across a write to the store

	mu    sync.Mutex    // short: guards what follows
	state quorum.State  // Value.Members are the electors, whether a value is accepted or not
	rival rival         // the highest ballot that was asked for in this process
	took  time.Duration // how long the last write took
}

// NewElector makes the elector of a node. bootstrap says that this process was started with the whole system, by whose settings
// the seeds at the given peer addresses are the electors.
func NewElector(address string, seeds []string, bootstrap bool, acceptor *Acceptor) (*Elector, error) {
	e := &Elector{address: address, acceptor: acceptor, writing: semaphore.NewWeighted(1)}
	if acceptor != nil {
		if data := acceptor.Kept(electorRecord); data != nil {
			if _, err := e.state.UnmarshalMsg(data); err != nil {
				return nil, trace.BadParameter("record %q on disk cannot be read (%v): empty the data-dir, the others will restore it", electorRecord, err)
			}
			e.may = true
			return e, nil
		}
	}
	if !bootstrap {
		return e, nil
	}
	for _, seed := range seeds {
		e.state.Value.Members = append(e.state.Value.Members, quorum.Member{ID: seed, Address: seed})
	}
	if e.may = e.state.Value.Has(address); !e.may {
		return e, nil
	}
	return e, trace.Wrap(e.keep(e.state))
}

// Electors are those who choose, in a fixed order; empty: this node is none of them, or abstains.
func (e *Elector) Electors() []quorum.Member {
	if !e.may {
		return nil
	}
	return e.votes().Value.Members
}

func (e *Elector) votes() quorum.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Vote answers a call for a vote. An error means that nothing may be answered.
func (e *Elector) Vote(in *peer.Vote) (*peer.AcceptorReply, error) {
	if !e.may || in.Target != e.address {
		return &peer.AcceptorReply{Wrong: true}, nil
	}
	e.noteAsked(in.Ballot)
	_ = e.writing.Acquire(context.Background(), 1) // fails only where the context ends
	defer e.writing.Release(1)
	state := e.votes()
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
	if err := e.keep(next); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.took = next, time.Since(began)
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
	return e.rival.ballot.Proposer != e.address && e.rival.left(e.took) > 0
}

// keep writes the votes to disk where there is one.
func (e *Elector) keep(s quorum.State) error {
	if e.acceptor == nil {
		return nil
	}
	data, err := s.MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(e.acceptor.Keep(electorRecord, data))
}

// Choose plays one round for the given value. It returns the value that is chosen, which may be another one; false: none is known
// to be. above is the highest ballot met before and is brought up to date.
func (e *Elector) Choose(caller Caller, value []byte, above *quorum.Ballot) ([]byte, bool) {
	electors := e.Electors()
	if electors == nil {
		return nil, false
	}
	round := quorum.NewRound(above.Next(e.address), electorsBallot, quorum.Value{Members: electors})
	ask := func(m quorum.Member, proposal *quorum.Value) (*peer.AcceptorReply, error) {
		in := &peer.Vote{Target: m.ID, Ballot: round.Ballot, Value: proposal}
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
