// Package choice holds every decision of a root: which replica gets a part, when to call again, when to
// answer, what to turn away, whom to trust. Package router (on sockets) or wire (in the simulator) calls the
// methods of Root, one at a time, with all that one instance is told; Root acts through Port. Both sides
// of that door, Settings and Port, are defined in interface.go; state.go holds what a root keeps. Nothing
// here is shared between roots.
//
// The rule throughout is least marginal load first: a part of work D goes to the replica of least D*(Q+D/2).
// All that departs from it does so through Q, through D, or through the set of candidates; docs/design.md
// lists the departures and when each acts.
package choice

import (
	"math"
	"slices"
)

const (
	gain       = 0.1               // weight of a new sample in running means; scale-free
	lateBy     = 5                 // mean deviations past the mean at which a call is overdue, after RFC 6298
	soonest    = 1                 // the same while many calls are lost
	copyShare  = 0.1               // second copies for each first call, whatever the budget: they add load
	copiesMost = 10                // when there is least room; and how many are saved up for a sudden stall
	copiesFew  = 2                 // saved up by a root that is blind: of hundreds, more is a storm
	rounds     = 3                 // of calls to all leaves for which evidence on one holds
	linkWorse  = 3                 // times slower than the best zone at which the link is at fault
	slowLeaf   = 2.5               // times its peers' service time at which a leaf is slow, not its work
	mostSlow   = 20                // of a single sample of a tempo
	linkHold   = 4.0               // horizons for which evidence on a link holds
	medianStep = 0.15              // by which the logarithm of a running median moves
	probeShare = 0.25              // probes for each part where nothing waits: they have a price
	probesMost = 1.25              // and where much does: enough for all replicas, as neighbours share them
	hearLeast  = 0.5               // of the time for which a report is fresh: hearsay may replace older ones
	probesKept = 40                // saved up for a query with many parts
	askTicks   = 4                 // that a query waits for probes
	sweepEvery = 200 * Millisecond // periodic work; a few times within SLO times that make sense for a person

	memory     = 32        // how many of the last calls or queries are looked at
	easy, hard = 0.35, 0.7 // of the shortest SLO time: the least useful queries, and all, are turned away
	coldPart   = 0.75      // of what a cold leaf could bear: the rest is for chance and for rough hints
	mostStruck = 5         // strikes that count: shunned for up to 2^4 times two call times, then tried
	overShare  = 1.2       // of its allowance that a tenant may send: one root's view of that is rough
	busiest    = 0.8       // utilisation above which a report says no more than that cores are busy
	enough     = 0.5       // portion of the utility for which late answers are worth beginning work
	never      = Time(math.MaxInt64)
	epsilon    = 1e-4 // weights are sums of rounded shares
)

// worthWaiting: does a late answer earn enough that work may be begun for it?
func (v *Vertical) worthWaiting() bool { return v.LateUtility >= enough }

// mayHaveRun: anything not proved otherwise may have run, or may do so yet.
func (c *LeafCall) mayHaveRun() bool {
	return !c.ended || c.outcome != Full && c.outcome != NoConnection && c.outcome != Refused && c.outcome != Moot
}

// trust is the record that counts for a vertical: its own, or the leaf's in all if that is worse, but not
// where the vertical has been answered since. So a leaf that fails one vertical is lost to that one only,
// and answers to others do not clear it.
func (l *Leaf) trust(v int) *trust {
	all, own := &l.trusts[0], &l.trusts[v+1]
	if own.strikes >= all.strikes || own.lastOK > all.lastBad {
		return own
	}
	return all
}

// both are the records that a vertical's calls go into.
func (l *Leaf) both(v int) []*trust { return []*trust{&l.trusts[0], &l.trusts[v+1]} }

// NewRoot starts an instance that knows nothing but its settings.
func NewRoot(s *Settings, port Port, now Time) *Root {
	r := &Root{set: s, port: port, now: now, started: now, holders: make([][]*Leaf, s.Shards),
		rates: make([]float64, max(len(s.Tenants), 1)), ratesAt: now, sweep: now, askAt: never,
		tight: never, copies: copiesMost, common: 1}
	for _, v := range s.Verticals {
		r.horizon, r.tight = max(r.horizon, v.SLO), min(r.tight, v.SLO)
	}
	if s.AskForList {
		r.watch()
	}
	r.arm()
	return r
}

// ---- the ordinary path ----

// enter notes the time. A root that stood still finds all that came meanwhile in one turn, in any order:
// what it is told in that turn took longer for its own sake, and verdicts wait for the answers.
func (r *Root) enter(now Time) {
	if now-r.now > 2*sweepEvery {
		r.resumed = now
	}
	r.now = now
}

// paused: this is the turn in which the root found that it had stood still.
func (r *Root) paused() bool { return r.resumed == r.now }

// Take takes a query with its parts.
func (r *Root) Take(now Time, q *Query, parts []*Part) {
	r.enter(now)
	q.v = &r.set.Verticals[q.Vertical]
	q.Parts, q.need, q.floor = parts, q.v.Need, q.v.Floor
	work := 0.0
	for _, p := range parts {
		p.query = q
		work += r.work(p)
	}
	q.slo = min(now+q.v.SLO+Time(q.v.SLOStretch*work*float64(Millisecond)), now+q.v.Deadline) - 2*r.set.Tick
	r.count(q, work)
	if !r.admit(q, work) {
		r.move(q, rejected)
		return
	}
	r.at(q.slo, q, nil)
	r.at(r.last(q), q, nil)
	r.move(q, asking)
	r.settle(q)
	r.arm()
}

