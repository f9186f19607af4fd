package shardmap

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A cold holder is among the candidates of the stated share of a range's parts and no more, while a warm one
// is there; without one it is always.
func TestColdShare(t *testing.T) {
	m := start()
	m.Shards[0].Holders[1].State = Cold
	s := NewSpans(4, 0.1, 7)
	if _, _, ok := s.Ask(0, []int{0}); ok {
		t.Fatal("cut by no map")
	}
	s.Move(0, m)
	cold := 0
	for range 2000 {
		pieces, _, ok := s.Ask(1, []int{1})
		if !ok || len(pieces) != 1 || !s.May(pieces[0].Span, "a") {
			t.Fatalf("%+v, %v", pieces, ok)
		}
		if s.May(pieces[0].Span, "b") {
			cold++
		}
		s.Done(pieces[0].Span)
	}
	if cold < 150 || cold > 250 {
		t.Errorf("%d of 2000 parts may go to the cold holder, a tenth is stated", cold)
	}
	m = start()
	m.Version = 2
	m.Shards[1].Holders = []Holder{{"c", Leaving}, {"d", Cold}}
	s.Move(2, m)
	for range 20 {
		pieces, _, _ := s.Ask(2, []int{3})
		if !s.May(pieces[0].Span, "c") {
			t.Fatal("the leaving holder is the only warm one, and is no candidate")
		}
	}
}

// Whatever the map becomes: pieces cover their slices once, candidates hold all of a piece in a state in which
// they may be asked, numbers are one range's each while they are in use, and idle ones are given again.
func TestSpans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Follower{Now: start()}
		s := NewSpans(rapid.IntRange(1, 7).Draw(t, "slices"), 0.3, 1)
		s.Move(0, f.Now)
		next, now := 10, Time(0)
		var open []Cut
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if len(f.Now.Shards) < 12 && f.Take(draw(t, f.Now, &next)) == nil {
					s.Move(now, f.Now)
				}
			},
			"wait": func(*rapid.T) { now += spanKept },
			"ask": func(t *rapid.T) {
				slice := rapid.IntRange(0, s.slices-1).Draw(t, "slice")
				pieces, _, ok := s.Ask(now, []int{slice})
				if !ok {
					t.Fatal("no number is left")
				}
				at, share := s.keysOf(slice).From, 0.0
				for i, p := range pieces {
					if p.Span.Keys.From != at || p.Number != i || p.Of != len(pieces) {
						t.Fatalf("piece %+v at %x", p, at)
					}
					at, share = p.Span.Keys.To, share+p.Share
				}
				if at != s.keysOf(slice).To || share < 0.999 || share > 1.001 {
					t.Fatalf("pieces end at %x, with %v of the slice", at, share)
				}
				open = append(open, pieces...)
			},
			"done": func(t *rapid.T) {
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "piece")
					s.Done(open[i].Span)
					open = slices.Delete(open, i, i+1)
				}
			},
			"": func(t *rapid.T) {
				for _, p := range open {
					if s.numbers[p.Span.Number] != p.Span {
						t.Fatal("a number in use was given again")
					}
					for _, leaf := range []string{"a", "b", "c", "d", "e", "f"} {
						if slices.Contains(s.Holds(leaf), p.Span.Number) != s.May(p.Span, leaf) {
							t.Fatal("what a leaf holds and whether it may be asked differ")
						}
						for _, shard := range s.now.Over(p.Span.Keys) {
							i := shard.holder(leaf)
							if s.May(p.Span, leaf) && (i < 0 || !shard.Holders[i].State.Answers()) {
								t.Fatalf("%s may be asked for %v of\n%v", leaf, p.Span.Keys, s.now)
							}
						}
					}
				}
			},
		})
		for _, p := range open {
			s.Done(p.Span)
		}
		s.Move(now+2*spanKept, f.Now)
		if len(s.byKeys) > 0 || slices.ContainsFunc(s.numbers, func(x *Span) bool { return x != nil }) {
			t.Fatal(fmt.Sprint("numbers are kept for good: ", len(s.byKeys)))
		}
	})
}
