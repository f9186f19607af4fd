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
	withdrawAt      = 0.92 // share of version-ms after which a request that has not begun on older weights is withdrawn
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

// leastVersion gives the oldest version of the request's model on which it may still be sent to a server. Each naming has a bound of
// its own; namings that came after the request count too. The lock is held.
func (p *Proxy) leastVersion(r *request, now time.Time, steady time.Duration) int64 {
	wait := time.Duration(0)
	if w := p.waits[r.service.Name]; w != nil {
		wait = w.now(steady)
	}
	return p.follow().Namings.NamedBy(r.model, now.Add(-lastOld(p.set, wait)))
}

// beginBy is when a request that is sent to weights of the given version must have begun: it is withdrawn from its server's queue
// otherwise. Where no newer version is named yet, one may be at any moment from now on.
func (p *Proxy) beginBy(r *request, version int64, now time.Time) time.Time {
	named, ok := p.follow().Namings.FirstAbove(r.model, version)
	if !ok {
		named = now
	}
	return named.Add(time.Duration(withdrawAt * float64(settings.Millis(p.set.Bounds.VersionMs))))
}

// longestSeen gives the longest wait for a first piece of an answer of the request's service that was seen lately.
func (p *Proxy) longestSeen(r *request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.waits[r.service.Name]; w != nil {
		return w.now(p.now())
	}
	return 0
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