// ask probes the leaves that a query may go to, where reports come no other way. A report counts as fresh for
// the horizon where the root's own calls tell of the rest, for less the fewer it makes to each leaf.
func (r *Root) ask(q *Query) {
	if !r.set.MayProbe || !r.set.ProbeReports {
		return
	}
	fresh := r.fresh()
	for _, p := range q.Parts {
		r.probes = min(r.probes+min(probeShare+2*r.usual/r.unit, probesMost), probesKept)
		for _, l := range r.holders[p.Shard] {
			if l.ready() && !l.probing && r.now >= l.reportAt+fresh && r.probes >= 1 {
				r.probes--
				l.probing = true
				r.port.Probe(l)
				l.awaited = append(l.awaited, q)
				q.asked++
			}
		}
	}
	if q.asked > 0 {
		q.askedUntil = min(r.now+askTicks*r.set.Tick, r.last(q))
		r.at(q.askedUntil, q, nil)
	}
}

// fresh is how long a report may be used before a leaf is asked anew.
func (r *Root) fresh() Time {
	horizon := float64(r.horizon)
	return Time(max(horizon*min(horizon/max(r.round(), 1), 1), 2*r.alone(r.unit)))
}

// settle brings a query as far as it can go now. On the ordinary path that is: score every part, send the
// cheapest ones that make a whole answer, each to its best replica; and when they are in, merge.
func (r *Root) settle(q *Query) {
	if q.state == asking && (q.asked == 0 || r.now >= q.askedUntil) {
		r.move(q, gathering)
	}
	if q.state == betweenSteps && r.now >= r.last(q) {
		r.move(q, aborted)
	}
	if q.state != gathering {
		return
	}
	in, coming, possible := q.in(), 0.0, 0.0
	for _, p := range q.Parts {
		switch {
		case p.in:
		case r.awaited(p):
			coming += p.Weight
		case p.pending() || r.hope(p):
			possible += p.Weight
		}
	}
	if in >= q.need-epsilon {
		r.move(q, merged)
		return
	}
	if r.now >= r.last(q) || r.now >= q.slo && q.v.LateUtility == 0 || in+coming+possible < q.need-epsilon {
		r.giveUp(q)
		return
	}
	if r.now >= q.slo && in >= q.floor-epsilon && q.v.PartialEarns*in/q.need > q.v.LateUtility {
		r.move(q, merged)
		return
	}
	for in+coming < q.need-epsilon {
		var part *Part
		var leaf *Leaf
		least, ties := worst, uint64(0)
		for _, p := range q.Parts {
			if p.in || r.awaited(p) {
				continue
			}
			if l, s := r.best(p); l != nil && r.beats(s, least, &ties) {
				part, leaf, least = p, l, s
			}
		}
		if part == nil { // barred for now: budget, cold servers, earlier calls still out
			if q.retryAt <= r.now {
				q.retryAt = r.now + sweepEvery
				r.at(q.retryAt, q, nil)
			}
			return
		}
		r.call(part, leaf)
		coming += part.Weight
	}
}

// score is a marginal load. Candidates of a lower standing go first, whatever their load; on the ordinary
// path all have standing 0.
type score struct {
	standing int
	load     float64
}

var worst = score{math.MaxInt, math.Inf(1)}

// beats tells whether a score is the least so far; ties are settled by a random draw.
func (r *Root) beats(s, least score, ties *uint64) bool {
	if s.standing != least.standing || s.load != least.load {
		*ties = 1
		return s.standing < least.standing || s.standing == least.standing && s.load < least.load
	}
	*ties++
	return r.draw()%*ties == 0
}

// best is the replica of least marginal load for a part among those it may go to, with the score.
func (r *Root) best(p *Part) (*Leaf, score) {
	var leaf *Leaf
	least, ties := worst, uint64(0)
	for _, l := range r.holders[p.Shard] {
		if !r.may(p, l) {
			continue
		}
		d := r.load(p, l)
		s := score{r.standing(p, l), d * (r.queue(l) + r.away(l) + d/2) * r.slowness(l, p.query.Vertical)}
		if r.beats(s, least, &ties) {
			leaf, least = l, s
		}
	}
	return leaf, least
}

// away is what a crossing of zones adds to Q. It costs a portion of the utility; a wait is thought to cost that
// where it takes up the same portion of the shortest SLO time. So a leaf nearby is taken unless it is that much
// busier.
func (r *Root) away(l *Leaf) float64 {
	if l.zone == r.set.Zone || r.set.CrossZone == 0 {
		return 0
	}
	return r.set.CrossZone * float64(r.tight) / max(r.pace, epsilon)
}

// alone is the time that work of d takes at a leaf with nothing else to do. 2: a server works on several
// parts at once, so the first ones hardly wait.
func (r *Root) alone(d float64) float64 { return r.pace * 2 * d }

// work is D.
func (r *Root) work(p *Part) float64 {
	if p.Hint > 0 {
		return p.Hint
	}
	return 1
}

// load is D at a leaf: what a call costs beside its parts is saved by a part that joins one of this turn.
func (r *Root) load(p *Part, l *Leaf) float64 {
	if p.Hint <= 0 || l.turn == r.now && l.joined < r.set.Batch { // without hints D is in no unit of time
		return r.work(p)
	}
	return p.Hint + r.set.Overhead
}

