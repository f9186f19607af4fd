// Package opensearch answers searches in the style of the OpenSearch API. It reads requests, has the router
// ask the parts, and puts what they answer together. It must never choose a server, repeat or refuse a search
// of its own accord, never leave out without a word what a request asks for, and never call an answer whole
// that is not.
//
// request.go owns the form of requests: what is understood is turned into what package merge is asked, what
// leaves must judge is passed on as it came, and everything else is refused by its key.
package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"moleshift/merge"
)

// Search is one search.
type Search struct {
	Spec    *merge.Spec
	Query   json.RawMessage // for the leaves; nil: match_all
	Source  json.RawMessage // which fields of hits; nil: all
	Timeout time.Duration   // 0: the vertical's
	Partial bool            // an answer that is not whole may be given
	Totals  bool            // the count of hits is wanted
	Scores  bool            // hits are sorted by score
	aggs    json.RawMessage
	sort    json.RawMessage
}

// Fault is a request that can't be taken, in the form's own words.
type Fault struct {
	Status int
	Type   string
	Reason string
}

func (f *Fault) Error() string { return f.Type + ": " + f.Reason }

func parsing(format string, args ...any) *Fault {
	return &Fault{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

func illegal(format string, args ...any) *Fault {
	return &Fault{400, "illegal_argument_exception", fmt.Sprintf(format, args...)}
}

const (
	mostBody   = 64 << 10 // as a query of the router's own protocol
	deepest    = 32
	mostKeys   = 8
	usualSize  = 10
	usualTrack = 10_000
	usualTerms = 10
	mostTime   = 10 * time.Minute
)

// fields are the keys of an object, in their order, each once.
type field struct {
	key   string
	value json.RawMessage
}

// object reads a JSON object strictly: no key twice, no bad UTF-8, nothing behind it, not too deep.
func object(raw []byte) ([]field, error) {
	if err := depth(raw); err != nil {
		return nil, err
	}
	return fieldsOf(raw)
}

func fieldsOf(raw []byte) (all []field, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	t, err := dec.Token()
	if err != nil || t != json.Delim('{') {
		return nil, parsing("an object is expected")
	}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, parsing("%v", err)
		}
		key := t.(string) // the decoder gives nothing else here
		if slices.ContainsFunc(all, func(f field) bool { return f.key == key }) {
			return nil, parsing("key [%s] stands twice", key)
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, parsing("[%s]: %v", key, err)
		}
		all = append(all, field{key, value})
	}
	if _, err := dec.Token(); err != nil {
		return nil, parsing("the object does not end")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, parsing("something stands behind the object")
	}
	return all, nil
}

// depth refuses what is nested too deep or is no UTF-8, before anything is built of it.
func depth(raw []byte) error {
	if !utf8.Valid(raw) {
		return parsing("the body is no UTF-8")
	}
	level, inside, escaped := 0, false, false
	for _, b := range raw {
		switch {
		case escaped:
			escaped = false
		case inside && b == '\\':
			escaped = true
		case b == '"':
			inside = !inside
		case !inside && (b == '{' || b == '['):
			if level++; level > deepest {
				return parsing("nested more than %d deep", deepest)
			}
		case !inside && (b == '}' || b == ']'):
			level--
		}
	}
	return nil
}

// ParseSearch reads the body of a search; empty is one that asks for everything.
func ParseSearch(body []byte) (*Search, error) {
	s := &Search{Spec: &merge.Spec{Size: usualSize, Track: usualTrack}, Partial: true, Totals: true}
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	all, err := object(body)
	if err != nil {
		return nil, err
	}
	for _, f := range all {
		switch f.key {
		case "query":
			s.Query, err = checkQuery(f.value, 1)
		case "from":
			s.Spec.From, err = whole(f)
		case "size":
			s.Spec.Size, err = whole(f)
		case "sort":
			err = s.parseSort(f.value)
		case "search_after":
			err = s.parseAfter(f.value)
		case "track_total_hits":
			err = s.parseTrack(f.value)
		case "timeout":
			s.Timeout, err = duration(f)
		case "_source":
			s.Source, err = source(f.value)
		case "aggs", "aggregations":
			if s.Spec.Aggs != nil {
				err = parsing("[aggs] stands twice")
				break
			}
			s.aggs = f.value
			s.Spec.Aggs, err = parseAggs(f.value, 1)
		default:
			err = parsing("unknown key [%s]", f.key)
		}
		if err != nil {
			return nil, err
		}
	}
	if s.Spec.Keys == nil {
		s.Spec.Keys, s.Scores = []merge.Key{{Field: "_score", Descending: true}}, true
	}
	if err := s.Spec.Check(); err != nil {
		return nil, illegal("%v", err)
	}
	return s, nil
}

