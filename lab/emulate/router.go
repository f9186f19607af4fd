package emulate

// router.go owns a router's side: it hands the module what comes, at one event a time, and carries out what that says.
// It follows router/owner.go, where the same stands for sockets. It must never choose anything itself.

import (
	"slices"

	"moleshift/capture"
	"moleshift/choice"
	"moleshift/duty"
	"moleshift/fleet"
)

// router is one router.
type router struct {
	w       *world
	n       int
	node    *fleet.Node
	group   *fleet.Routers
	root    *choice.Root // nil: it is down
	boot    int
	leaves  []*choice.Leaf // by the leaf's number
	numbers map[*choice.Leaf]int
	queries map[*choice.Query]*query
	parts   map[*choice.Part]*part
	calls   map[*choice.LeafCall]*call
	out     [][]*call     // by leaf, those that have not ended
	turn    []choice.Time // of the last call to each leaf, and the parts that went with it
	joined  []int
	reports []choice.Time // when what is known of each leaf was so
	wakeAt  choice.Time
	busy    choice.Time // until when its CPU is taken
	open    int
	duties  *duty.Node
	byDuty  map[*duty.Duty]int
	peak    int
}

type query struct {
	rq    *request
	q     *choice.Query
	parts []*part
}

type part struct {
	query *query
	p     *choice.Part
	work  float64
	in    bool
	over  bool
}

// call is one leaf call on its way.
type call struct {
	r       *router
	c       *choice.LeafCall
	part    *part
	leaf    int
	sent    choice.Time
	job     *job
	arrived bool
	ended   bool
	boot    int // of the router
}

func newRouter(w *world, n int) *router {
	node := &w.f.Nodes[n]
	return &router{w: w, n: n, node: node, group: &w.f.Routers[node.Group]}
}

// start starts a process that knows the list.
func (r *router) start() {
	w, n := r.w, len(r.w.leaves)
	r.boot++
	r.leaves, r.numbers = make([]*choice.Leaf, n), map[*choice.Leaf]int{}
	r.queries, r.parts, r.calls = map[*choice.Query]*query{}, map[*choice.Part]*part{}, map[*choice.LeafCall]*call{}
	r.out, r.turn, r.joined, r.reports = make([][]*call, n), make([]choice.Time, n), make([]int, n), make([]choice.Time, n)
	r.open, r.wakeAt, r.busy = 0, 0, 0
	var entries []choice.Entry
	for i, l := range w.leaves {
		r.leaves[i] = new(choice.Leaf)
		r.numbers[r.leaves[i]] = i
		if l.said != choice.Gone {
			entries = append(entries, r.entry(l))
		}
	}
	r.root = choice.NewRoot(w.f.Settings(r.node, w.o.Seed*1000+uint64(r.n)), r, w.now)
	r.root.List(w.now, entries, true, false)
	if w.o.Shared > 0 {
		r.share()
	}
	if w.o.Quick > 0 {
		for i := range w.leaves {
			first := w.now + choice.Time(w.rng.Int64N(int64(w.o.Quick)))
			w.at(first, r.mine(func() { r.often(i) }))
		}
	}
}

// often probes a leaf again and again.
func (r *router) often(n int) {
	r.probe(n, nil)
	r.w.at(r.w.now+r.w.o.Quick, r.mine(func() { r.often(n) }))
}

// mine is something that a process that has ended does no more.
func (r *router) mine(do func()) func() {
	boot := r.boot
	return func() {
		if r.boot == boot && r.root != nil {
			do()
		}
	}
}

// stop ends the process: its clients find their connections reset.
func (r *router) stop() {
	if r.root == nil {
		return
	}
	r.root = nil
	r.boot++
	r.duties = nil
	for _, all := range r.out {
		for _, c := range all {
			if c.job != nil {
				c.job.gone = true
			}
		}
	}
	held := make([]*query, 0, len(r.queries))
	for _, q := range r.queries {
		held = append(held, q)
	}
	slices.SortFunc(held, func(a, b *query) int { return int(a.rq.came - b.rq.came) })
	for _, q := range held {
		r.w.answered(q.rq, capture.Aborted, 0, r.w.f.Verticals[q.rq.vertical].Effect == "repeatable", 0)
	}
}