// call is the one way to a leaf; may has been asked.
func (r *Root) call(p *Part, l *Leaf) {
	d := r.load(p, l)
	c := &LeafCall{Part: p, Leaf: l, sent: r.now, d: d, reports: l.reports, crowd: r.crowd(),
		ahead: r.queue(l) + 2*d} // see alone
	if len(p.calls) == 0 {
		seen := 1 - r.blind()
		// A query whose parts are all needed is lost with one of them: what is saved up suffices for its size.
		most := max(copiesMost*seen, copiesFew, (copyShare+r.lost)*float64(len(p.query.Parts)))
		r.copies = min(r.copies+copyShare+r.lost*seen, most)
	} else if r.further = append(r.further, amount{r.now, 1}); p.pending() {
		r.copies--
	}
	r.calls++
	p.calls = append(p.calls, c)
	l.out = append(l.out, c)
	r.out++
	if l.turn != r.now {
		l.turn, l.joined = r.now, 0
	}
	l.joined++
	l.own += d
	l.since += d
	if r.set.FallTime > 0 { // a warm leaf's too: it may have started anew, and the list is yet to tell
		recent(&l.sent, r.now-r.set.FallTime-r.set.Tick)
		l.sent = append(l.sent, amount{r.now, d})
	}
	until := r.last(p.query)
	if !p.query.v.worthWaiting() {
		until = min(until, p.query.slo+Time(1.5*r.alone(max(d-r.unit, 0))))
	}
	r.port.Call(c, until-r.now)
	c.half = never
	if r.set.SecondCopies && r.pace > 0 {
		c.half = r.now + max(r.after(c, soonest), (p.query.slo-r.now)/2) // half of its time: a copy still fits
		r.at(c.half, p.query, nil)
	}
	r.at(r.now+r.patience(c), nil, c)
}

// move is the one way from state to state.
func (r *Root) move(q *Query, to state) {
	if to == merged {
		whole := q.in() >= q.need-epsilon && !q.partial
		if q.v.SecondStep > 0 && !q.stepped {
			to, q.partial, q.stepped = betweenSteps, !whole, true
		}
		q.state = to
		r.port.Merge(q, whole)
	} else {
		q.state = to
		switch to {
		case asking:
			r.ask(q)
		case rejected:
			r.port.Reject(q, r.holdOff())
		case aborted:
			r.port.Abort(q)
		}
	}
	if !q.Over() {
		return
	}
	for _, p := range q.Parts {
		for _, c := range p.calls {
			r.abandon(c)
		}
	}
}

// giveUp ends a query that cannot become whole in time, at once: with what is in if that is enough.
func (r *Root) giveUp(q *Query) {
	switch in := q.in(); {
	case in >= q.floor-epsilon && in > 0:
		r.move(q, merged)
	case r.harmless(q):
		r.move(q, rejected)
	default:
		r.move(q, aborted)
	}
}

// harmless: may the client be told that asking again does no harm?
func (r *Root) harmless(q *Query) bool {
	if q.v.Effect == Repeatable {
		return true
	}
	ran := func(p *Part) bool { return slices.ContainsFunc(p.calls, (*LeafCall).mayHaveRun) }
	return !q.stepped && !slices.ContainsFunc(q.Parts, ran)
}

// last is when a query must have its final answer: two ticks early, as a wake-up comes up to a tick late.
func (r *Root) last(q *Query) Time { return q.Deadline - 2*r.set.Tick }

// ---- what a part may do ----

// pending: a call is out.
func (p *Part) pending() bool {
	return slices.ContainsFunc(p.calls, func(c *LeafCall) bool { return !c.ended })
}

// awaited: a call is out and there is no reason yet to think it lost, or to ask elsewhere too.
func (r *Root) awaited(p *Part) bool {
	return slices.ContainsFunc(p.calls, func(c *LeafCall) bool {
		return !c.ended && !c.overdue && (r.now < c.half || !p.query.nearlyIn())
	})
}

// nearlyIn: all but a tenth of the query's parts that were asked for are in. So the fleet is not slow as a whole,
// what is out is likely to be lost, and a copy of it is a small part of the query's work.
func (q *Query) nearlyIn() bool {
	out := 0
	for _, p := range q.Parts {
		if !p.in && len(p.calls) > 0 {
			out++
		}
	}
	return float64(out) <= copyShare*float64(len(q.Parts))
}

// hope: some call may be made for the part, now or later.
func (r *Root) hope(p *Part) bool {
	return r.again(p) && slices.ContainsFunc(r.holders[p.Shard], (*Leaf).ready)
}

// again: do the part's earlier calls leave room for one more?
func (r *Root) again(p *Part) bool {
	if p.in || p.over || len(p.calls) >= r.set.MaxCalls || r.now >= p.query.slo && !p.query.v.worthWaiting() {
		return false
	}
	v := p.query.v
	return !slices.ContainsFunc(p.calls, func(c *LeafCall) bool {
		gone := v.Effect == Deduplicated && r.now-c.sent > v.DedupWindow-r.set.Tick
		return c.mayHaveRun() && (v.Effect == SideEffecting || gone)
	})
}

// may guards the rules: every call passes here.
func (r *Root) may(p *Part, l *Leaf) bool {
	if !l.ready() || p.query.state != gathering || r.now >= r.last(p.query) || !r.again(p) {
		return false
	}
	for _, c := range p.calls {
		if !c.ended && (!r.set.SecondCopies || c.Leaf == l) {
			return false
		}
	}
	if p.pending() && r.copies < 1 || len(p.calls) > 0 && (!r.budget() || r.vain(p, l)) {
		return false
	}
	return r.warmEnough(l, r.work(p))
}

// vain: a further call would hardly be back while it is worth something. A root that sees its leaves often
// finds that out by itself; of hundreds that see little each would ask every replica of a jammed set once, and
// so keep it jammed.
func (r *Root) vain(p *Part, l *Leaf) bool {
	until := p.query.slo
	if p.query.v.worthWaiting() {
		until = r.last(p.query)
	}
	return r.blind()*r.expected(l)*(r.queue(l)+2*r.load(p, l)) > float64(until-r.now)
}

// budget: does the window leave room for one further call? Edges are taken the strict way.
func (r *Root) budget() bool {
	if !r.set.BudgetSet {
		return true
	}
	start := r.now - r.set.BudgetWindow
	further, taken := recent(&r.further, start-r.set.Tick), recent(&r.taken, start+r.set.Tick)
	return further+1 <= r.set.BudgetSpare+r.set.BudgetRatio*taken
}

// start is when the leaf's process started, as far as the list or a call that could not connect says. Whatever
// made it so, a leaf that was out of reach and answers again may be cold, and no list may speak of it.
func (l *Leaf) start() Time { return max(l.started, l.unreachedAt) }

