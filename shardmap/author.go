package shardmap

// author.go owns what the author of the map proposes: a shard that has too much of the load is split, two neighbours that have too
// little are merged, and the leaf that has too much gives a shard to the one that has least. It sees one map and what was measured
// under it. It must never propose what the map would refuse, nor a second move of a shard while the first is under way, nor take the
// last serving holder from a shard.

import (
	"cmp"
	"slices"
)

// AuthorSettings is when the author acts. Multiples are of the mean.
type AuthorSettings struct {
	Split  float64 // a shard with over so many times the mean load is split
	Merge  float64 // two neighbours with under so many times it together are merged
	Move   float64 // a leaf with over so many times the mean gives a shard away
	Shards int     // the most that there may be
	Least  float64 // total load under which nothing is told by it
}

// Load is what was measured: work by shard, in any unit.
type Load map[int]float64

// Propose is the next change of a map, without its version; nil where nothing is worth one. Leaves are those that may hold shards. One
// thing at a time: what has begun goes on first.
func (a *AuthorSettings) Propose(m *Map, load Load, leaves []string) []Op {
	if ops := a.goOn(m); ops != nil {
		return ops
	}
	total := 0.0
	for i := range m.Shards {
		total += load[m.Shards[i].ID]
	}
	if total < a.Least || total <= 0 {
		return nil
	}
	if ops := a.split(m, load, total); ops != nil {
		return ops
	}
	if ops := a.move(m, load, total, leaves); ops != nil {
		return ops
	}
	return a.merge(m, load, total)
}

// goOn ends a move: once the new holder serves, the one that it stands for is to leave, and goes. How far a new holder is with
// preparing and warming is its own to say, and others' to publish.
func (a *AuthorSettings) goOn(m *Map) []Op {
	for i := range m.Shards {
		s := &m.Shards[i]
		serving, coming := 0, 0
		for _, h := range s.Holders {
			switch h.State {
			case Serving:
				serving++
			case Preparing, Cold:
				coming++
			}
		}
		for _, h := range s.Holders {
			if h.State == Leaving && serving > 0 && coming == 0 {
				return []Op{{Kind: Turn, Shard: s.ID, Leaf: h.Leaf, To: Gone}}
			}
		}
	}
	return nil
}

// split halves the shard with the most load, if that is too much.
func (a *AuthorSettings) split(m *Map, load Load, total float64) []Op {
	if a.Split <= 0 || len(m.Shards) >= a.Shards {
		return nil
	}
	most := slices.MaxFunc(m.Shards, func(x, y Shard) int { return cmp.Compare(load[x.ID], load[y.ID]) })
	if load[most.ID] <= a.Split*total/float64(len(m.Shards)) || most.Range.Width() < 2 || moving(&most) {
		return nil
	}
	next := m.fresh()
	return []Op{{Kind: Split, Shard: most.ID, Into: [2]int{next, next + 1}, At: most.Range.From + most.Range.Width()/2}}
}

// merge puts the two neighbours with the least load together, if that is little and one leaf that serves holds both.
func (a *AuthorSettings) merge(m *Map, load Load, total float64) []Op {
	best, least := -1, a.Merge*total/float64(len(m.Shards))
	for i := 1; i < len(m.Shards); i++ {
		x, y := &m.Shards[i-1], &m.Shards[i]
		if sum := load[x.ID] + load[y.ID]; sum < least && !moving(x) && !moving(y) &&
			slices.Equal(x.Holders, y.Holders) {
			best, least = i-1, sum
		}
	}
	if best < 0 {
		return nil
	}
	return []Op{{Kind: Merge, Shard: m.Shards[best].ID, Into: [2]int{m.fresh()}}}
}

// move has the leaf with the least load prepare for a shard of the one with the most, and has that one leave where a move before has
// come to an end: a shard with a holder more than its neighbours have is one.
func (a *AuthorSettings) move(m *Map, load Load, total float64, leaves []string) []Op {
	if a.Move <= 0 || len(leaves) < 2 {
		return nil
	}
	held := map[string]float64{}
	usual := 0
	for i := range m.Shards {
		s := &m.Shards[i]
		if moving(s) {
			return nil // one at a time
		}
		usual = max(usual, len(s.Holders))
		for _, h := range s.Holders {
			held[h.Leaf] += load[s.ID] / float64(len(s.Holders))
		}
	}
	few := usual
	for i := range m.Shards {
		few = min(few, len(m.Shards[i].Holders))
	}
	byLoad := func(x, y Holder) int {
		return cmp.Or(cmp.Compare(held[x.Leaf], held[y.Leaf]), cmp.Compare(x.Leaf, y.Leaf))
	}
	for i := range m.Shards {
		if s := &m.Shards[i]; len(s.Holders) > few && few > 0 { // the new one serves: the one with the most load goes
			from := slices.MaxFunc(s.Holders, byLoad)
			return []Op{{Kind: Turn, Shard: s.ID, Leaf: from.Leaf, To: Leaving}}
		}
	}
	order := slices.Clone(leaves)
	slices.SortFunc(order, func(x, y string) int { return cmp.Or(cmp.Compare(held[x], held[y]), cmp.Compare(x, y)) })
	to, from := order[0], order[len(order)-1]
	if held[from] <= a.Move*total/float64(len(leaves)) {
		return nil
	}
	best, gain := -1, 0.0
	for i := range m.Shards {
		s := &m.Shards[i]
		if s.holder(from) < 0 || s.holder(to) >= 0 || len(s.Holders) >= MostHolders {
			continue
		}
		// The worse of the two is to be better afterwards than it was, or it would go back and forth.
		part := load[s.ID] / float64(len(s.Holders))
		if better := held[from] - max(held[from]-part, held[to]+part); better > gain {
			best, gain = i, better
		}
	}
	if best < 0 {
		return nil
	}
	return []Op{{Kind: Add, Shard: m.Shards[best].ID, Leaf: to}}
}

// moving: somebody comes or goes.
func moving(s *Shard) bool {
	return slices.ContainsFunc(s.Holders, func(h Holder) bool { return h.State != Serving })
}

// fresh is a number that no shard has, nor any after it.
func (m *Map) fresh() int {
	next := 0
	for i := range m.Shards {
		next = max(next, m.Shards[i].ID+1)
	}
	return next
}
