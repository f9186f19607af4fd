package core

import (
	"time"

	"github.com/gravitational/trace"

	"moleshift/controlplane/quorum"
	"moleshift/fault"
	"moleshift/peer"
)

const (
	// repeatPause is between a call of a phase that failed and the next one to the same member.
	repeatPause = 30 * time.Millisecond

	// leastPhase is what a phase is given at the least, however near the deadline is.
	leastPhase = 50 * time.Millisecond
)

// unfinishedRound is a round of this node for which no quorum answered in time. Members may be writing what it asks for: the next attempt
// asks under the same ballot, so that what they have promised or accepted counts, however long a write takes.
type unfinishedRound struct {
	round *quorum.Round // in phase Preparing or Accepting
	began time.Time
	asked time.Time // when members were first asked in this phase
}

// answer is a member's answer to a call of a phase.
type answer struct {
	from  string
	reply *peer.AcceptorReply
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

// phase plays a phase of a round on a register, in which members were first asked at the given time, until the deadline or phaseTimeout.
// Members are expected to have the round's current content.
func (r *Registers) phase(register string, round *quorum.Round, asked, deadline time.Time, message func(m quorum.Member) (string, peerIn)) {
	var has []byte
	size := 0
	if round.Phase == quorum.Accepting {
		has = r.writers[register].Learn(round.Current().Data)
		size = len(r.writers[register].Write(round.Proposal().Data, has).Data)
	}
	within := min(max(time.Until(deadline), leastPhase), phaseTimeout+TransferTime(size))
	playPhase(round, within, func(m quorum.Member) (*peer.AcceptorReply, error) {
		call, in := message(m)
		reply, err := r.ask(m, call, in, has)
		if err == nil {
			r.met(register, reply.Promised)
		}
		return reply, err
	})
	if round.Phase == quorum.Prepared || round.Phase == quorum.Chosen {
		r.noteTook(register, time.Since(asked))
	}
}

// playPhase asks all targets of a round at once, and takes answers until the round leaves the phase or the time is over. A member whose
// call fails is asked again: it may have been slow to write what it was asked for. Who answers that it is somebody else counts for nothing.
func playPhase(round *quorum.Round, within time.Duration, ask func(m quorum.Member) (*peer.AcceptorReply, error)) {
	phase := round.Phase
	answers := make(chan answer, maxMembers)
	over := make(chan struct{})
	defer close(over)
	asked := map[string]bool{}
	waiting := 0
	timer := time.NewTimer(within)
	defer timer.Stop()
	for round.Phase == phase {
		for _, m := range round.Targets() {
			if !asked[m.ID] {
				asked[m.ID] = true
				waiting++
				go askUntil(over, m, ask, answers)
			}
		}
		if waiting == 0 {
			return // all have answered, and are no quorum
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

// askUntil asks one member until it answers or the phase is over.
func askUntil(over <-chan struct{}, m quorum.Member, ask func(m quorum.Member) (*peer.AcceptorReply, error), answers chan<- answer) {
	for {
		if reply, err := ask(m); err == nil && !reply.Wrong {
			answers <- answer{m.ID, reply}
			return
		}
		select {
		case <-over:
			return
		case <-time.After(repeatPause):
		}
	}
}

// give lets a round take an answer of the given phase.
func (a *answer) give(round *quorum.Round, phase quorum.Phase) {
	if phase == quorum.Preparing {
		round.Promise(a.from, a.reply.OK, a.reply.Promised, a.reply.Accepted, a.reply.Value)
		return
	}
	round.Accept(a.from, a.reply.OK, a.reply.Promised)
}

// Change changes a register: edit gets the newest value and gives the next. Where edit fails, the register stays as it is, and its
// error comes back once the value that it saw is chosen. Other errors are of kind Unavailable; then the change may come about or not.
func (r *Registers) Change(register string, deadline time.Time, edit func(v quorum.Value) (quorum.Value, error)) (quorum.Value, error) {
	return r.ChangeUnless(register, deadline, func(quorum.Value) bool { return false }, edit)
}

// ChangeUnless changes a register as Change does, unless a value that is known to be chosen holds the change already: that takes no quorum
// and no write. holds must tell what stays so, whatever the register's later values are.
func (r *Registers) ChangeUnless(register string, deadline time.Time, holds func(v quorum.Value) bool, edit func(v quorum.Value) (quorum.Value, error)) (quorum.Value, error) {
	select {
	case r.proposing[register] <- struct{}{}:
		defer func() { <-r.proposing[register] }()
	case <-time.After(time.Until(deadline)):
		if k := r.Known(register); holds(k.Value) {
			return k.Value, nil
		}
		return quorum.Value{}, fault.New(fault.Unavailable, "earlier changes are still under way")
	}
	for {
		unfinished := r.finish(register, deadline)
		yielded := unfinished == nil && r.yield(register, deadline)
		if k := r.Known(register); holds(k.Value) {
			return k.Value, nil
		}
		err := unfinished
		switch {
		case yielded:
			var v quorum.Value
			var done bool
			if v, done, err = r.attempt(register, deadline, edit); done {
				return v, err
			}
		case err == nil:
			err = fault.New(fault.Unavailable, "another node changes the register now")
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

// attempt plays one round. Where done is false the round came to nothing yet and another may be tried.
func (r *Registers) attempt(register string, deadline time.Time, edit func(v quorum.Value) (quorum.Value, error)) (v quorum.Value, done bool, err error) {
	began := time.Now()
	seen, known := r.accepted(register)
	if len(known.Members) == 0 {
		return v, false, fault.New(fault.Unavailable, "the members are not known yet")
	}
	r.met(register, seen)
	ballot, asked := r.nextBallot(register, began)
	round := quorum.NewRound(ballot, seen, known)
	r.phase(register, round, asked, deadline, func(m quorum.Member) (string, peerIn) {
		return peer.CallPrepare, &peer.Prepare{Register: register, Target: m.ID, Ballot: round.Ballot, Have: seen}
	})
	if round.Phase != quorum.Prepared {
		r.keepUnfinished(register, &unfinishedRound{round, began, asked})
		return v, false, fault.New(fault.Unavailable, "no quorum of %d members promised", len(known.All()))
	}
	next, editErr := edit(round.Current())
	if round.Decide(next, editErr != nil) {
		r.chosen(register, round.Seen(), round.Current(), began)
		return round.Current(), true, editErr
	}
	if err := r.propose(register, &unfinishedRound{round, began, time.Now()}, deadline); err != nil {
		return v, false, err
	}
	return round.Proposal(), true, editErr
}

// propose asks for a round's proposal to be accepted.
func (r *Registers) propose(register string, u *unfinishedRound, deadline time.Time) error {
	round, proposal := u.round, u.round.Proposal()
	r.phase(register, round, u.asked, deadline, func(m quorum.Member) (string, peerIn) {
		return peer.CallAccept, &peer.Accept{Register: register, Target: m.ID, Ballot: round.Ballot, Value: proposal}
	})
	if round.Phase != quorum.Chosen {
		r.keepUnfinished(register, u)
		return fault.New(fault.Unavailable, "no quorum of %d members accepted", len(proposal.All()))
	}
	r.chosen(register, round.Ballot, proposal, u.began)
	r.tellChosen(register, round.Ballot, proposal)
	return nil
}

// keepUnfinished keeps a round that found no quorum in time; one that was refused is over.
func (r *Registers) keepUnfinished(register string, u *unfinishedRound) {
	if u.round.Phase != quorum.Preparing && u.round.Phase != quorum.Accepting {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unfinished[register] = u
}

// finish asks again for the proposal of a round that found no quorum in time; an error: it is still unfinished.
func (r *Registers) finish(register string, deadline time.Time) error {
	u := r.takeUnfinished(register)
	if u == nil {
		return nil
	}
	if err := r.propose(register, u, deadline); err != nil && u.round.Phase != quorum.Refused {
		return err
	}
	return nil
}

// takeUnfinished gives the round whose proposal found no quorum in time, or nil. One that lacked promises stays: they are asked for anew, as
// what members had accepted when they promised may be out of date.
func (r *Registers) takeUnfinished(register string) *unfinishedRound {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.unfinished[register]
	if u == nil || u.round.Phase != quorum.Accepting {
		return nil
	}
	delete(r.unfinished, register)
	return u
}

// yield waits while another proposer may be in the middle of a round, so that two whose members write slowly do not refuse one another for
// ever; false: it may be so still at the deadline. A round is given some times as long as the phases and writes that were seen here.
func (r *Registers) yield(register string, deadline time.Time) bool {
	for {
		changed := r.Changed()
		wait := r.yieldTime(register)
		if wait <= 0 {
			return true
		}
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(min(wait, left))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// yieldTime is how much longer another proposer's round is to be waited for.
func (r *Registers) yieldTime(register string) time.Duration {
	var asked rival
	var took time.Duration
	if r.acceptor != nil {
		asked, took = r.acceptor.asked(register)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	other := r.rivals[register]
	if asked.ballot.Proposer != r.self.ID && !asked.ballot.Less(other.ballot) {
		other = asked
	}
	if !r.known[register].Ballot.Less(other.ballot) {
		return 0
	}
	if phase := r.took[register]; phase > 0 && phase < took {
		took = phase // of this node's disk and of a quorum's the faster one tells: a single disk that hangs is no reason to wait
	}
	return other.left(took)
}

// noteTook notes how long a phase took for which a quorum answered.
func (r *Registers) noteTook(register string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took[register] = took
}
