package opensearch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/DataDog/sketches-go/ddsketch/pb/sketchpb"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"moleshift/internal/golden"
	"moleshift/merge"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// What is understood, what is passed on, and what is refused by its key.
func TestRequests(t *testing.T) {
	r := &router{
		whole: true,
		shard: func(string, int) string { return `{"hits":{"total":{"value":0},"hits":[]}}` },
	}
	f := front(r)
	var out strings.Builder
	for _, c := range []struct{ method, target, body string }{
		{"GET", "/", ""}, {"GET", "/_cluster/health", ""}, {"GET", "/_cat/shards", ""}, {"GET", "/_cat/shards?format=json", ""},
		{"GET", "/docs/_search", ""}, {"POST", "/docs/_search?size=3&timeout=50ms&preference=x", `{"query":{"match":{"title":"moles"}}}`},
		{"POST", "/docs/_search?q=moles", ``},
		{"POST", "/docs/_search", `{"query":{"bool":{"must":[{"term":{"a":1}}],"should":{"ids":{"values":["x"]}},"minimum_should_match":1}},"from":2,"size":4}`},
		{"POST", "/docs/_search", `{"sort":["year",{"pages":"desc"},{"tag":{"order":"asc","missing":"_first"}}],"search_after":[2001,null,"a"]}`},
		{"POST", "/docs/_search", `{"_source":{"includes":["a"],"excludes":["b"]},"track_total_hits":false,"timeout":"1s"}`},
		{"POST", "/docs/_count", `{"query":{"exists":{"field":"a"}}}`}, {"GET", "/docs/_count", ""},
		// Refused.
		{"POST", "/nobody/_search", "{}"}, {"DELETE", "/docs/_search", ""}, {"PUT", "/docs", "{}"}, {"POST", "/docs/_bulk", ""}, {"POST", "/_search", ""},
		{"POST", "/docs/_search", `{"highlight":{}}`}, {"POST", "/docs/_search", `{"size":-1}`}, {"POST", "/docs/_search", `{"size":1.5}`},
		{"POST", "/docs/_search", `{"from":9999,"size":2}`}, {"POST", "/docs/_search", `{"size":1,"size":2}`}, {"POST", "/docs/_search", `{"size":1} x`},
		{"POST", "/docs/_search", `[1]`}, {"POST", "/docs/_search", `{"query":{"script":{}}}`}, {"POST", "/docs/_search", `{"query":{}}`},
		{"POST", "/docs/_search", `{"query":{"bool":{"maybe":[]}}}`}, {"POST", "/docs/_search", `{"query":{"bool":{"must":[{"fuzzy":{}}]}}}`},
		{"POST", "/docs/_search", "{\"query\":\"\xff\"}"}, {"POST", "/docs/_search", strings.Repeat(`{"query":`, 40)},
		{"POST", "/docs/_search", `{"sort":[{"a":{"order":"up"}}]}`}, {"POST", "/docs/_search", `{"sort":[{"a":{"mode":"min"}}]}`},
		{"POST", "/docs/_search", `{"search_after":[1,2]}`}, {"POST", "/docs/_search", `{"search_after":7}`}, {"POST", "/docs/_search", `{"timeout":5}`},
		{"POST", "/docs/_search", `{"timeout":"5 parsecs"}`}, {"POST", "/docs/_search", `{"track_total_hits":"no"}`},
		{"POST", "/docs/_search", `{"aggs":{"a":{"top_hits":{}}}}`}, {"POST", "/docs/_search", `{"aggs":{"a":{"terms":{"field":"x","script":1}}}}`},
		{"POST", "/docs/_search", `{"aggs":{"a":{"terms":{"size":2}}}}`}, {"POST", "/docs/_search", `{"aggs":{"a":{"terms":{"field":"x","order":{"_count":"asc"}}}}}`},
		{"POST", "/docs/_search", `{"aggs":{"a":{}}}`}, {"POST", "/docs/_search", `{"aggs":{"a":{"min":{"field":"x"},"max":{"field":"x"}}}}`},
		{"POST", "/docs/_search?scroll=1m", ""}, {"POST", "/docs/_search?routing=x", ""}, {"POST", "/docs/_search?size=many", ""},
		{"POST", "/docs/_count", `{"sort":["a"]}`}, {"POST", "/docs/_search", `{"query":"` + strings.Repeat("x", mostBody) + `"}`},
	} {
		body := c.body
		if len(body) > 100 {
			body = body[:100] + "…"
		}
		fmt.Fprintf(&out, "%s %s %q\n  %s\n", c.method, c.target, body, call(f, c.method, c.target, c.body))
		for _, a := range r.asked {
			fmt.Fprintf(&out, "  asks: %s\n", a)
		}
		r.asked = nil
	}
	golden.Check(t, "requests", out.String())
}