func (r *router) entry(l *leaf) choice.Entry {
	return choice.Entry{Leaf: r.leaves[l.n], Zone: l.f.Zone, Cell: l.f.Cell, Condition: l.said, Started: l.started}
}

// listed is told by the list.
func (r *router) listed(l *leaf) {
	if r.root == nil {
		return
	}
	r.root.List(r.w.now, []choice.Entry{r.entry(l)}, false, false)
	if r.duties != nil {
		r.dutyOf(l)
	}
	r.wake()
}

// cpu does something once the CPU has time for it, and takes it for a while.
func (r *router) cpu(cost float64, do func()) {
	if r.group.Cores > 0 {
		cost /= r.group.Cores
	}
	begin := max(r.w.now, r.busy)
	r.busy = begin + choice.Time(cost)
	if frac := cost - float64(choice.Time(cost)); r.w.rng.Float64() < frac { // times are whole tenths
		r.busy++
	}
	if begin == r.w.now {
		do()
		return
	}
	r.w.at(begin, r.mine(do))
}

// take takes a client's try.
func (r *router) take(rq *request) {
	if r.root == nil {
		r.w.answered(rq, capture.Aborted, 0, true, 0)
		return
	}
	v := &r.w.f.Verticals[rq.vertical]
	deadline := r.w.now + fleet.Tenths(v.Deadline)
	if most := r.group.OpenCap; most > 0 && r.open+1+len(rq.q.Parts) > most {
		r.w.r.full(r)
		r.w.answered(rq, capture.Rejected, 0, true, 0)
		return
	}
	q := &query{rq: rq, q: &choice.Query{Deadline: deadline, Vertical: rq.vertical, Tenant: rq.tenant}}
	r.open += 1 + len(rq.q.Parts)
	r.peak = max(r.peak, r.open)
	r.queries[q.q] = q
	var parts []*choice.Part
	for _, p := range rq.q.Parts {
		cp := &choice.Part{Shard: p.Shard, Weight: p.Weight, Hint: p.Hint}
		held := &part{query: q, p: cp, work: p.Cost()}
		q.parts, parts = append(q.parts, held), append(parts, cp)
		r.parts[cp] = held
	}
	r.cpu(float64(r.group.PerQuery.Nanoseconds())/1e5, func() {
		if r.queries[q.q] != q {
			return
		}
		r.root.Take(r.w.now, q.q, parts)
		r.wake()
	})
}

// final answers and lets a query go.
func (r *router) final(q *query, f capture.Final, holdOff choice.Time) {
	delete(r.queries, q.q)
	r.open -= 1 + len(q.parts)
	weight := 0.0
	for _, p := range q.parts {
		if p.in {
			weight += p.p.Weight
		}
		p.over = true
		delete(r.parts, p.p)
	}
	harmless := r.w.f.Verticals[q.rq.vertical].Effect == "repeatable"
	r.w.at(r.w.now+clientDelay, func() { r.w.answered(q.rq, f, weight, harmless, holdOff) })
}

// back brings the outcome of a call from the leaf to its router.
func (c *call) back(o choice.Outcome, rep *choice.Report) {
	w := c.r.w
	at := w.now
	w.at(w.now+w.link(w.leaves[c.leaf].f.Zone, c.r.node.Zone), func() {
		if c.r.boot != c.boot || c.ended {
			return
		}
		c.r.cpu(float64(c.r.group.PerCall.Nanoseconds())/1e5, func() { c.end(o, rep, at) })
	})
}

