package proxy

// What this router hears from the others and tells them: the events of holders of kept parts, and the work in flight at servers.

import (
	"math"
	"slices"

	"moleshift/dataplane/follower"
	"moleshift/dataplane/inflight"
	"moleshift/dataplane/kvindex"
	"moleshift/peer"
)

// setHolder makes a model server known to the index. The lock is held.
func (p *Proxy) setHolder(s *follower.Snapshot, in *peer.Instance) {
	if s.Table == nil {
		return
	}
	if service := s.Table.Services[in.Service]; service != nil && service.Engine != nil {
		p.placer.Index().SetHolder(in.ID, service.Engine.KvCapacityTokens)
	}
}

// setStores makes the stores known to the index. The lock is held.
func (p *Proxy) setStores(s *follower.Snapshot, listed map[string]bool) {
	if s.Table == nil {
		return
	}
	for _, store := range s.Table.Stores {
		p.placer.Index().SetHolder(store.StoreAddress, store.KvCapacityTokens)
		listed[store.StoreAddress] = true
	}
}

// dropOldParts forgets what a server kept under older weights than it is now known to have: it dropped that when it loaded, and not
// every event of it comes. The lock is held.
func (p *Proxy) dropOldParts(t *target, now *peer.Instance) {
	if slices.Equal(t.instance.Models, now.Models) {
		return
	}
	p.placer.Index().KeepOnly(now.ID, func(salt string) bool {
		return slices.ContainsFunc(now.Models, func(m peer.Model) bool { return madeUnder(salt, m.Name, max(m.Version, 1)) })
	})
}

// TakeEvents takes what holders told of the parts that they keep.
func (p *Proxy) TakeEvents(list []peer.Events) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, index := p.now(), p.placer.Index()
	for _, events := range list {
		if events.Reset {
			index.Reset(events.Holder)
		}
		p.placer.SetDown(events.Holder, events.Down)
		for _, e := range events.List {
			if e.Tokens <= 0 {
				index.Lost(events.Holder, e.Salt, e.Part)
				continue
			}
			index.Kept(now, events.Holder, e.Salt, kvindex.Part{ID: e.Part, Tokens: float64(e.Tokens)})
		}
	}
}

// HolderState lists what is known of a holder.
func (p *Proxy) HolderState(holder string) []peer.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peer.Event
	p.placer.Index().State(holder, func(salt, part string, tokens float64) {
		list = append(list, peer.Event{Salt: salt, Part: part, Tokens: int(tokens)})
	})
	return list
}

// RequestsAt gives how many requests all routers have in flight at a server, as far as it is known.
func (p *Proxy) RequestsAt(instance string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.placer.Loads().Total(instance).Requests)
}

// LoadAccount gives what is due to the other routers of this router's work in flight; nil: nothing.
func (p *Proxy) LoadAccount() *peer.LoadAccount {
	p.mu.Lock()
	a := p.placer.Loads().Tell(p.now())
	p.mu.Unlock()
	if a == nil {
		return nil
	}
	told := &peer.LoadAccount{Router: a.Router, Number: a.Number, Whole: a.Whole}
	for _, at := range a.List {
		told.List = append(told.List, peer.ServerLoad{
			Server: at.Server, Tokens: int(math.Round(at.Load.Tokens)), Requests: at.Load.Requests,
		})
	}
	return told
}

// TakeAccounts takes what other routers told of their work in flight.
func (p *Proxy) TakeAccounts(list []peer.LoadAccount) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range list {
		p.placer.Loads().Take(p.now(), accountOf(&list[i]))
	}
}

func accountOf(told *peer.LoadAccount) *inflight.Account {
	a := &inflight.Account{Router: told.Router, Number: told.Number, Whole: told.Whole}
	for _, at := range told.List {
		load := inflight.Load{Tokens: float64(at.Tokens), Requests: at.Requests}
		a.List = append(a.List, inflight.At{Server: at.Server, Load: load})
	}
	return a
}
