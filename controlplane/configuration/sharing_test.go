package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// tenants gives a configuration with the given tenants: a name, and a ! behind those that are isolated.
func tenants(version int, names ...string) string {
	list := ""
	for i, name := range names {
		isolated := name[len(name)-1] == '!'
		if isolated {
			name = name[:len(name)-1]
		}
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"name":%q,"api-keys":["key-%s"],"isolated":%t}`, name, name, isolated)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[%s]}`, version, list)
}

// Guards against WALL: the sharers begin anew whenever one of those who have shared is isolated, and only then.
func TestSharersBeginAnew(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps [][]string // tenants of versions 1, 2, ...
		since []int64
	}{
		{"isolated from the first", [][]string{{"a!", "b"}, {"a!", "b", "c"}, {"a!", "c"}}, []int64{0, 0, 0}},
		{"becomes isolated", [][]string{{"a", "b"}, {"a!", "b"}, {"a!", "b", "c"}}, []int64{0, 2, 2}},
		{"there and back", [][]string{{"a", "b"}, {"a!", "b"}, {"a", "b"}, {"a!", "b"}}, []int64{0, 2, 2, 4}},
		{"back alone", [][]string{{"a!", "b"}, {"a", "b"}}, []int64{0, 0}},
		{"removed and added isolated", [][]string{{"a", "b"}, {"b"}, {"a!", "b"}}, []int64{0, 0, 3}},
		{"removed while isolated, added shared", [][]string{{"a!", "b"}, {"b"}, {"a", "b"}}, []int64{0, 0, 0}},
		{"one after the other", [][]string{{"a", "b", "c"}, {"a!", "b", "c"}, {"a!", "b!", "c"}}, []int64{0, 2, 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := &State{}
			for i, names := range row.steps {
				s = apply(t, s, Replace, s.Version, tenants(i+1, names...))
				must.Eq(t, row.since[i], s.SharedSince, must.Sprintf("version %d", i+1))
			}
		})
	}
}

// A state from before it was noted who shares: what its configuration says counts.
func TestSharersOfAnOlderState(t *testing.T) {
	s := &State{Version: 1, Body: []byte(tenants(1, "a", "b"))}
	s = apply(t, s, Patch, 1, `{"version":2,"upsert":{"tenants":[{"name":"a","api-keys":["key-a"],"isolated":true}]}}`)
	must.Eq(t, 2, s.SharedSince)
	must.Eq(t, []string{"b"}, s.Sharers)
}

// However many tenants come and go, few names are kept.
func TestSharersAreBounded(t *testing.T) {
	s := &State{}
	for version := 1; version <= 2*mostSharers/100+2; version++ {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprintf("t%d-%d", version, i))
		}
		s = apply(t, s, Replace, s.Version, tenants(version, names...))
		must.LessEq(t, mostSharers, len(s.Sharers))
	}
	must.Greater(t, 0, s.SharedSince)
}
