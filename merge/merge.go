// Package merge makes one answer from the partial answers of many shards: ranked lists, pages, totals and
// aggregations, and says which parts are in it. It is pure: partial answers are handed in as they come, in
// any order, and the result does not hang on that order. It must never count a shard twice, never call an
// answer whole that is not, and never hold more than its stated bounds.
//
// merge.go owns ranked lists, pages and completeness.
package merge

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Hit is one hit. Its place among all is by the sort keys, then by shard, then by its position in the shard's
// own list.
type Hit struct {
	Shard, Pos int
	Sort       []Value
	Body       []byte // as the leaf wrote it; opaque
}

// Total is how many hits there are.
type Total struct {
	Value   int64
	AtLeast bool // there may be more: the relation "gte"
}

// Partial is one shard's answer. Hits are in the order that the keys ask for.
type Partial struct {
	Shard int
	Hits  []Hit // Shard and Pos are filled in by Add
	Total Total
	Aggs  map[string]*Agg
}

// Spec is what is asked for.
type Spec struct {
	Keys  []Key
	From  int // hits to leave out
	Size  int
	After []Value     // only hits behind these sort values; nil: all
	Taken map[int]int // by shard: hits that earlier pages have had, see Cursor; nil: a first page
	Last  *Hit        // of the page before, with Taken
	Track int64       // count hits up to so many; -1: all
	Aggs  []AggSpec
}

// Window is the most that From and Size may come to together.
const Window = 10_000

// Check refuses a spec that would take more than the bounds.
func (s *Spec) Check() error {
	switch {
	case s.From < 0 || s.Size < 0:
		return errors.New("from and size can't be negative")
	case s.From+s.Size > Window:
		return fmt.Errorf("from + size must be %d at most, is %d", Window, s.From+s.Size)
	case s.After != nil && len(s.After) != len(s.Keys):
		return fmt.Errorf("search_after has %d values, there are %d sort keys", len(s.After), len(s.Keys))
	case s.After != nil && s.From > 0:
		return errors.New("from must be 0 with search_after")
	}
	return checkAggs(s.Aggs, 1)
}

// state is where a shard stands.
type state uint8

const (
	awaited state = iota
	in
	failed
)

type shard struct {
	number int
	state  state
	reason string
	seen   int // hits that it brought, from its first position on
}

// Merger takes partial answers.
type Merger struct {
	spec   *Spec
	shards []shard // by number
	top    []Hit   // the best so far, From+Size at most
	spare  []Hit   // where the next best are written
	total  Total
	aggs   map[string]*Agg
	behind int
}

// New begins a merge of the answers of some shards.
func New(spec *Spec, shards []int) *Merger {
	m := &Merger{spec: spec, aggs: map[string]*Agg{}}
	for _, n := range slices.Compact(slices.Sorted(slices.Values(shards))) {
		m.shards = append(m.shards, shard{number: n})
	}
	return m
}

func (m *Merger) find(number int) *shard {
	i, found := slices.BinarySearchFunc(
		m.shards,
		number,
		func(s shard, n int) int { return cmp.Compare(s.number, n) },
	)
	if !found {
		return nil
	}
	return &m.shards[i]
}

// Compare is the total order of hits.
func (s *Spec) Compare(a, b *Hit) int {
	for i := range s.Keys {
		if c := s.Keys[i].compare(a.Sort[i], b.Sort[i]); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Pos, b.Pos))
}

// after tells whether a hit lies behind the values that the client has given. Those that tie with them do
// not, as the client has had one of them and nobody knows which; who pages through ties adds a key that has
// none.
func (s *Spec) after(h *Hit) bool {
	if s.After == nil {
		return true
	}
	for i := range s.Keys {
		if c := s.Keys[i].compare(h.Sort[i], s.After[i]); c != 0 {
			return c > 0
		}
	}
	return false
}

// Add takes a shard's answer. An error says what makes no sense of it; the shard has failed then, and nothing
// of it is in.
func (m *Merger) Add(p *Partial) error {
	s := m.find(p.Shard)
	switch {
	case s == nil:
		return fmt.Errorf("shard %d was not asked", p.Shard)
	case s.state == in:
		return fmt.Errorf("shard %d has answered already", p.Shard)
	}
	if err := m.check(p); err != nil {
		m.Fail(p.Shard, err.Error())
		return err
	}
	s.state, s.reason = in, ""
	list := p.Hits
	if m.spec.After != nil {
		list = nil
		for i := range p.Hits {
			if m.spec.after(&p.Hits[i]) {
				list = append(list, p.Hits[i])
			}
		}
	}
	m.top, m.spare = m.merge(m.spare[:0], m.top, list), m.top
	m.total.Value += p.Total.Value
	m.total.AtLeast = m.total.AtLeast || p.Total.AtLeast
	for i := range m.spec.Aggs {
		a := &m.spec.Aggs[i]
		m.aggs[a.Name] = a.join(m.aggs[a.Name], p.Aggs[a.Name])
	}
	return nil
}

