package placement

// Where the shared parts of a prompt are saved.

import "time"

const (
	leastSave = 1024 // tokens of shared parts: fewer are not worth a move to the store
	savingFor = 2 * time.Second
	saveShare = 0.6             // of a store's link that saves of all routers together may take
	saveAhead = 5 * time.Second // saves that were not made may be made up for so long
)

// nameStore names a store where the shared parts of the prompt are to be kept and are not yet.
func (p *Placer) nameStore(now time.Duration, q *Query, to *Placement) {
	shared, tokens := q.Work.shared()
	if len(shared) == 0 || len(q.Stores) == 0 {
		return
	}
	store := &q.Stores[0]
	if tokens < leastSave || p.down[store.Address] || p.index.Prefix(store.Address, to.Salt, shared) >= tokens {
		return
	}
	if !p.maySave(now, store, q.Work.Tokens) {
		return
	}
	key := to.Salt + " " + shared[len(shared)-1].ID
	if until, ok := p.saving[key]; ok && now < until {
		return
	}
	p.saving[key] = now + savingFor
	to.Save = store.Address
}

// maySave takes the save of a prompt out of this router's portion of the store's link, where there is room in it.
func (p *Placer) maySave(now time.Duration, store *Store, tokens float64) bool {
	if store.TokensPerSecond <= 0 {
		return true
	}
	perSecond := saveShare * store.TokensPerSecond / float64(p.routers)
	b := p.saves[store.Address]
	if b == nil {
		b = &bucket{level: perSecond * saveAhead.Seconds(), last: now}
		p.saves[store.Address] = b
	}
	b.level = min(b.level+perSecond*(now-b.last).Seconds(), perSecond*saveAhead.Seconds())
	b.last = now
	if b.level <= 0 {
		return false
	}
	b.level -= tokens // it may go below 0: one prompt may be more than a portion
	return true
}

// bucket is what may still be moved, in tokens.
type bucket struct {
	level float64
	last  time.Duration
}
