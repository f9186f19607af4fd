package shardmap

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"moleshift/internal/golden"
)

// TestMain has the draws be the same in each run; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20")
	os.Exit(m.Run())
}

const half = Space / 2

func start() *Map {
	return &Map{
		Version: 1,
		Shards: []Shard{
			{0, Range{0, half}, []Holder{{"a", Serving}, {"b", Serving}}},
			{1, Range{half, Space}, []Holder{{"c", Serving}}},
		},
	}
}

// The life of ranges: split, merged, moved with a cold holder, and a move that is taken back in the middle.
func TestChanges(t *testing.T) {
	var out strings.Builder
	f := &Follower{Now: start()}
	for _, c := range []Change{
		{2, []Op{{Kind: Split, Shard: 0, Into: [2]int{2, 3}, At: half / 2}}},
		{3, []Op{{Kind: Add, Shard: 3, Leaf: "d"}}},
		{4, []Op{{Kind: Turn, Shard: 3, Leaf: "d", To: Cold}}},
		{5, []Op{{Kind: Turn, Shard: 3, Leaf: "d", To: Serving}, {Kind: Turn, Shard: 3, Leaf: "a", To: Leaving}}},
		{6, []Op{{Kind: Turn, Shard: 3, Leaf: "a", To: Serving}, {Kind: Turn, Shard: 3, Leaf: "d", To: Leaving}}}, // taken back
		{7, []Op{{Kind: Turn, Shard: 3, Leaf: "d", To: Gone}}},
		{8, []Op{{Kind: Merge, Shard: 2, Into: [2]int{4, 0}}}},
		// Refused, each with its reason; the map stays.
		{8, []Op{{Kind: Merge, Shard: 4, Into: [2]int{5, 0}}}}, {11, []Op{{Kind: Add, Shard: 4, Leaf: "x"}}}, {9, nil},
		{9, []Op{{Kind: Split, Shard: 9, Into: [2]int{10, 11}, At: 1}}}, {9, []Op{{Kind: Split, Shard: 1, Into: [2]int{10, 11}, At: half}}},
		{9, []Op{{Kind: Split, Shard: 1, Into: [2]int{10, 10}, At: half + 1}}}, {9, []Op{{Kind: Merge, Shard: 1, Into: [2]int{10, 0}}}},
		{9, []Op{{Kind: Merge, Shard: 4, Into: [2]int{10, 0}}}}, // nobody holds both
		{9, []Op{{Kind: Turn, Shard: 1, Leaf: "c", To: Leaving}, {Kind: Turn, Shard: 1, Leaf: "c", To: Gone}}},
		{9, []Op{{Kind: Turn, Shard: 1, Leaf: "c", To: Cold}}}, {9, []Op{{Kind: Add, Shard: 1, Leaf: "c"}}},
		{9, []Op{{Kind: Split, Shard: 1, Into: [2]int{10, 11}, At: half + 4}, {Kind: Split, Shard: 10, Into: [2]int{12, 13}, At: half + 2}}},
		{9, []Op{{Kind: 99, Shard: 1}}},
	} {
		before := f.Now.String()
		err := f.Take(&c)
		fmt.Fprintf(&out, "to %d: %v\n", c.Version, err)
		if err == nil {
			fmt.Fprint(&out, f.Now)
		} else if f.Now.String() != before {
			t.Errorf("%v has changed the map", err)
		}
	}
	warm, cold := f.Now.Shard(4).Candidates()
	fmt.Fprintf(
		&out,
		"taken %d, repeated %d, refused %d, behind %v; shard 4: %v, cold %v\n",
		f.Taken,
		f.Repeated,
		f.Refused,
		f.Behind,
		warm,
		cold,
	)
	golden.Check(t, "changes", out.String())
}