// Text is what leaves are sent: what they must judge, and how much of it is wanted.
func (s *Search) Text(index string) (string, error) {
	text, err := json.Marshal(struct {
		Index  string          `json:"index"`
		Query  json.RawMessage `json:"query,omitempty"`
		Size   int             `json:"size"`
		Sort   json.RawMessage `json:"sort,omitempty"`
		After  []any           `json:"search_after,omitempty"`
		Source json.RawMessage `json:"_source,omitempty"`
		Aggs   json.RawMessage `json:"aggs,omitempty"`
	}{index, s.Query, s.Spec.From + s.Spec.Size, s.sort, s.after(), s.Source, s.aggs})
	return string(text), err
}

func (s *Search) after() (all []any) {
	for _, v := range s.Spec.After {
		all = append(all, json.RawMessage(v.AppendJSON(nil)))
	}
	return all
}

func whole(f field) (int, error) {
	n, err := strconv.Atoi(string(f.value))
	if err != nil || n < 0 {
		return 0, illegal("[%s] must be a whole number, 0 or more", f.key)
	}
	return n, nil
}

// text reads a JSON string.
func text(raw json.RawMessage) (s string, is bool) {
	is = len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &s) == nil
	return s, is
}

var units = []struct {
	suffix string
	unit   time.Duration
}{{"nanos", time.Nanosecond}, {"micros", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}}

// ParseTime reads a time in the form's units.
func ParseTime(s string) (time.Duration, error) {
	for _, u := range units {
		if n, ok := strings.CutSuffix(s, u.suffix); ok {
			if x, err := strconv.ParseFloat(n, 64); err == nil && x >= 0 &&
				x*float64(u.unit) <= float64(mostTime) {
				return time.Duration(x * float64(u.unit)), nil
			}
		}
	}
	return 0, illegal("[%s] is no time such as 500ms, of %v at most", s, mostTime)
}

func duration(f field) (time.Duration, error) {
	var s string
	if json.Unmarshal(f.value, &s) != nil {
		return 0, illegal("[%s] must be a time such as \"500ms\"", f.key)
	}
	return ParseTime(s)
}

// parseSort reads the sort keys: names, or objects of one name with an order and where hits without the field
// go.
func (s *Search) parseSort(raw json.RawMessage) error {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		list = []json.RawMessage{raw}
	}
	if len(list) > mostKeys {
		return illegal("[sort] has %d keys, %d at most", len(list), mostKeys)
	}
	s.sort = raw
	for _, one := range list {
		var name string
		if json.Unmarshal(one, &name) == nil {
			s.Spec.Keys = append(s.Spec.Keys, merge.Key{Field: name, Descending: name == "_score"})
			continue
		}
		all, err := fieldsOf(one)
		if err != nil || len(all) != 1 {
			return parsing("[sort] takes names, or objects of one name")
		}
		k := merge.Key{Field: all[0].key, Descending: all[0].key == "_score"}
		var order string
		if json.Unmarshal(all[0].value, &order) == nil {
			if k.Descending, err = descending(order); err != nil {
				return err
			}
		} else if err := sortOptions(&k, all[0].value); err != nil {
			return err
		}
		s.Spec.Keys = append(s.Spec.Keys, k)
	}
	if len(s.Spec.Keys) == 0 {
		s.sort = nil
	}
	for _, k := range s.Spec.Keys {
		s.Scores = s.Scores || k.Field == "_score"
	}
	return nil
}

func descending(order string) (bool, error) {
	switch order {
	case "asc":
		return false, nil
	case "desc":
		return true, nil
	}
	return false, illegal("[sort] order [%s] is none of asc, desc", order)
}

