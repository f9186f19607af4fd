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

// Look asks all members what they keep of every register and notes what it shows to be chosen. extra fills in the rest of the
// message; what members answer comes back. It is also how members know of one another that they live.
func (r *Registers) Look(extra *peer.Sync) []peer.SyncReply {
	began := time.Now()
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
	asked := map[string]bool{}
	if r.acceptor != nil {
		asked[r.acceptor.identity] = true
	}
	answers := make(chan syncAnswer, maxMembers)
	waiting := 0
	var replies []peer.SyncReply
	timer := time.NewTimer(phaseTimeout)
	defer timer.Stop()
	for {
		for _, m := range targets(views) {
			if asked[m.ID] {
				continue
			}
			asked[m.ID] = true
			waiting++
			go r.askSync(m, extra, answers)
		}
		if waiting == 0 || r.noteViews(views, began) {
			break
		}
		select {
		case a := <-answers:
			waiting--
			if a.reply == nil {
				continue
			}
			replies = append(replies, *a.reply)
			for i, read := range a.reply.Reads {
				if i < len(registers) && !read.Wrong {
					r.met(registers[i], read.Promised)
					views[registers[i]].Note(a.member.ID, read.Accepted, read.Value)
				}
			}
		case <-timer.C:
			waiting = 0
		}
	}
	r.noteViews(views, began)
	return append(replies, late(answers, waiting, timer)...)
}

// late collects the answers that are still due, so that all who live are heard.
func late(answers chan syncAnswer, waiting int, timer *time.Timer) []peer.SyncReply {
	var replies []peer.SyncReply
	for ; waiting > 0; waiting-- {
		select {
		case a := <-answers:
			if a.reply != nil {
				replies = append(replies, *a.reply)
			}
		case <-timer.C:
			return replies
		}
	}
	return replies
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

func (r *Registers) askSync(m quorum.Member, extra *peer.Sync, answers chan<- syncAnswer) {
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
	if err := r.caller.Call(m.Address, peer.CallSync, &in, &reply, callTimeout); err != nil {
		answers <- syncAnswer{member: m}
		return
	}
	if len(reply.Reads) > 0 && !reply.Reads[0].Wrong {
		r.alive(m.ID)
	}
	answers <- syncAnswer{m, &reply}
}

// AnswerReads answers the reads of a Sync.
func (r *Registers) AnswerReads(reads []peer.Prepare) []peer.AcceptorReply {
	out := make([]peer.AcceptorReply, len(reads))
	for i := range reads {
		out[i].Wrong = true
		if r.acceptor == nil {
			continue
		}
		if reply, err := r.acceptor.Prepare(&reads[i]); err == nil {
			out[i] = *reply
		}
	}
	return out
}
