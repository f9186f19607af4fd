package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/kvindex"
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
	for range routers {
		p := New(&set, func() *follower.Snapshot { return s }, nil, func() bool { return true }, zerolog.Nop())
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
	r, err := newRequest(&Exchange{Header: &h, Arrived: time.Now()}, s, true)
	must.NoError(t, err)
	return r
}

// Routers that each see a hundredth of the traffic and have nothing in flight do not all take the server that keeps a little more of
// the prompt than the others.
func TestRoutersThatSeeLittleSpreadOut(t *testing.T) {
	fleet, s := fleetOf(t, 90, 47)
	count := map[string]int{}
	for _, p := range fleet {
		p.index.Kept(0, "i7", "m@1", kvindex.Part{ID: "a1", Tokens: 2500})
		p.means["llm"] = &meanLoad{value: 3000, last: p.now(), size: 9000}
		to := p.choose(requestFor(t, s))
		must.NotNil(t, to)
		count[to.target.instance.ID]++
	}
	for id, n := range count {
		must.LessEq(t, 30, n, must.Sprintf("%s of %d servers", id, len(count)))
	}
	must.GreaterEq(t, 20, len(count))

	// A router that is alone knows all there is: it takes the least loaded.
	alone, s := fleetOf(t, 1, 5)
	alone[0].index.Kept(0, "i3", "m@1", kvindex.Part{ID: "a1", Tokens: 2500})
	alone[0].targets["i3"].queue = 100
	for range 20 {
		must.Eq(t, "i3", alone[0].choose(requestFor(t, s)).target.instance.ID)
	}
}

// All routers together save no more than their share of the store's link bears, but for one prompt each that goes over.
func TestSavesKeepWithinTheStoresLink(t *testing.T) {
	fleet, s := fleetOf(t, 90, 3)
	r := requestFor(t, s)
	store := s.Table.Stores[0]
	saved := 0.0
	const span = 30 * time.Second
	for now := time.Duration(0); now < span; now += 250 * time.Millisecond {
		for _, p := range fleet {
			if p.maySave(r, store, now) {
				saved += r.tokens
			}
		}
	}
	perSecond := saveShare * store.LinkMbps * 1e6 / 8 / r.service.Engine.KvTokenBytes
	must.LessEq(t, perSecond*(span+saveAhead).Seconds()+90*r.tokens, saved)
	must.Greater(t, perSecond*span.Seconds()/2, saved)
}

// The server that takes a stream over has read its prompt too: only what it still generates counts as queued there, and it keeps the
// parts. That the first server had read it says nothing of the second.
func TestPromptIsReadAtEachServerOfAStream(t *testing.T) {
	fleet, snapshot := fleetOf(t, 1, 2)
	p, r := fleet[0], requestFor(t, snapshot)
	r.started = true
	for _, id := range []string{"i0", "i1"} {
		s := &stream{to: &routed{target: p.targets[id], version: 1, salt: "m@1", size: r.size(0)}}
		p.sent(r, s.to)
		p.pieceCame(r, s)
		p.pieceCame(r, s)
		must.Eq(t, r.decode(), p.targets[id].queue)
		must.Eq(t, 9000, p.index.Prefix(id, "m@1", r.prompt))
	}
}
