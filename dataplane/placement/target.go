package placement

// Which server a request goes to.

import (
	"time"

	"moleshift/controlplane/directory"
	"moleshift/dataplane/balance"
)

const (
	// A server in another zone or region counts as if so many requests of the same size more were in flight there: the bytes that
	// cross are as many as the request is large, and an answer takes longer.
	otherZone   = 2.0
	otherRegion = 8.0
	// What others sent in the last moments is not told yet, and routers that were told the same would all take the same server for
	// the least loaded: so much of what they may have there is drawn at random, also where all of them are heard.
	untoldShare = 0.5
	// What a token counts at a server that lacks it, against one that only this request needs, where it is fetched and where it is
	// read. A second copy also pushes out what other requests would have found kept there, and what is pushed out is read again: the
	// more of the server's memory is taken, the more.
	fetchedShare = 0.25
	againShare   = 1.0
	copyShare    = 2.0 // is added to both, times the share of the server's memory that is taken
)

// Choose places a request; nil: there is no server for it.
func (p *Placer) Choose(now time.Duration, q *Query) *Placement {
	most := p.longestBySalt(q)
	candidates := p.candidates(now, q, most)
	homes := p.homes(q, candidates, most)
	_, shared := q.Work.shared()
	for _, home := range homes {
		candidates[home].Size = q.Work.size(shared)
	}
	indices, admitted := admit(q, candidates)
	chosen := balance.Choose(admitted, p.random)
	if chosen < 0 {
		return nil
	}
	i := indices[chosen]
	server := &q.Servers[i]
	to := &Placement{Index: i, Server: server.ID, Version: server.Version, Salt: server.Salt, Size: q.Work.size(0), Reason: ReasonLoad}
	if server.Version > 0 {
		own := p.index.Prefix(server.ID, server.Salt, q.Work.Parts)
		if home, ok := homes[server.Salt]; ok && home == i {
			to.Reason = ReasonHome
		} else if shared > 0 && own >= shared {
			to.Reason = ReasonKept
		}
		p.nameSource(q, to, own)
		p.nameStore(now, q, to)
	}
	return to
}

// admit gives the candidates that the request may be sent to, with their indices.
func admit(q *Query, candidates []balance.Candidate) (indices []int, admitted []balance.Candidate) {
	for i := range candidates {
		if q.Servers[i].Target {
			indices, admitted = append(indices, i), append(admitted, candidates[i])
		}
	}
	return indices, admitted
}

// candidates weighs each server of a query.
func (p *Placer) candidates(now time.Duration, q *Query, most map[string]float64) []balance.Candidate {
	guessed := max(1-p.heard(), untoldShare) * p.unseen(now, q)
	whole := q.Work.size(0)
	_, shared := q.Work.shared()
	list := make([]balance.Candidate, len(q.Servers))
	for i := range q.Servers {
		s := &q.Servers[i]
		size := whole
		if s.Version > 0 {
			own := p.index.Prefix(s.ID, s.Salt, q.Work.Parts)
			kept := max(most[s.Salt], own)
			copied := copyShare * p.index.Fill(s.ID)
			size = q.Work.size(own) + (fetchedShare+copied-1)*(kept-own) + (againShare+copied-1)*max(shared-kept, 0)
		}
		queue := p.loads.Total(s.ID).Tokens + whole*p.distance(s.Zone, p.set.Zone, 0, otherZone, otherRegion)
		if guessed > 0 {
			queue += guessed * p.random.ExpFloat64()
		}
		list[i] = balance.Candidate{Size: size, Queue: queue, Standing: s.Standing}
	}
	return list
}

// homes gives, for each salt under which no holder is known to keep all shared parts of a request, the server at which they are
// looked for: the first by rendezvous hash among those of the best standing. Routers that know nothing of one another's latest sends
// so bring a prompt to the server that is reading it.
func (p *Placer) homes(q *Query, candidates []balance.Candidate, most map[string]float64) map[string]int {
	parts, shared := q.Work.shared()
	if shared < leastMove {
		return nil
	}
	homes, weights := map[string]int{}, map[string]uint64{}
	last := parts[len(parts)-1].ID
	for i := range candidates {
		s := &q.Servers[i]
		if !s.Target || s.Version == 0 || most[s.Salt] >= shared {
			continue
		}
		weight := directory.Weight(s.ID, last)
		best, ok := homes[s.Salt]
		if !ok || s.Standing < q.Servers[best].Standing || (s.Standing == q.Servers[best].Standing && weight > weights[s.Salt]) {
			homes[s.Salt], weights[s.Salt] = i, weight
		}
	}
	return homes
}

// unseen estimates the work that the other routers have in flight at a server of the service from this router's own mean.
func (p *Placer) unseen(now time.Duration, q *Query) float64 {
	own := 0.0
	for i := range q.Servers {
		own += p.loads.Own(q.Servers[i].ID).Tokens
	}
	mean := p.means[q.Service]
	if mean == nil {
		mean = &meanLoad{}
		p.means[q.Service] = mean
	}
	return mean.note(now, own) * float64(p.routers-1) / float64(max(len(q.Servers), 1))
}

// distance gives the factor for the way between two zones.
func (p *Placer) distance(zone, from string, here, zoneFactor, regionFactor float64) float64 {
	switch {
	case zone == from:
		return here
	case p.set.Zones[zone] == p.set.Zones[from]:
		return zoneFactor
	}
	return regionFactor
}
