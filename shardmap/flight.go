package shardmap

// flight.go owns what becomes of a query's parts while the map changes under them. It must never let a key
// count twice in an answer, never leave a key out that some holder could still answer, and never have a part
// that may run once only be asked in another form once it was sent.

import (
	"fmt"
	"slices"
	"strings"
)

// Stage is where a piece stands.
type Stage uint8

const (
	Open  Stage = iota // not sent, or what was sent is known not to have run
	Sent               // it may have run
	In                 // its answer is there
	Moved              // others have taken its place; an answer to it may still come, and counts if none of theirs does
)

func (s Stage) String() string { return [...]string{"open", "sent", "in", "moved"}[s] }

// Piece is a part of a query: one range, bound to a shard of a version.
type Piece struct {
	Range   Range
	Shard   int
	Version int64
	Stage   Stage
	answer  int // in which order its answer came, from 1
}

// Flight is one query's pieces. A query is bound to the map of the version at which it was taken, and follows
// later ones.
type Flight struct {
	once    bool // its parts may run once only
	asked   []Range
	pieces  []*Piece
	now     *Map
	answers int
}

// Begin binds a query to a map: it asks for some ranges that share no key.
func Begin(m *Map, ranges []Range, once bool) (*Flight, error) {
	f := &Flight{once: once, now: m, asked: slices.Clone(ranges)}
	slices.SortFunc(f.asked, func(a, b Range) int { return cmpUint(a.From, b.From) })
	for i, r := range f.asked {
		if r.To > Space || r.From >= r.To || i > 0 && f.asked[i-1].Meets(r) {
			return nil, wrong("range %v is none, or shares keys with another", r)
		}
		f.cover(m, r)
	}
	return f, nil
}

func cmpUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// cover adds open pieces for a range by a map.
func (f *Flight) cover(m *Map, r Range) {
	for _, s := range m.Over(r) {
		f.pieces = append(
			f.pieces,
			&Piece{
				Range:   Range{max(r.From, s.Range.From), min(r.To, s.Range.To)},
				Shard:   s.ID,
				Version: m.Version,
			},
		)
	}
}

// Pieces are all, in the order in which they came to be.
func (f *Flight) Pieces() []*Piece { return f.pieces }

// Open are those to be sent.
func (f *Flight) Open() (all []*Piece) {
	for _, p := range f.pieces {
		if p.Stage == Open {
			all = append(all, p)
		}
	}
	return all
}

// move is the one way from stage to stage.
func (f *Flight) move(p *Piece, to Stage) {
	if to == In {
		f.answers++
		p.answer = f.answers
	}
	p.Stage = to
}

// Send notes that a piece goes out.
func (f *Flight) Send(p *Piece) bool {
	if p.Stage != Open {
		return false
	}
	f.move(p, Sent)
	return true
}

// Failed: a call for a piece ended without an answer. Ran says whether it may have run. What has not is open
// again; so is what may be asked again. A piece whose place was taken stays so.
func (f *Flight) Failed(p *Piece, ran bool) {
	if p.Stage == Sent && (!ran || !f.once) {
		f.move(p, Open)
		f.rebind(p) // the map may have moved while it was out
	}
}

// Answered takes an answer to a piece; false where it is one too many.
func (f *Flight) Answered(p *Piece) bool {
	if p.Stage == In {
		return false
	}
	f.move(p, In)
	return true
}

// Follow goes on by a later map. A piece that is open, or sent and may be asked again, and whose shard is not
// there any more in the same range, gives its place to pieces by the new map. One that was sent and may run
// once only stays with the holder that got it: its answer counts for its whole range.
func (f *Flight) Follow(m *Map) {
	if m.Version <= f.now.Version {
		return
	}
	f.now = m
	for _, p := range slices.Clone(f.pieces) {
		f.rebind(p)
	}
}

// rebind binds one piece to the map as it is now.
func (f *Flight) rebind(p *Piece) {
	if p.Stage == In || p.Stage == Moved || p.Stage == Sent && f.once {
		return
	}
	if s := f.now.Shard(p.Shard); s != nil && p.Range.Within(s.Range) {
		p.Version = f.now.Version
		return
	}
	old := p.Stage
	f.move(p, Moved)
	for _, gap := range f.missing(p.Range) {
		f.cover(f.now, gap)
	}
	if old == Open { // nothing of it is out, so no answer to it can come
		f.pieces = slices.DeleteFunc(f.pieces, func(o *Piece) bool { return o == p })
	}
}

// missing is what of a range no other piece stands for.
func (f *Flight) missing(r Range) (gaps []Range) {
	var have []Range
	for _, p := range f.pieces {
		if p.Stage != Moved && p.Range.Meets(r) {
			have = append(have, p.Range)
		}
	}
	slices.SortFunc(have, func(a, b Range) int { return cmpUint(a.From, b.From) })
	at := r.From
	for _, h := range have {
		if h.From > at {
			gaps = append(gaps, Range{at, min(h.From, r.To)})
		}
		at = max(at, h.To)
	}
	if at < r.To {
		gaps = append(gaps, Range{at, r.To})
	}
	return gaps
}

// Chosen are the answers that count: of all that are in, ranges that share no key and have the most keys
// together. Where two choices have as many, the one with the answers that came first.
func (f *Flight) Chosen() (best []*Piece) {
	var in []*Piece
	for _, p := range f.pieces {
		if p.Stage == In {
			in = append(in, p)
		}
	}
	slices.SortFunc(in, func(a, b *Piece) int {
		if c := cmpUint(a.Range.To, b.Range.To); c != 0 {
			return c
		}
		return a.answer - b.answer
	})
	// The most keys up to the i-th range's end, with it or without it.
	keys, with, before := make([]uint64, len(in)+1), make([]bool, len(in)+1), make([]int, len(in)+1)
	for i, p := range in {
		j := i
		for j > 0 && in[j-1].Range.To > p.Range.From {
			j--
		}
		before[i+1] = j
		if take := keys[j] + p.Range.Width(); take > keys[i] {
			keys[i+1], with[i+1] = take, true
		} else {
			keys[i+1] = keys[i]
		}
	}
	for i := len(in); i > 0; {
		if with[i] {
			best = append(best, in[i-1])
			i = before[i]
		} else {
			i--
		}
	}
	slices.Reverse(best)
	return best
}

// Weight is the share of what was asked for that is in the answer, from 0 to 1.
func (f *Flight) Weight() float64 {
	var asked, in uint64
	for _, r := range f.asked {
		asked += r.Width()
	}
	for _, p := range f.Chosen() {
		in += p.Range.Width()
	}
	return float64(in) / float64(max(asked, 1))
}

// Whole: every key that was asked for is in the answer, once.
func (f *Flight) Whole() bool {
	var asked, in uint64
	for _, r := range f.asked {
		asked += r.Width()
	}
	for _, p := range f.Chosen() {
		in += p.Range.Width()
	}
	return in == asked
}

// String has a line for each piece.
func (f *Flight) String() string {
	var b strings.Builder
	for _, p := range f.pieces {
		fmt.Fprintf(&b, "  %v shard %d of version %d: %v\n", p.Range, p.Shard, p.Version, p.Stage)
	}
	fmt.Fprintf(&b, "  weight %.3f, whole %v\n", f.Weight(), f.Whole())
	return b.String()
}
