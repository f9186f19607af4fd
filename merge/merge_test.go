package merge

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/big"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain has the draws be the same in each run; -rapid.seed on the command line draws others, -rapid.checks
// more.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20")
	os.Exit(m.Run())
}

// doc is one document of the reference: what all shards hold is known.
type doc struct {
	shard, pos int // pos: in the shard, by the order asked for
	id         int
	price      Value // may be missing
	tag        string
	num        float64
}

func (d *doc) sort(keys []Key) (all []Value) {
	for _, k := range keys {
		switch k.Field {
		case "price":
			all = append(all, d.price)
		case "tag":
			all = append(all, Str(d.tag))
		default:
			all = append(all, Int(int64(d.id%3)))
		}
	}
	return all
}

// world is shards with known contents, and what is asked of them.
type world struct {
	spec   *Spec
	shards []int
	docs   []*doc
}

func draw(t *rapid.T) *world {
	w := &world{
		spec: &Spec{
			From:  rapid.IntRange(0, 6).Draw(t, "from"),
			Size:  rapid.IntRange(0, 8).Draw(t, "size"),
			Track: -1,
		},
	}
	fields := []string{"price", "tag", "mod"}
	for i := range rapid.IntRange(0, 3).Draw(t, "keys") {
		w.spec.Keys = append(
			w.spec.Keys,
			Key{Field: fields[i], Descending: rapid.Bool().Draw(t, "descending"),
				MissingFirst: rapid.Bool().Draw(t, "missing first")},
		)
	}
	w.spec.Aggs = []AggSpec{{Name: "sum", Kind: SumOf}, {Name: "min", Kind: Min}, {Name: "max", Kind: Max},
		{
			Name: "tags",
			Kind: Terms,
			Size: rapid.IntRange(1, 4).Draw(t, "tags"),
			Subs: []AggSpec{{Name: "avg", Kind: Avg}},
		},
		{Name: "distinct", Kind: Cardinality}, {Name: "half", Kind: Percentiles, Percents: []float64{50, 99}}}
	id := 0
	for shard := range rapid.IntRange(1, 5).Draw(t, "shards") {
		w.shards = append(w.shards, shard*2)
		for range rapid.IntRange(0, 9).Draw(t, "docs") {
			d := &doc{shard: shard * 2, id: id, tag: string(rune('a' + rapid.IntRange(0, 5).Draw(t, "tag"))),
				num: rapid.Float64Range(-1e9, 1e9).Draw(t, "num")}
			if p := rapid.IntRange(-1, 3).Draw(t, "price"); p >= 0 { // many ties
				d.price = Int(int64(p))
			}
			id++
			w.docs = append(w.docs, d)
		}
	}
	return w
}

// listOf is one shard's documents in the order asked for; what ties keeps the order in which it is held.
func (w *world) listOf(shard int) (list []*doc) {
	for _, d := range w.docs {
		if d.shard == shard {
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b *doc) int { return w.byKeys(a, b) })
	for i, d := range list {
		d.pos = i
	}
	return list
}

func (w *world) byKeys(a, b *doc) int {
	x, y := a.sort(w.spec.Keys), b.sort(w.spec.Keys)
	for i := range w.spec.Keys {
		if c := w.spec.Keys[i].compare(x[i], y[i]); c != 0 {
			return c
		}
	}
	return 0
}