// capacity is the least part of its full capacity that a leaf can have by now.
func (r *Root) capacity(l *Leaf) float64 {
	age := r.now - l.start()
	if l.start() == 0 || age >= r.set.ColdTime {
		return 1
	}
	return r.set.ColdShare + (1-r.set.ColdShare)*max(float64(age)/float64(r.set.ColdTime), 0)
}

// warmEnough keeps a cold leaf from being pushed over. What warm leaves answer shows what a leaf can do: a
// cold one may be sent, in any window, the part of this root's share of that which its capacity allows,
// times most of the stated multiple. Summed over the roots that holds however unevenly they are loaded, and a
// flood of calls does not raise it, as only answers count. It is remembered, as all may be cold. A share of
// less than one call becomes the chance of one in a window, so that many roots with little to send do not add
// up; a root that knows no share yet takes one call a window for all roots. A root that started after the
// leaf did waits a window, as its predecessor may have spent all.
func (r *Root) warmEnough(l *Leaf, d float64) bool {
	c := r.capacity(l)
	if c >= 1 || r.set.FallTime == 0 {
		return true
	}
	if l.start() < r.started && r.now < r.started+r.set.FallTime {
		return false
	}
	here := recent(&l.sent, r.now-r.set.FallTime-r.set.Tick)
	share := r.bears * r.set.FallMultiple * c * coldPart
	if l.unreachedAt > l.started { // it need not be cold: a part in each window may show it
		share = max(share, d)
	}
	if here > 0 || share >= d {
		return here+d <= share
	}
	if window := (r.now - l.start()) / r.set.FallTime; window >= l.window {
		l.window, l.lucky = window+1, r.chance() < max(share/d, 1/float64(r.set.Roots))
	}
	return l.lucky
}

// ---- what a leaf is worth ----

// queue is Q. A report fades over the time in which the queue that it tells of drains, or the horizon if that is
// less: what is soon gone is no reason to keep away from a leaf, nor to turn a query away, a second later.
func (r *Root) queue(l *Leaf) float64 {
	span := float64(r.horizon)
	if r.pace > 0 {
		span = min(max(r.pace*(l.reported+2*r.unit), float64(r.set.Tick)), span) // 2: see alone
	}
	return max(r.usual+(l.reported-r.usual)*r.fadeOver(l.reportAt, span)+l.since, l.own)
}

// fade is how much is left of what was learnt at a time: without news a leaf drifts back to what its peers
// are, or one seen at its worst would never be asked again, and never be seen better.
func (r *Root) fade(since Time) float64 { return r.fadeOver(since, float64(r.horizon)) }

func (r *Root) fadeOver(since Time, span float64) float64 {
	return math.Exp(-float64(r.now-since) / span)
}

// slowness is a leaf's tempo with its failures counted in.
func (r *Root) slowness(l *Leaf, v int) float64 { return r.tempo(l) * (1 + l.trust(v).strikes) }

// tempo is a leaf's time for a unit of load against its peers'. A call that stays out shows it as well as
// one that comes back, so a stalled leaf looks slower the longer it is silent.
func (r *Root) tempo(l *Leaf) float64 { return r.against(l, r.common) }

// expected is the time for a unit of load at a leaf that answers. What failures make of the common tempo
// orders leaves; taken for a time it would say that a fleet with a few dead leaves is slow.
func (r *Root) expected(l *Leaf) float64 { return r.pace * r.against(l, 1) }

// against is tempo where a leaf that is not known is thought to have the usual one.
func (r *Root) against(l *Leaf, usual float64) float64 {
	s, link := r.ratio(l.pace, usual), r.way(l)
	if len(l.out) > 0 && r.pace > 0 {
		c := l.out[0]
		s = max(s, float64(r.now-c.sent)/c.ahead/r.pace/link)
	}
	return s * link
}

// standing orders candidates before their score does: sound ones first, then those not trusted; if none is
// better, the least bad is used. A distrusted leaf whose time is up may have one call at a time until it has
// made its failures good.
func (r *Root) standing(p *Part, l *Leaf) int {
	if v := p.query.Vertical; r.shunned(l, v) || l.trust(v).strikes > 0 && p.query.v.Effect == SideEffecting {
		return 1
	}
	return 0
}

// shunned: a struck leaf whose time is not up, or which has its one call out, or of which nothing is heard.
func (r *Root) shunned(l *Leaf, v int) bool {
	t := l.trust(v)
	return t.strikes > 0 && (r.now < t.until || len(l.out) > 0 || r.silent(l))
}

// silent: a leaf was out of reach or let a call go overdue, and has answered nothing since. Where probes are
// allowed one finds out whether it is back, before a part does: a part that is lost costs a further call, and
// those are rationed. Where reports come with probes alone, queries send them anyway.
func (r *Root) silent(l *Leaf) bool {
	return r.set.MayProbe && !r.set.ProbeReports && l.silentAt > max(l.probedAt, l.trusts[0].lastOK)
}

func (r *Root) sound(l *Leaf, v int) bool { return l.ready() && (!r.shunned(l, v) || r.allStruck()) }

// allStruck: when most leaves fail, the cause is not in the leaves.
func (r *Root) allStruck() bool { return 2*r.struck > r.ready }

// strike notes a failure of a leaf, in some of its trusts.
func (r *Root) strike(l *Leaf, cost float64, in ...*trust) {
	r.learnLink(l, math.Inf(1))
	if r.way(l) > 1 {
		return
	}
	r.noteCall(l, cost)
	if l.trusts[0].strikes == 0 {
		r.struck++
	}
	base := max(2*r.alone(r.unit), float64(sweepEvery/2)) * (0.75 + r.chance()/2)
	for _, t := range in {
		if t.strikes > 0 && t.lastBad == r.now {
			continue // what comes to light in one turn, as calls lost with their connection, is one failure
		}
		t.strikes = min(t.strikes+1, mostStruck)
		t.until, t.lastBad = r.now+Time(base*math.Exp2(t.strikes-1)), r.now
	}
}

