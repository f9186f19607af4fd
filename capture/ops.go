package capture

// ops.go owns what is made of captures: a window of time, more or less load, several put together, a summary. It must never
// change a query but for its time, or for a number that tells copies apart.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cut keeps the queries that came from a time on for some time, and counts from there.
func Cut(all []*Query, from, length time.Duration) []*Query {
	begin := int64(from / (time.Millisecond / 10))
	end := int64(math.MaxInt64)
	if length > 0 {
		end = begin + int64(length/(time.Millisecond/10))
	}
	var kept []*Query
	for _, q := range all {
		if q.At >= begin && q.At < end {
			next := *q
			next.At -= begin
			kept = append(kept, &next)
		}
	}
	return kept
}

// Scale makes the load so many times what it is, for one tenant or vertical or (empty) for all. Less is drawn by chance. More
// is copies at other times within half a second of the first, so that a burst stays one; they have the same keys, so that each
// key keeps its share.
func Scale(all []*Query, times float64, tenant, vertical string, seed uint64) []*Query {
	rng := rand.New(rand.NewPCG(seed, 0xca))
	var made []*Query
	for _, q := range all {
		if tenant != "" && q.Tenant != tenant || vertical != "" && q.Vertical != vertical {
			made = append(made, q)
			continue
		}
		n := int(times)
		if rng.Float64() < times-float64(n) {
			n++
		}
		for i := range n {
			next := *q
			if i > 0 {
				next.At = max(q.At+rng.Int64N(10000)-5000, 0)
			}
			made = append(made, &next)
		}
	}
	slices.SortStableFunc(made, func(a, b *Query) int { return cmp.Compare(a.At, b.At) })
	return made
}

// Piece is one capture of a merge: queries, and when their capture began.
type Piece struct {
	Begun   time.Time
	Queries []*Query
}

// Merge puts the captures of several routers together, on one clock: that of the earliest.
func Merge(parts []Piece) (begun time.Time, all []*Query) {
	for _, p := range parts {
		if begun.IsZero() || p.Begun.Before(begun) {
			begun = p.Begun
		}
	}
	for _, p := range parts {
		shift := int64(p.Begun.Sub(begun) / (time.Millisecond / 10))
		for _, q := range p.Queries {
			next := *q
			next.At += shift
			all = append(all, &next)
		}
	}
	slices.SortStableFunc(all, func(a, b *Query) int { return cmp.Compare(a.At, b.At) })
	return begun, all
}

// Summary is what a capture holds, in short.
type Summary struct {
	Queries   int
	Seconds   float64
	Peak      int // queries in the busiest second
	Verticals []GroupSummary
	Tenants   []GroupSummary
	Shards    []int // parts by shard
	Keys      int   // that differ; 0 where none are known
	HotKey    float64
	Calls     map[uint8]int // by outcome
}

// GroupSummary is one vertical's or tenant's part.
type GroupSummary struct {
	Name    string
	Queries int
	Parts   int
	Work    float64 // ms, of parts whose work or hint is known
	Finals  [6]int
	Took    *hdrhistogram.Histogram // tenths
}

// Summarise looks through a capture.
func Summarise(all []*Query) *Summary {
	s := &Summary{Queries: len(all), Calls: map[uint8]int{}}
	seconds, keys := map[int64]int{}, map[uint64]int{}
	group := func(list *[]GroupSummary, name string) *GroupSummary {
		i := slices.IndexFunc(*list, func(g GroupSummary) bool { return g.Name == name })
		if i < 0 {
			*list = append(*list, GroupSummary{Name: name, Took: hdrhistogram.New(1, 100_000_000, 3)})
			i = len(*list) - 1
		}
		return &(*list)[i]
	}
	last := int64(0)
	for _, q := range all {
		last = max(last, q.At)
		seconds[q.At/10000]++
		s.Peak = max(s.Peak, seconds[q.At/10000])
		if q.Key != 0 {
			keys[q.Key]++
		}
		for _, g := range []*GroupSummary{group(&s.Verticals, q.Vertical), group(&s.Tenants, q.Tenant)} {
			g.Queries++
			g.Parts += len(q.Parts)
			g.Finals[q.Final]++
			if q.Took > 0 {
				g.Took.RecordValue(min(q.Took, 100_000_000))
			}
			for i := range q.Parts {
				g.Work += q.Parts[i].Cost()
			}
		}
		for i := range q.Parts {
			p := &q.Parts[i]
			for p.Shard >= len(s.Shards) && p.Shard < 1<<20 {
				s.Shards = append(s.Shards, 0)
			}
			if p.Shard < len(s.Shards) {
				s.Shards[p.Shard]++
			}
			for _, c := range p.Calls {
				s.Calls[c.Outcome]++
			}
		}
	}
	s.Seconds = float64(last+1) / 10000
	s.Keys = len(keys)
	for _, n := range keys {
		s.HotKey = max(s.HotKey, float64(n)/float64(max(len(all), 1)))
	}
	for _, list := range [][]GroupSummary{s.Verticals, s.Tenants} {
		slices.SortFunc(list, func(a, b GroupSummary) int { return cmp.Or(b.Queries-a.Queries, cmp.Compare(a.Name, b.Name)) })
	}
	return s
}

// Cost is a part's work as far as it is known, else its hint, else 0.
func (p *Part) Cost() float64 {
	if p.Work > 0 {
		return p.Work
	}
	return p.Hint
}