// end tells the module the outcome, once.
func (c *call) end(o choice.Outcome, rep *choice.Report, at choice.Time) {
	r := c.r
	if c.ended || r.boot != c.boot {
		return
	}
	c.ended = true
	delete(r.calls, c.c)
	r.out[c.leaf] = slices.DeleteFunc(r.out[c.leaf], func(other *call) bool { return other == c })
	if c.job != nil && o != choice.OK {
		c.job.gone = true
	}
	if p := c.part; o == choice.OK && !p.over && !p.in {
		p.in = true
	}
	if rep != nil {
		r.reports[c.leaf] = max(r.reports[c.leaf], at)
	}
	r.w.r.called(r, o)
	r.root.Outcome(r.w.now, c.c, o, r.w.now-c.sent, c.part.in || c.part.over, rep)
	r.wake()
}

// wake has the module called when it asks for it.
func (r *router) wake() {
	if r.duties != nil && r.duties.Next() <= duty.Time(r.w.now) {
		r.duties.Awake(duty.Time(r.w.now))
	}
}

// ---- the module's port ----

// Call is part of choice.Port.
func (r *router) Call(lc *choice.LeafCall, timeout choice.Time) {
	w := r.w
	n := r.numbers[lc.Leaf]
	c := &call{r: r, c: lc, part: r.parts[lc.Part], leaf: n, sent: w.now, boot: r.boot}
	r.calls[lc] = c
	if c.part == nil {
		c.part = &part{over: true}
		w.at(w.now, r.mine(func() { c.end(choice.Moot, nil, w.now) }))
		return
	}
	if w.counts(w.now) {
		w.r.age(w.now-r.reports[n], r.reports[n] > 0)
	}
	r.out[n] = append(r.out[n], c)
	work := c.part.work
	if r.turn[n] != w.now || r.joined[n] >= max(w.f.Rules.Batch, 1) {
		r.turn[n], r.joined[n] = w.now, 0
		work += w.f.Rules.Overhead
	}
	r.joined[n]++
	until := c.part.query.q.Deadline
	if timeout != 0 {
		until = min(until, w.now+timeout)
	}
	c.job = &job{call: c, work: work, until: until}
	w.at(until, r.mine(func() { c.end(choice.TimedOut, nil, w.now) }))
	l := w.leaves[n]
	w.at(w.now+w.link(r.node.Zone, l.f.Zone), func() {
		if c.ended || c.boot != r.boot {
			return
		}
		c.arrived = true
		l.come(c.job)
	})
}

// Cancel is part of choice.Port; the outcome comes after this event.
func (r *router) Cancel(lc *choice.LeafCall) {
	if c := r.calls[lc]; c != nil {
		r.w.at(r.w.now, r.mine(func() { c.end(choice.Cancelled, nil, r.w.now) }))
	}
}

// Merge is part of choice.Port.
func (r *router) Merge(q *choice.Query, whole bool) {
	f := capture.Partial
	if whole {
		f = capture.Whole
	}
	r.final(r.queries[q], f, 0)
}

// Reject is part of choice.Port.
func (r *router) Reject(q *choice.Query, holdOff choice.Time) {
	r.final(r.queries[q], capture.Rejected, holdOff)
}

// Abort is part of choice.Port.
func (r *router) Abort(q *choice.Query) { r.final(r.queries[q], capture.Aborted, 0) }

// Probe is part of choice.Port.
func (r *router) Probe(l *choice.Leaf) { r.probe(r.numbers[l], nil) }

// probe asks a leaf for its load.
func (r *router) probe(n int, then func(choice.Outcome, *choice.Report, choice.Time)) {
	w, l, ended := r.w, r.w.leaves[n], false
	w.r.probed(r)
	told := func(o choice.Outcome, rep *choice.Report, at choice.Time) {
		if ended {
			return
		}
		ended = true
		if rep != nil {
			r.reports[n] = max(r.reports[n], at)
		}
		r.root.Probed(w.now, r.leaves[n], o, rep)
		if then != nil {
			then(o, rep, at)
		}
		r.wake()
	}
	w.at(w.now+connectLimit, r.mine(func() { told(choice.TimedOut, nil, w.now) }))
	w.at(w.now+w.link(r.node.Zone, l.f.Zone), func() {
		o, rep, at := choice.NoConnection, (*choice.Report)(nil), w.now
		if l.up {
			o, rep = choice.OK, l.report()
		}
		w.at(w.now+w.link(l.f.Zone, r.node.Zone), r.mine(func() { told(o, rep, at) }))
	})
}

