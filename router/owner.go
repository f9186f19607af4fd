package router

// owner.go owns the module and all that is kept beside it: queries, parts, calls and their times. One
// goroutine runs it; socket code reaches it through the queue alone. It must never wait for a socket, and
// must never hand the module anything but from within a turn.

import (
	"container/heap"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"moleshift/capture"
	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/limits"
	"moleshift/rights"
	"moleshift/shardmap"
)

// event is something that the owner is told.
type event func(*owner)

const queueLength = 1024 // events; who has more to tell waits

type owner struct {
	cfg   *config.Config
	clk   clock
	dial  dialer
	phase *life
	log   zerolog.Logger
	group *errgroup.Group
	ctx   context.Context // of the program: sockets end with it
	stop  func()
	queue chan event
	door  *door
	gate  *gate
	list  *list

	sharing   *sharing       // nil unless instances know one another
	recording *recording     // nil unless what is served is recorded
	ranging   *ranging       // nil unless shards are ranges of a map that changes
	holding   *subsetting    // nil unless a part of the leaves is held only
	rights    *rights.Driver // nil unless there are rights that one instance holds
	searching *searching     // nil unless searches are taken in the form of OpenSearch

	root    *choice.Root
	now     choice.Time // of this turn
	wake    choice.Time // that the module asked for
	dues    dues
	later   []event // for the next turn
	queries map[string]*query
	ids     map[*choice.Query]*query
	parts   map[*choice.Part]*part
	calls   map[*choice.LeafCall]*call
	leaves  map[string]*leaf // by instanceId
	listed  []*leaf          // the same, in the order in which they were first listed
	doors   map[*choice.Leaf]*leaf
	zones   map[string]int
	sending []*leaf // have calls that this turn has made
	open    int     // queries and parts held
	conns   int     // connections to leaves

	keepUntil choice.Time // once draining: connections of clients are kept until then
}

// query is one query that was taken and has had no final answer.
type query struct {
	id    string
	q     *choice.Query
	text  []byte
	parts []*part
	from  *caller
	taken choice.Time

	hold     *limits.Hold
	recorded bool
	key      uint64 // a hash of what it is about, where it is recorded
}

type part struct {
	id    string
	p     *choice.Part
	query *query
	in    bool
	value []byte
	over  bool           // its query has ended
	slice int            // that the client named
	span  *shardmap.Span // where shards are ranges: its keys
	keys  string         // the same in words, where they are a part of the slice
	calls []*call        // all that were made
}

// call is one leaf call, until its outcome has been told.
type call struct {
	c     *choice.LeafCall
	part  *part
	leaf  *leaf
	sent  choice.Time
	until choice.Time
	frame *frame // nil until the turn's end
	ended bool

	withdrawn bool        // taken back before a byte of it was written; under its connection's lock
	givenUp   atomic.Bool // nobody waits for it any longer, though it may have been written

	outcome choice.Outcome // once it has ended
	took    choice.Time
}

// due is something to be done at a time.
type due struct {
	at choice.Time
	do event
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = due{}
	*d = (*d)[:len(*d)-1]
	return last
}

func newOwner(ctx context.Context, cfg *config.Config, dial dialer, phase *life, log zerolog.Logger,
	group *errgroup.Group, stop func()) *owner {
	clk := clock{time.Now()}
	o := &owner{cfg: cfg, clk: clk, dial: dial, phase: phase, log: log, group: group, ctx: ctx, stop: stop,
		queue: make(chan event, queueLength), now: clk.now(), queries: map[string]*query{},
		ids: map[*choice.Query]*query{}, parts: map[*choice.Part]*part{}, calls: map[*choice.LeafCall]*call{},
		leaves: map[string]*leaf{}, doors: map[*choice.Leaf]*leaf{},
		zones: numbers(cfg.Settings.Zones)}
	o.gate = newGate(cfg, clk, log)
	o.list = newList(cfg, o, log)
	o.root = choice.NewRoot(moduleOf(cfg), o, o.now)
	o.news(cfg.Known, true)
	o.tend()
	if cfg.More.Memory.Enabled {
		o.at(o.now+tenths(gateEvery), (*owner).count)
	}
	return o
}

// moduleOf is what the module is told. Where shards are ranges of a map it knows them by numbers that are given out as they are
// needed.
func moduleOf(cfg *config.Config) *choice.Settings {
	if !cfg.More.Shards.Enabled {
		return cfg.Settings.Module
	}
	set := *cfg.Settings.Module
	set.Shards = shardmap.MostSpans()
	return &set
}

