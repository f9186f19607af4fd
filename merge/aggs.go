package merge

// aggs.go owns aggregations: what shards counted, put together. Where that is exact it is exact, whatever the
// order; where it can't be the bound of the error is stated. It must never hold more buckets than the bound,
// and never pass a guess off as a count.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/axiomhq/hyperloglog"
)

// AggKind is a kind of aggregation.
type AggKind int

const (
	Min AggKind = iota
	Max
	SumOf
	Avg
	Count
	Cardinality
	Percentiles
	Terms
	Histogram
	DateHistogram
	Ranges
)

// Bounds of what an answer may take.
const (
	MostBuckets = 65_536
	mostDepth   = 8
	Accuracy    = 0.01  // relative, of percentiles
	Deviation   = 0.008 // of cardinality: standard error of a sketch with 2^14 places
)

// AggSpec is one aggregation that is asked for.
type AggSpec struct {
	Name     string
	Kind     AggKind
	Size     int   // of terms: buckets in the answer
	MinCount int64 // buckets with fewer are left out of the answer
	ByKey    bool  // terms are ordered by their keys rather than by count
	Percents []float64
	Subs     []AggSpec
}

// Agg is one aggregation's partial or final result. Which fields count depends on its kind.
type Agg struct {
	Count    int64
	Sum      Sum
	Min, Max float64 // with Count > 0

	Sketch   []byte // of cardinality: HyperLogLog, by this package's library
	Distinct int64  // of cardinality: as the shard counted, where it sends no sketch
	values   *hyperloglog.Sketch
	Quantile *ddsketch.DDSketch
	least    int64 // distinct values there are at least, and at most
	most     int64

	Buckets map[Value]*Bucket
	Other   int64 // counted in terms that are not among the buckets
	Error   int64 // most by which a term's count may be short, or an absent term's count
	Cut     bool  // a shard did not send all its terms

	// Final.
	Distincts  Estimate
	Quantiles  []float64
	Order      []*Bucket // the buckets of the answer
	TotalError int64     // the worst of any bucket, and of those that are absent
}

// Bucket is one bucket.
type Bucket struct {
	Key   Value
	Count int64
	Error int64 // by which Count may be short
	Subs  map[string]*Agg

	in int64 // sum of the errors of the shards that have sent it
}

// Estimate is a number that is not exact.
type Estimate struct {
	Value       int64
	Least, Most int64 // certain where no sketches came, else three standard errors
}

// NewQuantile is an empty sketch of the form that percentiles are merged in.
func NewQuantile() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(Accuracy)
	if err != nil {
		panic(err) // the accuracy is a constant
	}
	return ddsketch.NewDDSketch(
		m,
		store.NewCollapsingLowestDenseStore(4096),
		store.NewCollapsingLowestDenseStore(4096),
	)
}

func checkAggs(all []AggSpec, depth int) error {
	if depth > mostDepth {
		return fmt.Errorf("aggregations are nested more than %d deep", mostDepth)
	}
	names := map[string]bool{}
	for i := range all {
		a := &all[i]
		if names[a.Name] {
			return fmt.Errorf("aggregation %q stands twice", a.Name)
		}
		names[a.Name] = true
		if a.Kind == Terms && (a.Size < 1 || a.Size > MostBuckets) {
			return fmt.Errorf("aggregation %q: size must be from 1 to %d", a.Name, MostBuckets)
		}
		for _, p := range a.Percents {
			if !(p >= 0 && p <= 100) {
				return fmt.Errorf("aggregation %q: percents must be from 0 to 100", a.Name)
			}
		}
		if a.Kind < Terms && len(a.Subs) > 0 {
			return fmt.Errorf("aggregation %q can't have sub-aggregations", a.Name)
		}
		if err := checkAggs(a.Subs, depth+1); err != nil {
			return err
		}
	}
	return nil
}

var errBuckets = fmt.Errorf("more than %d buckets", MostBuckets)

// sound tells what makes no sense of a shard's partial result; nil is one without anything in it.
func (s *AggSpec) sound(a *Agg) error {
	if a == nil {
		return nil
	}
	if a.Count < 0 || a.Other < 0 || a.Error < 0 || a.Distinct < 0 || math.IsNaN(a.Min) || math.IsNaN(a.Max) {
		return fmt.Errorf("aggregation %q: a count is negative, or a value no number", s.Name)
	}
	if len(a.Buckets) > MostBuckets {
		return fmt.Errorf("aggregation %q: %w", s.Name, errBuckets)
	}
	if len(a.Sketch) > 0 {
		if err := new(hyperloglog.Sketch).UnmarshalBinary(a.Sketch); err != nil {
			return fmt.Errorf("aggregation %q: sketch: %w", s.Name, err)
		}
	}
	for key, b := range a.Buckets {
		if b == nil || b.Count < 0 || b.Error < 0 || b.Key != key {
			return fmt.Errorf("aggregation %q: a bucket makes no sense", s.Name)
		}
		for i := range s.Subs {
			if err := s.Subs[i].sound(b.Subs[s.Subs[i].Name]); err != nil {
				return err
			}
		}
	}
	return nil
}

