// Package shardmap keeps versions of the map of key ranges to the leaves that hold them, while ranges split,
// merge and move. It does no I/O, has no clock and starts no goroutine: changes are handed in, maps come out,
// and a map that was given out never changes. It must never take a change that would leave a key without a
// serving holder, or with two shards.
//
// shardmap.go owns maps and the changes between them.
package shardmap

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Space is the end of the keys: they run from 0 up to it.
const Space = uint64(1) << 32

// Bounds of what a map may hold.
const (
	MostShards  = 1 << 16
	MostHolders = 64
	mostOps     = 4096
)

// Range is keys from one up to another, which is not in it.
type Range struct{ From, To uint64 }

// Width is how many keys it has.
func (r Range) Width() uint64 { return r.To - r.From }

// Meets tells whether two ranges share a key.
func (r Range) Meets(o Range) bool { return r.From < o.To && o.From < r.To }

// Within tells whether all its keys are in another.
func (r Range) Within(o Range) bool { return o.From <= r.From && r.To <= o.To }

func (r Range) String() string { return fmt.Sprintf("[%x,%x)", r.From, r.To) }

// State is where a holder stands with a shard.
type State uint8

const (
	Preparing State = iota // it fetches what the shard holds, and can't be asked
	Cold                   // it can be asked, and is slow at first
	Serving
	Leaving // it serves on, and is about to go
	Gone    // it is no holder any more; never kept in a map
)

func (s State) String() string {
	return [...]string{"preparing", "cold", "serving", "leaving", "gone"}[s]
}

// Answers tells whether a holder in this state has all that the shard holds.
func (s State) Answers() bool { return s == Cold || s == Serving || s == Leaving }

// ways are the steps between states. A change that is taken back leads back: a holder that was to leave
// serves on, one that was to come is gone.
var ways = map[State][]State{
	Preparing: {Cold, Gone},
	Cold:      {Serving, Leaving, Gone},
	Serving:   {Leaving},
	Leaving:   {Serving, Gone},
}

// Holder is a leaf that holds a shard.
type Holder struct {
	Leaf  string
	State State
}

// Shard is one range and its holders, by name.
type Shard struct {
	ID      int
	Range   Range
	Holders []Holder
}

func (s *Shard) holder(leaf string) int {
	return slices.IndexFunc(s.Holders, func(h Holder) bool { return h.Leaf == leaf })
}

// Map is one version. Its shards are in the order of their ranges and cover all keys once.
type Map struct {
	Version int64
	Shards  []Shard
}

// Kind is what an operation does.
type Kind uint8

const (
	Split Kind = iota // Shard becomes Into[0] and Into[1], at a key
	Merge             // Shard and the one behind it become Into[0]
	Add               // Leaf begins to prepare for Shard
	Turn              // Leaf's holding of Shard turns to a state; Gone removes it
)

// Op is one operation.
type Op struct {
	Kind  Kind
	Shard int
	Into  [2]int // numbers of new shards; never used before in the map
	At    uint64
	Leaf  string
	To    State
}

// Change leads from one version to the next. Its operations take effect together.
type Change struct {
	Version int64 // that it leads to
	Ops     []Op
}

// What is wrong with a change. All leave the map as it was.
var (
	ErrOld   = errors.New("the change is of a version that the map has already")
	ErrGap   = errors.New("versions are missing before the change: the whole map is needed")
	ErrWrong = errors.New("the change makes no sense")
)

func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrWrong, fmt.Sprintf(format, args...))
}

// Check looks a whole map through.
func (m *Map) Check() error {
	if m.Version < 1 || len(m.Shards) == 0 || len(m.Shards) > MostShards {
		return wrong("version %d with %d shards", m.Version, len(m.Shards))
	}
	at, ids := uint64(0), map[int]bool{}
	for i := range m.Shards {
		s := &m.Shards[i]
		if s.Range.From != at || s.Range.To <= at || s.Range.To > Space {
			return wrong("shard %d has %v, keys from %x on are not covered once", s.ID, s.Range, at)
		}
		if at = s.Range.To; ids[s.ID] || s.ID < 0 {
			return wrong("shard %d stands twice", s.ID)
		}
		ids[s.ID] = true
		if err := s.check(); err != nil {
			return err
		}
	}
	if at != Space {
		return wrong("keys from %x on are not covered", at)
	}
	return nil
}