// Completeness is told as it is: failures inside a success, shards that never answered, shards that were not
// needed, forms that can't say it, and clients that forbid it.
func TestCompleteness(t *testing.T) {
	var out strings.Builder
	say := func(what, answer string) { fmt.Fprintf(&out, "%s\n  %s\n", what, answer) }
	all := func(_ string, s int) string { return shardOf(s, float64(3-s), float64(1)) }
	inside := func(_ string, s int) string {
		if s == 1 {
			return `{"_shards":{"total":2,"successful":1,"failed":1,"failures":[{"shard":0,"reason":{"type":"x","reason":"disk"}}]},"hits":{"total":{"value":9},"hits":[]}}`
		}
		return all("", s)
	}
	but := func(odd string) func(string, int) string {
		return func(_ string, s int) string {
			if s == 1 {
				return odd
			}
			return all("", s)
		}
	}
	say("all answer", call(front(&router{whole: true, shard: all}), "POST", "/docs/_search", ""))
	say(
		"a success with failures inside",
		call(front(&router{whole: true, shard: inside}), "POST", "/docs/_search", ""),
	)
	say("one never answers", call(front(&router{shard: but("")}), "POST", "/docs/_search", ""))
	say("one is not needed", call(front(&router{whole: true, shard: but("")}), "POST", "/docs/_search", ""))
	for _, odd := range []string{"<html>", `{"error":{"type":"x"}}`, `{"timed_out":true}`, shardOf(1, 1, 2), `{"hits":{"hits":[{"_score":"x","sort":[{}]}]}}`} {
		say("one says "+odd, call(front(&router{whole: true, shard: but(odd)}), "POST", "/docs/_search", ""))
	}
	say(
		"partial answers are forbidden",
		call(front(&router{shard: but("")}), "POST", "/docs/_search?allow_partial_search_results=false", ""),
	)
	say("a count of some", call(front(&router{shard: but("")}), "POST", "/docs/_count", ""))
	say("a count of all", call(front(&router{whole: true, shard: all}), "POST", "/docs/_count", ""))
	say(
		"none can be read",
		call(front(&router{shard: func(string, int) string { return "?" }}), "POST", "/docs/_search", ""),
	)
	say(
		"turned away",
		call(
			front(&router{outcome: Refused, holdOff: 250 * time.Millisecond, shard: but("")}),
			"POST",
			"/docs/_search",
			"",
		),
	)
	say("given up", call(front(&router{outcome: Failed, shard: but("")}), "POST", "/docs/_search", ""))
	golden.Check(t, "completeness", out.String())
}

// Aggregations across shards, in the words of the form.
func TestAggregations(t *testing.T) {
	part := func(_ string, s int) string {
		return fmt.Sprintf(
			`{"hits":{"total":{"value":3},"hits":[]},"aggregations":{"a":{"value":%d,"count":2},"m":{"value":%d},"s":{"value":0.1},"n":{"value":3},
			"d":{"value":%d},"t":{"sum_other_doc_count":%d,"doc_count_error_upper_bound":%d,"buckets":[{"key":"x","doc_count":4,"k":{"value":%d}},{"key":"s%d","doc_count":2,"k":{"value":1}}]}}}`,
			s,
			s,
			s+1,
			s,
			s,
			s,
			s,
		)
	}
	r := &router{whole: true, shard: part}
	body := `{"size":0,"aggs":{"a":{"avg":{"field":"p"}},"m":{"max":{"field":"p"}},"s":{"sum":{"field":"p"}},"n":{"value_count":{"field":"p"}},
		"d":{"cardinality":{"field":"p"}},"t":{"terms":{"field":"q","size":2},"aggs":{"k":{"max":{"field":"p"}}}}}}`
	golden.Check(t, "aggregations", call(front(r), "POST", "/docs/_search", body)+"\n")
	r.shard = func(text string, s int) string {
		return strings.Replace(part(text, s), `"n":{"value":3}`, `"n":{"value":-3}`, 1)
	}
	if got := call(front(r), "POST", "/docs/_search", body); !strings.HasPrefix(got, "500 ") {
		t.Error("counts below nothing are taken:", got)
	}
	if r.done != 2 {
		t.Errorf("%d answers were let go of, of 2", r.done)
	}
}

// A sketch of a few bytes that names places far apart must not take memory for all between them.
func TestSketchFarApart(t *testing.T) {
	m := &sketchpb.DDSketch{Mapping: merge.NewQuantile().IndexMapping.ToProto(),
		PositiveValues: &sketchpb.Store{BinCounts: map[int32]float64{-1 << 30: 1, 1 << 30: 1}}}
	raw, err := proto.Marshal(m)
	must(t, err)
	if q, err := decodeQuantile(raw); err != nil || q.GetCount() != 2 {
		t.Errorf("%v, %v", q, err)
	}
	m.PositiveValues.BinCounts[5] = -10
	raw, err = proto.Marshal(m)
	must(t, err)
	if _, err := decodeQuantile(raw); err == nil {
		t.Error("a sketch of less than nothing is taken")
	}
}

