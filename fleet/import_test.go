package fleet

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"moleshift/config"
	"moleshift/internal/golden"
)

func platform(t *testing.T, change func(string) string) *config.Config {
	t.Helper()
	text, err := os.ReadFile("testdata/router.json")
	if err != nil {
		t.Fatal(err)
	}
	path := t.TempDir() + "/c.json"
	if err := os.WriteFile(path, []byte(change(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": path}[key] })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A description made from what routers are told, with all that was guessed or left out; read again it says
// the same.
func TestImport(t *testing.T) {
	here := platform(t, func(s string) string { return s })
	there := platform(t, func(s string) string { return strings.Replace(s, `"zone": 0`, `"zone": 1`, 1) })
	f, notes, err := Import([]*config.Config{here, there}, nil, Guess{Cores: 4, Queue: 32})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := f.Write(&b, notes); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "import", b.String())
	again, err := Decode("again", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	if what, is := same(f, again); !is {
		t.Errorf("read again it differs in %s", what)
	}
	if s, o := f.Settings(&f.Nodes[0], 1), here.Settings.Module; s.Shards != o.Shards || s.Roots != o.Roots || s.Verticals[1] != o.Verticals[1] ||
		s.BudgetRatio != o.BudgetRatio ||
		s.Tick != o.Tick {
		t.Errorf("the module would be told %+v, not %+v", s, o)
	}
}

func TestImportFaults(t *testing.T) {
	if _, _, err := Import(nil, nil, Guess{}); err == nil {
		t.Error("no router")
	}
	c := platform(t, func(s string) string { return s })
	if _, _, err := Import([]*config.Config{c}, &config.List{}, Guess{}); err == nil ||
		!strings.Contains(err.Error(), "no leaf") {
		t.Error(err)
	}
	one := config.List{Servers: []config.Server{{ID: "a", Zone: "east", Lifecycle: "in_service", Cell: 1}}}
	if _, _, err := Import([]*config.Config{c}, &one, Guess{}); err == nil ||
		!strings.Contains(err.Error(), "nobody holds cell 0") {
		t.Error(err)
	}
}

// same tells whether two descriptions say the same, leaf by leaf; the first difference is named.
func same(f, o *Fleet) (string, bool) {
	leaf := func(f *Fleet, l Leaf) string { return fmt.Sprint(f.Zones[l.Zone], l.Cell, f.Kinds[l.Kind]) }
	sorted := func(f *Fleet) (all []string) {
		for _, l := range f.Leaves {
			all = append(all, leaf(f, l))
		}
		slices.SortFunc(all, cmp.Compare)
		return all
	}
	switch {
	case !slices.Equal(sorted(f), sorted(o)):
		return "leaves", false
	case !slices.Equal(f.Verticals, o.Verticals):
		return "verticals", false
	case !slices.Equal(f.Tenants, o.Tenants):
		return "tenants", false
	case f.Rules != o.Rules:
		return "rules", false
	}
	return "", true
}