// The hard cases of queries in flight, told piece by piece.
func TestFlights(t *testing.T) {
	split := func(m *Map) *Map {
		next, err := m.Apply(
			&Change{m.Version + 1, []Op{{Kind: Split, Shard: 0, Into: [2]int{2, 3}, At: half / 2}}},
		)
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	var out strings.Builder
	scene := func(name string, once bool, play func(f *Flight, say func(string))) {
		f, err := Begin(start(), []Range{{0, half}}, once)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n", name)
		play(f, func(what string) { fmt.Fprintf(&out, " %s\n%v", what, f) })
	}
	scene("a split before it is sent", true, func(f *Flight, say func(string)) {
		f.Follow(split(start()))
		say("split")
	})
	scene(
		"a split midway, that may be asked again: children answer, then the parent",
		false,
		func(f *Flight, say func(string)) {
			parent := f.Open()[0]
			f.Send(parent)
			f.Follow(split(start()))
			say("split")
			low := f.Open()[0]
			f.Send(low)
			f.Answered(low)
			say("the lower child answers")
			f.Answered(parent)
			say("the parent answers after all")
			high := f.Open()[0]
			f.Send(high)
			f.Answered(high)
			say("and the higher child")
		},
	)
	scene("a split midway of what may run once only", true, func(f *Flight, say func(string)) {
		parent := f.Open()[0]
		f.Send(parent)
		f.Follow(split(start()))
		say("split")
		f.Failed(parent, true)
		say("it failed, and may have run")
	})
	scene(
		"the same, refused by a leaf that is ahead: it has not run",
		true,
		func(f *Flight, say func(string)) {
			parent := f.Open()[0]
			f.Send(parent)
			f.Follow(split(start()))
			f.Failed(parent, false)
			say("refused")
		},
	)
	golden.Check(t, "flights", out.String())
}

// draw makes any change that the map may meet, sound or not.
func draw(t *rapid.T, m *Map, next *int) *Change {
	c := &Change{
		Version: m.Version + int64(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(t, "version")),
	}
	for range rapid.IntRange(1, 2).Draw(t, "operations") {
		s := rapid.SampledFrom(m.Shards).Draw(t, "shard")
		op := Op{
			Kind:  Kind(rapid.IntRange(0, 3).Draw(t, "kind")),
			Shard: s.ID,
			Leaf:  string(rune('a' + rapid.IntRange(0, 5).Draw(t, "leaf"))),
			To:    State(rapid.IntRange(0, 4).Draw(t, "to")),
			Into:  [2]int{*next, *next + 1},
			At:    (s.Range.From + s.Range.To) / 2,
		}
		*next += 2
		c.Ops = append(c.Ops, op)
	}
	return c
}

// Any sequence of changes keeps the keys covered once and served; what is refused changes nothing; a snapshot
// says the same. Queries that follow along have each key once in their answer, lose none as long as holders
// answer, and what may run once does.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Follower{Now: start()}
		next := 10
		type flown struct {
			*Flight
			once bool
			ran  map[uint64]int // sends that may have run, by sixteenths of the space
		}
		var flights []*flown
		sixteenth := Space / 16
		mark := func(x *flown, r Range) {
			for k := uint64(0); k < 16; k++ {
				if (Range{k * sixteenth, (k + 1) * sixteenth}).Within(r) {
					x.ran[k]++
				}
			}
		}
		pick := func(t *rapid.T, x *flown, stage Stage) *Piece {
			var all []*Piece
			for _, p := range x.Pieces() {
				if p.Stage == stage {
					all = append(all, p)
				}
			}
			if len(all) == 0 {
				return nil
			}
			return rapid.SampledFrom(all).Draw(t, "piece")
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if len(f.Now.Shards) > 12 { // so that ranges stay wide enough to be looked at
					return
				}
				before := f.Now.String()
				if err := f.Take(draw(t, f.Now, &next)); err != nil {
					if f.Now.String() != before {
						t.Fatal("a change that was refused changed the map")
					}
					return
				}
				for _, x := range flights {
					x.Follow(f.Now)
				}
			},
			"ask": func(t *rapid.T) {
				from := rapid.Uint64Range(0, 15).Draw(t, "from")
				to := rapid.Uint64Range(from+1, 16).Draw(t, "to")
				once := rapid.Bool().Draw(t, "once")
				x, err := Begin(f.Now, []Range{{from * sixteenth, to * sixteenth}}, once)
				if err != nil {
					t.Fatal(err)
				}
				flights = append(flights, &flown{x, once, map[uint64]int{}})
			},
			"send": func(t *rapid.T) {
				if len(flights) == 0 {
					return
				}
				x := rapid.SampledFrom(flights).Draw(t, "query")
				if p := pick(t, x, Open); p != nil {
					x.Send(p)
					mark(x, p.Range)
				}
			},
			"end": func(t *rapid.T) {
				if len(flights) == 0 {
					return
				}
				x := rapid.SampledFrom(flights).Draw(t, "query")
				p := pick(t, x, rapid.SampledFrom([]Stage{Sent, Sent, Moved}).Draw(t, "stage"))
				if p == nil {
					return
				}
				switch rapid.IntRange(0, 3).Draw(t, "how") {
				case 0:
					x.Failed(p, true)
				case 1: // proved not to have run
					for k := range uint64(16) {
						if p.Stage == Sent && (Range{k * sixteenth, (k + 1) * sixteenth}).Within(p.Range) {
							x.ran[k]--
						}
					}
					x.Failed(p, false)
				default:
					x.Answered(p)
				}
			},
			"": func(t *rapid.T) {
				if err := f.Now.Check(); err != nil {
					t.Fatal(err)
				}
				for _, x := range flights {
					chosen := x.Chosen()
					for i := range chosen {
						if i > 0 && chosen[i-1].Range.Meets(chosen[i].Range) {
							t.Fatalf("keys count twice:\n%v", x)
						}
					}
					for k, n := range x.ran {
						if x.once && n > 1 {
							t.Fatalf("keys of %x ran %d times:\n%v", k, n, x)
						}
					}
				}
			},
		})
		raw, err := f.Now.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Decode(raw); err != nil || back.String() != f.Now.String() {
			t.Fatalf("%v: comes back as %v", err, back)
		}
		// Once the world behaves, every query that may be asked again is whole, and of the others all that
		// has not failed.
		for _, x := range flights {
			for range 3 {
				for _, p := range x.Open() {
					x.Send(p)
				}
				for _, p := range x.Pieces() {
					if p.Stage == Sent {
						x.Answered(p)
					}
				}
			}
			if !x.once && !x.Whole() {
				t.Fatalf("keys were left out:\n%v", x)
			}
		}
	})
}

// A damaged snapshot is never believed, wherever the damage is.
func TestSnapshot(t *testing.T) {
	raw, err := start().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		bad := append([]byte{}, raw...)
		bad[i] ^= 1
		if m, err := Decode(bad); err == nil && m.String() != start().String() {
			t.Fatalf("byte %d changed, and it is read as\n%v", i, m)
		}
		if _, err := Decode(raw[:i]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := start().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("moleshift-shardmap 1 0 0\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, err := Decode(raw); err == nil && m.Check() != nil {
			t.Fatal("a map that makes no sense was given out")
		}
	})
}