func sortOptions(k *merge.Key, raw json.RawMessage) error {
	options, err := fieldsOf(raw)
	if err != nil {
		return err
	}
	for _, o := range options {
		var value string
		if json.Unmarshal(o.value, &value) != nil {
			return illegal("[sort] [%s] must be a word", o.key)
		}
		switch o.key {
		case "order":
			if k.Descending, err = descending(value); err != nil {
				return err
			}
		case "missing":
			if value != "_first" && value != "_last" {
				return illegal("[sort] missing [%s] is none of _first, _last", value)
			}
			k.MissingFirst = value == "_first"
		default:
			return parsing("unknown key [%s] in [sort]", o.key)
		}
	}
	return nil
}

func (s *Search) parseAfter(raw json.RawMessage) error {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil || list == nil {
		return illegal("[search_after] must be a list of values")
	}
	s.Spec.After = []merge.Value{}
	for _, one := range list {
		v, err := merge.ParseValue(one)
		if err != nil {
			return illegal("[search_after] %v", err)
		}
		s.Spec.After = append(s.Spec.After, v)
	}
	return nil
}

func (s *Search) parseTrack(raw json.RawMessage) error {
	switch string(raw) {
	case "true":
		s.Spec.Track = -1
	case "false":
		s.Spec.Track, s.Totals = 0, false
	default:
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || n < -1 {
			return illegal("[track_total_hits] must be true, false or a number")
		}
		s.Spec.Track = n
	}
	return nil
}

// source passes a filter of fields on, once it is known to be one.
func source(raw json.RawMessage) (json.RawMessage, error) {
	var yes bool
	var name string
	var names []string
	if json.Unmarshal(raw, &yes) == nil || json.Unmarshal(raw, &name) == nil ||
		json.Unmarshal(raw, &names) == nil {
		return raw, nil
	}
	all, err := fieldsOf(raw)
	if err != nil {
		return nil, illegal("[_source] must be true, false, names, or includes and excludes")
	}
	for _, f := range all {
		if f.key != "includes" && f.key != "excludes" {
			return nil, parsing("unknown key [%s] in [_source]", f.key)
		}
		if json.Unmarshal(f.value, &names) != nil {
			return nil, illegal("[_source] [%s] must be a list of names", f.key)
		}
	}
	return raw, nil
}

// queries are the kinds that leaves understand, with the keys in which further queries stand.
var queries = map[string][]string{
	"match_all":    nil,
	"match":        nil,
	"term":         nil,
	"terms":        nil,
	"range":        nil,
	"ids":          nil,
	"query_string": nil,
	"exists":       nil,
	"prefix":       nil,
	"match_phrase": nil,
	"bool":         {"must", "should", "filter", "must_not"},
}

var boolWords = []string{"minimum_should_match", "boost"}

// checkQuery looks a query through and passes it on as it came: leaves judge documents, the router does not.
func checkQuery(raw json.RawMessage, level int) (json.RawMessage, error) {
	all, err := fieldsOf(raw)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 || level > deepest {
		return nil, parsing("[query] must hold one kind of query")
	}
	kind := all[0].key
	inner, known := queries[kind]
	if !known {
		return nil, parsing("unknown query [%s]", kind)
	}
	body, err := fieldsOf(all[0].value)
	if err != nil {
		return nil, parsing("[%s] must be an object", kind)
	}
	for _, f := range body {
		if kind != "bool" {
			continue
		}
		if !slices.Contains(inner, f.key) {
			if !slices.Contains(boolWords, f.key) {
				return nil, parsing("unknown key [%s] in [bool]", f.key)
			}
			continue
		}
		var list []json.RawMessage
		if json.Unmarshal(f.value, &list) != nil {
			list = []json.RawMessage{f.value}
		}
		for _, one := range list {
			if _, err := checkQuery(one, level+1); err != nil {
				return nil, err
			}
		}
	}
	return raw, nil
}

var aggKinds = map[string]merge.AggKind{
	"min":            merge.Min,
	"max":            merge.Max,
	"sum":            merge.SumOf,
	"avg":            merge.Avg,
	"value_count":    merge.Count,
	"cardinality":    merge.Cardinality,
	"percentiles":    merge.Percentiles,
	"terms":          merge.Terms,
	"histogram":      merge.Histogram,
	"date_histogram": merge.DateHistogram,
	"range":          merge.Ranges,
}

