// Package core drives the registers of the control plane: the rounds of a proposer over the members, looks at what a quorum
// keeps, and the changes of the members themselves.
//
// The rules are in package quorum; this package carries them out over package peer, with deadlines. It must never answer for a
// value that is not chosen.
package core

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"moleshift/controlplane/delta"
	"moleshift/controlplane/quorum"
	"moleshift/fault"
	"moleshift/peer"
)

// The registers: each is agreed upon by itself.
const (
	Config  = "config"  // the operator's configuration
	Weights = "weights" // the versions of models that were named, and who rolls them out
)

var registers = []string{Config, Weights}

const (
	CallTimeout       = 350 * time.Millisecond // of one call to a member
	phaseTimeout      = 500 * time.Millisecond // of one phase of a round
	leastBytesASecond = 400_000                // of a transfer that is waited for: a third of a link of 10 Mbit/s

	retryPause = 4 * time.Millisecond // least pause before a refused round is tried again; up to eight times as long
)

// Caller sends a call to another node. *peer.Client is one.
type Caller interface {
	Call(address, call string, in peerIn, out peerOut, timeout time.Duration) error
}

// Known is what this node knows to be chosen in a register.
type Known struct {
	Ballot    quorum.Ballot // zero: nothing is known
	Value     quorum.Value
	Confirmed time.Time // a quorum showed it to be the newest at a look that began then; steady clock
}

// Registers is this node's driver of all registers.
type Registers struct {
	acceptor *Acceptor // nil: this node counts for no quorum
	self     peer.Node
	caller   Caller
	log      zerolog.Logger

	writers   map[string]*delta.Writer
	proposing map[string]chan struct{} // one proposal of this node at a time, by register

	mu      sync.Mutex
	random  *rand.Rand // seeded by the node's ID, so that a play from a seed repeats
	known   map[string]Known
	highest map[string]uint64    // highest counter of a ballot met
	heard   map[string]time.Time // by identity: last answer
	changed chan struct{}        // closed and replaced when something is newly chosen
}

// NewRegisters makes the driver.
func NewRegisters(acceptor *Acceptor, self peer.Node, caller Caller, log zerolog.Logger) *Registers {
	r := &Registers{
		acceptor: acceptor, self: self, caller: caller, log: log,
		writers: map[string]*delta.Writer{}, proposing: map[string]chan struct{}{}, known: map[string]Known{}, highest: map[string]uint64{},
		heard: map[string]time.Time{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), 0)),
	}
	for _, register := range registers {
		r.proposing[register] = make(chan struct{}, 1)
		r.writers[register] = &delta.Writer{}
	}
	return r
}

// Known gives what is known to be chosen in a register.
func (r *Registers) Known(register string) Known {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[register]
}

// Changed gives a channel that is closed when something is newly chosen.
func (r *Registers) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Hint tells members that others named, for a node that keeps nothing of a register itself.
func (r *Registers) Hint(members []quorum.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, register := range registers {
		if k := r.known[register]; k.Ballot == (quorum.Ballot{}) {
			k.Value = quorum.Value{Members: members}
			r.known[register] = k
		}
	}
}

// Names lists the registers.
func Names() []string { return slices.Clone(registers) }

// accepted gives the newest value that this node has seen accepted, chosen or not.
func (r *Registers) accepted(register string) (quorum.Ballot, quorum.Value) {
	k := r.Known(register)
	if r.acceptor != nil {
		if s := r.acceptor.State(register); k.Ballot.Less(s.Accepted) {
			return s.Accepted, s.Value
		}
	}
	return k.Ballot, k.Value
}

// Members gives the members of a register as far as this node knows them.
func (r *Registers) Members(register string) []quorum.Member {
	_, v := r.accepted(register)
	return v.All()
}

