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
	phaseTimeout      = 500 * time.Millisecond // after which a phase of a round is given up for now
	leastBytesASecond = 400_000                // of a transfer that is waited for: a third of a link of 10 Mbit/s

	retryPause = 4 * time.Millisecond // least pause before a round is tried again; up to eight times as long
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

	mu         sync.Mutex
	random     *rand.Rand // seeded by the node's ID, so that a play from a seed repeats
	known      map[string]Known
	highest    map[string]uint64           // highest counter of a ballot met
	unfinished map[string]*unfinishedRound // by register
	rivals     map[string]rival            // by register: the highest ballot met of another proposer
	took       map[string]time.Duration    // by register: how long the last phase of this node took
	heard      map[string]time.Time        // by identity: last answer
	changed    chan struct{}               // closed and replaced when something is newly chosen
}

// NewRegisters makes the driver.
func NewRegisters(acceptor *Acceptor, self peer.Node, caller Caller, log zerolog.Logger) *Registers {
	r := &Registers{
		acceptor: acceptor, self: self, caller: caller, log: log,
		writers: map[string]*delta.Writer{}, proposing: map[string]chan struct{}{}, known: map[string]Known{}, highest: map[string]uint64{},
		unfinished: map[string]*unfinishedRound{}, rivals: map[string]rival{}, took: map[string]time.Duration{},
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
	if b.Proposer != r.self.ID {
		r.rivals[register] = r.rivals[register].met(b)
	}
}

// nextBallot gives the ballot of this node's next round, and when members were first asked for a promise under it: that of a round that
// found no quorum in time, where no higher one was met.
func (r *Registers) nextBallot(register string, now time.Time) (ballot quorum.Ballot, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.unfinished[register]
	delete(r.unfinished, register)
	if u != nil && u.round.Ballot.Counter == r.highest[register] {
		return u.round.Ballot, u.asked
	}
	r.highest[register]++
	return quorum.Ballot{Counter: r.highest[register], Proposer: r.self.ID}, now
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