// aggWords are the keys that each kind may have; leaves read them, the router those that matter for putting
// answers together.
var aggWords = map[merge.AggKind][]string{merge.Terms: {"field", "size", "min_doc_count", "order", "missing"},
	merge.Histogram: {
		"field",
		"interval",
		"min_doc_count",
	}, merge.DateHistogram: {"field", "fixed_interval", "calendar_interval", "min_doc_count"},
	merge.Ranges: {"field", "ranges"}, merge.Percentiles: {"field", "percents"}, merge.Cardinality: {"field"}}

var usualPercents = []float64{1, 5, 25, 50, 75, 95, 99}

// parseAggs reads aggregations.
func parseAggs(raw json.RawMessage, level int) (list []merge.AggSpec, err error) {
	names, err := fieldsOf(raw)
	if err != nil {
		return nil, err
	}
	list = []merge.AggSpec{}
	for _, n := range names {
		a := merge.AggSpec{Name: n.key}
		parts, err := fieldsOf(n.value)
		if err != nil || level > deepest {
			return nil, parsing("[aggs] [%s] must be an object", n.key)
		}
		kind := ""
		for _, p := range parts {
			if p.key == "aggs" || p.key == "aggregations" {
				if a.Subs, err = parseAggs(p.value, level+1); err != nil {
					return nil, err
				}
				continue
			}
			k, known := aggKinds[p.key]
			if !known || kind != "" {
				return nil, parsing("unknown key [%s] in aggregation [%s]", p.key, n.key)
			}
			kind, a.Kind = p.key, k
			if err := aggOptions(&a, p); err != nil {
				return nil, err
			}
		}
		if kind == "" {
			return nil, parsing("aggregation [%s] has no kind", n.key)
		}
		list = append(list, a)
	}
	return list, nil
}

func aggOptions(a *merge.AggSpec, p field) error {
	options, err := fieldsOf(p.value)
	if err != nil {
		return err
	}
	words := aggWords[a.Kind]
	if words == nil {
		words = []string{"field", "missing"}
	}
	if a.Kind == merge.Terms {
		a.Size, a.MinCount = usualTerms, 1
	}
	if a.Kind == merge.Percentiles {
		a.Percents = usualPercents
	}
	hasField := false
	for _, o := range options {
		if !slices.Contains(words, o.key) {
			return parsing("unknown key [%s] in [%s]", o.key, p.key)
		}
		switch o.key {
		case "field":
			name, is := text(o.value)
			if hasField = is && name != ""; !hasField {
				return illegal("[%s] [field] must be a name", p.key)
			}
		case "size":
			a.Size, err = whole(o)
		case "min_doc_count":
			var n int
			n, err = whole(o)
			a.MinCount = int64(n)
		case "percents":
			if json.Unmarshal(o.value, &a.Percents) != nil {
				err = illegal("[percentiles] [percents] must be a list of numbers")
			}
		case "order":
			err = aggOrder(a, o.value)
		case "interval":
			var x float64
			if json.Unmarshal(o.value, &x) != nil || !(x > 0) || math.IsInf(x, 0) {
				err = illegal("[histogram] [interval] must be above 0")
			}
		}
		if err != nil {
			return err
		}
	}
	if !hasField {
		return illegal("[%s] needs [field]", p.key)
	}
	return nil
}

// aggOrder: by count, the most first, or by key. Other orders would need counts that shards do not send.
func aggOrder(a *merge.AggSpec, raw json.RawMessage) error {
	all, err := fieldsOf(raw)
	if err != nil || len(all) != 1 {
		return illegal("[terms] [order] must be {\"_count\":\"desc\"} or {\"_key\":\"asc\"}")
	}
	way, _ := text(all[0].value)
	switch {
	case all[0].key == "_count" && way == "desc":
	case all[0].key == "_key" && way == "asc":
		a.ByKey = true
	default:
		return illegal(
			"[terms] [order] [%s] [%s] is not supported: only _count desc and _key asc combine across shards",
			all[0].key,
			way,
		)
	}
	return nil
}