// ratio is what is left of a tempo by now; the rest is the usual one.
func (r *Root) ratio(t tempo, usual float64) float64 {
	if t.at == 0 {
		return usual
	}
	return usual + (t.mean-usual)*r.left(t)
}

// left is how much of the evidence on one leaf still holds. Where there are so many leaves that the root
// calls each but rarely, it holds for as long as it takes to come round to one a few times; else for the
// horizon.
func (r *Root) left(t tempo) float64 {
	return r.fadeOver(t.at, max(float64(r.horizon), rounds*r.round()))
}

// round is the time that the root takes to call each leaf once.
func (r *Root) round() float64 {
	return float64(r.now-r.started) * float64(len(r.leaves)) / max(r.calls, 1)
}

// blind is how much of what goes on at the leaves escapes this root: 0 where it calls each of them within a few
// horizons and so sees a queue build up, next to 1 where jams come and go between two of its calls.
func (r *Root) blind() float64 { return 1 - min(rounds*float64(r.horizon)/max(r.round(), 1), 1) }

// note takes a sample of a leaf's tempo.
func (r *Root) note(l *Leaf, x float64) {
	n, mean := l.pace.n*r.left(l.pace)+1, r.ratio(l.pace, r.common)
	l.pace = tempo{mean + max(2*gain, 1/(n+1))*(x-mean), n, r.now}
}

// noteCall takes a sample from a call. What all calls say is what is thought of a leaf that is not known:
// while many fail, one that has answered is the better choice.
func (r *Root) noteCall(l *Leaf, x float64) {
	r.note(l, x)
	r.common += gain / 2 * (x - r.common)
}

// way is how much slower the leaves of a zone are than those of the best one, if more than chance would make
// them: then the link is at fault, or what they share, and none of them. A single zone is the best one.
func (r *Root) way(l *Leaf) float64 {
	least := math.Inf(1)
	for zone := range r.links {
		least = min(least, r.level(zone))
	}
	if worse := r.level(l.zone) - least; math.Exp(worse) > linkWorse {
		return math.Exp(worse)
	}
	return 1
}

// level is the logarithm of a zone's tempo by now. It holds for longer than other evidence: each look at a
// link that is still bad costs a call.
func (r *Root) level(zone int) float64 {
	return r.links[zone].log * r.fadeOver(r.links[zone].at, linkHold*float64(r.horizon))
}

// learnLink moves a zone's running median a step towards a sample. What a struck leaf does is its own fault:
// in a small zone it would be a large part of the evidence.
func (r *Root) learnLink(l *Leaf, x float64) {
	if l.trusts[0].strikes == 0 {
		r.links[l.zone] = link{step(r.level(l.zone), x), r.now}
	}
}

// step moves the logarithm of a running median towards a sample.
func step(level, x float64) float64 {
	if math.Log(x) > level {
		return level + medianStep
	}
	return level - medianStep
}

// learn takes a sample of a leaf's time for a unit of load. Only answers tell of all leaves; a call cut off
// tells of its leaf alone, or lost calls would teach patience.
func (r *Root) learn(l *Leaf, x float64, answered bool) {
	x = max(x, epsilon) // an answer in no time at all must not make the mean 0
	if r.pace == 0 {
		r.pace, r.dev, r.calm = x, x/2, x
	}
	if top := r.pace + 2*lateBy*r.dev; answered {
		r.dev += gain / 4 * (math.Abs(min(x, top)-r.pace) - r.dev)
		r.pace += gain / 4 * (min(x, top) - r.pace)
		r.calm = min(r.pace, r.calm+gain*gain/4*(r.pace-r.calm))
	}
	x = min(x/r.pace, mostSlow)
	r.noteCall(l, x/r.way(l))
	r.learnLink(l, x)
}

// patience is how long a call may take before it counts as overdue.
func (r *Root) patience(c *LeafCall) Time {
	if r.pace == 0 {
		return c.Part.query.v.SLO * 2 / 3 // nothing is known yet
	}
	return r.after(c, r.lateBy())
}

// after is the time that a call takes which is so many mean deviations late.
func (r *Root) after(c *LeafCall, late float64) Time {
	return Time((r.pace*r.way(c.Leaf)+late*r.dev)*c.ahead) + 2*r.set.Tick
}

// lateBy is how many mean deviations past the mean a call is likelier lost than late, times having a tail
// that falls off by e with each: the more calls are lost, the sooner. Never under one: slow is not lost.
func (r *Root) lateBy() float64 {
	return min(max(math.Log(1/max(r.lost, epsilon)-1), soonest), lateBy)
}

// ---- what comes back ----

