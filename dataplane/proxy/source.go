package proxy

// Which source a request names for the parts that its server lacks, and where parts are saved.

import (
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/balance"
	"moleshift/dataplane/outlier"
)

const (
	// Moves of kept parts take so many times as long between zones and between regions (PROTOCOL.md).
	moveOtherZone   = 2.0
	moveOtherRegion = 10.0
	leastMove       = 64   // tokens: less than that is read again sooner than fetched
	leastSave       = 1024 // tokens of shared parts: fewer are not worth a move to the store
	savingFor       = 2 * time.Second
	saveShare       = 0.6             // of a store's link that saves of all routers together may take
	saveAhead       = 5 * time.Second // saves that were not made may be made up for so long
)

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