// post tells the owner something. It waits while the queue is full, so only socket code may call it.
func (o *owner) post(ctx context.Context, e event) {
	select {
	case o.queue <- e:
	case <-ctx.Done():
	}
}

// at has something done at a time.
func (o *owner) at(t choice.Time, do event) { heap.Push(&o.dues, due{t, do}) }

// run takes turns until the program ends.
func (o *owner) run(ctx context.Context) error {
	// What the agent has counts as told from the first moment: ready is who has heard it, or can't for now.
	o.at(o.now+tenths(o.cfg.Settings.ConnectTimeout), (*owner).ready)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var told []event
	for {
		if len(o.later) > 0 {
			timer.Reset(0)
		} else {
			timer.Reset(max(o.clk.until(o.next()), 0))
		}
		told = told[:0]
		select {
		case <-ctx.Done():
			return nil
		case e := <-o.queue:
			told = append(told, e)
		case <-timer.C:
		}
		// A turn that is late by more than a tick comes after a pause. What sockets hold by now is then given a
		// tick to be read, as an answer that has come is an answer, whatever has become due meanwhile.
		if tick := o.cfg.Settings.Module.Tick; o.clk.now()-o.next() > tick {
			told = o.gather(told, duration(tick))
		}
		for range len(o.queue) {
			told = append(told, <-o.queue)
		}
		o.turn(told)
		if o.phase.now() == Closing && len(o.queries) == 0 && o.door.empty() && (o.searching == nil || o.searching.ended.Load()) {
			o.stop()
			return nil
		}
	}
}

// gather takes what is told within a time.
func (o *owner) gather(told []event, within time.Duration) []event {
	end := time.NewTimer(within)
	defer end.Stop()
	for {
		select {
		case e := <-o.queue:
			told = append(told, e)
		case <-end.C:
			return told
		}
	}
}

// next is when something is due.
func (o *owner) next() choice.Time {
	next := o.wake
	if len(o.dues) > 0 {
		next = min(next, o.dues[0].at)
	}
	if o.sharing != nil {
		next = min(next, o.sharing.next())
	}
	return next
}

// turn takes all that was told, at one reading of the clock: what came first, then what became due, then
// out goes what the module said.
func (o *owner) turn(told []event) {
	o.now = max(o.clk.now(), o.now)
	told = append(told, o.later...)
	o.later = nil
	for _, e := range told {
		e(o)
	}
	for len(o.dues) > 0 && o.dues[0].at <= o.now {
		heap.Pop(&o.dues).(due).do(o)
	}
	if o.wake <= o.now {
		o.root.Awake(o.now)
	}
	if o.sharing != nil {
		o.sharing.turn()
	}
	for _, l := range o.sending {
		l.flush(o)
	}
	o.sending = o.sending[:0]
}

// take takes a query that a client has sent.
func (o *owner) take(a *asked) {
	if o.queries[a.id] != nil { // the sender's error, and no refusal: it says nothing of the query that is open
		a.from.answer(reply{status: http.StatusConflict, text: "X-Trace-Id: open already", closes: true})
		return
	}
	most := o.cfg.Settings.OpenCap
	if most > 0 && o.open+1+len(a.body.Parts) > most {
		a.from.answer(reply{status: refusedStatus})
		return
	}
	hold, retry := o.gate.query(o.now, a.vertical, len(a.body.Text), len(a.body.Parts))
	if hold == nil {
		a.from.answer(reply{status: refusedStatus, holdOff: duration(retry)})
		return
	}
	q := &query{id: a.id, text: a.body.Text, from: a.from, taken: o.now, hold: hold,
		q: &choice.Query{Deadline: a.deadline, Vertical: a.vertical, Tenant: a.tenant}}
	if o.recording != nil && o.recording.rec.Wants() {
		q.recorded, q.key = true, o.recording.rec.Key(a.key)
	}
	var parts []*choice.Part
	if o.ranging != nil {
		held, ok := o.ranging.parts(q, a.body.Parts)
		if !ok {
			o.gate.done(hold)
			a.from.answer(reply{status: refusedStatus, holdOff: o.cfg.More.Shards.Retry})
			return
		}
		q.parts = held
	}
	for _, p := range a.body.Parts {
		if o.ranging == nil {
			q.parts = append(q.parts, &part{id: a.id + "." + strconv.Itoa(p.Shard), query: q, slice: p.Shard,
				p: &choice.Part{Shard: p.Shard, Weight: p.Weight, Hint: p.Hint / 1000}})
		}
	}
	for _, held := range q.parts {
		parts = append(parts, held.p)
		o.parts[held.p] = held
	}
	o.queries[q.id], o.ids[q.q] = q, q
	a.from.query, a.from.hold = q, hold
	o.open += 1 + len(q.parts)
	o.root.Take(o.now, q.q, parts)
}