// Several searches in one request: each is settled by itself, whatever becomes of the others.
func TestMulti(t *testing.T) {
	r := &router{whole: true, shard: func(text string, s int) string { return shardOf(s, 1) }}
	f := front(r)
	var out strings.Builder
	for _, body := range []string{
		"{\"index\":\"docs\"}\n{\"size\":1}\n{\"index\":[\"one\"]}\n{}\n", // each its own index
		"{}\n{\"size\":1}", // no line end, the index of the path
		"{\"index\":\"nobody\"}\n{}\n\n{\"size\":0}\n{\"index\":\"docs\",\"allow_partial_search_results\":false}\r\n{\"bad\":1}\r\n",
		"{}\n", "", "{\"x\":1}\n{}\n", strings.Repeat("{}\n", 2*mostBulk+2),
	} {
		shown := body
		if len(shown) > 200 {
			shown = shown[:20] + "…"
		}
		fmt.Fprintf(&out, "%q\n  %s\n", shown, call(f, "POST", "/docs/_msearch", body))
	}
	golden.Check(t, "multi", out.String())
}

// FuzzSearch: whatever a body says, it is read or refused, and what is read can be passed on and asked of
// package merge.
func FuzzSearch(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"size":3,"sort":["a"],"search_after":[1]}`, `{"aggs":{"a":{"terms":{"field":"x"},"aggs":{"b":{"avg":{"field":"y"}}}}}}`,
		`{"query":{"bool":{"must":[{"match":{"a":"b"}}]}}}`, `{"sort":[{"a":{"order":"desc","missing":"_first"}}],"timeout":"1s","_source":["a"]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSearch(body)
		if err != nil {
			return
		}
		text, err := s.Text("x")
		if err != nil || !json.Valid([]byte(text)) {
			t.Fatalf("%v: %s", err, text)
		}
		merge.New(s.Spec, []int{0}).Result()
	})
}

// FuzzPartial: whatever a leaf says, it is read or refused, and what is read can be merged and written.
func FuzzPartial(f *testing.F) {
	s, err := ParseSearch(
		[]byte(
			`{"aggs":{"t":{"terms":{"field":"x"},"aggs":{"b":{"avg":{"field":"y"}}}},"c":{"cardinality":{"field":"x"}},"p":{"percentiles":{"field":"x"}}}}`,
		),
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(shardOf(0, 2, 1)))
	f.Add(
		[]byte(
			`{"hits":{"total":{"value":1},"hits":[{"_score":1}]},"aggregations":{"t":{"buckets":[{"key":"a","doc_count":1,"b":{"value":1,"count":1}}]},"c":{"value":1},"p":{"sketch":""}}}`,
		),
	)
	f.Add([]byte(`{"_shards":{"failed":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := ParsePartial(s, 0, raw)
		if err != nil {
			return
		}
		m := merge.New(s.Spec, []int{0})
		m.Add(p)
		if _, err := answer(s, m.Result(), 0, false); err != nil {
			t.Fatal(err)
		}
	})
}

// A body that finds no room is turned away before anything of it is asked, with when to come back, and all
// room comes back, whatever became of the request.
func TestRoom(t *testing.T) {
	long := `{"query":{"match":{"title":"` + strings.Repeat("x", 9000) + `"}}}`
	lines := strings.Repeat("{\"index\":\"docs\"}\n{}\n", 500)
	for _, c := range []struct {
		name, target, body string
		room, status       int
		asked              int
	}{
		{"small", "/docs/_search", `{}`, bodyStep, 200, 1},
		{"long", "/docs/_search", long, 3 * bodyStep, 200, 1},
		{"no room at once", "/docs/_search", `{}`, 1, 429, 0},
		{"no room midway", "/docs/_search", long, 2 * bodyStep, 429, 0},
		{"many, no room", "/_msearch", lines, bodyStep, 429, 0},
		{"too long", "/docs/_search", strings.Repeat(" ", mostBody+1), 1 << 20, 413, 0},
		{"a fault", "/docs/_search", `{`, 1 << 20, 400, 0},
	} {
		r := &router{whole: true, room: c.room, shard: func(_ string, s int) string { return shardOf(s, 1) }}
		got := call(front(r), "POST", c.target, c.body)
		if !strings.HasPrefix(got, strconv.Itoa(c.status)) || len(r.asked) != c.asked || r.taken != 0 ||
			(c.status == 429) != strings.Contains(got, "come back in 1.000") {
			t.Errorf("%s: %d asked, %d bytes kept: %.200s", c.name, len(r.asked), r.taken, got)
		}
	}
}
