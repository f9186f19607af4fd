package standin

// docs.go owns leaves' contents that are known beforehand: documents by shard, drawn from a seed, and the
// answer of a shard to a search as a server of the form would give it. Its reference answers are worked out
// another way, by looking at all documents at once. It must never know what the router makes of an answer.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"moleshift/front/opensearch"
	"moleshift/merge"
)

// Doc is one document.
type Doc struct {
	ID     string
	Shard  int
	Fields map[string]any // strings, float64 and int64; a field may be missing
}

// Corpus is all documents, by shard, in the order in which the shard holds them.
type Corpus struct{ Shards [][]*Doc }

var words = strings.Fields(
	"moles tunnel root index shard overlap thesis archive page rank night river stone paper light",
)

// NewCorpus draws documents.
func NewCorpus(seed uint64, shards, each int) *Corpus {
	rng := rand.New(rand.NewPCG(seed, 0xd0c5))
	c := &Corpus{Shards: make([][]*Doc, shards)}
	for s := range shards {
		for i := range each {
			d := &Doc{ID: fmt.Sprintf("d%d-%d", s, i), Shard: s, Fields: map[string]any{
				"title": words[rng.IntN(len(words))] + " " + words[rng.IntN(len(words))], "year": int64(1990 + rng.IntN(30)),
				"tag": string(rune('a' + rng.IntN(6))), "score": float64(rng.IntN(1000)) / 8}}
			if rng.IntN(5) > 0 { // every fifth has none
				d.Fields["pages"] = int64(rng.IntN(40))
			}
			c.Shards[s] = append(c.Shards[s], d)
		}
	}
	return c
}

// value is a field as package merge orders it.
func (d *Doc) value(field string) merge.Value {
	switch x := d.Fields[field].(type) {
	case string:
		return merge.Str(x)
	case int64:
		return merge.Int(x)
	case float64:
		return merge.Float(x)
	}
	if field == "_id" {
		return merge.Str(d.ID)
	}
	return merge.Value{}
}

// rank is a document's score: drawn from its name, with many ties.
func (d *Doc) rank() float64 {
	h := fnv.New32a()
	h.Write([]byte(d.ID))
	return float64(1 + h.Sum32()%16)
}

// asked is a search as a shard reads it.
type asked struct {
	Query json.RawMessage            `json:"query"`
	Size  int                        `json:"size"`
	Sort  json.RawMessage            `json:"sort"`
	After []json.RawMessage          `json:"search_after"`
	Aggs  map[string]json.RawMessage `json:"aggs"`
}

// Matching are a shard's documents that a query takes in.
func (c *Corpus) Matching(query json.RawMessage, shard int) (all []*Doc, err error) {
	for _, d := range c.Shards[shard] {
		yes, err := d.matches(query)
		if err != nil {
			return nil, err
		}
		if yes {
			all = append(all, d)
		}
	}
	return all, nil
}

// one is the only key of an object, and its value.
func one(raw json.RawMessage) (key string, value json.RawMessage, err error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil || len(m) != 1 {
		return "", nil, fmt.Errorf("one key is expected in %.60s", raw)
	}
	for key, value = range m {
	}
	return key, value, nil
}

