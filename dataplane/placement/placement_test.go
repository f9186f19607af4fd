package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/inflight"
	"moleshift/dataplane/kvindex"
)

const salt = "m@1"

// fleetOf makes the placers of routers that know of one another.
func fleetOf(routers int) []*Placer {
	var ids []string
	for i := range routers {
		ids = append(ids, fmt.Sprint("n", i))
	}
	var fleet []*Placer
	for i, id := range ids {
		p := New(Settings{Router: id, Zone: "a", Zones: map[string]string{"a": "r", "b": "r", "c": "s"}}, rand.New(rand.NewPCG(uint64(i), 1)))
		p.SetRouters(0, ids)
		fleet = append(fleet, p)
	}
	return fleet
}

// queryFor asks for a prompt of three parts, the first two of them shared; topic names the second.
func queryFor(servers int, topic string) *Query {
	q := &Query{Service: "llm", Work: Work{
		Parts:  []kvindex.Part{{ID: "a1", Tokens: 2500}, {ID: topic, Tokens: 3500}, {ID: "own", Tokens: 3000}},
		Tokens: 9000, MaxOut: 50,
	}}
	for i := range servers {
		q.Servers = append(q.Servers, Server{
			ID: fmt.Sprint("i", i), Address: fmt.Sprintf("10.1.0.%d:80", i), Zone: "a", Version: 1, Salt: salt, Source: true, Target: true,
		})
	}
	return q
}

func keep(p *Placer, server string, parts ...kvindex.Part) {
	p.index.SetHolder(server, 70000)
	for _, part := range parts {
		p.index.Kept(0, server, salt, part)
	}
}

// Routers that each see a hundredth of the traffic and have nothing in flight do not all take the server that keeps a little more of
// the prompt than the others: requests that share nothing else spread out.
func TestRoutersThatSeeLittleSpreadOut(t *testing.T) {
	count := map[string]int{}
	for i, p := range fleetOf(90) {
		keep(p, "i7", kvindex.Part{ID: "a1", Tokens: 2500})
		p.means["llm"] = &meanLoad{value: 3000}
		to := p.Choose(0, queryFor(47, fmt.Sprint("topic", i)))
		must.NotNil(t, to)
		count[to.Server]++
	}
	for id, n := range count {
		must.LessEq(t, 30, n, must.Sprintf("%s of %d servers", id, len(count)))
	}
	must.GreaterEq(t, 20, len(count))

	// A router that is alone knows all there is: it takes the least loaded.
	alone := fleetOf(1)[0]
	q := queryFor(5, "topic")
	for i := range 5 {
		if i != 3 {
			alone.loads.Add(fmt.Sprint("i", i), inflight.Load{Tokens: 400000, Requests: 40})
		}
	}
	alone.loads.Add("i3", inflight.Load{Tokens: 100, Requests: 1})
	for range 20 {
		must.Eq(t, "i3", alone.Choose(0, q).Server)
	}
}

// While nobody is known to keep a prompt's shared parts, routers that know nothing of one another's sends bring them to one server,
// unless it is much busier than the others.
func TestPromptThatNobodyKeepsHasOneHome(t *testing.T) {
	q := queryFor(47, "topic")
	home := ""
	for _, p := range fleetOf(90) {
		to := p.Choose(0, q)
		must.Eq(t, ReasonHome, to.Reason)
		if home == "" {
			home = to.Server
		}
		must.Eq(t, home, to.Server)
		must.Eq(t, 9000+5, to.Size, must.Sprint("the work is not less for being looked for there"))
	}
	p := fleetOf(1)[0]
	p.loads.Add(home, inflight.Load{Tokens: 200000, Requests: 30})
	must.NotEq(t, home, p.Choose(0, q).Server)

	p = fleetOf(1)[0]
	for i := range q.Servers {
		if q.Servers[i].ID == home {
			q.Servers[i].Standing = 1
		}
	}
	second := p.Choose(0, q)
	must.NotEq(t, home, second.Server)
	must.Eq(t, ReasonHome, second.Reason, must.Sprint("the next by rendezvous is the home while the first stands worse"))
}

