package core

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"moleshift/controlplane/quorum"
	"moleshift/peer"
)

type (
	peerIn  = msgp.Marshaler
	peerOut = msgp.Unmarshaler
)

// ErrStatus is the error of a call that was answered with a status other than 200.
var ErrStatus = errors.New("status is not 200")

// maxMembers bounds how many members a register may have, counted over a change of them.
const maxMembers = 64

// syncAnswer is a member's answer to Sync.
type syncAnswer struct {
	member quorum.Member
	reply  *peer.SyncReply
}

// Look asks all members what they keep of every register and notes what it shows to be chosen; it returns once that is settled or
// nothing more can come in time. extra fills in the rest of the message. Each answer goes to each, also one that comes later.
// It is also how members know of one another that they live.
func (r *Registers) Look(extra *peer.Sync, each func(reply *peer.SyncReply)) {
	began := time.Now()
	views := r.views()
	if views == nil {
		return
	}
	asked := map[string]bool{}
	if r.acceptor != nil {
		asked[r.acceptor.identity] = true
	}
	answers := make(chan syncAnswer, maxMembers)
	waiting := 0
	timer := time.NewTimer(phaseTimeout)
	defer timer.Stop()
	for {
		for _, m := range targets(views) {
			if asked[m.ID] {
				continue
			}
			asked[m.ID] = true
			waiting++
			go func() {
				a := syncAnswer{m, r.askSync(m, extra)}
				if a.reply != nil && each != nil {
					each(a.reply)
				}
				answers <- a
			}()
		}
		if r.noteViews(views, began) || waiting == 0 {
			return
		}
		select {
		case a := <-answers:
			waiting--
			r.noteAnswer(views, a)
		case <-timer.C:
			return
		}
	}
}

// views begins a look at each register with what this node keeps; nil: the members are not known yet.
func (r *Registers) views() map[string]*quorum.View {
	views := map[string]*quorum.View{}
	for _, register := range registers {
		b, v := r.accepted(register)
		if len(v.Members) == 0 {
			return nil
		}
		views[register] = quorum.NewView(b, v)
		if r.acceptor != nil {
			views[register].Note(r.acceptor.identity, r.acceptor.State(register).Accepted, nil)
		}
	}
	return views
}

func (r *Registers) noteAnswer(views map[string]*quorum.View, a syncAnswer) {
	if a.reply == nil {
		return
	}
	for i, read := range a.reply.Reads {
		if i < len(registers) && !read.Wrong {
			r.met(registers[i], read.Promised)
			views[registers[i]].Note(a.member.ID, read.Accepted, read.Value)
		}
	}
}

func targets(views map[string]*quorum.View) []quorum.Member {
	var all []quorum.Member
	for _, register := range registers {
		all = append(all, views[register].Targets()...)
	}
	return all
}

// noteViews notes what the looks show to be chosen, and tells whether all are.
func (r *Registers) noteViews(views map[string]*quorum.View, began time.Time) bool {
	all := true
	for _, register := range registers {
		if w := views[register]; w.Chosen() {
			b, v := w.Newest()
			r.chosen(register, b, v, began)
		} else {
			all = false
		}
	}
	return all
}

// askSync asks one member; nil: it did not answer.
func (r *Registers) askSync(m quorum.Member, extra *peer.Sync) *peer.SyncReply {
	in := peer.Sync{From: r.self}
	if extra != nil {
		in = *extra
	}
	in.Reads = nil
	for _, register := range registers {
		have, _ := r.accepted(register)
		in.Reads = append(in.Reads, peer.Prepare{Register: register, Target: m.ID, Have: have})
	}
	var reply peer.SyncReply
	if err := r.caller.Call(m.Address, peer.CallSync, &in, &reply, CallTimeout); err != nil {
		return nil
	}
	for i := range reply.Reads {
		if unpack(&reply.Reads[i]) != nil {
			return nil
		}
	}
	if len(reply.Reads) > 0 && !reply.Reads[0].Wrong {
		r.alive(m.ID)
	}
	return &reply
}

// AnswerReads answers the reads of a Sync.
func (r *Registers) AnswerReads(reads []peer.Prepare) []peer.AcceptorReply {
	out := make([]peer.AcceptorReply, len(reads))
	for i := range reads {
		out[i].Wrong = true
		if r.acceptor == nil {
			continue
		}
		if reply, err := r.acceptor.TakePrepare(&reads[i]); err == nil {
			out[i] = *reply
		}
	}
	return out
}
