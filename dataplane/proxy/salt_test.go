package proxy

import (
	"testing"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/kvindex"
	"moleshift/dataplane/routing"
	"moleshift/peer"
)

func TestMadeUnder(t *testing.T) {
	table := routing.Compile(&configuration.Document{Tenants: []configuration.Tenant{{Name: "t", Isolated: true}}})
	r := &request{model: "m", tenant: &configuration.Tenant{Name: "t", Isolated: true}}
	must.Eq(t, "m@2/t", r.salt(table, 2))
	must.True(t, madeUnder(r.salt(table, 2), "m", 2))
	must.True(t, madeUnder("m@2~7", "m", 2))
	must.True(t, madeUnder("m@2", "m", 2))
	for _, other := range []string{"m@1", "m@21", "m@21/t", "m@21~7", "n@2", "mm@2", ""} {
		must.False(t, madeUnder(other, "m", 2), must.Sprint(other))
	}
}

// Guards against WALL: what a tenant made while it shared is under a salt that nobody uses once it is isolated, neither it nor the
// others, also for a request that began before the change and is sent once more after it.
func TestIsolatedTenantLeavesNothingBehind(t *testing.T) {
	table := func(since int64, isolated bool) *routing.Table {
		c := routing.Compile(&configuration.Document{Tenants: []configuration.Tenant{{Name: "walled", Isolated: isolated}, {Name: "other"}}})
		c.SharedSince = since
		return c
	}
	before, after := table(0, false), table(3, true)
	walled := &request{model: "m", tenant: &configuration.Tenant{Name: "walled"}}
	other := &request{model: "m", tenant: &configuration.Tenant{Name: "other"}}
	open := &request{model: "m"} // of a public route
	must.Eq(t, walled.salt(before, 1), other.salt(before, 1))
	must.Eq(t, other.salt(after, 1), open.salt(after, 1))
	for _, r := range []*request{walled, other, open} {
		must.NotEq(t, walled.salt(before, 1), r.salt(after, 1))
	}
	must.NotEq(t, walled.salt(after, 1), other.salt(after, 1))
	must.NotEq(t, walled.salt(after, 1), walled.salt(table(3, false), 1), must.Sprint("on the way back it leaves its own behind"))
}

// Once a server is known to have new weights, nothing is looked for there under older ones, also where its events do not tell.
func TestOldPartsAreForgottenWithTheWeights(t *testing.T) {
	fleet, _ := fleetOf(t, 1, 1)
	p := fleet[0]
	in := peer.Instance{ID: "i", Service: "llm", Models: []peer.Model{{Name: "m", Version: 1}}}
	at := &target{id: "i"}
	index := p.placer.Index()
	index.SetHolder("i", 1000)
	p.dropOldParts(at, &in)
	at.instance = in
	part := kvindex.Part{ID: "a", Tokens: 100}
	index.Kept(0, "i", "m@1", part)
	index.Kept(0, "i", "m@1/t", part)
	p.dropOldParts(at, &in)
	must.Eq(t, 2, index.Size(), must.Sprint("its weights are the same"))
	in.Models = []peer.Model{{Name: "m", Version: 2}}
	index.Kept(0, "i", "m@2", part)
	p.dropOldParts(at, &in)
	must.Eq(t, 1, index.Size())
	must.True(t, index.Has("i", "m@2", "a"))
}
