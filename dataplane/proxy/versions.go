package proxy

// When servers with older weights than the newest named will not do any more.

import (
	"time"

	"moleshift/settings"
)

const (
	newestOnly      = 0.75 // share of version-ms after which requests go only to servers with the newest weights named, at the latest
	newestOnlyLeast = 0.4  // and at the earliest, however long requests wait in the servers' queues
	newestMargin    = 0.06 // share of version-ms that is left beyond the longest wait expected
	waitGrows       = 1.3  // the longest wait expected, against the longest seen lately
	waitFadesOver   = 6 * time.Second
)

// longestWait is the longest wait for a first piece of an answer seen lately; it fades.
type longestWait struct {
	wait time.Duration
	at   time.Duration
}

// now gives the wait as it has faded by then.
func (w *longestWait) now(steady time.Duration) time.Duration {
	return time.Duration(float64(w.wait) * max(1-float64(steady-w.at)/float64(waitFadesOver), 0))
}

func (w *longestWait) note(steady, wait time.Duration) {
	if wait >= w.now(steady) {
		w.wait, w.at = wait, steady
	}
}

// lastOld is how long after new weights were named requests may still be sent to servers with older ones: a request begins after it
// has waited in its server's queue, and must not begin on them later than version-ms.
func lastOld(set *settings.Settings, wait time.Duration) time.Duration {
	bound := settings.Millis(set.Bounds.VersionMs)
	share := func(x float64) time.Duration { return time.Duration(x * float64(bound)) }
	last := bound - share(newestMargin) - time.Duration(waitGrows*float64(wait))
	return min(max(last, share(newestOnlyLeast)), share(newestOnly))
}

// newestVersion gives the newest version named of the request's model, and from when on no older one will do. The lock is held.
func (p *Proxy) newestVersion(r *request, steady time.Duration) (int64, time.Time) {
	wait := time.Duration(0)
	if w := p.waits[r.service.Name]; w != nil {
		wait = w.now(steady)
	}
	return r.snapshot.Weights[r.model], r.snapshot.WeightsAt[r.model].Add(lastOld(p.set, wait))
}

// waited notes how long a request waited for the first piece of its answer. The lock is held.
func (p *Proxy) waited(r *request, to *routed) {
	w := p.waits[r.service.Name]
	if w == nil {
		w = &longestWait{}
		p.waits[r.service.Name] = w
	}
	w.note(p.now(), p.now()-to.sentAt)
}