// Outcome takes the end of a leaf call. It may come after the query's end, or more than once.
func (r *Root) Outcome(now Time, c *LeafCall, o Outcome, elapsed Time, final bool, rep *Report) {
	r.enter(now)
	if c.ended {
		return
	}
	l, p, v := c.Leaf, c.Part, c.Part.query.Vertical
	c.ended, c.outcome = true, o
	l.out = slices.DeleteFunc(l.out, func(o *LeafCall) bool { return o == c })
	r.out--
	took := float64(elapsed) / c.ahead
	// A call cut off has taken at least so long; one turned away by a full queue would have taken too long.
	time := float64(elapsed)
	if o == Full {
		time = float64(p.query.v.SLO)
	}
	if !r.paused() && (o == OK || time > r.pressure()) {
		noteLast(&r.times, amount{now, time / c.crowd}, memory)
	}
	if o == OK || o == Full || o == TimedOut {
		r.testedAt = now
	}
	switch o {
	case OK:
		if !r.paused() {
			r.learn(l, took, true)
		}
		r.done = append(r.done, amount{now, c.d})
		r.lost -= gain / 2 * r.lost
		if l.trusts[0].strikes == 1 {
			r.struck--
		}
		for _, t := range l.both(v) {
			t.strikes, t.lastOK = max(t.strikes-1, 0), now
		}
	case Failed, Reset, NoConnection, Refused: // it costs its time and one more call
		if o == NoConnection || o == Refused {
			l.silentAt = now
		}
		// Only who is refused learns of a start. One that was told keeps its own books.
		if o == Refused && (l.started == 0 || now-l.started >= r.set.ColdTime) {
			l.unreachedAt, l.sent, l.window = now, nil, 0
		}
		r.strike(l, min(1+took/max(r.pace, epsilon), mostStruck), l.both(v)...)
	case Full:
		r.strike(l, mostStruck, l.both(v)...)
	case TimedOut, Cancelled:
		if r.paused() {
			break
		}
		if c.overdue {
			r.lost += gain / 2 * (1 - r.lost)
		}
		if r.pace > 0 && took > r.pace*max(r.ratio(l.pace, r.common), 1)*r.way(l) { // at least that long
			r.learn(l, took, false)
		}
	}
	r.release(c)
	if rep != nil {
		r.report(l, rep)
	}
	if o == OK && !p.query.Over() && !p.over {
		p.in = true
		for _, other := range p.calls {
			r.abandon(other)
		}
	}
	if final && o != OK {
		p.over = true
	}
	r.settle(p.query)
	r.arm()
}

// release takes a call out of its leaf's sums.
func (r *Root) release(c *LeafCall) {
	l := c.Leaf
	l.own = max(l.own-c.d, 0)
	if c.reports == l.reports {
		l.since = max(l.since-c.d, 0)
	}
}

// abandon calls off a call that is of no more use.
func (r *Root) abandon(c *LeafCall) {
	if !c.ended && r.set.MayCancel && !c.streamed && !c.calledOff {
		c.calledOff = true
		r.port.Cancel(c)
	}
}

// overdue: a call has had more than its time.
func (r *Root) overdue(c *LeafCall) {
	q, l := c.Part.query, c.Leaf
	if c.ended || c.streamed || c.overdue {
		return
	}
	c.overdue = true
	if t := &l.trusts[q.Vertical+1]; t.lastOK <= c.sent && c.sent >= l.started && r.now >= t.until {
		l.silentAt = r.now
		r.strike(l, mostStruck, l.both(q.Vertical)...)
	}
	if q.Over() {
		return
	}
	// An unsent part can take its place: a first call, for which nothing need be called off.
	spare := slices.ContainsFunc(q.Parts, func(p *Part) bool { return len(p.calls) == 0 && r.hope(p) })
	if !spare && !r.set.SecondCopies && q.v.Effect != SideEffecting && r.again(c.Part) && r.elsewhere(c) {
		// Asking elsewhere gives up what may be nearly done, so it waits as long as a new call still fits.
		if latest := q.slo - Time((r.pace+2*r.dev)*2*c.d); r.now < latest {
			c.overdue = false
			r.at(latest, nil, c)
			return
		}
		r.abandon(c)
	}
	r.settle(q)
}

// elsewhere: is another replica better than waiting for a call?
func (r *Root) elsewhere(c *LeafCall) bool {
	v := c.Part.query.Vertical
	return slices.ContainsFunc(r.holders[c.Part.Shard], func(l *Leaf) bool {
		return l != c.Leaf && r.sound(l, v) && r.slowness(l, v) < r.slowness(c.Leaf, v)
	})
}

// report takes a load report: whatever it holds becomes a queue, as D.
func (r *Root) report(l *Leaf, rep *Report) {
	unit := max(r.unit, 1e-9)
	l.reports++
	l.since, l.reportAt = 0, r.now
	// Against the peers' median, as the least may be next to nothing. 0 is of a leaf that has served nothing.
	slow := 0.0
	if rep.Has[ServiceTime] && rep.Value[ServiceTime] > 0 {
		noteLast(&r.services, amount{r.now, rep.Value[ServiceTime]}, memory)
		slow = rep.Value[ServiceTime] / max(middle(r.services), epsilon)
	}
	switch {
	case rep.Has[Waiting]:
		// 2: as in alone; busy cores hide parts in work that the queue does not tell of.
		l.reported = (rep.Value[Waiting] + 2*min(max(rep.Value[Utilisation], 0), 1)) * unit
	case rep.Has[Active]:
		l.reported = rep.Value[Active] * unit
	case rep.Has[Utilisation]:
		u := min(max(rep.Value[Utilisation], 0), busiest)
		l.reported = u / (1 - u) * unit
	case rep.Has[ServiceTime]:
		l.reported = min(slow, busiest/(1-busiest)) * unit
	default:
		l.reported = 0
	}
	if rep.Has[Waiting] && slow > slowLeaf { // beside the queue; within the limit it is chance
		r.note(l, min(slow, mostSlow))
	}
	// One jammed leaf moves the usual queue no more than a busy one: most have none when a few have many.
	most := busiest / (1 - busiest) * unit
	r.usual += gain / 4 * min(max(l.reported-r.usual, -most), most)
}

// Started: the answer to a call has begun to come; it belongs to the client now.
func (r *Root) Started(now Time, c *LeafCall) { c.streamed = true }

// Leave: the client has gone.
func (r *Root) Leave(now Time, q *Query) {
	r.enter(now)
	if !q.Over() {
		r.move(q, left)
	}
}

// SecondStep takes the parts that the first answer has brought.
func (r *Root) SecondStep(now Time, q *Query, parts []*Part) {
	r.enter(now)
	if q.state != betweenSteps {
		return
	}
	if q.Parts, q.need = parts, 1; q.v.Floor >= q.v.Need {
		q.floor = 1
	}
	for _, p := range parts {
		p.query = q
	}
	r.move(q, gathering)
	r.settle(q)
	r.arm()
}