// leave: a caller has gone. Whoever finds it gone before the owner is told may say so too.
func (o *owner) leave(c *caller) {
	if q := c.query; q != nil {
		o.root.Leave(o.now, q.q)
		o.record(q, capture.Left)
		o.release(q)
	}
	o.gate.done(c.hold)
}

// count has the books count what they are not told of, for as long as memory is looked after.
func (o *owner) count() {
	o.gate.watch(o)
	if o.cfg.More.Memory.Enabled {
		o.at(o.now+tenths(gateEvery), (*owner).count)
	}
}

// release lets a query go. Calls of its parts that are still out go on by themselves.
func (o *owner) release(q *query) {
	if o.queries[q.id] != q {
		return
	}
	delete(o.queries, q.id)
	delete(o.ids, q.q)
	for _, p := range q.parts {
		p.over, p.value = true, nil
		if p.span != nil {
			o.ranging.spans.Done(p.span)
		}
		delete(o.parts, p.p)
		for _, k := range p.calls { // no part of it is sent after its answer, though it waits for a connection
			if !k.ended && k.frame != nil && k.frame.conn.withdraw(k) {
				o.endLater(k, choice.Moot)
			}
		}
	}
	o.open -= 1 + len(q.parts)
	o.gate.over(q.hold)
	q.from.query = nil
}

// end tells the outcome of a call, once.
func (o *owner) end(c *call, outcome choice.Outcome, rep *choice.Report, value []byte) {
	if c.ended {
		return
	}
	c.ended, c.outcome, c.took = true, outcome, o.now-c.sent
	delete(o.calls, c.c)
	if c.frame != nil {
		c.frame.conn.ended(c)
		c.frame = nil // or what is left of a connection would hold all that others carried since
	}
	p := c.part
	if outcome == choice.OK && !p.over && !p.in {
		if o.gate.value(p.query.hold, len(value)) {
			p.in, p.value = true, value
		} else { // it has run, and what it said is lost; the leaf is not to be blamed for that
			outcome = choice.Cancelled
			o.log.Warn().Str("part", p.id).Str("leaf", c.leaf.id).Int("bytes", len(value)).Msg("no room for a value")
		}
	}
	o.log.Debug().Str("part", p.id).Str("leaf", c.leaf.id).Int("outcome", int(outcome)).
		Int64("tenths", int64(o.now-c.sent)).Msg("call ended")
	o.root.Outcome(o.now, c.c, outcome, o.now-c.sent, p.in || p.over, rep)
}

// endLater tells the outcome of a call in the next turn, unless another comes first.
func (o *owner) endLater(c *call, outcome choice.Outcome) {
	o.later = append(o.later, func(o *owner) { o.end(c, outcome, nil, nil) })
}

// expire: nobody waits for a call any longer.
func (o *owner) expire(c *call) {
	if c.ended {
		return
	}
	outcome := choice.TimedOut
	if c.frame != nil {
		outcome = c.frame.conn.giveUp(o, c, outcome)
	}
	o.end(c, outcome, nil, nil)
}

// What follows is the root's port.

// Call starts a leaf call. It goes out at the end of the turn, with the others to that leaf.
func (o *owner) Call(c *choice.LeafCall, timeout choice.Time) {
	p, l := o.parts[c.Part], o.doors[c.Leaf]
	k := &call{c: c, part: p, leaf: l, sent: o.now}
	o.calls[c] = k
	if p == nil || len(p.calls) >= o.cfg.Settings.Module.MaxCalls { // never sent
		k.part = &part{over: true}
		o.endLater(k, choice.Moot)
		return
	}
	p.calls = append(p.calls, k)
	k.until = p.query.q.Deadline
	if timeout != 0 {
		k.until = min(k.until, o.now+timeout)
	}
	if k.until <= o.now {
		o.endLater(k, choice.TimedOut)
		return
	}
	o.at(k.until, func(o *owner) { o.expire(k) })
	if len(l.sends) == 0 {
		o.sending = append(o.sending, l)
	}
	l.sends = append(l.sends, k)
}