func (d *Doc) matches(raw json.RawMessage) (bool, error) {
	if len(raw) == 0 {
		return true, nil
	}
	kind, body, err := one(raw)
	if err != nil {
		return false, err
	}
	switch kind {
	case "match_all":
		return true, nil
	case "bool":
		return d.matchesBool(body)
	case "ids":
		var ids struct{ Values []string }
		err := json.Unmarshal(body, &ids)
		return slices.Contains(ids.Values, d.ID), err
	case "exists":
		var f struct{ Field string }
		err := json.Unmarshal(body, &f)
		return d.Fields[f.Field] != nil, err
	case "query_string":
		var q struct{ Query string }
		err := json.Unmarshal(body, &q)
		title, _ := d.Fields["title"].(string)
		return strings.Contains(title, q.Query), err
	}
	field, want, err := one(body)
	if err != nil {
		return false, err
	}
	have := d.value(field)
	switch kind {
	case "term", "match", "prefix", "match_phrase":
		var inner map[string]json.RawMessage
		if json.Unmarshal(
			want,
			&inner,
		) == nil { // {field: {"value": v}} or {"query": v} says the same as {field: v}
			if want = inner["query"]; inner["value"] != nil {
				want = inner["value"]
			}
		}
		v, err := merge.ParseValue(want)
		if err != nil {
			return false, err
		}
		switch {
		case kind == "prefix":
			return have.Kind == merge.Text && strings.HasPrefix(have.Text, v.Text), nil
		case kind == "match" && have.Kind == merge.Text:
			for w := range strings.FieldsSeq(v.Text) {
				if slices.Contains(strings.Fields(have.Text), w) {
					return true, nil
				}
			}
			return false, nil
		}
		return have.Kind != merge.Missing && have.Compare(v) == 0, nil
	case "terms":
		var list []json.RawMessage
		if err := json.Unmarshal(want, &list); err != nil {
			return false, err
		}
		for _, raw := range list {
			if v, err := merge.ParseValue(raw); err == nil && have.Kind != merge.Missing &&
				have.Compare(v) == 0 {
				return true, nil
			}
		}
		return false, nil
	case "range":
		return inRange(have, want)
	}
	return false, fmt.Errorf("unknown query %q", kind)
}

func inRange(have merge.Value, raw json.RawMessage) (bool, error) {
	var bounds map[string]json.RawMessage
	if err := json.Unmarshal(raw, &bounds); err != nil {
		return false, err
	}
	if have.Kind == merge.Missing {
		return false, nil
	}
	for word, raw := range bounds {
		v, err := merge.ParseValue(raw)
		if err != nil {
			return false, err
		}
		c := have.Compare(v)
		if word == "gte" && c < 0 || word == "gt" && c <= 0 || word == "lte" && c > 0 ||
			word == "lt" && c >= 0 {
			return false, nil
		}
	}
	return true, nil
}

func (d *Doc) matchesBool(raw json.RawMessage) (bool, error) {
	var b map[string]json.RawMessage
	if err := json.Unmarshal(raw, &b); err != nil {
		return false, err
	}
	list := func(key string) (all []json.RawMessage) {
		if json.Unmarshal(b[key], &all) != nil && len(b[key]) > 0 {
			all = []json.RawMessage{b[key]}
		}
		return all
	}
	for _, key := range []string{"must", "filter", "must_not"} {
		for _, q := range list(key) {
			yes, err := d.matches(q)
			if err != nil {
				return false, err
			}
			if yes == (key == "must_not") {
				return false, nil
			}
		}
	}
	should := list("should")
	for _, q := range should {
		if yes, err := d.matches(q); yes || err != nil {
			return yes, err
		}
	}
	return len(should) == 0 || len(list("must"))+len(list("filter")) > 0, nil
}

