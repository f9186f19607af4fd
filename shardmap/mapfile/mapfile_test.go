package mapfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"moleshift/shardmap"
)

func version(n int64) *shardmap.Map {
	return &shardmap.Map{Version: n, Shards: []shardmap.Shard{{Range: shardmap.Range{To: shardmap.Space},
		Holders: []shardmap.Holder{{Leaf: "a", State: shardmap.Serving}}}}}
}

func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map")
	if m, err := Load(path); m != nil || err != nil {
		t.Fatal("there is none, and:", m, err)
	}
	for _, n := range []int64{3, 4} {
		if err := Save(path, version(n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := Save(path, version(2)); err == nil {
		t.Error("an older map was written over a newer one")
	}
	if m, err := Load(path); err != nil || m.Version != 4 {
		t.Fatal(m, err)
	}
	// Cut short, as by a full disk: never believed, put aside each time, and the next one is written as if
	// there were none.
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range mostAside + 2 {
		if err := os.WriteFile(path, raw[:len(raw)/2], 0o600); err != nil {
			t.Fatal(err)
		}
		m, err := Load(path)
		var d *Damaged
		if m != nil || !errors.As(err, &d) || !errors.Is(err, shardmap.ErrDamaged) {
			t.Fatalf("%d: %v, %v", i, m, err)
		}
		if left, err := os.ReadFile(d.Aside); err != nil || len(left) != len(raw)/2 {
			t.Fatalf("%d: put aside as %s: %v", i, d.Aside, err)
		}
	}
	if err := Save(path, version(5)); err != nil {
		t.Fatal(err)
	}
	if left, err := filepath.Glob(path + ".new-*"); err != nil || len(left) > 0 {
		t.Errorf("left over: %v, %v", left, err)
	}
	if err := Save(filepath.Join(path, "nowhere"), version(1)); err == nil {
		t.Error("saved into a file as if it were a folder")
	}
}
