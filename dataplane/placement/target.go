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
	holders := p.sources(q)
	longest := p.longestBySalt(q, holders)
	targets := targetsOf(q)
	candidates := p.candidates(now, q, targets, longest)
	homes := p.homes(q, targets, longest)
	parts, shared := q.Work.shared()
	for _, home := range homes {
		candidates[home].Size = q.Work.size(shared)
	}
	chosen := balance.Choose(candidates, p.random)
	if chosen < 0 {
		return nil
	}
	i := targets[chosen]
	server := &q.Servers[i]
	to := &Placement{Index: i, Server: server.ID, Version: server.Version, Salt: server.Salt, Size: q.Work.size(0), Reason: ReasonLoad}
	if server.Version == 0 {
		return to
	}
	own := p.index.Prefix(server.ID, server.Salt, q.Work.Parts)
	to.Prompt = Prompt{Shared: shared, Kept: min(own, shared)}
	if len(parts) > 0 {
		to.Prompt.Last = parts[len(parts)-1].ID
	}
	if home, ok := homes[server.Salt]; ok && home == chosen {
		to.Reason = ReasonHome
	} else if shared > 0 && own >= shared {
		to.Reason = ReasonKept
	}
	p.nameSource(q, holders, to, own)
	p.nameStore(now, q, to)
	return to
}

// targetsOf lists the servers that the request may be sent to, as indices into Query.Servers.
func targetsOf(q *Query) []int {
	targets := make([]int, 0, len(q.Servers))
	for i := range q.Servers {
		if q.Servers[i].Target {
			targets = append(targets, i)
		}
	}
	return targets
}

// candidates weighs each target of a query.
func (p *Placer) candidates(now time.Duration, q *Query, targets []int, longest map[string]float64) []balance.Candidate {
	guessed := max(1-p.heard(), untoldShare) * p.unseen(now, q)
	whole := q.Work.size(0)
	_, shared := q.Work.shared()
	list := make([]balance.Candidate, 0, len(targets))
	for _, i := range targets {
		s := &q.Servers[i]
		size := whole
		if s.Version > 0 {
			own := p.index.Prefix(s.ID, s.Salt, q.Work.Parts)
			kept := max(longest[s.Salt], own)
			copied := copyShare * p.index.Fill(s.ID)
			size = q.Work.size(own) + (fetchedShare+copied-1)*(kept-own) + (againShare+copied-1)*max(shared-kept, 0)
		}
		queue := p.loads.Total(s.ID).Tokens + whole*p.distance(s.Zone, p.set.Zone, 0, otherZone, otherRegion)
		if guessed > 0 {
			queue += guessed * p.random.ExpFloat64()
		}
		list = append(list, balance.Candidate{Size: size, Queue: queue, Standing: s.Standing})
	}
	return list
}

// homes gives, for each salt under which no holder is known to keep all shared parts of a request, the target at which they are
// looked for, as an index into targets: the first by rendezvous hash among those of the best standing. Routers that know nothing of
// one another's latest sends so bring a prompt to the server that is reading it.
func (p *Placer) homes(q *Query, targets []int, longest map[string]float64) map[string]int {
	parts, shared := q.Work.shared()
	if shared < leastMove {
		return nil
	}
	homes, weights := map[string]int{}, map[string]uint64{}
	last := parts[len(parts)-1].ID
	for n, i := range targets {
		s := &q.Servers[i]
		if s.Version == 0 || longest[s.Salt] >= shared {
			continue
		}
		weight := directory.Weight(s.ID, last)
		best, ok := homes[s.Salt]
		if ok && !goesBefore(s.Standing, weight, q.Servers[targets[best]].Standing, weights[s.Salt]) {
			continue
		}
		homes[s.Salt], weights[s.Salt] = n, weight
	}
	return homes
}

// goesBefore tells whether a server goes before another as the home of a prompt: the better standing, then the greater weight.
func goesBefore(standing int, weight uint64, otherStanding int, otherWeight uint64) bool {
	if standing != otherStanding {
		return standing < otherStanding
	}
	return weight > otherWeight
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
