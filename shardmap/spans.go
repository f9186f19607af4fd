package shardmap

// spans.go owns which ranges queries are cut into by the map, and who may be asked for each. A range that is
// asked for has a number, by which whoever chooses among holders knows it. It must never name a holder that
// does not hold all of a range, and never give a number to two ranges while either is in use.

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Time is a point in time, in whole tenths of a millisecond.
type Time int64

const (
	mostSpans = 1 << 13 // numbers that may be given out at once
	spanKept  = 10_000  // tenths for which a range that nobody asks for keeps its number, at least
	shareUnit = 10_000  // in which the share of parts for cold holders is drawn
)

// Span is a range that is asked for. Where it has a cold holder two spans stand for it: one of which the cold
// holder is a candidate, and one of which it is not.
type Span struct {
	Keys   Range
	Cold   bool // cold holders are among its candidates, beside warm ones
	Number int
	open   int // parts of open queries
	used   Time
}

type spanKey struct {
	keys Range
	cold bool
}

// Cut is a piece of what a query asks for, by the map.
type Cut struct {
	Span   *Span
	Slice  int     // that was asked for
	Share  float64 // of the slice
	Number int     // of the piece in its slice, from 0
	Of     int     // pieces of the slice
}

// Spans cuts slices into ranges. Clients name slices: slice i of n stands for the i-th of n equal ranges.
type Spans struct {
	now     *Map
	slices  int
	share   float64 // of a range's parts that may go to a cold holder while there is a warm one
	seed    uint64
	drawn   uint64
	byKeys  map[spanKey]*Span
	numbers []*Span // by number; nil: free
}

// NewSpans begins without a map.
func NewSpans(slices int, share float64, seed uint64) *Spans {
	return &Spans{slices: slices, share: share, seed: seed, byKeys: map[spanKey]*Span{}}
}

// MostSpans is one more than the greatest number that is given out.
func MostSpans() int { return mostSpans }

// Move goes on by another map, and takes numbers back that nobody has asked for in a while. All holders have
// to be told anew.
func (s *Spans) Move(now Time, m *Map) {
	s.now = m
	for i, x := range s.numbers {
		if x != nil && x.open == 0 && now-x.used > spanKept {
			delete(s.byKeys, spanKey{x.Keys, x.Cold})
			s.numbers[i] = nil
		}
	}
}

// keysOf is the range that a slice stands for.
func (s *Spans) keysOf(slice int) Range {
	each := Space / uint64(s.slices)
	keys := Range{each * uint64(slice), each * uint64(slice+1)}
	if slice == s.slices-1 {
		keys.To = Space
	}
	return keys
}

// Ask cuts slices at the map's borders. Fresh are the spans that are new: their holders have to be told. It
// is not ok where there is no map, or no number is left; then nothing was asked.
func (s *Spans) Ask(now Time, slices []int) (pieces []Cut, fresh []*Span, ok bool) {
	if s.now == nil {
		return nil, nil, false
	}
	for _, slice := range slices {
		keys := s.keysOf(slice)
		over := s.now.Over(keys)
		for i, shard := range over {
			part := Range{max(keys.From, shard.Range.From), min(keys.To, shard.Range.To)}
			x, isNew := s.span(part, shard)
			if x == nil {
				return nil, fresh, false
			}
			if x.used = now; isNew {
				fresh = append(fresh, x)
			}
			pieces = append(pieces, Cut{x, slice, float64(part.Width()) / float64(keys.Width()), i, len(over)})
		}
	}
	for _, p := range pieces {
		p.Span.open++
	}
	return pieces, fresh, true
}

// Done: a piece's query is over.
func (s *Spans) Done(x *Span) { x.open-- }

// span finds or makes the span of a range. Whether a cold holder is among its candidates is drawn for each
// part: so it gets the stated share of them at the most, however many routers there are and whatever each
// thinks of it.
func (s *Spans) span(keys Range, shard *Shard) (x *Span, isNew bool) {
	key := spanKey{keys, false}
	if _, cold := shard.Candidates(); len(cold) > 0 {
		key.cold = s.draw()
	}
	if x = s.byKeys[key]; x != nil {
		return x, false
	}
	free := slices.Index(s.numbers, nil)
	if free < 0 {
		if free = len(s.numbers); free == mostSpans {
			return nil, false
		}
		s.numbers = append(s.numbers, nil)
	}
	x = &Span{Keys: keys, Cold: key.cold, Number: free}
	s.byKeys[key], s.numbers[free] = x, x
	return x, true
}

func (s *Spans) draw() bool {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.drawn)
	s.drawn++
	h := fnv.New64a()
	h.Write(b[:])
	x := h.Sum64()
	return float64((x^x>>32)%shareUnit) < shareUnit*s.share
}

// Holds are the numbers of the spans that a leaf may be asked for.
func (s *Spans) Holds(leaf string) []int {
	held := []int{}
	if s.now == nil {
		return held
	}
	for i, x := range s.numbers {
		if x != nil && s.May(x, leaf) {
			held = append(held, i)
		}
	}
	return held
}

// May: does a leaf hold all of a span, in a state in which it may be asked for it? A span of a query that was
// cut by an older map goes on with whoever holds all that it has become.
func (s *Spans) May(x *Span, leaf string) bool {
	for _, shard := range s.now.Over(x.Keys) {
		warm, cold := shard.Candidates()
		if !slices.Contains(warm, leaf) && (!x.Cold && len(warm) > 0 || !slices.Contains(cold, leaf)) {
			return false
		}
	}
	return true
}

// Shard is the number by which a leaf is asked for a span now: of the shard that has its first key.
func (s *Spans) Shard(x *Span) int { return s.now.Of(x.Keys.From).ID }

// Version is the map's, 0 where there is none.
func (s *Spans) Version() int64 {
	if s.now == nil {
		return 0
	}
	return s.now.Version
}
