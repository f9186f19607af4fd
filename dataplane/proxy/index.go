package proxy

// How the index of kept parts is fed: by the controllers' tables, and by the events that collectors pass on.

import (
	"moleshift/dataplane/follower"
	"moleshift/dataplane/kvindex"
	"moleshift/peer"
)

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
