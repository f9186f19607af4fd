package proxy

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"moleshift/dataplane/placement"
	"moleshift/fault"
)

// outcomeCounts counts requests by how they ended: by the kind of our own answer, or None where a server's answer was passed on.
type outcomeCounts struct {
	kinds []atomic.Uint64
	cut   atomic.Uint64 // answers that were broken off
}

func newOutcomeCounts() *outcomeCounts {
	return &outcomeCounts{kinds: make([]atomic.Uint64, len(fault.Kinds()))}
}

// placementCounts counts where requests were placed, and the shared tokens of their prompts by where the server had them from.
type placementCounts struct {
	reasons             map[placement.Reason]*atomic.Uint64
	kept, fetched, read atomic.Uint64 // tokens
	saves               atomic.Uint64
}

func newPlacementCounts() *placementCounts {
	counts := &placementCounts{reasons: map[placement.Reason]*atomic.Uint64{}}
	for _, reason := range placement.Reasons() {
		counts.reasons[reason] = &atomic.Uint64{}
	}
	return counts
}

func (c *placementCounts) note(to *placement.Placement) {
	if count := c.reasons[to.Reason]; count != nil {
		count.Add(1)
	}
	fetched := min(to.Moves, to.Prompt.Shared-to.Prompt.Kept)
	c.kept.Add(uint64(to.Prompt.Kept))
	c.fetched.Add(uint64(fetched))
	c.read.Add(uint64(to.Prompt.Shared - to.Prompt.Kept - fetched))
	if to.Save != "" {
		c.saves.Add(1)
	}
}

func (c *placementCounts) write(w io.Writer) {
	for _, reason := range placement.Reasons() {
		metrics.WriteCounterUint64(w, fmt.Sprintf("moleshift_placements_total{reason=%q}", reason), c.reasons[reason].Load())
	}
	metrics.WriteCounterUint64(w, `moleshift_shared_prompt_tokens_total{from="kept"}`, c.kept.Load())
	metrics.WriteCounterUint64(w, `moleshift_shared_prompt_tokens_total{from="fetched"}`, c.fetched.Load())
	metrics.WriteCounterUint64(w, `moleshift_shared_prompt_tokens_total{from="read"}`, c.read.Load())
	metrics.WriteCounterUint64(w, "moleshift_prompt_saves_total", c.saves.Load())
}

// WriteMetrics writes this router's counts of requests as text, in the form of Prometheus.
func (p *Proxy) WriteMetrics(w io.Writer) {
	for i, kind := range fault.Kinds() {
		name := kind.Answer().Text
		if kind == fault.None {
			name = "passed on"
		}
		metrics.WriteCounterUint64(w, fmt.Sprintf("moleshift_requests_total{outcome=%q,status=\"%d\"}", name, kind.Answer().Status), p.outcomes.kinds[i].Load())
	}
	metrics.WriteCounterUint64(w, `moleshift_requests_total{outcome="cut"}`, p.outcomes.cut.Load())
	for ground := range promiseGrounds {
		metrics.WriteCounterUint64(w, fmt.Sprintf("moleshift_promises_total{ground=%q}", ground), p.promised[ground].Load())
	}
	for _, owner := range []answerOwner{earlierRequest, unknownRequest, severalRequests} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("moleshift_unmatched_answers_total{request=%q}", owner), p.unmatched[owner].Load())
	}
	metrics.WriteCounterUint64(w, "moleshift_malformed_answers_total", p.malformed.Load())
	p.placed.write(w)
}