// Answer is a shard's answer to the text that the router sends.
func (c *Corpus) Answer(text string, shard int) ([]byte, error) {
	var q asked
	if err := json.Unmarshal([]byte(text), &q); err != nil {
		return nil, err
	}
	s, err := opensearch.ParseSearch([]byte(text2search(text)))
	if err != nil {
		return nil, err
	}
	docs, err := c.Matching(q.Query, shard)
	if err != nil {
		return nil, err
	}
	total := len(docs)
	slices.SortStableFunc(docs, func(a, b *Doc) int {
		return s.Spec.Compare(&merge.Hit{Sort: a.sort(s.Spec.Keys)}, &merge.Hit{Sort: b.sort(s.Spec.Keys)})
	})
	type hit struct {
		ID     string         `json:"_id"`
		Score  any            `json:"_score"`
		Source map[string]any `json:"_source"`
		Sort   []any          `json:"sort"`
	}
	hits := []hit{}
	for _, d := range docs {
		values := d.sort(s.Spec.Keys)
		if s.Spec.After != nil &&
			s.Spec.Compare(&merge.Hit{Sort: values}, &merge.Hit{Sort: s.Spec.After}) <= 0 {
			continue
		}
		if len(hits) == q.Size {
			break
		}
		h := hit{ID: d.ID, Source: d.Fields}
		if s.Scores {
			h.Score = d.rank()
		}
		for _, v := range values {
			h.Sort = append(h.Sort, json.RawMessage(v.AppendJSON(nil)))
		}
		hits = append(hits, h)
	}
	out := map[string]any{
		"timed_out": false,
		"_shards":   map[string]int{"total": 1, "successful": 1, "failed": 0},
		"hits":      map[string]any{"total": map[string]any{"value": total, "relation": "eq"}, "hits": hits},
	}
	if len(s.Spec.Aggs) > 0 {
		if out["aggregations"], err = aggregate(s.Spec.Aggs, q.Aggs, docs); err != nil {
			return nil, err
		}
	}
	return json.Marshal(out)
}

// text2search leaves out what only leaves are told.
func text2search(text string) string {
	var m map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &m) != nil {
		return text
	}
	delete(m, "index")
	raw, err := json.Marshal(m)
	if err != nil {
		return text
	}
	return string(raw)
}

// sort are a document's values of the sort keys.
func (d *Doc) sort(keys []merge.Key) (all []merge.Value) {
	for _, k := range keys {
		if k.Field == "_score" {
			all = append(all, merge.Int(int64(d.rank())))
		} else {
			all = append(all, d.value(k.Field))
		}
	}
	return all
}

func aggregate(specs []merge.AggSpec, raws map[string]json.RawMessage, docs []*Doc) (map[string]any, error) {
	out := map[string]any{}
	for i := range specs {
		var body map[string]json.RawMessage
		if err := json.Unmarshal(raws[specs[i].Name], &body); err != nil {
			return nil, err
		}
		a, err := aggregateOne(&specs[i], body, docs)
		if err != nil {
			return nil, err
		}
		out[specs[i].Name] = a
	}
	return out, nil
}

func aggregateOne(spec *merge.AggSpec, body map[string]json.RawMessage, docs []*Doc) (map[string]any, error) {
	var subs map[string]json.RawMessage
	var options struct {
		Field    string
		Interval float64
		Ranges   []struct{ From, To *float64 }
	}
	for key, raw := range body {
		if key == "aggs" || key == "aggregations" {
			if err := json.Unmarshal(raw, &subs); err != nil {
				return nil, err
			}
		} else if err := json.Unmarshal(raw, &options); err != nil {
			return nil, err
		}
	}
	var nums []float64
	var have []*Doc
	for _, d := range docs {
		v := d.value(options.Field)
		if v.Kind == merge.Missing {
			continue
		}
		have, nums = append(have, d), append(nums, v.Float)
	}
	value := func(x float64) map[string]any {
		if len(nums) == 0 {
			return map[string]any{"value": nil, "count": 0}
		}
		return map[string]any{"value": x, "count": len(nums)}
	}
	var sum merge.Sum
	for _, x := range nums {
		sum.Add(x)
	}
	switch spec.Kind {
	case merge.Min:
		return value(least(nums, 1)), nil
	case merge.Max:
		return value(-least(nums, -1)), nil
	case merge.SumOf:
		return map[string]any{"value": sum.Float()}, nil
	case merge.Avg:
		return value(sum.Float() / float64(max(len(nums), 1))), nil
	case merge.Count:
		return map[string]any{"value": len(nums)}, nil
	case merge.Cardinality:
		return distinct(have, options.Field)
	case merge.Percentiles:
		q := merge.NewQuantile()
		for _, x := range nums {
			if err := q.Add(x); err != nil {
				return nil, err
			}
		}
		sketch, err := opensearch.EncodeQuantile(q)
		return map[string]any{"sketch": sketch, "count": len(nums)}, err
	}
	groups := map[merge.Value][]*Doc{}
	for _, d := range have {
		v := d.value(options.Field)
		switch spec.Kind {
		case merge.Histogram:
			k := merge.Float(math.Floor(v.Float/options.Interval) * options.Interval)
			groups[k] = append(groups[k], d)
		case merge.Ranges:
			for _, r := range options.Ranges {
				if (r.From == nil || v.Float >= *r.From) && (r.To == nil || v.Float < *r.To) {
					k := rangeKey(r.From, r.To)
					groups[k] = append(groups[k], d)
				}
			}
		default:
			groups[v] = append(groups[v], d)
		}
	}
	return buckets(spec, subs, groups)
}

