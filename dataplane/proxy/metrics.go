package proxy

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

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
}
