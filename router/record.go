package router

// record.go owns what is recorded of a query: it copies what the owner holds into a capture's form as the query is answered.
// It must never wait, and never keep a query's text.

import (
	"moleshift/capture"
	"moleshift/choice"
)

const stillOut = 255 // in place of an outcome: the call had not ended when its query was answered

// recording is the recorder with what its form needs.
type recording struct {
	rec   *capture.Recorder
	begun choice.Time
}

// final is what a capture calls an answer.
func (r *reply) final() capture.Final {
	switch {
	case r.status == servedStatus && r.whole:
		return capture.Whole
	case r.status == servedStatus:
		return capture.Partial
	case r.status == refusedStatus:
		return capture.Rejected
	}
	return capture.Aborted
}

// record takes a query that is over.
func (o *owner) record(q *query, final capture.Final) {
	if o.recording == nil || !q.recorded {
		return
	}
	set := o.cfg.Settings
	c := &capture.Query{At: int64(q.taken - o.recording.begun), Vertical: set.Verticals[q.q.Vertical], Key: q.key, Final: final,
		Took: int64(o.now - q.taken), Parts: make([]capture.Part, len(q.parts))}
	if q.q.Tenant < len(set.Tenants) {
		c.Tenant = set.Tenants[q.q.Tenant]
	}
	for i, p := range q.parts {
		part := &c.Parts[i]
		*part = capture.Part{Shard: p.slice, Weight: p.p.Weight, Hint: p.p.Hint}
		if p.in {
			c.Weight += p.p.Weight
		}
		for _, k := range p.calls {
			call := capture.Call{Leaf: k.leaf.id, Sent: int64(k.sent - q.taken), Took: int64(k.took), Outcome: uint8(k.outcome)}
			if !k.ended {
				call.Took, call.Outcome = int64(o.now-k.sent), stillOut
			}
			part.Calls = append(part.Calls, call)
		}
	}
	o.recording.rec.Record(c)
}