// join puts a shard's partial result to what there is. It takes nothing of it that is changed later.
func (s *AggSpec) join(to, from *Agg) *Agg {
	if to == nil {
		to = &Agg{}
	}
	if from == nil {
		return to
	}
	if from.Count > 0 && (s.Kind == Min || s.Kind == Max) {
		if to.Count == 0 {
			to.Min, to.Max = from.Min, from.Max
		}
		to.Min, to.Max = min(to.Min, from.Min), max(to.Max, from.Max)
	}
	to.Count += from.Count
	to.Sum.Join(&from.Sum)
	switch s.Kind {
	case Cardinality:
		s.joinDistinct(to, from)
	case Percentiles:
		if from.Quantile != nil {
			if to.Quantile == nil {
				to.Quantile = NewQuantile()
			}
			if err := to.Quantile.MergeWith(from.Quantile); err != nil {
				to.Cut = true // sketches of another form can't be put together
			}
		} else if from.Count > 0 {
			to.Cut = true
		}
	case Terms, Histogram, DateHistogram, Ranges:
		s.joinBuckets(to, from)
	}
	return to
}

func (s *AggSpec) joinDistinct(to, from *Agg) {
	if len(from.Sketch) > 0 {
		x := new(hyperloglog.Sketch)
		if x.UnmarshalBinary(from.Sketch) == nil { // it was looked at before
			n := int64(x.Estimate())
			to.least, to.most = max(to.least, n), to.most+n
			if to.values == nil {
				to.values = hyperloglog.New14()
			}
			if to.values.Merge(x) != nil {
				to.Cut = true
			}
		}
		return
	}
	to.least, to.most = max(to.least, from.Distinct), to.most+from.Distinct
	to.Cut = to.Cut || from.Distinct > 0
}

// joinBuckets adds buckets up by key. A term that a shard has not sent may have had as many there as the last
// that it did send.
func (s *AggSpec) joinBuckets(to, from *Agg) {
	if to.Buckets == nil {
		to.Buckets = map[Value]*Bucket{}
	}
	to.Other += from.Other
	to.Error += from.Error
	to.Cut = to.Cut || from.Cut
	for key, b := range from.Buckets {
		t := to.Buckets[key]
		if t == nil {
			if len(to.Buckets) >= MostBuckets {
				to.Other += b.Count
				to.Cut = true
				continue
			}
			t = &Bucket{Key: key, Subs: map[string]*Agg{}}
			to.Buckets[key] = t
		}
		t.Count += b.Count
		t.Error += b.Error
		t.in += from.Error
		for i := range s.Subs {
			name := s.Subs[i].Name
			t.Subs[name] = s.Subs[i].join(t.Subs[name], b.Subs[name])
		}
	}
}

// final is the answer to what was put together; what is still to come may be joined to that afterwards.
func (s *AggSpec) final(a *Agg) *Agg {
	f := &Agg{Count: a.Count, Sum: a.Sum, Min: a.Min, Max: a.Max, Other: a.Other, Cut: a.Cut}
	switch s.Kind {
	case Cardinality:
		f.Distincts = a.distincts()
	case Percentiles:
		for _, p := range s.Percents {
			x := math.NaN()
			if a.Quantile != nil && a.Quantile.GetCount() > 0 {
				x, _ = a.Quantile.GetValueAtQuantile(p / 100) // the quantile was checked
			}
			f.Quantiles = append(f.Quantiles, x)
		}
	case Terms, Histogram, DateHistogram, Ranges:
		s.order(f, a)
	}
	return f
}

func (a *Agg) distincts() Estimate {
	if a.values != nil && !a.Cut {
		n := int64(a.values.Estimate())
		off := int64(math.Ceil(3 * Deviation * float64(n)))
		return Estimate{n, max(n-off, 0), n + off}
	}
	return Estimate{a.least, a.least, a.most}
}

// order chooses and orders the buckets of an answer.
func (s *AggSpec) order(f, a *Agg) {
	for _, key := range slices.SortedFunc(maps.Keys(a.Buckets), Value.Compare) {
		b := a.Buckets[key]
		if b.Count < s.MinCount {
			continue
		}
		x := &Bucket{Key: key, Count: b.Count, Error: b.Error + a.Error - b.in, Subs: map[string]*Agg{}}
		for i := range s.Subs {
			sub := &s.Subs[i]
			if had := b.Subs[sub.Name]; had != nil {
				x.Subs[sub.Name] = sub.final(had)
			} else {
				x.Subs[sub.Name] = sub.final(&Agg{})
			}
		}
		f.Order = append(f.Order, x)
	}
	if s.Kind == Terms {
		if !s.ByKey {
			slices.SortStableFunc(f.Order, func(x, y *Bucket) int { return cmp.Compare(y.Count, x.Count) })
		}
		for i, b := range f.Order {
			if i >= s.Size {
				f.Other += b.Count
			}
			f.TotalError = max(f.TotalError, b.Error)
		}
		f.TotalError = max(f.TotalError, a.Error)
		f.Order = f.Order[:min(len(f.Order), s.Size)]
	}
}

// Sketcher makes the sketch of a shard's distinct values, for leaves that send one.
func Sketcher(values func(yield func([]byte) bool)) ([]byte, error) {
	h := hyperloglog.New14()
	for v := range values {
		h.Insert(v)
	}
	return h.MarshalBinary()
}
