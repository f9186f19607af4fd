package proxy

import (
	"testing"

	"github.com/shoenig/test/must"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/kvindex"
	"moleshift/peer"
)

func TestMadeUnder(t *testing.T) {
	r := &request{model: "m", tenant: &configuration.Tenant{Name: "t", Isolated: true}}
	must.Eq(t, "m@2/t", r.salt(2))
	must.True(t, madeUnder(r.salt(2), "m", 2))
	must.True(t, madeUnder("m@2", "m", 2))
	for _, other := range []string{"m@1", "m@21", "m@21/t", "n@2", "mm@2", ""} {
		must.False(t, madeUnder(other, "m", 2), must.Sprint(other))
	}
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
