package proxy

// Which server a request goes to.

import (
	"math"
	"time"

	"moleshift/controlplane/registry"
	"moleshift/dataplane/balance"
	"moleshift/dataplane/outlier"
)

const (
	// A server in another zone or region counts as if so many usual requests more were in flight there: bytes between zones are dear,
	// and an answer takes longer. docs/design/system.md says what that departs from.
	otherZone   = 3.0
	otherRegion = 8.0
	movedShare  = 0.25            // what a token that is fetched counts against one that is read
	ownLoadOver = 4 * time.Second // own work in flight is averaged over that
	usualOver   = 32              // requests over which the usual size is averaged
)

// distance gives the factor for the way between two zones.
func (p *Proxy) distance(zone, from string, here, zoneFactor, regionFactor float64) float64 {
	switch {
	case zone == from:
		return here
	case p.set.Zones[zone] == p.set.Zones[from]:
		return zoneFactor
	}
	return regionFactor
}

// choose picks the server of a request: of least marginal load among those of the best standing. For a model server it also names
// the source of the kept parts that the server lacks.
func (p *Proxy) choose(r *request) *routed {
	now := time.Now()
	steady := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	least := p.leastVersion(r, now, steady)
	var options []routed
	var candidates []balance.Candidate
	unseen, usual := p.unseen(r, steady)
	most := map[string]float64{} // by salt: the longest prefix that any holder keeps
	for _, t := range p.services[r.service.Name] {
		if r.tried[t.instance.ID] || t.instance.State != registry.Ready {
			continue
		}
		to := routed{target: t, size: r.size(0)}
		if r.model != "" && r.service.Engine != nil {
			to.version = max(t.version(r.model), 1)
			if to.version < least {
				continue
			}
			to.salt = r.salt(to.version)
			if _, ok := most[to.salt]; !ok {
				most[to.salt] = p.longest(r, to.salt, steady)
			}
			own := p.index.Prefix(t.instance.ID, to.salt, r.prompt)
			to.size = r.size(own + (1-movedShare)*max(most[to.salt]-own, 0))
		}
		options = append(options, to)
		away := usual * p.distance(t.instance.Zone, p.set.Zone, 0, otherZone, otherRegion)
		candidates = append(candidates, balance.Candidate{
			Size: to.size, Queue: t.queue + p.others(r, t, now, unseen) + away, Standing: p.standing(t, steady),
		})
	}
	i := balance.Choose(candidates, p.random)
	if i < 0 {
		return nil
	}
	to := &options[i]
	p.nameSource(r, to, steady)
	p.nameStore(r, to, steady)
	return to
}

// unseen estimates the work that the other routers have in flight at a server of the request's service, from this router's own mean
// and the number of routers, and gives the size of a usual request. The lock is held.
func (p *Proxy) unseen(r *request, steady time.Duration) (unseen, usual float64) {
	name := r.service.Name
	list := p.services[name]
	own := 0.0
	for _, t := range list {
		own += t.queue
	}
	mean := p.means[name]
	if mean == nil {
		mean = &meanLoad{size: r.size(0)}
		p.means[name] = mean
	}
	mean.size += (r.size(0) - mean.size) / usualOver
	return mean.note(steady, own) * float64(p.routers-1) / float64(max(len(list), 1)), mean.size
}

// others is the work that other routers have at a server: what its newest report tells, as far as that is fresh, and for the rest a
// draw from what may be there. Routers that see little of one another would all take the same server for the least loaded; what is
// drawn differs from one to the next, the more the less they know.
func (p *Proxy) others(r *request, t *target, now time.Time, unseen float64) float64 {
	told, fresh := t.others(now)
	return told + (1-fresh)*unseen*p.random.ExpFloat64()
}

// meanLoad is a mean over time that fades.
type meanLoad struct {
	value float64
	last  time.Duration
	size  float64 // mean size of the service's requests
}

func (m *meanLoad) note(now time.Duration, x float64) float64 {
	weight := 1 - math.Exp(-float64(now-m.last)/float64(ownLoadOver))
	m.value += (x - m.value) * weight
	m.last = now
	return m.value
}

// standing is how a server stands by its own record and by what the controllers tell.
func (p *Proxy) standing(t *target, steady time.Duration) int {
	standing := t.state.Standing(steady)
	if t.instance.Loading {
		standing = max(standing, outlier.Busy)
	}
	if t.instance.Silent {
		standing = max(standing, outlier.Stalled)
	}
	return standing
}
