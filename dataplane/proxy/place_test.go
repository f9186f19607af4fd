package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/placement"
	"moleshift/dataplane/routing"
	"moleshift/peer"
	"moleshift/settings"
)

const fleetText = `{"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/","route-type":"streaming","timeout-ms":5000,"service":"llm","max-attempts":1}],
"services":[{"name":"llm","engine":{"slots":16,"kv-capacity-tokens":70000,"kv-token-bytes":131072,"link-mbps":550000,"models":[{"name":"m"}]}},
{"name":"store","kv-store-addr":"10.9.0.1:80","zone":"a","kv-capacity-tokens":700000,"link-mbps":100000}]}`

// fleetOf makes the proxies of a fleet that all know the same servers.
func fleetOf(t *testing.T, routers, servers int) ([]*Proxy, *follower.Snapshot) {
	t.Helper()
	d, err := configuration.Parse([]byte(fleetText))
	must.NoError(t, err)
	s := &follower.Snapshot{Table: routing.Compile(d), Instances: map[string][]peer.Instance{}}
	for i := range servers {
		s.Instances["llm"] = append(s.Instances["llm"], peer.Instance{
			ID: fmt.Sprint("i", i), Service: "llm", Address: fmt.Sprintf("10.1.0.%d:80", i), Zone: "a", Models: []peer.Model{{Name: "m", Version: 1}},
		})
	}
	for i := range routers {
		s.Nodes = append(s.Nodes, peer.Node{ID: fmt.Sprint("n", i), Zone: "a"})
	}
	set := settings.Default()
	set.Zone, set.Zones = "a", map[string]string{"a": "r"}
	var fleet []*Proxy
	for i := range routers {
		p := New(&set, fmt.Sprint("n", i), func() *follower.Snapshot { return s }, nil, zerolog.Nop())
		p.Update(s)
		fleet = append(fleet, p)
	}
	return fleet, s
}

func requestFor(t *testing.T, s *follower.Snapshot) *request {
	t.Helper()
	var h fasthttp.RequestHeader
	h.SetHost("h")
	h.SetRequestURI("/x")
	h.Set(headerRequestID, "1")
	h.Set(headerModel, "m")
	h.Set(headerTokens, "9000,50")
	h.Set(headerPrefix, "a1:2500,b2:3500,c3:3000")
	r, err := newRequest(&Exchange{Header: &h, Arrived: time.Now()}, s)
	must.NoError(t, err)
	return r
}

// The server that takes a stream over has read its prompt too: only what it still generates counts as queued there, and it keeps the
// parts. That the first server had read it says nothing of the second.
func TestPromptIsReadAtEachServerOfAStream(t *testing.T) {
	fleet, snapshot := fleetOf(t, 1, 2)
	p, r := fleet[0], requestFor(t, snapshot)
	r.started = true
	for _, id := range []string{"i0", "i1"} {
		s := &stream{to: &routed{target: p.targets[id], Placement: placement.Placement{Server: id, Version: 1, Salt: "m@1", Size: 9005}}}
		p.sent(r, s.to)
		p.pieceCame(r, s)
		p.pieceCame(r, s)
		must.Eq(t, 5, p.placer.Loads().Own(id).Tokens)
		must.Eq(t, 9000, p.placer.Index().Prefix(id, "m@1", r.work.Parts))
	}
}

// Where requests wait long everywhere, an attempt is given up later; one that is to take a stream over is not waited for longer, as
// nothing is passed on meanwhile.
func TestStreamThatStandsStillWaitsNoLongerForItsTakeover(t *testing.T) {
	fleet, snapshot := fleetOf(t, 1, 2)
	p, r := fleet[0], requestFor(t, snapshot)
	r.state.Repeatable, r.state.MaxAttempts = true, 2
	must.True(t, r.state.MayMove())
	now := r.Arrived
	r.deadline = now.Add(time.Minute)
	usual := now.Add(hangObjectives * defaultObjectiveMs * time.Millisecond)
	must.Eq(t, usual, r.hangLimit(now, p.longestSeen(r)))

	const longest = 10 * time.Second
	must.Eq(t, now.Add(longest+longest/2), r.hangLimit(now, longest))
	r.started = true
	must.Eq(t, usual, r.hangLimit(now, longest))
}

// The line of an answer that was cut tells its cause apart: end of the process, deadline, server, or no server to go on at.
func TestCauseOfACutAnswer(t *testing.T) {
	_, snapshot := fleetOf(t, 1, 1)
	r := requestFor(t, snapshot)
	before, after := r.deadline.Add(-time.Second), r.deadline.Add(time.Millisecond)
	r.lastOutcome = attempt.Broken
	must.Eq(t, cutByServer, r.cutCause(before))
	must.Eq(t, cutByDeadline, r.cutCause(after))
	r.lastOutcome = attempt.NotSent
	must.Eq(t, cutUnplaced, r.cutCause(before))
	r.Expire()
	must.Eq(t, cutByEnd, r.cutCause(before))
}