// Cancel gives a call up. Its outcome comes in the next turn, unless another is already on its way.
func (o *owner) Cancel(c *choice.LeafCall) {
	k := o.calls[c]
	if k == nil {
		return
	}
	o.later = append(o.later, func(o *owner) {
		if !k.ended {
			if k.frame != nil {
				k.frame.conn.giveUp(o, k, choice.Cancelled)
			}
			o.end(k, choice.Cancelled, nil, nil)
		}
	})
}

// Merge answers with the parts that are in.
func (o *owner) Merge(q *choice.Query, whole bool) {
	held := o.ids[q]
	var rows []codec.Row
	for _, p := range held.parts {
		if p.in {
			rows = append(rows, codec.Row{Shard: p.slice, Keys: p.keys, Value: p.value})
		}
	}
	o.final(held, reply{status: servedStatus, whole: whole, rows: rows})
}

// Reject turns the query away.
func (o *owner) Reject(q *choice.Query, holdOff choice.Time) {
	o.final(o.ids[q], reply{status: refusedStatus, holdOff: duration(holdOff)})
}

// Abort gives the query up.
func (o *owner) Abort(q *choice.Query) { o.final(o.ids[q], reply{status: failedStatus}) }

func (o *owner) final(q *query, r reply) {
	r.closes = o.phase.now() > Serving && o.now >= o.keepUntil
	o.log.Debug().Str("query", q.id).Int("vertical", q.q.Vertical).Int("parts", len(q.parts)).Int("status", r.status).
		Bool("whole", r.whole).Int64("tenths", int64(o.now-q.taken)).Msg("query answered")
	from := q.from
	o.record(q, r.final())
	r.hold = q.hold
	if r.status != servedStatus && o.rights != nil {
		o.rights.Suffers()
	}
	if r.status == servedStatus && from.place != nil {
		o.gate.answered(from.place, q.q.Tenant)
	}
	o.release(q)
	from.answer(r)
}

// Probe probes a leaf.
func (o *owner) Probe(l *choice.Leaf) {
	letter := byte(codec.LetterProbe)
	if o.cfg.Settings.Module.ProbeReports {
		letter = codec.LetterLoad
	}
	o.doors[l].probe(o, letter, nil)
}

// Watch asks for the list and its changes.
func (o *owner) Watch() { o.list.ask() }

// Wake asks for a call of Awake; the latest request stands.
func (o *owner) Wake(at choice.Time) { o.wake = at }

// reload takes over what may change while the program runs, each through the door of whom it concerns.
func (o *owner) reload(to *config.Config) {
	cfg, taken, fixed := o.cfg.Reloaded(to)
	o.cfg = cfg
	zerolog.SetGlobalLevel(cfg.Log)
	limit(cfg.Limits)
	counted := o.gate.more.Memory.Enabled
	o.gate.change(cfg)
	if cfg.More.Memory.Enabled && !counted {
		o.count()
	}
	o.list.move(cfg.Discovery)
	if o.sharing != nil {
		o.sharing.reload()
	}
	if o.rights != nil {
		o.reloadRights()
	}
	o.log.Info().Strs("taken", taken).Msg("configuration read anew")
	if len(fixed) > 0 {
		o.log.Warn().Strs("keys", fixed).Msg("changed, but taken over at the next start only")
	}
}

// ready has the front hand out connections to this router.
func (o *owner) ready() { o.phase.move(Serving) }

// drain begins the end: what comes within the stated time is still taken.
func (o *owner) drain() {
	if o.phase.now() >= Draining {
		return
	}
	o.phase.move(Draining)
	if o.rights != nil { // it needs the others until all is handed on
		o.group.Go(func() error {
			o.rights.Leave()
			select {
			case <-o.rights.Ended():
			case <-o.ctx.Done():
			}
			o.post(o.ctx, func(o *owner) { o.sharing.leave() })
			return nil
		})
	} else if o.sharing != nil {
		o.sharing.leave()
	}
	o.keepUntil = o.now + tenths(o.cfg.KeepFor)
	o.at(o.now+tenths(o.cfg.DrainFor), func(o *owner) {
		o.phase.move(Closing)
		o.door.close()
		if o.searching != nil {
			o.searching.drain()
		}
	})
}
