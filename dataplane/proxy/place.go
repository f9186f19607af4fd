package proxy

// How a request is placed: what package placement decides on, gathered from the configuration, the table of servers and what this
// router has seen of them.

import (
	"time"

	"moleshift/controlplane/configuration"
	"moleshift/controlplane/registry"
	"moleshift/controlplane/release"
	"moleshift/dataplane/attempt"
	"moleshift/dataplane/canary"
	"moleshift/dataplane/outlier"
	"moleshift/dataplane/placement"
)

// routed is a request on its way to a server.
type routed struct {
	placement.Placement
	target  *target
	sentAt  time.Duration // steady clock of the proxy
	attempt canary.Attempt
	gaveUp  bool // nothing came for so long that it was not waited for any more
	outcome attempt.Outcome
	unsent  unsentCause // where the outcome is NotSent
	word    serverWord  // the last answer that was read
}

// choose places a request; nil: there is no server for it.
func (p *Proxy) choose(r *request) *routed {
	now := time.Now()
	steady := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	query, targets := p.query(r, now, steady)
	to := p.placer.Choose(steady, query)
	if to == nil {
		return nil
	}
	return &routed{Placement: *to, target: targets[to.Index]}
}

// query gathers what the placement of a request depends on, and the target of each server in it. The lock is held.
func (p *Proxy) query(r *request, now time.Time, steady time.Duration) (*placement.Query, []*target) {
	targets := p.services[r.service.Name]
	query := &placement.Query{Service: r.service.Name, Work: r.work, Servers: make([]placement.Server, 0, len(targets))}
	least := p.leastVersion(r, now, steady)
	snapshot := p.follow()
	table := snapshot.Table
	split := p.split(r, snapshot, now, steady)
	current := release.Of(snapshot.Releases, r.service.Name)
	salts := map[int64]string{}
	for _, t := range targets {
		standing := p.standing(t, steady)
		server := placement.Server{
			ID: t.instance.ID, Address: t.instance.Address, Zone: t.instance.Zone, Standing: standing,
			Source: standing <= outlier.Busy && (current == nil || !current.Retired(t.instance.Version)),
			Target: !r.tried[t.instance.ID] && t.instance.State == registry.Ready && split.Admits(t.instance.ID, t.instance.Version),
		}
		if r.model != "" && r.service.Engine != nil {
			server.Version = max(t.version(r.model), 1)
			salt, ok := salts[server.Version]
			if !ok {
				salt = r.salt(table, server.Version)
				salts[server.Version] = salt
			}
			server.Salt = salt
			server.Target = server.Target && server.Version >= least
		}
		query.Servers = append(query.Servers, server)
	}
	for _, store := range r.snapshot.Table.Stores {
		query.Stores = append(query.Stores, storeOf(store, r.service))
	}
	return query, targets
}

// storeOf describes a store to the placement of a service's requests.
func storeOf(store, service *configuration.Service) placement.Store {
	s := placement.Store{Address: store.StoreAddress, Zone: store.Zone, Slowness: 1}
	engine := service.Engine
	if engine == nil || store.LinkMbps <= 0 {
		return s
	}
	if engine.LinkMbps > 0 {
		s.Slowness = engine.LinkMbps / store.LinkMbps
	}
	if engine.KvTokenBytes > 0 {
		s.TokensPerSecond = store.LinkMbps * 1e6 / 8 / engine.KvTokenBytes
	}
	return s
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
