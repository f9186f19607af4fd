package opensearch

// partial.go owns what a leaf answers for one shard: a search answer of the form, with its own word on
// whether all of it is there. A success that has failures inside is a failure here. It must never let in what
// only looks like an answer.

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/pb/sketchpb"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"google.golang.org/protobuf/proto"

	"moleshift/merge"
)

// wirePartial is a shard's answer. Sketches travel in keys of their own: plain answers have none.
type wirePartial struct {
	TimedOut bool       `json:"timed_out"`
	Shards   *wireCount `json:"_shards"`
	Hits     struct {
		Total struct {
			Value    int64  `json:"value"`
			Relation string `json:"relation"`
		} `json:"total"`
		Hits []json.RawMessage `json:"hits"`
	} `json:"hits"`
	Aggs  json.RawMessage `json:"aggregations"`
	Error json.RawMessage `json:"error"`
}

type wireCount struct {
	Total      int           `json:"total"`
	Successful int           `json:"successful"`
	Skipped    int           `json:"skipped"`
	Failed     int           `json:"failed"`
	Failures   []wireFailure `json:"failures,omitempty"`
}

type wireFailure struct {
	Shard  int        `json:"shard"`
	Reason wireReason `json:"reason"`
}

type wireReason struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// ParsePartial reads a shard's answer to a search. An error is why the shard does not count as answered.
func ParsePartial(s *Search, shard int, raw []byte) (*merge.Partial, error) {
	if err := depth(raw); err != nil {
		return nil, err
	}
	var w wirePartial
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, fmt.Errorf("the answer can't be read: %w", err)
	}
	switch {
	case len(w.Error) > 0 && string(w.Error) != "null":
		return nil, fmt.Errorf("the leaf says: %.200s", w.Error)
	case w.TimedOut:
		return nil, fmt.Errorf("the leaf ran out of time and answered with what it had")
	case w.Shards != nil && w.Shards.Failed > 0:
		why := ""
		if len(w.Shards.Failures) > 0 {
			why = ": " + w.Shards.Failures[0].Reason.Reason
		}
		return nil, fmt.Errorf("a success with %d failed shards inside%.200s", w.Shards.Failed, why)
	}
	p := &merge.Partial{
		Shard: shard,
		Total: merge.Total{Value: w.Hits.Total.Value, AtLeast: w.Hits.Total.Relation == "gte"},
	}
	for i, h := range w.Hits.Hits {
		var one struct {
			Sort  []json.RawMessage `json:"sort"`
			Score json.RawMessage   `json:"_score"`
		}
		if err := json.Unmarshal(h, &one); err != nil {
			return nil, fmt.Errorf("hit %d can't be read: %w", i, err)
		}
		hit := merge.Hit{Body: h}
		if one.Sort == nil && len(s.Spec.Keys) == 1 && s.Spec.Keys[0].Field == "_score" {
			one.Sort = []json.RawMessage{one.Score}
		}
		for _, raw := range one.Sort {
			v, err := merge.ParseValue(raw)
			if err != nil {
				return nil, fmt.Errorf("hit %d: %w", i, err)
			}
			hit.Sort = append(hit.Sort, v)
		}
		p.Hits = append(p.Hits, hit)
	}
	var err error
	if len(s.Spec.Aggs) > 0 {
		p.Aggs, err = parsePartialAggs(s.Spec.Aggs, w.Aggs)
	}
	return p, err
}

// wireAgg is an aggregation as a shard sends it.
type wireAgg struct {
	Value   *float64        `json:"value"`
	Count   *int64          `json:"count"` // beside the value of avg, which needs it to be put together
	Other   int64           `json:"sum_other_doc_count"`
	Error   int64           `json:"doc_count_error_upper_bound"`
	Buckets json.RawMessage `json:"buckets"`
	Sketch  string          `json:"sketch"` // base64
}

func parsePartialAggs(specs []merge.AggSpec, raw json.RawMessage) (map[string]*merge.Agg, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, fmt.Errorf("aggregations can't be read: %w", err)
	}
	out := map[string]*merge.Agg{}
	for i := range specs {
		spec := &specs[i]
		text, there := all[spec.Name]
		if !there {
			return nil, fmt.Errorf("aggregation %q is missing", spec.Name)
		}
		var w wireAgg
		if err := json.Unmarshal(text, &w); err != nil {
			return nil, fmt.Errorf("aggregation %q: %w", spec.Name, err)
		}
		a, err := w.agg(spec)
		if err != nil {
			return nil, fmt.Errorf("aggregation %q: %w", spec.Name, err)
		}
		out[spec.Name] = a
	}
	return out, nil
}

