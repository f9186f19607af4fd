package proxy

import (
	"math"
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/registry"
	"moleshift/dataplane/balance"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/kvindex"
	"moleshift/dataplane/outlier"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	// A server in another zone or region counts as if so many usual requests more were in flight there: bytes between zones are dear,
	// and an answer takes longer. docs/design/system.md says what that departs from.
	otherZone   = 3.0
	otherRegion = 8.0
	// Moves of kept parts take so many times as long between zones and between regions (PROTOCOL.md).
	moveOtherZone   = 2.0
	moveOtherRegion = 10.0
	leastMove       = 64   // tokens: less than that is read again sooner than fetched
	movedShare      = 0.25 // what a token that is fetched counts against one that is read
	leastSave       = 1024 // tokens of shared parts: fewer are not worth a move to the store
	savingFor       = 2 * time.Second
	saveShare       = 0.6             // of a store's link that saves of all routers together may take
	saveAhead       = 5 * time.Second // saves that were not made may be made up for so long
	ownLoadOver     = 4 * time.Second // own work in flight is averaged over that
	usualOver       = 32              // requests over which the usual size is averaged
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
	newest, newestFrom := r.newestVersion(p.set)
	p.mu.Lock()
	defer p.mu.Unlock()
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
			if newest > to.version && now.After(newestFrom) {
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

// sourceOf is a holder that parts may be fetched from.
type sourceOf struct {
	id, address, zone string
	slowness          float64 // of its link, against a server's
}

// sources lists the holders that may be asked for the parts of a request's prompt: servers in good standing of any service of the
// model, and stores. Salts keep versions and tenants apart. The lock is held.
func (p *Proxy) sources(r *request, steady time.Duration) []sourceOf {
	var list []sourceOf
	for _, t := range p.services[r.service.Name] {
		if p.standing(t, steady) <= outlier.Busy && !p.down[t.instance.ID] {
			list = append(list, sourceOf{t.instance.ID, t.instance.Address, t.instance.Zone, 1})
		}
	}
	for _, store := range r.snapshot.Table.Stores {
		if p.down[store.StoreAddress] {
			continue
		}
		slowness := 1.0
		if store.LinkMbps > 0 && r.service.Engine.LinkMbps > 0 {
			slowness = r.service.Engine.LinkMbps / store.LinkMbps
		}
		list = append(list, sourceOf{store.StoreAddress, store.StoreAddress, store.Zone, slowness})
	}
	return list
}

// longest gives the longest prefix of a prompt that any source keeps. The lock is held.
func (p *Proxy) longest(r *request, salt string, steady time.Duration) float64 {
	most := 0.0
	for _, s := range p.sources(r, steady) {
		most = max(most, p.index.Prefix(s.id, salt, r.prompt))
	}
	return most
}

// nameSource names the source of least marginal load among those that keep the most of what the server lacks. The lock is held.
func (p *Proxy) nameSource(r *request, to *routed, steady time.Duration) {
	if to.version == 0 {
		return
	}
	own := p.index.Prefix(to.target.instance.ID, to.salt, r.prompt)
	var list []sourceOf
	var candidates []balance.Candidate
	most := own + leastMove
	for _, s := range p.sources(r, steady) {
		kept := p.index.Prefix(s.id, to.salt, r.prompt)
		if s.id == to.target.instance.ID || kept < most {
			continue
		}
		if kept > most {
			most, list, candidates = kept, nil, nil
		}
		list = append(list, s)
		candidates = append(candidates, balance.Candidate{
			Size: kept - own, Queue: p.moving[s.id],
			Slowness: s.slowness * p.distance(s.zone, to.target.instance.Zone, 1, moveOtherZone, moveOtherRegion),
		})
	}
	if i := balance.Choose(candidates, p.random); i >= 0 {
		to.fetch, to.source, to.moves = list[i].address, list[i].id, most-own
	}
	to.size = r.size(max(own, own+to.moves))
}

// nameStore names a store where the shared parts of the prompt, all but the last, are to be kept and are not yet. The lock is held.
func (p *Proxy) nameStore(r *request, to *routed, steady time.Duration) {
	if to.version == 0 || len(r.prompt) < 2 || len(r.snapshot.Table.Stores) == 0 {
		return
	}
	shared := r.prompt[:len(r.prompt)-1]
	tokens := r.shared()
	store := r.snapshot.Table.Stores[0]
	if tokens < leastSave || p.down[store.StoreAddress] || p.index.Prefix(store.StoreAddress, to.salt, shared) >= tokens {
		return
	}
	if !p.maySave(r, store, steady) {
		return
	}
	key := to.salt + " " + shared[len(shared)-1].ID
	if until, ok := p.saving[key]; ok && steady < until {
		return
	}
	p.saving[key] = steady + savingFor
	to.save = store.StoreAddress
}

// maySave takes a save of the request's prompt out of this router's portion of the store's link, where there is one. The lock is held.
func (p *Proxy) maySave(r *request, store *configuration.Service, steady time.Duration) bool {
	engine := r.service.Engine
	if store.LinkMbps <= 0 || engine.KvTokenBytes <= 0 {
		return true
	}
	perSecond := saveShare * store.LinkMbps * 1e6 / 8 / engine.KvTokenBytes / float64(p.routers)
	b := p.saves[store.StoreAddress]
	if b == nil {
		b = &bucket{level: perSecond * saveAhead.Seconds(), last: steady}
		p.saves[store.StoreAddress] = b
	}
	b.level = min(b.level+perSecond*(steady-b.last).Seconds(), perSecond*saveAhead.Seconds())
	b.last = steady
	if b.level <= 0 {
		return false
	}
	b.level -= r.tokens // it may go below 0: one prompt may be more than a portion
	return true
}

// bucket is what may still be moved, in tokens.
type bucket struct {
	level float64
	last  time.Duration
}

// moved takes a fetch off its source's books. The lock is held.
func (p *Proxy) moved(to *routed) {
	if to.source == "" {
		return
	}
	if p.moving[to.source] -= to.moves; p.moving[to.source] <= 0 {
		delete(p.moving, to.source)
	}
	to.source = ""
}

// setHolder makes a model server known to the index. The lock is held.
func (p *Proxy) setHolder(s *follower.Snapshot, in *peer.Instance) {
	if s.Table == nil {
		return
	}
	if service := s.Table.Services[in.Service]; service != nil && service.Engine != nil {
		p.index.SetHolder(in.ID, service.Engine.KvCapacityTokens)
	}
}

// setStores makes the stores known to the index. The lock is held.
func (p *Proxy) setStores(s *follower.Snapshot, listed map[string]bool) {
	if s.Table == nil {
		return
	}
	for _, store := range s.Table.Stores {
		p.index.SetHolder(store.StoreAddress, store.KvCapacityTokens)
		listed[store.StoreAddress] = true
	}
}

// TakeEvents takes what holders told of the parts that they keep.
func (p *Proxy) TakeEvents(list []peer.Events) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, events := range list {
		if events.Reset {
			p.index.Reset(events.Holder)
		}
		if events.Down {
			p.down[events.Holder] = true
		} else {
			delete(p.down, events.Holder)
		}
		for _, e := range events.List {
			if e.Tokens <= 0 {
				p.index.Lost(events.Holder, e.Salt, e.Part)
				continue
			}
			p.index.Kept(now, events.Holder, e.Salt, kvindex.Part{ID: e.Part, Tokens: float64(e.Tokens)})
		}
	}
}

// HolderState lists what is known of a holder.
func (p *Proxy) HolderState(holder string) []peer.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peer.Event
	p.index.State(holder, func(salt, part string, tokens float64) {
		list = append(list, peer.Event{Salt: salt, Part: part, Tokens: int(tokens)})
	})
	return list
}

// newestVersion gives the newest version named of the request's model, and from when on no older one will do.
func (r *request) newestVersion(set *settings.Settings) (int64, time.Time) {
	v := r.snapshot.Weights[r.model]
	return v, r.snapshot.WeightsAt[r.model].Add(settings.Millis(newestOnly * set.Bounds.VersionMs))
}
