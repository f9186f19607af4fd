package proxy

import (
	"time"

	"moleshift/controlplane/registry"
	"moleshift/dataplane/balance"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/kvindex"
	"moleshift/dataplane/outlier"
	"moleshift/peer"
	"moleshift/settings"
)

const (
	// Marginal loads of servers in other zones and regions count so many times as much: bytes between zones are dear, and an answer
	// takes longer. docs/design/system.md says what that departs from.
	otherZone   = 8.0
	otherRegion = 16.0
	// Moves of kept parts take so many times as long between zones and between regions (PROTOCOL.md).
	moveOtherZone   = 2.0
	moveOtherRegion = 10.0
	leastMove       = 64   // tokens: less than that is read again sooner than fetched
	movedShare      = 0.25 // what a token that is fetched counts against one that is read: it takes up memory all the same
	leastSave       = 1024 // tokens of shared parts: fewer are not worth a move to the store
	savingFor       = 2 * time.Second
)

// distance tells how much more something costs to a server of another zone.
func (p *Proxy) distance(zone, from string, zoneFactor, regionFactor float64) float64 {
	switch {
	case zone == from:
		return 1
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
		candidates = append(candidates, balance.Candidate{
			Size: to.size, Queue: t.queue + t.others(now), Standing: p.standing(t, steady),
			Slowness: p.distance(t.instance.Zone, p.set.Zone, otherZone, otherRegion),
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
			Slowness: s.slowness * p.distance(s.zone, to.target.instance.Zone, moveOtherZone, moveOtherRegion),
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
	tokens := 0.0
	for _, part := range shared {
		tokens += part.Tokens
	}
	store := r.snapshot.Table.Stores[0]
	if tokens < leastSave || p.down[store.StoreAddress] || p.index.Prefix(store.StoreAddress, to.salt, shared) >= tokens {
		return
	}
	key := to.salt + " " + shared[len(shared)-1].ID
	if until, ok := p.saving[key]; ok && steady < until {
		return
	}
	p.saving[key] = steady + savingFor
	to.save = store.StoreAddress
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