// check looks a partial answer through, and numbers its hits.
func (m *Merger) check(p *Partial) error {
	if len(p.Hits) > Window {
		return fmt.Errorf("shard %d: %d hits, %d at most", p.Shard, len(p.Hits), Window)
	}
	if p.Total.Value < int64(len(p.Hits)) && m.spec.Track != 0 {
		return fmt.Errorf("shard %d: a total of %d for %d hits", p.Shard, p.Total.Value, len(p.Hits))
	}
	for i := range p.Hits {
		h := &p.Hits[i]
		h.Shard, h.Pos = p.Shard, m.spec.Taken[p.Shard]+i
		if len(h.Sort) != len(m.spec.Keys) {
			return fmt.Errorf(
				"shard %d: hit %d has %d sort values, there are %d keys",
				p.Shard,
				i,
				len(h.Sort),
				len(m.spec.Keys),
			)
		}
		if i > 0 && m.spec.Compare(&p.Hits[i-1], h) > 0 {
			return fmt.Errorf("shard %d: hits %d and %d are not in order", p.Shard, i-1, i)
		}
	}
	for i := range m.spec.Aggs {
		a := &m.spec.Aggs[i]
		if err := a.sound(p.Aggs[a.Name]); err != nil {
			return fmt.Errorf("shard %d: %w", p.Shard, err)
		}
	}
	return nil
}

// merge puts two sorted lists together, as many as are wanted.
func (m *Merger) merge(out, a, b []Hit) []Hit {
	most := m.spec.From + m.spec.Size
	if cap(out) == 0 {
		out = make([]Hit, 0, min(len(a)+len(b), most))
	}
	for len(out) < most && (len(a) > 0 || len(b) > 0) {
		if len(b) == 0 || len(a) > 0 && m.spec.Compare(&a[0], &b[0]) <= 0 {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return out
}

// Fail notes that a shard has no answer. One that has answered stays in.
func (m *Merger) Fail(number int, reason string) {
	if s := m.find(number); s != nil && s.state != in {
		s.state, s.reason = failed, reason
	}
}

// Failure is one shard that is not in the answer.
type Failure struct {
	Shard  int
	Reason string
}

// Result is the answer.
type Result struct {
	Hits     []Hit
	Total    Total
	Aggs     map[string]*Agg
	Asked    int
	In       []int // shards whose answers are in it
	Failures []Failure
	Behind   int // hits of the page that belong before it: of shards that failed when it was asked for
	Next     *Cursor
}

// Whole: all that was asked for is in it.
func (r *Result) Whole() bool { return len(r.In) == r.Asked }

// notAnswered is the reason where none was given.
const notAnswered = "no answer in time"

// Result is what has come so far. More may be added afterwards.
func (m *Merger) Result() *Result {
	r := &Result{Total: m.total, Asked: len(m.shards), Aggs: map[string]*Agg{}}
	for i := range m.shards {
		switch s := &m.shards[i]; s.state {
		case in:
			r.In = append(r.In, s.number)
		default:
			r.Failures = append(r.Failures, Failure{s.number, cmp.Or(s.reason, notAnswered)})
		}
	}
	r.Hits = slices.Clone(m.top[min(m.spec.From, len(m.top)):])
	if m.spec.Track >= 0 && r.Total.Value > m.spec.Track {
		r.Total = Total{m.spec.Track, true}
	}
	for _, h := range r.Hits {
		if m.spec.Last != nil && m.spec.Compare(&h, m.spec.Last) < 0 {
			r.Behind++
		}
	}
	for i := range m.spec.Aggs {
		a := &m.spec.Aggs[i]
		if x := m.aggs[a.Name]; x != nil {
			r.Aggs[a.Name] = a.final(x)
		} else {
			r.Aggs[a.Name] = a.final(&Agg{})
		}
	}
	r.Next = m.cursor(r)
	return r
}

// Cursor is where the next page begins: for each shard how many of its hits the pages so far have had. A
// shard that fails on one page goes on at its own place on the next, so none of its hits is lost or comes
// twice; those that belong before that page are counted as Behind.
type Cursor struct {
	Taken map[int]int
	Last  *Hit
}

// cursor is nil where the page was not full and all shards are in: nothing comes after it.
func (m *Merger) cursor(r *Result) *Cursor {
	if len(r.Hits) < m.spec.Size && r.Whole() || m.spec.Size == 0 {
		return nil
	}
	c := &Cursor{Taken: map[int]int{}, Last: m.spec.Last}
	for n, taken := range m.spec.Taken {
		c.Taken[n] = taken
	}
	for _, h := range m.top {
		c.Taken[h.Shard] = max(c.Taken[h.Shard], h.Pos+1)
	}
	if n := len(r.Hits); n > 0 {
		last := r.Hits[n-1]
		last.Body = nil
		if c.Last == nil || m.spec.Compare(&last, c.Last) > 0 {
			c.Last = &last
		}
	}
	return c
}