// Watch is part of choice.Port: the list is told without being asked.
func (r *router) Watch() {}

// Wake is part of choice.Port; the latest request stands.
func (r *router) Wake(at choice.Time) {
	r.wakeAt = at
	r.w.at(at, r.mine(func() {
		if r.wakeAt == at {
			r.root.Awake(r.w.now)
			r.wake()
		}
	}))
}

// ---- duties that the routers share ----

func (r *router) share() {
	w := r.w
	r.byDuty = map[*duty.Duty]int{}
	r.duties = duty.New(duty.Settings{Seat: r.n, Size: len(w.routers), Skew: sharedSkew, Lease: sharedLease, Beat: sharedBeat,
		Seed: w.o.Seed}, (*sharer)(r), duty.Time(w.now))
	for _, l := range w.leaves {
		r.dutyOf(l)
	}
	r.dutyWake()
}

// dutyOf follows the list.
func (r *router) dutyOf(l *leaf) {
	if l.said == choice.Ready {
		r.byDuty[r.duties.Add(duty.Time(r.w.now), l.f.Name, duty.Time(r.w.o.Shared))] = l.n
	} else {
		r.duties.Remove(duty.Time(r.w.now), l.f.Name)
	}
}

func (r *router) dutyWake() {
	at := max(choice.Time(r.duties.Next()), r.w.now+1)
	r.w.at(at, r.mine(func() {
		r.duties.Awake(duty.Time(r.w.now))
		r.dutyWake()
	}))
}

// sharer is the router as the port of its duties.
type sharer router

func (s *sharer) r() *router { return (*router)(s) }

// Send is part of duty.Port.
func (s *sharer) Send(seat int, m *duty.Message) {
	r, to := s.r(), s.w.routers[seat]
	r.w.r.messages++
	r.w.at(r.w.now+r.w.link(r.node.Zone, to.node.Zone), func() {
		if to.root != nil && to.duties != nil {
			to.duties.Hear(duty.Time(to.w.now), m)
		}
	})
}

// Broadcast is part of duty.Port.
func (s *sharer) Broadcast(m *duty.Message) {
	for i := range s.w.routers {
		if i != s.n {
			s.Send(i, m)
		}
	}
}

// Perform is part of duty.Port.
func (s *sharer) Perform(d *duty.Duty, k int64, why duty.Why) {
	r := s.r()
	r.probe(s.byDuty[d], func(o choice.Outcome, rep *choice.Report, at choice.Time) {
		found := []byte{byte(o)}
		if rep != nil {
			for _, x := range rep.Value[:choice.ServiceTime+1] {
				found = append(found, byte(int(x*100)>>16), byte(int(x*100)>>8), byte(int(x*100)))
			}
		}
		r.duties.Performed(duty.Time(r.w.now), d, k, why, found)
	})
}

// Heard is part of duty.Port.
func (s *sharer) Heard(d *duty.Duty, seat int, at duty.Time, result []byte) {
	r, n := s.r(), s.byDuty[d]
	var rep *choice.Report
	if len(result) > 1 {
		rep = new(choice.Report)
		for _, m := range []choice.Measure{choice.Active, choice.Waiting, choice.ServiceTime} {
			b := result[1+3*int(m):]
			rep.Set(m, float64(int(b[0])<<16|int(b[1])<<8|int(b[2]))/100)
		}
		r.reports[n] = max(r.reports[n], choice.Time(at))
	}
	r.root.Heard(r.w.now, r.leaves[n], seat, choice.Outcome(result[0]), rep, r.w.now-choice.Time(at))
}

// Note is part of duty.Port.
func (s *sharer) Note(duty.Note) {}