// least is the least of the numbers times a sign; 0 of none.
func least(nums []float64, sign float64) (x float64) {
	for i, n := range nums {
		if n *= sign; i == 0 || n < x {
			x = n
		}
	}
	return x
}

func rangeKey(from, to *float64) merge.Value {
	text := func(x *float64) string {
		if x == nil {
			return "*"
		}
		return fmt.Sprint(*x)
	}
	return merge.Str(text(from) + "-" + text(to))
}

func distinct(docs []*Doc, field string) (map[string]any, error) {
	values := map[string]bool{}
	for _, d := range docs {
		values[string(d.value(field).AppendJSON(nil))] = true
	}
	sketch, err := merge.Sketcher(func(yield func([]byte) bool) {
		for v := range values {
			if !yield([]byte(v)) {
				return
			}
		}
	})
	return map[string]any{"value": len(values), "sketch": opensearch.EncodeSketch(sketch)}, err
}

// buckets writes groups: of terms only the most frequent, half again as many as are wanted and ten, as
// servers of the form do.
func buckets(
	spec *merge.AggSpec,
	subs map[string]json.RawMessage,
	groups map[merge.Value][]*Doc,
) (map[string]any, error) {
	keys := slices.SortedFunc(maps.Keys(groups), merge.Value.Compare)
	out := map[string]any{}
	if spec.Kind == merge.Terms {
		if !spec.ByKey {
			slices.SortStableFunc(
				keys,
				func(a, b merge.Value) int { return cmp.Compare(len(groups[b]), len(groups[a])) },
			)
		}
		if most := spec.Size + spec.Size/2 + 10; len(keys) > most {
			other := 0
			for _, k := range keys[most:] {
				other += len(groups[k])
			}
			out["sum_other_doc_count"], out["doc_count_error_upper_bound"] = other, len(groups[keys[most-1]])
			keys = keys[:most]
		}
	}
	list := []map[string]any{}
	for _, k := range keys {
		b, err := aggregate(spec.Subs, subs, groups[k])
		if err != nil {
			return nil, err
		}
		b["key"], b["doc_count"] = json.RawMessage(k.AppendJSON(nil)), len(groups[k])
		list = append(list, b)
	}
	out["buckets"] = list
	return out, nil
}

// SortBy are a document's values of sort keys.
func (d *Doc) SortBy(keys []merge.Key) []merge.Value { return d.sort(keys) }

// Whole is what an answer's aggregations are when all documents stand on one shard: the reference for those
// that are put together.
func Whole(s *opensearch.Search, body []byte, docs []*Doc) (map[string]json.RawMessage, error) {
	var q asked
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	aggs, err := aggregate(s.Spec.Aggs, q.Aggs, docs)
	if err != nil {
		return nil, err
	}
	hits := []any{}
	raw, err := json.Marshal(
		map[string]any{
			"hits":         map[string]any{"total": map[string]any{"value": len(docs)}, "hits": hits},
			"aggregations": aggs,
		},
	)
	if err != nil {
		return nil, err
	}
	p, err := opensearch.ParsePartial(s, 0, raw)
	if err != nil {
		return nil, err
	}
	m := merge.New(s.Spec, []int{0})
	if err := m.Add(p); err != nil {
		return nil, err
	}
	return opensearch.Aggregations(s, m.Result())
}