// chosen notes that a value is chosen, and that it was the newest at the given time.
func (r *Registers) chosen(register string, b quorum.Ballot, v quorum.Value, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known[register]
	if b.Less(k.Ballot) {
		return
	}
	isNew := k.Ballot != b
	if at.Before(k.Confirmed) {
		at = k.Confirmed
	}
	r.known[register] = Known{Ballot: b, Value: v, Confirmed: at}
	if isNew {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// met notes a ballot, so that the next one of this node is above it.
func (r *Registers) met(register string, b quorum.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest[register] = max(r.highest[register], b.Counter)
}

func (r *Registers) nextBallot(register string) quorum.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest[register]++
	return quorum.Ballot{Counter: r.highest[register], Proposer: r.self.ID}
}

// alive notes that a member answered.
func (r *Registers) alive(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[id] = time.Now()
}

// Silence tells how long ago a member answered last; a member never heard counts from the moment it was first asked about.
func (r *Registers) Silence(id string) time.Duration {
	if r.acceptor != nil && id == r.acceptor.identity {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.heard[id]; !ok {
		r.heard[id] = time.Now()
	}
	return time.Since(r.heard[id])
}

// answer is a member's answer to a call of a phase.
type answer struct {
	from  string
	reply *peer.AcceptorReply // nil: none that counts
}

// ask sends a phase's call to one member, or to this node's own acceptor. has is the content that the member is expected to have.
func (r *Registers) ask(m quorum.Member, call string, in peerIn, has []byte) (*peer.AcceptorReply, error) {
	prepare, isPrepare := in.(*peer.Prepare)
	if r.acceptor != nil && m.ID == r.acceptor.identity {
		if isPrepare {
			return r.acceptor.Prepare(prepare)
		}
		return r.acceptor.Accept(in.(*peer.Accept))
	}
	var reply peer.AcceptorReply
	var err error
	if isPrepare {
		err = r.caller.Call(m.Address, call, in, &reply, CallTimeout)
	} else {
		err = r.sendAccept(m, in.(*peer.Accept), has, &reply)
	}
	if err == nil {
		err = unpack(&reply)
	}
	if err != nil {
		return nil, err
	}
	if reply.Wrong {
		return nil, trace.NotFound("another identity lives at %s", m.Address)
	}
	r.alive(m.ID)
	return &reply, nil
}

// sendAccept sends a request to accept with its data written against what the member is expected to have, and whole where it has not.
func (r *Registers) sendAccept(m quorum.Member, in *peer.Accept, has []byte, reply *peer.AcceptorReply) error {
	bare := *in
	bare.Value.Data = nil
	bare.Content = r.writers[in.Register].Write(in.Value.Data, has)
	err := r.caller.Call(m.Address, peer.CallAccept, &bare, reply, CallTimeout+TransferTime(len(bare.Content.Data)))
	if err != nil || !reply.Lacks {
		return err
	}
	*reply = peer.AcceptorReply{}
	bare.Content = r.writers[in.Register].Write(in.Value.Data, nil)
	return r.caller.Call(m.Address, peer.CallAccept, &bare, reply, CallTimeout+TransferTime(len(bare.Content.Data)))
}

// TransferTime is how long so many bytes may take between two nodes, beside the usual time of a call.
func TransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / leastBytesASecond
}

// phase plays a phase of a round on a register. Members are expected to have the round's current content.
func (r *Registers) phase(register string, round *quorum.Round, message func(m quorum.Member) (string, peerIn)) {
	var has []byte
	size := 0
	if round.Phase == quorum.Accepting {
		has = r.writers[register].Learn(round.Current().Data)
		size = len(r.writers[register].Write(round.Proposal().Data, has).Data)
	}
	playPhase(round, phaseTimeout+TransferTime(size), func(m quorum.Member) (*peer.AcceptorReply, error) {
		call, in := message(m)
		reply, err := r.ask(m, call, in, has)
		if err == nil {
			r.met(register, reply.Promised)
		}
		return reply, err
	})
}

// playPhase asks all targets of a round at once, and takes answers until the round leaves the phase or the time is over. Who does
// not answer, or answers that it is somebody else, counts for nothing.
func playPhase(round *quorum.Round, within time.Duration, ask func(m quorum.Member) (*peer.AcceptorReply, error)) {
	phase := round.Phase
	answers := make(chan answer, maxMembers)
	asked := map[string]bool{}
	timer := time.NewTimer(within)
	defer timer.Stop()
	waiting := 0
	for round.Phase == phase {
		for _, m := range round.Targets() {
			if asked[m.ID] {
				continue
			}
			asked[m.ID] = true
			waiting++
			go func() {
				reply, err := ask(m)
				if err != nil || reply.Wrong {
					reply = nil
				}
				answers <- answer{m.ID, reply}
			}()
		}
		if waiting == 0 {
			return
		}
		select {
		case a := <-answers:
			waiting--
			a.give(round, phase)
		case <-timer.C:
			return
		}
	}
}

// give lets a round take an answer of the given phase.
func (a *answer) give(round *quorum.Round, phase quorum.Phase) {
	switch {
	case a.reply == nil:
	case phase == quorum.Preparing:
		round.Promise(a.from, a.reply.OK, a.reply.Promised, a.reply.Accepted, a.reply.Value)
	default:
		round.Accept(a.from, a.reply.OK, a.reply.Promised)
	}
}

// Change changes a register: edit gets the newest value and gives the next. Where edit fails, the register stays as it is, and its
// error comes back once the value that it saw is chosen. Other errors are of kind Unavailable; then the change may come about or not.
func (r *Registers) Change(register string, deadline time.Time, edit func(v quorum.Value) (quorum.Value, error)) (quorum.Value, error) {
	select {
	case r.proposing[register] <- struct{}{}:
		defer func() { <-r.proposing[register] }()
	case <-time.After(time.Until(deadline)):
		return quorum.Value{}, fault.New(fault.Unavailable, "earlier changes are still under way")
	}
	for {
		v, done, err := r.attempt(register, edit)
		if done {
			return v, err
		}
		pause := r.drawPause()
		if time.Now().Add(pause).After(deadline) {
			return quorum.Value{}, err
		}
		time.Sleep(pause)
	}
}

// drawPause draws how long to wait before a refused round is tried again.
func (r *Registers) drawPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retryPause + time.Duration(r.random.Int64N(int64(7*retryPause)))
}