// answer is what a shard would send.
func (w *world) answer(shard, terms int) *Partial {
	list := w.listOf(shard)
	p := &Partial{Shard: shard, Total: Total{Value: int64(len(list))}}
	for _, d := range list[min(w.spec.Taken[shard], len(list)):] {
		if len(p.Hits) < w.spec.From+w.spec.Size {
			p.Hits = append(p.Hits, Hit{Sort: d.sort(w.spec.Keys), Body: fmt.Append(nil, d.id)})
		}
	}
	num, tags, distinct, half := &Agg{}, &Agg{
		Buckets: map[Value]*Bucket{},
	}, &Agg{}, &Agg{
		Quantile: NewQuantile(),
	}
	values := map[string]bool{}
	for _, d := range list {
		if num.Count == 0 {
			num.Min, num.Max = d.num, d.num
		}
		num.Count++
		num.Sum.Add(d.num)
		num.Min, num.Max = min(num.Min, d.num), max(num.Max, d.num)
		b := tags.Buckets[Str(d.tag)]
		if b == nil {
			b = &Bucket{Key: Str(d.tag), Subs: map[string]*Agg{"avg": {}}}
			tags.Buckets[b.Key] = b
		}
		b.Count++
		b.Subs["avg"].Count++
		b.Subs["avg"].Sum.Add(d.num)
		values[d.tag] = true
		half.Count++
		half.Quantile.Add(d.num)
	}
	if terms > 0 && len(tags.Buckets) > terms { // it sends its most frequent terms only
		all := slices.SortedFunc(func(yield func(*Bucket) bool) {
			for _, b := range tags.Buckets {
				if !yield(b) {
					return
				}
			}
		}, func(a, b *Bucket) int { return cmp.Or(cmp.Compare(b.Count, a.Count), a.Key.Compare(b.Key)) })
		for _, b := range all[terms:] {
			tags.Other += b.Count
			delete(tags.Buckets, b.Key)
		}
		tags.Error, tags.Cut = all[terms-1].Count, true
	}
	distinct.Sketch, _ = Sketcher(func(yield func([]byte) bool) {
		for v := range values {
			if !yield([]byte(v)) {
				return
			}
		}
	})
	p.Aggs = map[string]*Agg{
		"sum":      num,
		"min":      num,
		"max":      num,
		"tags":     tags,
		"distinct": distinct,
		"half":     half,
	}
	return p
}

// reference is all documents of some shards, sorted at once.
func (w *world) reference(in []int) (all []*doc) {
	for _, shard := range in {
		all = append(all, w.listOf(shard)...)
	}
	slices.SortFunc(all, func(a, b *doc) int {
		return cmp.Or(w.byKeys(a, b), cmp.Compare(a.shard, b.shard), cmp.Compare(a.pos, b.pos))
	})
	return all
}

// Whatever comes in whatever order, with failures and late answers: hits, totals and aggregations are those
// of a reference that sorts and counts everything at once, and what is said of completeness is true.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := draw(t)
		terms := rapid.IntRange(0, 4).Draw(t, "terms sent")
		m := New(w.spec, w.shards)
		var in []int
		for _, shard := range rapid.Permutation(w.shards).Draw(t, "order") {
			switch rapid.IntRange(0, 4).Draw(t, "fate") {
			case 0:
				m.Fail(shard, "broke")
				if rapid.Bool().Draw(t, "asked again") { // and then it answers
					m.Fail(shard, "broke again")
					if err := m.Add(w.answer(shard, terms)); err != nil {
						t.Fatal(err)
					}
					m.Fail(shard, "late word of the first try")
					in = append(in, shard)
				}
			case 1: // nothing comes
			default:
				if err := m.Add(w.answer(shard, terms)); err != nil {
					t.Fatal(err)
				}
				if m.Add(w.answer(shard, terms)) == nil {
					t.Fatal("a shard counts twice")
				}
				in = append(in, shard)
			}
		}
		r := m.Result()
		slices.Sort(in)
		if !slices.Equal(r.In, in) || r.Whole() != (len(in) == len(w.shards)) ||
			len(r.In)+len(r.Failures) != r.Asked {
			t.Fatalf("says that %v of %d are in, %v are", r.In, r.Asked, in)
		}
		all := w.reference(in)
		w.checkHits(t, r, all)
		w.checkAggs(t, r, all, in, terms)
	})
}

