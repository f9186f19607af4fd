package opensearch

// response.go owns the form of answers. It must never say of an answer that it is whole when a shard is not
// in it, and never leave a shard out of the count.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"moleshift/merge"
)

// wireError is an error of the form.
type wireError struct {
	Error struct {
		Root   []wireReason  `json:"root_cause"`
		Type   string        `json:"type"`
		Reason string        `json:"reason"`
		Failed []wireFailure `json:"failed_shards,omitempty"`
	} `json:"error"`
	Status int `json:"status"`
}

// body is the fault in the form's own words.
func (f *Fault) body(failed []wireFailure) *wireError {
	e := &wireError{Status: f.Status}
	e.Error.Root = []wireReason{{f.Type, f.Reason}}
	e.Error.Type, e.Error.Reason, e.Error.Failed = f.Type, f.Reason, failed
	return e
}

type wireTotal struct {
	Value    int64  `json:"value"`
	Relation string `json:"relation"`
}

type wireHits struct {
	Total    *wireTotal        `json:"total,omitempty"`
	MaxScore json.RawMessage   `json:"max_score"`
	Hits     []json.RawMessage `json:"hits"`
}

type wireAnswer struct {
	Took     int64                      `json:"took"`
	TimedOut bool                       `json:"timed_out"`
	Shards   wireCount                  `json:"_shards"`
	Hits     wireHits                   `json:"hits"`
	Aggs     map[string]json.RawMessage `json:"aggregations,omitempty"`
	Status   int                        `json:"status,omitempty"` // of an item of _msearch
}

// counts is the word on shards. A shard that was never needed, as an answer of some of them was asked for, is
// not in the answer either: it is told as failed, with that reason, since the form's "skipped" means that it
// could have no hit.
func counts(r *merge.Result) wireCount {
	c := wireCount{Total: r.Asked, Successful: len(r.In), Failed: len(r.Failures)}
	for _, f := range r.Failures {
		kind := "shard_not_in_answer"
		if f.Reason == notNeeded {
			kind = "shard_not_needed"
		}
		c.Failures = append(c.Failures, wireFailure{f.Shard, wireReason{kind, f.Reason}})
	}
	return c
}

// answer puts the result of a search into its form.
func answer(s *Search, r *merge.Result, took time.Duration, timedOut bool) (*wireAnswer, error) {
	a := &wireAnswer{
		Took:     took.Milliseconds(),
		TimedOut: timedOut,
		Shards:   counts(r),
		Hits: wireHits{MaxScore: json.RawMessage("null"),
			Hits: []json.RawMessage{}},
	}
	if s.Totals {
		a.Hits.Total = &wireTotal{r.Total.Value, "eq"}
		if r.Total.AtLeast || !r.Whole() { // what is not in may have more
			a.Hits.Total.Relation = "gte"
		}
	}
	for i, h := range r.Hits {
		a.Hits.Hits = append(a.Hits.Hits, h.Body)
		if i == 0 && s.Spec.From == 0 && s.Spec.Keys[0].Field == "_score" && h.Sort[0].Kind == merge.Number {
			a.Hits.MaxScore = h.Sort[0].AppendJSON(nil)
		}
	}
	if len(s.Spec.Aggs) > 0 {
		var err error
		if a.Aggs, err = writeAggs(s.Spec.Aggs, r.Aggs); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func writeAggs(specs []merge.AggSpec, aggs map[string]*merge.Agg) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	for i := range specs {
		raw, err := json.Marshal(writeAgg(&specs[i], aggs[specs[i].Name]))
		if err != nil {
			return nil, fmt.Errorf("aggregation %q: %w", specs[i].Name, err)
		}
		out[specs[i].Name] = raw
	}
	return out, nil
}

func writeAgg(spec *merge.AggSpec, a *merge.Agg) any {
	value := func(x float64, there bool) any { return map[string]any{"value": number(x, there)} }
	switch spec.Kind {
	case merge.Min:
		return value(a.Min, a.Count > 0)
	case merge.Max:
		return value(a.Max, a.Count > 0)
	case merge.SumOf:
		return value(a.Sum.Float(), true)
	case merge.Avg:
		return value(a.Sum.Float()/float64(max(a.Count, 1)), a.Count > 0)
	case merge.Count:
		return map[string]any{"value": a.Count}
	case merge.Cardinality:
		return map[string]any{
			"value":       a.Distincts.Value,
			"value_least": a.Distincts.Least,
			"value_most":  a.Distincts.Most,
		}
	case merge.Percentiles:
		values := map[string]json.RawMessage{}
		for i, p := range spec.Percents {
			values[strconv.FormatFloat(p, 'f', 1, 64)] = number(a.Quantiles[i], true)
		}
		return map[string]any{"values": values, "relative_error": merge.Accuracy, "incomplete": a.Cut}
	}
	buckets := []map[string]any{}
	for _, b := range a.Order {
		x := map[string]any{"key": json.RawMessage(b.Key.AppendJSON(nil)), "doc_count": b.Count}
		if spec.Kind == merge.Terms && b.Error > 0 {
			x["doc_count_error_upper_bound"] = b.Error
		}
		for i := range spec.Subs {
			x[spec.Subs[i].Name] = writeAgg(&spec.Subs[i], b.Subs[spec.Subs[i].Name])
		}
		buckets = append(buckets, x)
	}
	out := map[string]any{"buckets": buckets}
	if spec.Kind == merge.Terms {
		out["doc_count_error_upper_bound"], out["sum_other_doc_count"] = a.TotalError, a.Other
	}
	return out
}

// Aggregations are those of a result in the form's words.
func Aggregations(s *Search, r *merge.Result) (map[string]json.RawMessage, error) {
	return writeAggs(s.Spec.Aggs, r.Aggs)
}