// attempt plays one round. Where done is false the round came to nothing and another may be tried.
func (r *Registers) attempt(register string, edit func(v quorum.Value) (quorum.Value, error)) (v quorum.Value, done bool, err error) {
	began := time.Now()
	seen, known := r.accepted(register)
	if len(known.Members) == 0 {
		return v, false, fault.New(fault.Unavailable, "the members are not known yet")
	}
	r.met(register, seen)
	round := quorum.NewRound(r.nextBallot(register), seen, known)
	r.phase(register, round, func(m quorum.Member) (string, peerIn) {
		return peer.CallPrepare, &peer.Prepare{Register: register, Target: m.ID, Ballot: round.Ballot, Have: seen}
	})
	if round.Phase != quorum.Prepared {
		return v, false, fault.New(fault.Unavailable, "no quorum of %d members promised", len(known.All()))
	}
	next, editErr := edit(round.Current())
	if round.Decide(next, editErr != nil) {
		r.chosen(register, round.Seen(), round.Current(), began)
		return round.Current(), true, editErr
	}
	next = round.Proposal()
	r.phase(register, round, func(m quorum.Member) (string, peerIn) {
		return peer.CallAccept, &peer.Accept{Register: register, Target: m.ID, Ballot: round.Ballot, Value: next}
	})
	if round.Phase != quorum.Chosen {
		return v, false, fault.New(fault.Unavailable, "no quorum of %d members accepted", len(next.All()))
	}
	r.chosen(register, round.Ballot, next, began)
	r.tellChosen(register, round.Ballot, next)
	return next, true, editErr
}

// tellChosen lets the other members know at once, so that they need not find out at their next look.
func (r *Registers) tellChosen(register string, b quorum.Ballot, v quorum.Value) {
	for _, m := range v.Members {
		if r.acceptor != nil && m.ID == r.acceptor.identity {
			continue
		}
		go func() {
			_ = r.caller.Call(m.Address, peer.CallLearn, &peer.Learn{Register: register, Ballot: b}, &peer.Empty{}, CallTimeout)
		}()
	}
}

// Learn takes word that a ballot's value is chosen. When it was the newest is not known from that.
func (r *Registers) Learn(in *peer.Learn) {
	if r.acceptor == nil {
		return
	}
	if s := r.acceptor.State(in.Register); s.Accepted == in.Ballot {
		r.chosen(in.Register, in.Ballot, s.Value, time.Time{})
	}
}

// ErrUnchanged ends an edit that changes nothing.
var ErrUnchanged = fault.New(fault.None, "nothing to change")

// Settle makes the newest value chosen where it is not known to be.
func (r *Registers) Settle(register string, deadline time.Time) {
	_, _ = r.Change(register, deadline, func(v quorum.Value) (quorum.Value, error) { return v, ErrUnchanged })
}

// Refresh makes sure that what Known tells was the newest at a moment after the call began.
func (r *Registers) Refresh(register string, deadline time.Time) (Known, error) {
	began := time.Now()
	for {
		r.Look(nil, nil)
		if k := r.Known(register); !k.Confirmed.Before(began) {
			return k, nil
		}
		r.Settle(register, deadline)
		if k := r.Known(register); !k.Confirmed.Before(began) {
			return k, nil
		}
		if time.Now().Add(retryPause).After(deadline) {
			return Known{}, fault.New(fault.Unavailable, "no quorum answers")
		}
		time.Sleep(retryPause)
	}
}