// check is that someone serves, and that nobody holds twice.
func (s *Shard) check() error {
	if len(s.Holders) > MostHolders {
		return wrong("shard %d has %d holders, %d at most", s.ID, len(s.Holders), MostHolders)
	}
	serves := false
	for i, h := range s.Holders {
		if h.Leaf == "" || s.holder(h.Leaf) != i || h.State >= Gone {
			return wrong("shard %d: holder %q %v", s.ID, h.Leaf, h.State)
		}
		serves = serves || h.State == Serving || h.State == Leaving
	}
	if !serves {
		return wrong("shard %d would be served by nobody", s.ID)
	}
	return nil
}

// Apply makes the next map. The one before stays as it is.
func (m *Map) Apply(c *Change) (*Map, error) {
	switch {
	case c.Version <= m.Version:
		return nil, ErrOld
	case c.Version > m.Version+1:
		return nil, ErrGap
	case len(c.Ops) == 0 || len(c.Ops) > mostOps:
		return nil, wrong("%d operations", len(c.Ops))
	}
	next := &Map{Version: c.Version, Shards: slices.Clone(m.Shards)}
	touched := map[int]bool{} // shards whose range this change has moved: one at a time
	for i, op := range c.Ops {
		if err := next.apply(op, touched); err != nil {
			return nil, fmt.Errorf("operation %d: %w", i, err)
		}
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

// apply is the one way in which maps change; the map is not given out yet.
func (m *Map) apply(op Op, touched map[int]bool) error {
	at := slices.IndexFunc(m.Shards, func(s Shard) bool { return s.ID == op.Shard })
	if at < 0 {
		return wrong("no shard %d", op.Shard)
	}
	s := m.Shards[at]
	switch op.Kind {
	case Split:
		if touched[s.ID] || m.has(op.Into[0]) || m.has(op.Into[1]) || op.Into[0] == op.Into[1] ||
			op.At <= s.Range.From ||
			op.At >= s.Range.To {
			return wrong("shard %d %v can't be split at %x into %v", s.ID, s.Range, op.At, op.Into)
		}
		touched[op.Into[0]], touched[op.Into[1]] = true, true
		low, high := s, s
		low.ID, low.Range.To = op.Into[0], op.At
		high.ID, high.Range.From = op.Into[1], op.At
		low.Holders, high.Holders = slices.Clone(s.Holders), slices.Clone(s.Holders)
		m.Shards = slices.Replace(m.Shards, at, at+1, low, high)
	case Merge:
		if at+1 >= len(m.Shards) || m.has(op.Into[0]) {
			return wrong("nothing behind shard %d, or %d is there already", s.ID, op.Into[0])
		}
		behind := m.Shards[at+1]
		if touched[s.ID] || touched[behind.ID] {
			return wrong("shards %d and %d change twice at once", s.ID, behind.ID)
		}
		touched[op.Into[0]] = true
		m.Shards = slices.Replace(
			m.Shards,
			at,
			at+2,
			Shard{op.Into[0], Range{s.Range.From, behind.Range.To}, both(s.Holders, behind.Holders)},
		)
	case Add:
		if op.Leaf == "" || s.holder(op.Leaf) >= 0 {
			return wrong("leaf %q holds shard %d already", op.Leaf, s.ID)
		}
		m.Shards[at].Holders = append(slices.Clone(s.Holders), Holder{op.Leaf, Preparing})
		slices.SortFunc(m.Shards[at].Holders, byName)
	case Turn:
		i := s.holder(op.Leaf)
		if i < 0 || !slices.Contains(ways[s.Holders[i].State], op.To) {
			return wrong("leaf %q can't turn %v for shard %d", op.Leaf, op.To, s.ID)
		}
		holders := slices.Clone(s.Holders)
		if holders[i].State = op.To; op.To == Gone {
			holders = slices.Delete(holders, i, i+1)
		}
		m.Shards[at].Holders = holders
	default:
		return wrong("unknown operation %d", op.Kind)
	}
	return nil
}

func byName(a, b Holder) int { return strings.Compare(a.Leaf, b.Leaf) }

// both are those who hold both shards, each in the state that promises less.
func both(a, b []Holder) (all []Holder) {
	promise := [...]int{Preparing: 0, Cold: 1, Leaving: 2, Serving: 3}
	for _, h := range a {
		i := slices.IndexFunc(b, func(o Holder) bool { return o.Leaf == h.Leaf })
		if i < 0 {
			continue
		}
		if promise[b[i].State] < promise[h.State] {
			h.State = b[i].State
		}
		all = append(all, h)
	}
	return all
}

func (m *Map) has(id int) bool { return m.Shard(id) != nil }

// Shard is the shard of a number, nil if there is none.
func (m *Map) Shard(id int) *Shard {
	for i := range m.Shards {
		if m.Shards[i].ID == id {
			return &m.Shards[i]
		}
	}
	return nil
}

// Of is the shard that has a key.
func (m *Map) Of(key uint64) *Shard {
	i, found := slices.BinarySearchFunc(m.Shards, key, func(s Shard, k uint64) int {
		if k < s.Range.From {
			return 1
		}
		if k >= s.Range.To {
			return -1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &m.Shards[i]
}

// Over are the shards that share keys with a range, in order.
func (m *Map) Over(r Range) (all []*Shard) {
	i, _ := slices.BinarySearchFunc(m.Shards, r.From, func(s Shard, k uint64) int {
		if s.Range.To <= k {
			return -1
		}
		return 1
	})
	for ; i < len(m.Shards) && m.Shards[i].Range.From < r.To; i++ {
		all = append(all, &m.Shards[i])
	}
	return all
}

// Candidates are the holders that may be asked now: those that serve and those that leave, and cold ones. Who
// is cold is for the module's cold budget to hold back; who leaves is asked only while nobody else serves or
// is cold, as it may be gone by the time a call arrives.
func (s *Shard) Candidates() (warm, cold []string) {
	var leaving []string
	for _, h := range s.Holders {
		switch h.State {
		case Serving:
			warm = append(warm, h.Leaf)
		case Cold:
			cold = append(cold, h.Leaf)
		case Leaving:
			leaving = append(leaving, h.Leaf)
		}
	}
	if len(warm) == 0 {
		warm = leaving
	}
	return warm, cold
}

// String has a line for each shard.
func (m *Map) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", m.Version)
	for _, s := range m.Shards {
		fmt.Fprintf(&b, "  %d %v", s.ID, s.Range)
		for _, h := range s.Holders {
			fmt.Fprintf(&b, " %s:%v", h.Leaf, h.State)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Follower keeps the latest map, and says when the whole map has to be fetched.
type Follower struct {
	Now    *Map
	Behind bool // a gap was met, or a leaf has a later version: only a whole map helps

	Taken, Repeated, Refused int
	Last                     error // of the last change that was refused
}

// Take takes a change. An error says why it was not taken; the map is as it was.
func (f *Follower) Take(c *Change) error {
	next, err := f.Now.Apply(c)
	switch {
	case err == nil:
		f.Now, f.Taken = next, f.Taken+1
	case errors.Is(err, ErrOld):
		f.Repeated++
	case errors.Is(err, ErrGap):
		f.Behind = true
	default:
		f.Refused, f.Last = f.Refused+1, err
		f.Behind = true // what was published could not be followed: the whole map says what is meant
	}
	return err
}

// Whole takes a whole map. An older one is never gone back to.
func (f *Follower) Whole(m *Map) error {
	if err := m.Check(); err != nil {
		f.Refused, f.Last = f.Refused+1, err
		return err
	}
	if f.Now != nil && m.Version < f.Now.Version {
		f.Repeated++
		return ErrOld
	}
	f.Now, f.Behind = m, false
	return nil
}

// Told is a leaf's word that it holds another version: it has refused a part for that, which therefore has
// not run. True: it is ahead, and the map has to follow.
func (f *Follower) Told(version int64) bool {
	ahead := cmp.Compare(version, f.Now.Version) > 0
	f.Behind = f.Behind || ahead
	return ahead
}
