package router

// search.go owns the way in which another front asks the owner: a question becomes a query like any other,
// with one final answer. It must never decide what becomes of it, and never let a question wait once its
// answer is there.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"golang.org/x/net/netutil"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/front/opensearch"
	"moleshift/limits"
)

// searching is the front that speaks the form of OpenSearch.
type searching struct {
	o      *owner
	front  *opensearch.Front
	asked  atomic.Uint64
	ended  atomic.Bool
	prefix string
}

// search starts the front.
func (p *program) search() error {
	set := &p.owner.cfg.More.OpenSearch
	l, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return fmt.Errorf("opensearch.listen: %w", err)
	}
	s := newSearching(p.owner)
	p.group.Go(func() error { return s.front.Serve(p.ctx, netutil.LimitListener(l, set.Connections)) })
	return nil
}

func newSearching(o *owner) *searching {
	set := &o.cfg.More.OpenSearch
	s := &searching{o: o, prefix: fmt.Sprintf("s%x-", uint32(o.cfg.Seed)^uint32(o.now))}
	fs := opensearch.Settings{
		Tenant:  set.Tenant,
		Name:    o.cfg.Name,
		Leaves:  s.leaves,
		Take:    func(n int) bool { return o.gate.take(limits.Bodies, n) },
		Return:  func(n int) { o.gate.put(limits.Bodies, n) },
		HoldOff: duration(choice.Time(limits.ComeBack)),
	}
	for _, x := range set.Indices {
		fs.Indices = append(
			fs.Indices,
			opensearch.Index{Name: x.Name, Vertical: x.Vertical, Shards: x.List()},
		)
	}
	s.front = opensearch.New(fs, s)
	o.searching = s
	return s
}

// drain has the front take nothing new; the program ends once what it holds is answered.
func (s *searching) drain() {
	s.o.group.Go(func() error {
		ctx, stop := context.WithTimeout(s.o.ctx, 2*s.o.cfg.Settings.Longest)
		defer stop()
		s.front.Drain(ctx) // what does not end in time ends with the program
		s.ended.Store(true)
		s.o.post(s.o.ctx, func(*owner) {})
		return nil
	})
}

// Ask is part of opensearch.Asker.
func (s *searching) Ask(ctx context.Context, q *opensearch.Question) (*opensearch.Reply, error) {
	o := s.o
	fault := func(format string, args ...any) error {
		return &opensearch.Fault{
			Status: http.StatusBadRequest,
			Type:   "illegal_argument_exception",
			Reason: fmt.Sprintf(format, args...),
		}
	}
	vertical, known := o.door.verticals[q.Vertical]
	if !known {
		return nil, fault("no vertical [%s]", q.Vertical)
	}
	tenant := 0
	if len(o.door.tenants) > 0 {
		if tenant, known = o.door.tenants[q.Tenant]; !known {
			return nil, fault("tenant [%s] is unknown", q.Tenant)
		}
	}
	answers := make(chan reply, 1)
	a := &asked{
		id:       s.prefix + fmt.Sprint(s.asked.Add(1)),
		vertical: vertical,
		tenant:   tenant,
		body:     &codec.QueryBody{Text: []byte(q.Text)},
		from:     &caller{answer: func(r reply) { answers <- r }},
	}
	for _, shard := range q.Shards {
		a.body.Parts = append(a.body.Parts, codec.PartAsked{Shard: shard, Weight: 1 / float64(len(q.Shards))})
	}
	wait := o.cfg.Settings.Module.Verticals[vertical].Deadline
	if q.Wait > 0 {
		wait = min(wait, tenths(q.Wait))
	}
	a.deadline = o.clk.now() + max(wait, choice.Millisecond)
	o.post(ctx, func(o *owner) { o.take(a) })
	select {
	case r := <-answers:
		return s.reply(a, r), nil
	case <-ctx.Done():
		a.from.canceled.Store(true)
		o.post(o.ctx, func(o *owner) { o.leave(a.from) })
		return nil, ctx.Err()
	}
}

func (s *searching) reply(a *asked, r reply) *opensearch.Reply {
	out := &opensearch.Reply{
		Outcome: opensearch.Failed,
		Whole:   r.whole,
		HoldOff: r.holdOff,
		Done:    func() { s.o.gate.done(r.hold) },
	}
	switch r.status {
	case servedStatus:
		out.Outcome = opensearch.Answered
	case refusedStatus:
		out.Outcome = opensearch.Refused
	}
	for _, row := range r.rows {
		out.Rows = append(out.Rows, opensearch.Row{Shard: row.Shard, Value: row.Value})
	}
	return out
}

// leaves are the servers of the list and what they hold.
func (s *searching) leaves() []opensearch.Leaf {
	answer := make(chan []opensearch.Leaf, 1)
	s.o.post(s.o.ctx, func(o *owner) {
		m := o.cfg.Settings.Module
		var all []opensearch.Leaf
		for _, l := range o.listed {
			one := opensearch.Leaf{ID: l.id, Serves: l.serving}
			for shard := range m.Shards {
				if ((l.cell-shard)%m.Cells+m.Cells)%m.Cells < m.Span {
					one.Shards = append(one.Shards, shard)
				}
			}
			all = append(all, one)
		}
		answer <- all
	})
	select {
	case all := <-answer:
		return slices.Clip(all)
	case <-s.o.ctx.Done():
		return nil
	}
}
