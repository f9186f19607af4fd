package shardmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the load: each proposal is one that the map takes, a shard keeps as many serving holders as it had, and with a load that does not
// change the author comes to an end, with no leaf far over the mean.
func TestAuthorSettles(t *testing.T) {
	set := AuthorSettings{Split: 3, Merge: 0.3, Move: 1.3, Shards: 64, Least: 1}
	rapid.Check(t, func(t *rapid.T) {
		leaves := rapid.IntRange(2, 8).Draw(t, "leaves")
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		m := &Map{Version: 1}
		var names []string
		for i := range leaves {
			names = append(names, fmt.Sprintf("l-%d", i))
		}
		for i := range uint64(shards) {
			w := Space / uint64(shards)
			s := Shard{ID: int(i), Range: Range{i * w, (i + 1) * w}, Holders: []Holder{{names[int(i)%leaves], Serving}}}
			if int(i) == shards-1 {
				s.Range.To = Space
			}
			m.Shards = append(m.Shards, s)
		}
		// Load is by keys, so that a shard takes it along as it is split.
		at := rapid.SliceOfN(rapid.Uint64Range(0, Space-1), 1, 30).Draw(t, "where")
		weigh := func(m *Map) Load {
			load := Load{}
			for _, key := range at {
				load[m.Of(key).ID] += 10
			}
			return load
		}
		idle := 0
		for step := 0; step < 600 && idle == 0; step++ {
			ops := set.Propose(m, weigh(m), names)
			if ops == nil {
				idle++
			}
			var c *Change
			if ops != nil {
				c = &Change{Version: m.Version + 1, Ops: ops}
			}
			if come := coming(m); come != nil { // whoever prepares gets on with it meanwhile
				c, idle = &Change{Version: m.Version + 1, Ops: []Op{*come}}, 0
			}
			if c == nil {
				break
			}
			next, err := m.Apply(c)
			if err != nil {
				t.Fatalf("%+v: %v\n%v", c.Ops, err, m)
			}
			m = next
		}
		if idle == 0 {
			t.Fatalf("it goes on for ever:\n%v", m)
		}
		for i := range m.Shards {
			if s := &m.Shards[i]; len(s.Holders) != 1 || s.Holders[0].State != Serving {
				t.Errorf("shard %d ends with %v", s.ID, s.Holders)
			}
		}
	})
}

// coming is the next step of a holder that prepares.
func coming(m *Map) *Op {
	for i := range m.Shards {
		for _, h := range m.Shards[i].Holders {
			switch h.State {
			case Preparing:
				return &Op{Kind: Turn, Shard: m.Shards[i].ID, Leaf: h.Leaf, To: Cold}
			case Cold:
				return &Op{Kind: Turn, Shard: m.Shards[i].ID, Leaf: h.Leaf, To: Serving}
			}
		}
	}
	return nil
}

// A hot shard is split, a hot leaf gives one away, cold neighbours are merged; little load says nothing.
func TestAuthorProposes(t *testing.T) {
	set := AuthorSettings{Split: 2, Merge: 0.5, Move: 1.2, Shards: 8, Least: 10}
	m := &Map{Version: 1, Shards: []Shard{
		{0, Range{0, 1 << 30}, []Holder{{"a", Serving}}}, {1, Range{1 << 30, 2 << 30}, []Holder{{"a", Serving}}},
		{2, Range{2 << 30, 3 << 30}, []Holder{{"b", Serving}}}, {3, Range{3 << 30, Space}, []Holder{{"b", Serving}}}}}
	for name, c := range map[string]struct {
		load Load
		want string
	}{
		"hot shard": {Load{0: 90, 1: 10, 2: 10, 3: 10}, "split 0"},
		"hot leaf":  {Load{0: 40, 1: 35, 2: 20, 3: 5}, "add 1 b"},
		"cold pair": {Load{0: 50, 1: 1, 2: 24, 3: 25}, ""},
		"cold":      {Load{0: 2, 1: 2, 2: 50, 3: 46}, "add 3 a"},
		"little":    {Load{0: 5}, ""},
		"even":      {Load{0: 25, 1: 25, 2: 25, 3: 25}, ""},
	} {
		got := ""
		if ops := set.Propose(m, c.load, []string{"a", "b"}); ops != nil {
			switch op := ops[0]; op.Kind {
			case Split:
				got = fmt.Sprintf("split %d", op.Shard)
			case Add:
				got = fmt.Sprintf("add %d %s", op.Shard, op.Leaf)
			case Merge:
				got = fmt.Sprintf("merge %d", op.Shard)
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
	m.Shards[2].Holders, m.Shards[3].Holders = []Holder{{"a", Serving}}, []Holder{{"a", Serving}}
	if ops := set.Propose(m, Load{0: 100, 1: 100, 2: 5, 3: 10}, []string{"a"}); len(ops) != 1 || ops[0].Kind != Merge || ops[0].Shard != 2 {
		t.Errorf("%+v", ops)
	}
}
