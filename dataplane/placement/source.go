package placement

// Which source a request names for the parts that its server lacks.

import "moleshift/dataplane/balance"

const (
	// Moves of kept parts take so many times as long between zones and between regions (PROTOCOL.md).
	moveOtherZone   = 2.0
	moveOtherRegion = 10.0
	leastMove       = 64 // tokens: less than that is read again sooner than fetched
)

// source is a holder that parts may be fetched from.
type source struct {
	id, address, zone string
	slowness          float64 // of its link, against a server's
}

// sources lists the holders that may be asked for the parts of a request's prompt. Salts keep versions and tenants apart.
func (p *Placer) sources(q *Query) []source {
	var list []source
	for i := range q.Servers {
		s := &q.Servers[i]
		if s.Source && !p.down[s.ID] {
			list = append(list, source{s.ID, s.Address, s.Zone, 1})
		}
	}
	for i := range q.Stores {
		s := &q.Stores[i]
		if !p.down[s.Address] {
			list = append(list, source{s.Address, s.Address, s.Zone, s.Slowness})
		}
	}
	return list
}

// longestBySalt gives the longest prefix of a request's prompt that any source keeps, in tokens, for each salt of the servers.
func (p *Placer) longestBySalt(q *Query, holders []source) map[string]float64 {
	longest := map[string]float64{}
	for i := range q.Servers {
		s := &q.Servers[i]
		if _, ok := longest[s.Salt]; ok || s.Version == 0 {
			continue
		}
		most := 0.0
		for _, holder := range holders {
			most = max(most, p.index.Prefix(holder.id, s.Salt, q.Work.Parts))
		}
		longest[s.Salt] = most
	}
	return longest
}

// nameSource names the source of least marginal load among those that keep the most of what the server lacks, which keeps own tokens
// itself.
func (p *Placer) nameSource(q *Query, holders []source, to *Placement, own float64) {
	var list []source
	var candidates []balance.Candidate
	most := own + leastMove
	for _, s := range holders {
		kept := p.index.Prefix(s.id, to.Salt, q.Work.Parts)
		if s.id == to.Server || kept < most {
			continue
		}
		if kept > most {
			most, list, candidates = kept, nil, nil
		}
		list = append(list, s)
		candidates = append(candidates, balance.Candidate{
			Size: kept - own, Queue: p.moving[s.id],
			Slowness: s.slowness * p.distance(s.zone, q.Servers[to.Index].Zone, 1, moveOtherZone, moveOtherRegion),
		})
	}
	if i := balance.Choose(candidates, p.random); i >= 0 {
		to.Fetch, to.Source, to.Moves = list[i].address, list[i].id, most-own
	}
	to.Size = q.Work.size(own + to.Moves)
}

// moved takes a fetch off its source's books.
func (p *Placer) moved(to *Placement) {
	if to.Source == "" {
		return
	}
	if p.moving[to.Source] -= to.Moves; p.moving[to.Source] <= 0 {
		delete(p.moving, to.Source)
	}
	to.Source = ""
}