func (w *world) checkHits(t *rapid.T, r *Result, all []*doc) {
	want := all[min(w.spec.From, len(all)):min(w.spec.From+w.spec.Size, len(all))]
	if len(r.Hits) != len(want) || r.Total.Value != int64(len(all)) || r.Total.AtLeast {
		t.Fatalf("%d hits of %d, want %d of %d", len(r.Hits), r.Total.Value, len(want), len(all))
	}
	for i, h := range r.Hits {
		if string(h.Body) != fmt.Sprint(want[i].id) {
			t.Fatalf("hit %d is %s, want %d", i, h.Body, want[i].id)
		}
	}
}

func (w *world) checkAggs(t *rapid.T, r *Result, all []*doc, in []int, terms int) {
	exact := new(big.Float).SetPrec(2000)
	counts, least, most := map[string]int64{}, math.Inf(1), math.Inf(-1)
	var nums []float64
	for _, d := range all {
		exact.Add(exact, big.NewFloat(d.num))
		counts[d.tag]++
		least, most = min(least, d.num), max(most, d.num)
		nums = append(nums, d.num)
	}
	if want, _ := exact.Float64(); r.Aggs["sum"].Sum.Float() != want {
		t.Fatalf("sum %v, want %v", r.Aggs["sum"].Sum.Float(), want)
	}
	if len(all) > 0 && (r.Aggs["min"].Min != least || r.Aggs["max"].Max != most) {
		t.Fatalf("min %v, max %v, want %v, %v", r.Aggs["min"].Min, r.Aggs["max"].Max, least, most)
	}
	tags, sum := r.Aggs["tags"], int64(0)
	for i, b := range tags.Order {
		sum += b.Count
		if true_ := counts[b.Key.Text]; b.Count > true_ || true_ > b.Count+b.Error {
			t.Fatalf("%s: %d, short by %d at most, is %d", b.Key.Text, b.Count, b.Error, true_)
		}
		if terms == 0 && b.Error != 0 {
			t.Fatalf("%s: an error of %d though all was sent", b.Key.Text, b.Error)
		}
		if i > 0 && tags.Order[i-1].Count < b.Count {
			t.Fatal("buckets are not in order")
		}
		if a := b.Subs["avg"]; a.Count != b.Count {
			t.Fatalf("%s: %d counted below, %d here", b.Key.Text, a.Count, b.Count)
		}
	}
	if sum+tags.Other != int64(len(all)) {
		t.Fatalf("%d in buckets, %d in others, there are %d", sum, tags.Other, len(all))
	}
	for tag, n := range counts { // what is absent may have that many at most, if there was room for it
		if len(tags.Order) < w.spec.Aggs[3].Size &&
			!slices.ContainsFunc(tags.Order, func(b *Bucket) bool { return b.Key.Text == tag }) &&
			n > tags.TotalError {
			t.Fatalf("%s has %d and is absent, with an error of %d stated", tag, n, tags.TotalError)
		}
	}
	if d := r.Aggs["distinct"].Distincts; int64(len(counts)) < d.Least || int64(len(counts)) > d.Most {
		t.Fatalf("%d distinct, said to be from %d to %d", len(counts), d.Least, d.Most)
	}
	slices.Sort(nums)
	for i, p := range []float64{0.5, 0.99} {
		if len(nums) == 0 {
			break
		}
		got, rank := r.Aggs["half"].Quantiles[i], p*float64(len(nums)-1)
		low, high := nums[int(math.Floor(rank))], nums[int(math.Ceil(rank))] // between two, either is as good
		if got < low-Accuracy*math.Abs(low)-1e-6 || got > high+Accuracy*math.Abs(high)+1e-6 {
			t.Fatalf("quantile %v: %v, want %v to %v", p, got, low, high)
		}
	}
}