// Probed takes the outcome of a probe.
func (r *Root) Probed(now Time, l *Leaf, o Outcome, rep *Report) {
	r.enter(now)
	l.probing = false
	if o == OK {
		l.probedAt = now
	}
	if o == OK && rep != nil {
		r.report(l, rep)
	} else if (o == NoConnection || o == Refused || o == TimedOut || o == Reset) && now >= l.trusts[0].until {
		l.silentAt = now
		r.strike(l, mostStruck, &l.trusts[0])
	}
	waiting := l.awaited
	l.awaited = nil
	for _, q := range waiting {
		if q.asked--; q.asked == 0 {
			r.settle(q)
		}
	}
	r.arm()
}

// Heard takes what another instance's probe found, age ago. A report counts as if this root had asked then:
// what it has sent since is added. It is taken only if the root's own news has grown old, how old is drawn:
// all roots hear of a leaf at once, and if all took it, all would send to that leaf at once. Hearsay says at
// most that a leaf has a few parts more than usual, and that it failed only by two instances' word while no
// own call has been answered since: then that is one sample of its tempo, which fades, and no strike. So no
// instance that lies or sees badly condemns a leaf.
func (r *Root) Heard(now Time, l *Leaf, from int, o Outcome, rep *Report, age Time) {
	r.enter(now)
	at := now - max(age, 0)
	if l.condition == Gone || age > r.horizon {
		return
	}
	if o != OK {
		if l.trusts[0].lastOK <= at && l.doubtAt > 0 && l.doubtBy != from && at-l.doubtAt < r.horizon {
			r.note(l, min(2*r.ratio(l.pace, r.common), mostSlow))
			l.doubtAt = 0
			return
		}
		l.doubtBy, l.doubtAt = from, at
		return
	}
	if l.doubtBy == from {
		l.doubtAt = 0
	}
	if rep == nil || at <= l.reportAt+Time(float64(r.fresh())*(hearLeast+(1-hearLeast)*r.chance())) {
		return
	}
	said, most := *rep, r.usual/max(r.unit, 1e-9)+busiest/(1-busiest)
	for _, m := range []Measure{Waiting, Active} {
		said.Value[m] = min(max(said.Value[m], 0), most)
		said.Has[ServiceTime] = said.Has[ServiceTime] && !said.Has[m] // beside a queue it would be a verdict
	}
	r.report(l, &said)
	l.reportAt = at
	for _, c := range l.out {
		if c.sent > at {
			l.since += c.d
			c.reports = l.reports
		}
	}
}

// ---- whom to take in ----

// count keeps the books on what comes in.
func (r *Root) count(q *Query, work float64) {
	r.taken = append(r.taken, amount{r.now, float64(len(q.Parts) + 1)})
	n := float64(len(q.Parts))
	if r.unit == 0 {
		r.unit = work / n
	}
	r.unit += gain / 4 * (work/n - r.unit)
	span := 2 * float64(r.horizon) // tenants' shares change slowly
	for i := range r.rates {
		r.rates[i] *= r.fadeOver(r.ratesAt, span)
	}
	r.rates[q.Tenant] += float64(1000*Millisecond) / span
	r.ratesAt = r.now
}

// admit turns away at once what could not meet its SLO time. What earns less for its work must fit more
// easily, so that under pressure the rest finds room.
func (r *Root) admit(q *Query, work float64) bool {
	u := q.v.Utility
	if !r.set.UtilityByWork {
		u /= work * q.need
	}
	if t := q.Tenant; t < len(r.set.Tenants) && r.set.Tenants[t].PerSecond > 0 &&
		r.rates[t]*float64(r.set.Roots) > overShare*r.set.Tenants[t].PerSecond {
		u *= r.set.OverShareUtility
	}
	noteLast(&r.utilities, u, memory)
	below := 0.0
	for _, o := range r.utilities {
		if o < u {
			below++
		} else if o == u {
			below += r.chance()
		}
	}
	// Impatient clients, who would leave before the SLO time, need answers so much sooner.
	time := float64(min(q.slo-r.now, r.last(q)-r.now, r.tight))
	// The last few calls of a blind root tell of the sets that they met, not of those that this query needs.
	return max(r.pressure()*(1-r.blind()), r.wait(q)) <= time*(easy+(hard-easy)*below/float64(len(r.utilities)))
}

// wait is how long the query's parts would queue, each at its best sound replica: the fleet may have room
// where the few leaves that hold the query's shards have none, or none of them can be trusted now. Such a
// set of leaves is left to recover; work for its queries elsewhere would be in vain. A blind root can't tell a
// queue from a slow leaf and has no newer word of it: the time of the whole call counts then.
func (r *Root) wait(q *Query) float64 {
	var waits []float64
	for _, p := range q.Parts {
		least := math.Inf(1)
		for _, l := range r.holders[p.Shard] {
			if r.sound(l, q.Vertical) && r.warmEnough(l, r.work(p)) {
				least = min(least, r.expected(l)*(r.queue(l)+2*max(r.work(p), r.unit)*r.blind()))
			}
		}
		waits = append(waits, least)
	}
	slices.Sort(waits)
	return waits[max(int(math.Ceil(min(q.need, q.floor)*float64(len(waits))-epsilon)), 1)-1]
}

// pressure is the time that a call sent now would take: the median over the last calls, scaled from
// the crowd of calls each met to the present one. A median: a few stalled or failing leaves do not move it,
// and what is slow everywhere does. It is 0 while there are too few calls. Those of before the horizon are
// forgotten, or a root that turns all away would never learn that the trouble is over.
func (r *Root) pressure() float64 {
	recent(&r.times, r.now-r.horizon)
	if len(r.times) < memory/4 {
		return 0
	}
	return middle(r.times) * r.crowd()
}

