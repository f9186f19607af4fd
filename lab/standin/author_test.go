package standin

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"moleshift/lease"
	"moleshift/rights"
	"moleshift/shardmap"
	"moleshift/work"
)

// The author's job proposes what its load asks for, once it has two measurements under one map; one that stood still and proposes under
// an older token is refused, and so is one whose map has moved on.
func TestAuthorUnderItsToken(t *testing.T) {
	p := NewMaps(&shardmap.Map{Version: 1, Shards: []shardmap.Shard{
		{ID: 0, Range: shardmap.Range{To: shardmap.Space / 2}, Holders: []shardmap.Holder{{Leaf: "a", State: shardmap.Serving}}},
		{ID: 1, Range: shardmap.Range{From: shardmap.Space / 2, To: shardmap.Space}, Holders: []shardmap.Holder{{Leaf: "b", State: shardmap.Serving}}}}})
	server := httptest.NewServer(p)
	defer server.Close()
	load := shardmap.Load{}
	behind := (*shardmap.Map)(nil)
	look := func(context.Context) (*rights.Measured, error) {
		load[0] += 900
		load[1] += 100
		m := &rights.Measured{Map: p.Now(), Load: shardmap.Load{}, Leaves: []string{"a", "b"}}
		if behind != nil {
			m.Map = behind
		}
		for id, w := range load {
			m.Load[id] = w
		}
		return m, nil
	}
	address := func() string { return strings.TrimPrefix(server.URL, "http://") }
	task := func() rights.Task {
		return rights.Author(shardmap.AuthorSettings{Split: 1.5, Shards: 8, Least: 10}, address, look)
	}
	do := func(task rights.Task, token lease.Token) work.Result {
		return task(t.Context(), work.Step{Job: "author", Token: token, Number: 1}, func() (lease.Token, time.Duration, bool) {
			return token, time.Second, true // as far as it knows
		})
	}
	first, old := task(), task()
	do(old, 5)
	if r := do(first, 7); r.Err != "" || p.Now().Version != 1 {
		t.Errorf("by one measurement alone: %+v, version %d", r, p.Now().Version)
	}
	before := p.Now()
	if r := do(first, 7); r.Err != "" || p.Now().Version != 2 || len(p.Now().Shards) != 3 || p.Proposed != 1 {
		t.Errorf("%+v\n%v", r, p.Now())
	}
	behind = before
	if r := do(old, 5); !r.Overtaken || p.Now().Version != 2 || p.Overtaken != 1 {
		t.Errorf("under an older token: %+v", r)
	}
	late := task()
	do(late, 8)
	if r := do(late, 8); !strings.Contains(r.Err, "moved on") || p.Now().Version != 2 {
		t.Errorf("on an older map: %+v", r)
	}
}
