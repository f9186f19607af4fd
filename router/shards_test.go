package router

import (
	"strings"
	"testing"

	"moleshift/config"
	"moleshift/shardmap"
)

// two is a map of four slices in two shards: leaf A holds both, B the upper one.
func two(version int64) *shardmap.Map {
	half := shardmap.Space / 2
	return &shardmap.Map{Version: version, Shards: []shardmap.Shard{
		{ID: 0, Range: shardmap.Range{To: half}, Holders: []shardmap.Holder{{Leaf: "A", State: shardmap.Serving}}},
		{ID: 1, Range: shardmap.Range{From: half, To: shardmap.Space},
			Holders: []shardmap.Holder{{Leaf: "A", State: shardmap.Serving}, {Leaf: "B", State: shardmap.Serving}}}}}
}

// A cold holder is among the candidates of the stated share of a range's parts and no more, while a warm one is there.
func TestColdShare(t *testing.T) {
	set, err := config.DecodeSettings(1, []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{More: config.DefaultFile(), Settings: set, Seed: 7}
	cfg.More.Shards.Enabled = true
	m := two(1)
	m.Shards[1].Holders[1].State = shardmap.Cold
	cold := 0
	withOwner(t, cfg, func(o *owner) {
		o.ranging.take(&mapLine{Whole: m})
		for range 1000 {
			s := o.ranging.spanOf(o.ranging.keysOf(3), m.Of(shardmap.Space-1))
			may := o.ranging.may(s, "B")
			if may {
				cold++
			}
			if !o.ranging.may(s, "A") || may != s.cold {
				t.Fatal("the warm holder is no candidate, or the cold one is without being drawn")
			}
		}
	})
	if cold < 70 || cold > 130 {
		t.Errorf("%d of 1000 parts may go to the cold holder, a tenth is stated", cold)
	}
	var names []string
	for _, h := range m.Shards[1].Holders {
		names = append(names, h.Leaf)
	}
	if strings.Join(names, "") != "AB" {
		t.Fatal(names)
	}
}
