// Package proxy carries one request to a server and its answer back: connections to servers, what is sent, streams and their
// resumption. What may be tried and answered is decided by package attempt, where to send by package balance.
//
// State that several requests share stands behind one short lock: no I/O while it is held.
package proxy

import (
	"strconv"
	"strings"
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/kvindex"
	"moleshift/dataplane/placement"
	"moleshift/fault"
)

// The headers of the protocol.
const (
	headerRequestID    = "Moleshift-Request-Id"
	headerDeadline     = "Moleshift-Deadline-Ms"
	headerExpect       = "Moleshift-Expect-Instance"
	headerTenant       = "Moleshift-Tenant-Id"
	headerModel        = "Moleshift-Model-Id"
	headerTokens       = "Moleshift-Token-Count"
	headerPrefix       = "Moleshift-Prompt-Prefix"
	headerNotExecuted  = "Moleshift-Not-Executed"
	headerStamp        = "Moleshift-Response-Stamp"
	headerInstance     = "Moleshift-Instance-Id"
	headerSalt         = "Cache-Salt"
	headerFetch        = "Kv-Fetch"
	headerSave         = "Kv-Save"
	headerVersion      = "Expect-Version"
	headerVersions     = "Versions"
	headerPriority     = "Priority"
	headerLastEvent    = "Last-Event-Id"
	headerRetryAfter   = "Retry-After"
	leastHang          = time.Second
	hangObjectives     = 3   // an attempt of a repeatable request without a first byte for so many objectives is given up
	hangWaits          = 1.5 // nor before so many times the longest wait for a first byte seen lately
	defaultObjectiveMs = 1000
	prioritiesOfRoutes = 3 // a tenant's priority counts before the route's
	lowestPriority     = 9
)

// request is an exchange with what the configuration says of it.
type request struct {
	*Exchange
	snapshot *follower.Snapshot
	route    *configuration.Route
	service  *configuration.Service
	tenant   *configuration.Tenant
	id       string
	model    string
	work     placement.Work
	deadline time.Time
	state    attempt.Request
	tried    map[string]bool // servers that it was sent to or could not reach
	lastID   string          // id of the last event passed on
	started  bool            // the head of the answer has been passed on
	drawn    bool            // it is decided whether it is part of the share of a version on trial
	trial    bool            // it is
	byClose  bool            // the client knows no chunks: the answer that was begun ends with the connection

	lastOutcome  attempt.Outcome
	lastInstance string    // the server of the last attempt
	lastError    error     // that ended the last stream, for the log
	attempts     []*routed // in their order, for what a promise rests on
}

// newRequest looks a request up in the configuration, by one look at it. Errors are of package fault's kinds.
func newRequest(e *Exchange, s *follower.Snapshot) (*request, error) {
	if s.Table == nil {
		return nil, fault.New(fault.NoConfig, "none is known yet")
	}
	uri := string(e.Header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	route := s.Table.Route(string(e.Header.Host()), path)
	if !s.Fresh(time.Now()) && (route == nil || s.Table.Keyed(route)) {
		return nil, fault.New(fault.NoConfig, "the one known may be out of date")
	}
	if route == nil {
		return nil, fault.New(fault.NoRoute, "%s%s", e.Header.Host(), path)
	}
	tenant, err := s.Table.Tenant(route, e.key())
	if err != nil {
		return nil, err
	}
	r := &request{
		Exchange: e, snapshot: s, route: route, tenant: tenant, id: string(e.Header.Peek(headerRequestID)),
		state: attempt.Request{Repeatable: route.Repeatable(), MaxAttempts: route.MaxAttempts}, tried: map[string]bool{},
	}
	if r.id == "" {
		return nil, fault.New(fault.BadRequest, "%s is missing", headerRequestID)
	}
	r.service = s.Table.Service(route, r.id)
	allowed := time.Duration(route.TimeoutMs * float64(time.Millisecond))
	if ms, err := strconv.ParseFloat(string(e.Header.Peek(headerDeadline)), 64); err == nil && ms >= 0 {
		allowed = min(allowed, time.Duration(ms*float64(time.Millisecond)))
	}
	r.deadline = e.Arrived.Add(allowed)
	r.readPrompt()
	return r, nil
}

func (r *request) readPrompt() {
	r.model = string(r.Header.Peek(headerModel))
	in, out, _ := strings.Cut(string(r.Header.Peek(headerTokens)), ",")
	r.work.Tokens, r.work.MaxOut = number(in), number(out)
	for piece := range strings.SplitSeq(string(r.Header.Peek(headerPrefix)), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(piece), ":")
		if ok {
			r.work.Parts = append(r.work.Parts, kvindex.Part{ID: kvindex.PartID(id), Tokens: number(tokens)})
		}
	}
}

func number(s string) float64 {
	x, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || x < 0 {
		return 0
	}
	return x
}

// priority is the value of the Priority header; ok is false where none is set.
func (r *request) priority() (int, bool) {
	if r.service.Engine == nil {
		return 0, false
	}
	p := r.route.Priority
	if r.tenant != nil {
		p += prioritiesOfRoutes * r.tenant.Priority
	}
	return min(max(p, 0), lowestPriority), true
}

// headLimit is when an attempt whose answer has not begun is given up: so that another may follow, or because it must not begin any
// more on its server's weights.
func (p *Proxy) headLimit(r *request, to *routed, now time.Time) time.Time {
	limit := r.hangLimit(now, p.longestSeen(r))
	if to.Version == 0 {
		return limit
	}
	if by := p.beginBy(r, to.Version, now); by.Before(limit) {
		return by
	}
	return limit
}

// hangLimit is when an attempt that has not brought a first byte is given up so that another may follow. Where requests wait long
// everywhere, to give one up only makes another server read its prompt once more. One that is to take a stream over is waited for no
// longer for that: the stream stands still meanwhile.
func (r *request) hangLimit(now time.Time, longest time.Duration) time.Time {
	if !r.state.MayMove() {
		return r.deadline
	}
	limit := r.firstByteLimit(now)
	if r.started {
		return limit
	}
	return earlier(r.deadline, later(limit, now.Add(time.Duration(hangWaits*float64(longest)))))
}

// firstByteLimit is when a server that has sent nothing of the answer by then is taken for one that hangs, by the route's objective.
func (r *request) firstByteLimit(now time.Time) time.Time {
	objective := r.route.TargetLatencyMs
	if objective <= 0 {
		objective = defaultObjectiveMs
	}
	hang := max(leastHang, time.Duration(hangObjectives*objective*float64(time.Millisecond)))
	return earlier(r.deadline, now.Add(hang))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
