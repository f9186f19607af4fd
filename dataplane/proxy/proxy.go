package proxy

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/registry"
	"moleshift/dataplane/admission"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/canary"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/placement"
	"moleshift/fault"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	startWait = 3 * time.Second        // after the start a request may wait for the first configuration
	firstWait = 400 * time.Millisecond // the longest that one does
)

// Proxy sends requests to servers.
type Proxy struct {
	set     *settings.Settings
	follow  func() *follower.Snapshot
	started <-chan struct{} // closed once there is a configuration
	log     zerolog.Logger
	began   time.Time

	mu       sync.Mutex
	placer   *placement.Placer
	splitter *canary.Splitter
	ledger   *canary.Ledger
	targets  map[string]*target // by instance
	services map[string][]*target
	retries  map[string]*admission.Retries
	waits    map[string]*longestWait // by service

	outcomes  *outcomeCounts
	placed    *placementCounts
	promised  [promiseGrounds]atomic.Uint64 // promises given to clients
	unmatched [answerOwners]atomic.Uint64   // answers that were not taken for those of the request that waited
	malformed atomic.Uint64                 // bytes in the place of an answer that are none
}

// New makes the proxy of the node with the given ID.
func New(set *settings.Settings, self string, follow func() *follower.Snapshot, started <-chan struct{}, log zerolog.Logger) *Proxy {
	place := placement.Settings{Router: self, Zone: set.Zone, Zones: set.Zones}
	return &Proxy{
		set: set, follow: follow, started: started, log: log, began: time.Now(), targets: map[string]*target{},
		services: map[string][]*target{}, retries: map[string]*admission.Retries{}, waits: map[string]*longestWait{},
		placer: placement.New(place, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), outcomes: newOutcomeCounts(),
		placed: newPlacementCounts(), ledger: canary.NewLedger(),
		splitter: canary.NewSplitter(canary.Settings{Share: set.Bounds.CanaryShare, Slack: set.Bounds.CanarySlack},
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.began) }

// Update takes a new snapshot over: servers come, change and go.
func (p *Proxy) Update(s *follower.Snapshot) {
	var stale []*serverConn
	p.mu.Lock()
	p.placer.SetRouters(p.now(), lo.Map(s.Nodes, func(n peer.Node, _ int) string { return n.ID }))
	listed := map[string]bool{}
	p.services = map[string][]*target{}
	for service, instances := range s.Instances {
		for i := range instances {
			in := instances[i]
			listed[in.ID] = true
			t := p.targets[in.ID]
			if t == nil {
				t = &target{id: in.ID, versionNow: map[string]int64{}}
				p.targets[in.ID] = t
			}
			p.dropOldParts(t, &in)
			t.instance = in
			p.services[service] = append(p.services[service], t)
			p.setHolder(s, &in)
		}
	}
	p.setStores(s, listed)
	p.followReleases(s)
	for id, t := range p.targets {
		if !listed[id] {
			stale = append(stale, t.idle...)
			t.conns -= len(t.idle)
			t.idle = nil
			delete(p.targets, id)
			p.placer.Forget(id)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}

// Serve answers one request of a client.
func (p *Proxy) Serve(e *Exchange) {
	p.awaitStart(e)
	r, err := newRequest(e, p.follow())
	if err != nil {
		p.Refuse(e, fault.KindOf(err), err.Error())
		return
	}
	if !e.Drain.Takes(e.Complete, r.deadline) {
		p.refuse(e, r, fault.Leaving, "")
		return
	}
	p.mu.Lock()
	p.budget(r.service.Name).Request(p.now())
	p.splitter.Request(p.now(), r.service.Name, r.route.Name)
	p.mu.Unlock()
	action, kind := attempt.Again, fault.None
	for action == attempt.Again || action == attempt.Resume {
		action, kind = p.try(r)
	}
	p.logEnd(r, action, kind)
	switch action {
	case attempt.Answer:
		p.refuse(e, r, kind, "")
	case attempt.Cut:
		e.Closing = true
		p.outcomes.cut.Add(1)
	default:
		p.outcomes.kinds[fault.None].Add(1)
	}
}

// awaitStart lets a request that came before the first configuration wait for it: right after the start of a process it is on its
// way, and a refusal would only bring the client back. Later there is no wait.
func (p *Proxy) awaitStart(e *Exchange) {
	left := startWait - p.now()
	if left <= 0 || p.follow().Table != nil {
		return
	}
	timer := time.NewTimer(min(left, firstWait))
	defer timer.Stop()
	select {
	case <-p.started:
	case <-timer.C:
	}
}

// try plays one attempt and says what comes next.
func (p *Proxy) try(r *request) (attempt.Action, fault.Kind) {
	if r.Gone() {
		r.Closing = true
		return attempt.Cut, fault.ClientGone
	}
	room := attempt.Room{Time: !r.over(r.deadline)}
	to := p.choose(r)
	if to == nil || !room.Time {
		action, kind := r.state.End(room, attempt.NotSent)
		p.logOutcome(r, to, attempt.NotSent, action)
		return action, kind
	}
	r.tried[to.target.id] = true
	r.attempts = append(r.attempts, to)
	a, outcome := p.send(r, to)
	if outcome == attempt.Done && a.stream != nil {
		to, outcome = p.relay(r, to, a)
		p.noteAnswer(r, to, outcome)
		if outcome == attempt.Done {
			p.succeeded(to.target)
			return attempt.Pass, fault.None
		}
	} else if r.started && outcome != attempt.NotSent && outcome != attempt.TurnedAway {
		outcome = attempt.Broken // an answer that is no stream cannot go on one
	} else {
		p.noteAnswer(r, to, outcome)
	}
	if r.Gone() {
		r.Closing = true
		return attempt.Cut, fault.ClientGone
	}
	p.learn(r, to, a, outcome)
	room = p.room(r, outcome)
	action, kind := r.state.Next(outcome, room)
	to.outcome = outcome
	r.lastOutcome, r.lastInstance = outcome, to.target.id
	p.logOutcome(r, to, outcome, action)
	if action == attempt.Pass {
		p.notePromise(r.Exchange, r, a.header.StatusCode(), true)
		p.pass(r, a)
	}
	return action, kind
}

// room tells what there is for another attempt; the budget is drawn on only where the attempt would count against it.
func (p *Proxy) room(r *request, o attempt.Outcome) attempt.Room {
	room := attempt.Room{Time: !r.over(r.deadline)}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.services[r.service.Name] {
		if !r.tried[t.instance.ID] && t.instance.State == registry.Ready {
			room.Server = true
		}
	}
	needed := o == attempt.TurnedAway || (r.state.Repeatable && (o == attempt.Broken || o.IsFailure()))
	if needed && room.Server && room.Time {
		room.Budget = p.budget(r.service.Name).Spend(p.now(), p.placer.Routers(), r.purpose())
	}
	return room
}

// purpose tells what a further attempt is for, behind one that has ended.
func (r *request) purpose() admission.Purpose {
	if r.started {
		return admission.Rescue
	}
	return admission.Retry
}

// budget gives the portion of a service's retry budget. The lock is held.
func (p *Proxy) budget(service string) *admission.Retries {
	b := p.retries[service]
	if b == nil {
		bounds := p.set.Bounds
		b = admission.NewRetries(admission.Settings{
			Ratio: bounds.RetryBudgetRatio, Base: bounds.RetryMin, Window: settings.Seconds(bounds.RetryWindowS),
		})
		p.retries[service] = b
	}
	return b
}

// connLimit is how many connections this router may have to one server of the request's service.
func (p *Proxy) connLimit(r *request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.service.MaxConnections <= 0 {
		return maxIdle
	}
	return max(int(connShare*float64(r.service.MaxConnections)/float64(p.placer.Routers())), leastConns)
}

// maySend tells whether the newest configuration still lets the request's key through, just before it is sent.
func (p *Proxy) maySend(r *request) bool {
	if r.tenant == nil {
		return true
	}
	s := p.follow()
	if !s.Fresh(time.Now()) {
		return false
	}
	return s.Table == r.snapshot.Table || s.Table.Holds(r.tenant.Name, r.key())
}

// sent puts a request on the server's books; false: it must not be sent there any more.
func (p *Proxy) sent(r *request, to *routed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := to.target
	if !p.mayGo(r, t) {
		return false
	}
	to.sentAt = p.now()
	p.placed.note(&to.Placement)
	p.placer.Sent(&to.Placement)
	t.state.Sent(p.now())
	p.beginAttempt(r, to)
	return true
}

// ended takes a request off the server's books.
func (p *Proxy) ended(to *routed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Ended(&to.Placement)
	p.ledger.Drop(&to.attempt)
	to.target.state.Ended()
}

// promptRead notes that a server has read a request's prompt: its work shrinks to what it generates, and it keeps the parts.
func (p *Proxy) promptRead(r *request, to *routed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to.Version == 0 {
		return
	}
	p.waited(r, to)
	p.placer.PromptRead(p.now(), &to.Placement, r.work)
}

// byteCame notes a sign of life of a server.
func (p *Proxy) byteCame(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.state.Byte(p.now())
}

func (p *Proxy) broke(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.state.Broke(p.now())
}

func (p *Proxy) succeeded(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.state.Succeeded()
}

// learn draws from an attempt's outcome what concerns the server.
func (p *Proxy) learn(r *request, to *routed, a *reply, o attempt.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := to.target
	switch o {
	case attempt.Done:
		t.state.Succeeded()
	case attempt.TurnedAway:
		t.state.Full(p.now())
		p.learnMisdirected(r, t, a)
	}
}

// learnMisdirected takes a 421 apart: another instance at the address, or other weights than were expected. The lock is held.
func (p *Proxy) learnMisdirected(r *request, t *target, a *reply) {
	if a.header.StatusCode() != fasthttp.StatusMisdirectedRequest {
		return
	}
	if id := string(a.header.Peek(headerInstance)); id != "" && id != t.instance.ID {
		t.state.Unreachable(p.now()) // its successor will be told of by the controllers
		return
	}
	if v, err := strconv.ParseInt(string(a.header.Peek(headerVersions)), 10, 64); err == nil {
		t.versionNow[r.model] = max(t.versionNow[r.model], v)
	}
}

// Refuse gives the client of a request that was sent to no server an answer of our own, by the table of package fault.
func (p *Proxy) Refuse(e *Exchange, kind fault.Kind, detail string) { p.refuse(e, nil, kind, detail) }

// refuse gives the client an answer of our own; r is nil where the request's route is not known.
func (p *Proxy) refuse(e *Exchange, r *request, kind fault.Kind, detail string) {
	p.outcomes.kinds[kind].Add(1)
	answer := kind.Answer()
	p.notePromise(e, r, answer.Status, false)
	text := answer.Text
	if detail != "" {
		text = detail
	}
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(answer.Status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(answer.Status)...)
	b = append(b, "\r\nContent-Type: text/plain\r\n"...)
	if answer.RetryAfter > 0 {
		b = appendHeader(b, headerRetryAfter, strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 2, 64))
	}
	if id := e.Header.Peek(headerRequestID); len(id) > 0 {
		b = appendHeader(b, headerRequestID, string(id))
	}
	if e.Closing {
		b = appendHeader(b, "Connection", "close")
	}
	b = appendHeader(b, "Content-Length", strconv.Itoa(len(text)+1))
	b = append(b, "\r\n"...)
	b = append(b, text...)
	b = append(b, '\n')
	p.write(&request{Exchange: e}, b)
}