// A holder that is known goes before the home, and parts that the server lacks are named with their source.
func TestKnownHolderGoesBeforeTheHome(t *testing.T) {
	q := queryFor(47, "topic")
	p := fleetOf(1)[0]
	home := p.Choose(0, q).Server
	holder := "i0"
	if home == holder {
		holder = "i1"
	}
	keep(p, holder, q.Work.Parts[:2]...)
	to := p.Choose(0, q)
	must.Eq(t, holder, to.Server)
	must.Eq(t, ReasonKept, to.Reason)
	must.Eq(t, "", to.Fetch)
	must.Eq(t, 3000+5, to.Size)

	p.loads.Add(holder, inflight.Load{Tokens: 500000, Requests: 40})
	to = p.Choose(0, q)
	must.NotEq(t, holder, to.Server)
	must.Eq(t, holder, to.Source)
	must.Eq(t, 6000, to.Moves)
	must.Eq(t, 3000+5, to.Size)
}

// A server that may not be sent to, as it was tried or has old weights, may still be the source.
func TestServerThatIsNoTargetMayBeTheSource(t *testing.T) {
	q := queryFor(3, "topic")
	p := fleetOf(1)[0]
	keep(p, "i0", q.Work.Parts[:2]...)
	q.Servers[0].Target = false
	for range 20 {
		to := p.Choose(0, q)
		must.NotEq(t, "i0", to.Server)
		must.Eq(t, "i0", to.Source)
	}
	q.Servers[0].Source = false
	must.Eq(t, "", p.Choose(0, q).Source)
	for i := range q.Servers {
		q.Servers[i].Target = false
	}
	must.Nil(t, p.Choose(0, q))
}

// All routers together save no more than their share of the store's link bears, but for one prompt each that goes over.
func TestSavesKeepWithinTheStoresLink(t *testing.T) {
	fleet := fleetOf(90)
	store := &Store{Address: "10.9.0.1:80", Zone: "a", TokensPerSecond: 100e9 / 8 / 131072}
	const tokens, span = 9000, 30 * time.Second
	saved := 0.0
	for now := time.Duration(0); now < span; now += 250 * time.Millisecond {
		for _, p := range fleet {
			if p.maySave(now, store, tokens) {
				saved += tokens
			}
		}
	}
	perSecond := saveShare * store.TokensPerSecond
	must.LessEq(t, perSecond*(span+saveAhead).Seconds()+90*tokens, saved)
	must.Greater(t, perSecond*span.Seconds()/2, saved)
}

// Whatever happens to placements, in any order, nothing stays on the books once all have ended.
func TestBooksAreEmptyOnceAllHasEnded(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	p := fleetOf(3)[0]
	var open []*Placement
	var works []Work
	for step := range 3000 {
		now := time.Duration(step) * 10 * time.Millisecond
		if i := random.IntN(len(open) + 1); i < len(open) {
			if random.IntN(2) == 0 {
				p.PromptRead(now, open[i], works[i])
			}
			p.Ended(open[i])
			open, works = append(open[:i], open[i+1:]...), append(works[:i], works[i+1:]...)
			continue
		}
		q := queryFor(9, fmt.Sprint("topic", random.IntN(20)))
		for i := range q.Servers {
			p.index.SetHolder(q.Servers[i].ID, 70000)
			q.Servers[i].Target = random.IntN(3) > 0
		}
		if to := p.Choose(now, q); to != nil {
			p.Sent(to)
			open, works = append(open, to), append(works, q.Work)
		}
	}
	for _, to := range open {
		p.Ended(to)
	}
	must.MapEmpty(t, p.moving)
	for i := range 9 {
		must.Eq(t, inflight.Load{}, p.loads.Total(fmt.Sprint("i", i)))
	}
}
