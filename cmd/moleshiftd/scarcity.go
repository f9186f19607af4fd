package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// scarceLogEvery is between two lines of the log about accepts that failed.
const scarceLogEvery = time.Second

// scarcity counts the connections that could not be accepted for now, on all listeners: mostly for want of descriptors or memory.
type scarcity struct {
	log   zerolog.Logger
	count atomic.Uint64
}

func newScarcity(log zerolog.Logger) *scarcity {
	return &scarcity{log: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: scarceLogEvery})}
}

func (s *scarcity) note(err error) {
	s.count.Add(1)
	s.log.Warn().Err(err).Msg("a connection could not be accepted, trying again: where the error names files, see the process's limit of open files and limits.max-fds")
}

func (s *scarcity) writeMetrics(w io.Writer) {
	metrics.WriteCounterUint64(w, "moleshift_accept_failures_total", s.count.Load())
}