// All pages together have each hit once, whichever shards fail on which page, as long as each answers on some
// later page; what comes after its place is told.
func TestPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := draw(t)
		w.spec.From, w.spec.Size, w.spec.Aggs = 0, rapid.IntRange(1, 5).Draw(t, "page"), nil
		seen, behind := map[string]int{}, 0
		var order []string
		trouble := rapid.Bool().Draw(t, "trouble")
		for page := 0; ; page++ {
			m := New(w.spec, w.shards)
			for _, shard := range rapid.Permutation(w.shards).Draw(t, "order") {
				if trouble && page < 4 && rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
					m.Fail(shard, "broke")
				} else if err := m.Add(w.answer(shard, 0)); err != nil {
					t.Fatal(err)
				}
			}
			r := m.Result()
			behind += r.Behind
			for _, h := range r.Hits {
				seen[string(h.Body)]++
				order = append(order, string(h.Body))
			}
			if r.Next == nil {
				break
			}
			if page > 100 {
				t.Fatal("it never ends")
			}
			next := *w.spec
			next.Taken, next.Last = r.Next.Taken, r.Next.Last
			w.spec = &next
		}
		for _, d := range w.docs {
			if n := seen[fmt.Sprint(d.id)]; n != 1 {
				t.Fatalf("document %d comes %d times", d.id, n)
			}
		}
		if len(seen) != len(w.docs) {
			t.Fatalf("%d hits for %d documents", len(seen), len(w.docs))
		}
		if !trouble {
			for i, d := range w.reference(w.shards) {
				if order[i] != fmt.Sprint(d.id) {
					t.Fatalf("hit %d is %s, want %d", i, order[i], d.id)
				}
			}
			if behind > 0 {
				t.Fatalf("%d hits are told to be late", behind)
			}
		}
	})
}