// crowd is the number of calls out, and one more for each ready leaf: an empty fleet takes its time too.
func (r *Root) crowd() float64 { return float64(r.out + r.ready) }

// holdOff is how long a client should stay away: about as long as the load ahead takes.
func (r *Root) holdOff() Time {
	if !r.set.HoldOff {
		return 0
	}
	return min(Time(4*r.alone(r.unit)), r.set.MaxHoldOff)
}

// ---- the list ----

// List takes news of the servers: changes, or a complete list.
func (r *Root) List(now Time, entries []Entry, full, cached bool) {
	r.enter(now)
	if !cached {
		r.askAt, r.failures = never, 0
	}
	var lost []*LeafCall
	ended := func(l *Leaf) { // a new process has none of the old one's work or faults
		lost = append(lost, l.out...)
		l.pace, l.reported, l.since, l.doubtAt, l.silentAt, l.unreachedAt = tempo{}, 0, 0, 0, 0, 0
		clear(l.trusts)
	}
	listed := map[*Leaf]bool{}
	for _, e := range entries {
		l := e.Leaf
		if l.condition == Gone && !listed[l] { // not known, or forgotten since
			r.leaves = append(r.leaves, l)
			l.trusts = make([]trust, len(r.set.Verticals)+1)
		}
		listed[l] = true
		if missing := e.Zone + 1 - len(r.links); missing > 0 {
			r.links = append(r.links, make([]link, missing)...)
		}
		if e.Started != l.started && e.Started > 0 {
			ended(l)
			recent(&l.sent, e.Started) // what went to the new process before its start was told counts
			// Told late, the others may have sent by then what the window is good for, all but what is for chance.
			l.window, l.lucky = 0, false
			if late := now - e.Started; r.set.FallTime > 0 && float64(late) > (1-coldPart)*float64(r.set.FallTime) {
				l.window = late/r.set.FallTime + 1
			}
		}
		l.zone, l.cell, l.shards, l.condition, l.started = e.Zone, e.Cell, e.Shards, e.Condition, e.Started
	}
	for s := range r.holders {
		r.holders[s] = r.holders[s][:0]
	}
	r.ready, r.struck = 0, 0
	for _, l := range r.leaves {
		if full && !listed[l] {
			l.condition = Gone
		}
		if l.condition == Gone {
			ended(l)
			continue
		}
		if l.ready() {
			r.ready++
		}
		if l.trusts[0].strikes > 0 {
			r.struck++
		}
		for _, s := range l.shards {
			r.holders[s] = append(r.holders[s], l)
		}
		for j := range min(r.set.Span, r.set.Cells) {
			if l.shards != nil {
				break
			}
			for s := ((l.cell-j)%r.set.Cells + r.set.Cells) % r.set.Cells; s < r.set.Shards; s += r.set.Cells {
				r.holders[s] = append(r.holders[s], l)
			}
		}
	}
	// Where leaves are replaced all day, what is thought of the fleet must not rest on those that are gone.
	r.leaves = slices.DeleteFunc(r.leaves, func(l *Leaf) bool { return l.condition == Gone })
	for _, c := range lost {
		r.overdue(c)
	}
	r.arm()
}

// ListFailed: the list could not be had, or the watch on it broke.
func (r *Root) ListFailed(now Time) {
	r.enter(now)
	r.failures = min(r.failures+1, 2) // no longer: news counts as told soon after the list could be had again
	r.askAt = now + Time(float64(sweepEvery)*math.Exp2(float64(r.failures))*(0.5+r.chance()))
	r.arm()
}

// watch asks for the list and its changes. Its answer ends the waiting; should none come, it asks again.
func (r *Root) watch() {
	r.askAt = r.now + 50*sweepEvery
	r.port.Watch()
}

// ---- time ----

// arm asks for the next wake-up.
func (r *Root) arm() {
	next := r.sweep
	if len(r.dues) > 0 {
		next = min(next, r.dues[0].at)
	}
	next = max(next, r.now+1)
	if r.armed <= r.now || next < r.armed {
		r.armed = next
		r.port.Wake(next)
	}
}

// Awake is called at the times asked for.
func (r *Root) Awake(now Time) {
	r.enter(now)
	for len(r.dues) > 0 && r.dues[0].at <= now && !r.paused() {
		d := r.dues[0]
		r.dues = r.dues[1:]
		if d.c != nil {
			r.overdue(d.c)
		} else {
			r.settle(d.q)
		}
	}
	if now >= r.sweep {
		r.periodic()
		r.sweep = now + sweepEvery
	}
	r.arm()
}

// periodic work: the watch on the list, old entries, and probes where reports come no other way.
func (r *Root) periodic() {
	if r.now >= r.askAt {
		r.watch()
	}
	recent(&r.further, r.now-r.set.BudgetWindow-r.set.Tick)
	recent(&r.taken, r.now-r.set.BudgetWindow)
	// Beliefs that no call has tested for a horizon fade to those of a calm fleet: a root that turns all away
	// for them makes no call, and would never learn that the trouble is over.
	if r.testedAt > 0 && r.now-r.testedAt > r.horizon {
		kept := math.Exp(-float64(sweepEvery) / float64(r.horizon))
		r.pace, r.usual = r.calm+(r.pace-r.calm)*kept, r.usual*kept
	}
	done, warm := recent(&r.done, r.now-r.set.FallTime), 0.0
	for _, l := range r.leaves {
		if l.ready() && r.silent(l) && r.now >= l.trusts[0].until && !l.probing && len(l.out) == 0 {
			l.probing = true
			r.port.Probe(l)
		}
		if l.ready() && r.capacity(l) >= 1 {
			warm++
		}
	}
	if 2*warm > float64(len(r.leaves)) && !r.allStruck() {
		r.bears += gain * (done/warm - r.bears)
	}
}
