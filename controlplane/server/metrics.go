package server

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"moleshift/controlplane/core"
)

// WriteMetrics writes this node's figures of the control plane as text, in the form of Prometheus.
func (c *Controller) WriteMetrics(w io.Writer) {
	for _, register := range core.Names() {
		k := c.registers.Known(register)
		gauge := func(name string, value float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("moleshift_register_%s{register=%q}", name, register), value)
		}
		gauge("members", float64(len(k.Value.Members)))
		gauge("members_leaving", float64(len(k.Value.All())-len(k.Value.Members)))
		gauge("ballot", float64(k.Ballot.Counter))
		gauge("bytes", float64(len(k.Value.Data)))
		if !k.Confirmed.IsZero() {
			gauge("confirmed_age_seconds", time.Since(k.Confirmed).Seconds())
		}
		for _, m := range k.Value.All() {
			if c.acceptor != nil {
				metrics.WriteGaugeFloat64(w, fmt.Sprintf("moleshift_member_silence_seconds{register=%q,member=%q,address=%q}", register, m.ID, m.Address), c.registers.Silence(m.ID).Seconds())
			}
		}
	}
	c.mu.Lock()
	instances, sessions := c.table.Len(), len(c.sessions)
	c.mu.Unlock()
	metrics.WriteGaugeUint64(w, "moleshift_instances", uint64(instances))
	metrics.WriteGaugeUint64(w, "moleshift_sessions", uint64(sessions))
}