// What a shard gets wrong makes it a failed one, and nothing of it is in.
func TestFaults(t *testing.T) {
	spec := &Spec{
		Keys:  []Key{{Field: "a"}},
		Size:  5,
		Track: -1,
		Aggs:  []AggSpec{{Name: "t", Kind: Terms, Size: 3}},
	}
	hit := func(n int64) Hit { return Hit{Sort: []Value{Int(n)}} }
	for name, p := range map[string]*Partial{
		"order":      {Hits: []Hit{hit(2), hit(1)}, Total: Total{Value: 2}},
		"total":      {Hits: []Hit{hit(1), hit(2)}, Total: Total{Value: 1}},
		"keys":       {Hits: []Hit{{}}, Total: Total{Value: 1}},
		"count":      {Aggs: map[string]*Agg{"t": {Count: -1}}},
		"bucket":     {Aggs: map[string]*Agg{"t": {Buckets: map[Value]*Bucket{Str("a"): {Key: Str("b")}}}}},
		"bucket nil": {Aggs: map[string]*Agg{"t": {Buckets: map[Value]*Bucket{Str("a"): nil}}}},
		"sketch":     {Aggs: map[string]*Agg{"t": {Sketch: []byte{1, 2, 3}}}},
		"many":       {Hits: make([]Hit, Window+1), Total: Total{Value: Window + 1}},
	} {
		m := New(spec, []int{0})
		if m.Add(p) == nil {
			t.Errorf("%s: taken", name)
		}
		if r := m.Result(); r.Whole() || len(r.Hits) > 0 || r.Total.Value > 0 || len(r.Failures) != 1 ||
			r.Failures[0].Reason == "" {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for _, s := range []*Spec{{From: -1}, {Size: Window + 1}, {Keys: spec.Keys, After: []Value{}}, {After: []Value{}, From: 1},
		{Aggs: []AggSpec{{Name: "a"}, {Name: "a"}}}, {Aggs: []AggSpec{{Kind: Terms}}}, {Aggs: []AggSpec{{Kind: Percentiles, Percents: []float64{101}}}},
		{Aggs: []AggSpec{{Kind: Min, Subs: []AggSpec{{}}}}}} {
		if s.Check() == nil {
			t.Errorf("%+v is taken", s)
		}
	}
	if spec.Check() != nil {
		t.Error(spec.Check())
	}
}

// Values have one total order, to the last digit, and keep what they were through JSON.
func TestValues(t *testing.T) {
	var all []Value
	for _, raw := range []string{"null", "false", "true", "-9223372036854775808", "-1.5", "0", "0.5", "1", "9007199254740992", "9007199254740993",
		"9223372036854775807", "1e300", `""`, `"a"`, `"b\n"`, `"é"`} {
		v, err := ParseValue([]byte(raw))
		if err != nil {
			t.Fatal(raw, err)
		}
		back, err := ParseValue(v.AppendJSON(nil))
		if err != nil || back != v {
			t.Errorf("%s comes back as %s", raw, v.AppendJSON(nil))
		}
		all = append(all, v)
	}
	for i := range all {
		for j := range all {
			if got, want := all[i].Compare(all[j]), cmp.Compare(i, j); got != want {
				t.Errorf("%s against %s: %d", all[i].AppendJSON(nil), all[j].AppendJSON(nil), got)
			}
		}
	}
	if a, _ := ParseValue([]byte("1.0")); a != Int(1) {
		t.Error("1.0 is not 1")
	}
	for _, raw := range []string{"", "{}", "nul", "1e999", `"`, "--1"} {
		if v, err := ParseValue([]byte(raw)); err == nil {
			t.Errorf("%q is read as %v", raw, v)
		}
	}
}

// BenchmarkMerge is the cost of putting parts together as they come. The baselines have all parts at the end:
// BenchmarkHeap takes the first of a heap of parts until the page is full, BenchmarkSortAtOnce sorts all.
func BenchmarkMerge(b *testing.B) { bench(b, nil) }

func BenchmarkHeap(b *testing.B) { bench(b, byHeap) }

func BenchmarkSortAtOnce(b *testing.B) { bench(b, bySort) }

func bySort(spec *Spec, all []*Partial, size int) []Hit {
	var hits []Hit
	for _, p := range all {
		hits = append(hits, p.Hits...)
	}
	slices.SortFunc(hits, func(x, y Hit) int { return spec.Compare(&x, &y) })
	return hits[:size]
}

// heads are what is left of each part, as container/heap wants them.
type heads struct {
	spec *Spec
	left [][]Hit
}

func (h *heads) Len() int           { return len(h.left) }
func (h *heads) Less(i, j int) bool { return h.spec.Compare(&h.left[i][0], &h.left[j][0]) < 0 }
func (h *heads) Swap(i, j int)      { h.left[i], h.left[j] = h.left[j], h.left[i] }
func (h *heads) Push(x any)         { h.left = append(h.left, x.([]Hit)) }
func (h *heads) Pop() any {
	last := h.left[len(h.left)-1]
	h.left = h.left[:len(h.left)-1]
	return last
}

func byHeap(spec *Spec, all []*Partial, size int) []Hit {
	h := &heads{spec: spec}
	for _, p := range all {
		h.left = append(h.left, p.Hits)
	}
	heap.Init(h)
	hits := make([]Hit, 0, size)
	for h.Len() > 0 && len(hits) < size {
		hits = append(hits, h.left[0][0])
		if h.left[0] = h.left[0][1:]; len(h.left[0]) == 0 {
			heap.Pop(h)
		} else {
			heap.Fix(h, 0)
		}
	}
	return hits
}

func bench(b *testing.B, plain func(spec *Spec, all []*Partial, size int) []Hit) {
	for _, parts := range []int{4, 20, 100} {
		for _, size := range []int{10, 100, 1000} {
			spec := &Spec{Keys: []Key{{Field: "a"}}, Size: size, Track: -1}
			var all []*Partial
			var shards []int
			for s := range parts {
				p := &Partial{Shard: s, Total: Total{Value: int64(size)}}
				for i := range size {
					p.Hits = append(p.Hits, Hit{Sort: []Value{Int(int64(i*7 + s))}})
				}
				all, shards = append(all, p), append(shards, s)
			}
			b.Run(fmt.Sprintf("%dx%d", parts, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if plain != nil {
						plain(spec, all, size)
						continue
					}
					m := New(spec, shards)
					for _, p := range all {
						if err := m.Add(p); err != nil {
							b.Fatal(err)
						}
					}
					m.Result()
				}
			})
		}
	}
}