func (w *wireAgg) agg(spec *merge.AggSpec) (*merge.Agg, error) {
	a := &merge.Agg{}
	if w.Count != nil {
		a.Count = *w.Count
	}
	sketch, err := base64.StdEncoding.DecodeString(w.Sketch)
	if err != nil {
		return nil, err
	}
	switch spec.Kind {
	case merge.Min, merge.Max:
		if w.Value != nil {
			a.Min, a.Max, a.Count = *w.Value, *w.Value, max(a.Count, 1)
		}
	case merge.SumOf:
		if w.Value != nil {
			a.Sum.Add(*w.Value)
		}
	case merge.Avg:
		if w.Value != nil && a.Count > 0 {
			a.Sum.Add(*w.Value * float64(a.Count))
		} else if w.Value != nil {
			return nil, fmt.Errorf("an average without its count can't be combined")
		}
	case merge.Count:
		if w.Value != nil {
			a.Count = int64(*w.Value)
		}
	case merge.Cardinality:
		if a.Sketch = sketch; w.Value != nil {
			a.Distinct = int64(*w.Value)
		}
	case merge.Percentiles:
		if len(sketch) > 0 {
			if a.Quantile, err = decodeQuantile(sketch); err != nil {
				return nil, err
			}
		}
	default:
		return a, w.buckets(a, spec)
	}
	return a, nil
}

const (
	sketchPlaces = 4096
	mostCount    = 1e15
)

func decodeQuantile(raw []byte) (*ddsketch.DDSketch, error) {
	var m sketchpb.DDSketch
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	// Stores of fixed size: a sketch of few bytes can name places that lie far apart.
	q, err := ddsketch.FromProtoWithStoreProvider(&m, func() store.Store { return store.NewCollapsingLowestDenseStore(sketchPlaces) })
	if err != nil {
		return nil, err
	}
	if n := q.GetCount(); !(n >= 0 && n < mostCount) {
		return nil, fmt.Errorf("a sketch of %g values", n)
	}
	return q, nil
}

// EncodeQuantile and EncodeSketch are how leaves write sketches.
func EncodeQuantile(q *ddsketch.DDSketch) (string, error) {
	raw, err := proto.Marshal(q.ToProto())
	return EncodeSketch(raw), err
}

// EncodeSketch see EncodeQuantile.
func EncodeSketch(raw []byte) string { return base64.StdEncoding.EncodeToString(raw) }

func (w *wireAgg) buckets(a *merge.Agg, spec *merge.AggSpec) error {
	a.Other, a.Error, a.Cut, a.Buckets = w.Other, w.Error, w.Other > 0, map[merge.Value]*merge.Bucket{}
	var list []json.RawMessage
	if len(w.Buckets) == 0 || json.Unmarshal(w.Buckets, &list) != nil {
		return fmt.Errorf("no list of buckets")
	}
	for i, raw := range list {
		var b struct {
			Key   json.RawMessage `json:"key"`
			Count int64           `json:"doc_count"`
			Error int64           `json:"doc_count_error_upper_bound"`
		}
		if err := json.Unmarshal(raw, &b); err != nil {
			return fmt.Errorf("bucket %d: %w", i, err)
		}
		key, err := merge.ParseValue(b.Key)
		if err != nil {
			return fmt.Errorf("bucket %d: %w", i, err)
		}
		if a.Buckets[key] != nil {
			return fmt.Errorf("bucket %s stands twice", key.AppendJSON(nil))
		}
		x := &merge.Bucket{Key: key, Count: b.Count, Error: b.Error}
		if x.Subs, err = parsePartialAggs(spec.Subs, raw); err != nil {
			return fmt.Errorf("bucket %s: %w", key.AppendJSON(nil), err)
		}
		a.Buckets[key] = x
	}
	return nil
}

// number writes a float as JSON has it, null where there is none.
func number(x float64, there bool) json.RawMessage {
	if !there || x != x {
		return json.RawMessage("null")
	}
	return strconv.AppendFloat(nil, x, 'g', -1, 64)
}
