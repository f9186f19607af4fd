package proxy

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/kvindex"
)

// Each request that is sent counts once by its reason, and its shared tokens once by where the server has them from.
func TestPlacementsAreCounted(t *testing.T) {
	fleet, snapshot := fleetOf(t, 1, 2)
	p := fleet[0]
	send := func() {
		r := requestFor(t, snapshot)
		to := p.choose(r)
		must.NotNil(t, to)
		p.sent(r, to)
	}
	send()
	for _, part := range []kvindex.Part{{ID: "a1", Tokens: 2500}, {ID: "b2", Tokens: 3500}} {
		p.placer.Index().Kept(0, "i0", "m@1", part)
		p.placer.Index().Kept(0, "i1", "m@1", part)
	}
	send()
	var text strings.Builder
	p.WriteMetrics(&text)
	for _, line := range []string{
		`moleshift_placements_total{reason="home of the prompt"} 1`, `moleshift_placements_total{reason="keeps the parts"} 1`,
		`moleshift_placements_total{reason="least load"} 0`, `moleshift_shared_prompt_tokens_total{from="kept"} 6000`,
		`moleshift_shared_prompt_tokens_total{from="fetched"} 0`, `moleshift_shared_prompt_tokens_total{from="read"} 6000`,
		"moleshift_prompt_saves_total 1",
	} {
		must.StrContains(t, text.String(), line+"\n")
	}
}
