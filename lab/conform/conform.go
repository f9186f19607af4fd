// Package conform plays one script of searches through both fronts of a router, each form against a process
// and stand-in leaves of its own with the same contents and the same troubles, and compares how they were
// settled. Every merged answer is held against a reference that looks at all documents at once.
//
// conform.go owns the script, the runs and the comparison. It must never let a trouble hang on time or on
// which leaf was chosen.
package conform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"moleshift/fleet"
	"moleshift/front/opensearch"
	"moleshift/lab/cluster"
	"moleshift/lab/standin"
	"moleshift/merge"
)

// Options is one comparison.
type Options struct {
	Program string
	Cases   int
	Lanes   int  // searches at once
	Leaves  bool // leaves speak the form, too
	Seed    uint64
	Tell    func(form string, done int)
}

// Settled is how one form's searches ended.
type Settled struct {
	Taken    int     `json:"taken"`
	Whole    int     `json:"whole"`
	Partly   int     `json:"partly"`
	Refused  int     `json:"refused"`  // for good
	Refusals int     `json:"refusals"` // that were tried again when the router said: they hang on load and time, so they are not compared
	Failed   int     `json:"failed"`
	Broken   int     `json:"broken"` // no answer, or one that can't be read
	Calls    int     `json:"leaf_calls"`
	Further  int     `json:"further_calls"`
	Over     int     `json:"over_budget"` // further calls that the budget had no room for
	Peak     float64 `json:"budget_peak"` // share of the budget that was in use, at the most
	Twice    int     `json:"ran_twice"`   // side-effecting parts
	Wrong    int     `json:"wrong_answers"`
	MeanUS   int64   `json:"-"`
	how      []string
	mistakes []string
}

// Result is both.
type Result struct {
	Native, Search Settled
	Differ         []string // cases that were settled differently
	Seed           uint64
}

const (
	shards  = 8
	docs    = 40
	failing = 4 // in a thousand parts: their first call fails
	full    = 1 // is turned away
	lost    = 1 // all calls fail

	seenLate    = 100 * time.Millisecond // that a leaf or the client may see something after it was decided
	mostTries   = 20                     // of a search that is refused
	usualReturn = 100 * time.Millisecond
)

const fleetText = `
zones: [here]
links: {same: 0s, cross: 0s}
kinds: [{name: k, cores: 8, speed: 1, queue: 200}]
shards: 8
cells: 4
leaves: [{name: l, count: 12, kind: k, zone: here, cells: [0, 1, 2, 3]}]
routers: [{name: r0, count: 1, zone: here, cores: 2, memory_mb: 128, sockets: 1024, open_cap: 5000}]
verticals:
  - {name: search, slo: 1s, deadline: 4s, effect: repeatable, utility: 1, late_utility: 0.1, need: 1, floor: 0.5}
  - {name: sample, slo: 1s, deadline: 4s, effect: repeatable, utility: 1, late_utility: 0.1, need: 0.75, floor: 0.75}
  - {name: record, slo: 1s, deadline: 4s, effect: side_effecting, utility: 1, late_utility: 0, need: 1, floor: 1}
tenants: [{name: acme, per_second: 100000}]
rules: {tick: 1ms, budget_window: 2s, budget_spare: 10, budget_ratio: 0.05, max_calls: 3}
`

var verticals = []string{"search", "sample", "record"}

// Case is one search of the script.
type Case struct {
	Number   int
	Vertical string
	Body     string
}

// script draws searches. Each carries its number, in a clause that no document meets.
func script(o Options) (all []Case) {
	rng := rand.New(rand.NewPCG(o.Seed, 0xc0f))
	queries := []string{
		`{"match_all":{}}`,
		`{"match":{"title":"moles river"}}`,
		`{"term":{"tag":"a"}}`,
		`{"terms":{"tag":["a","c"]}}`,
		`{"range":{"year":{"gte":2000,"lt":2010}}}`,
		`{"exists":{"field":"pages"}}`,
		`{"prefix":{"title":"th"}}`,
	}
	sorts := []string{
		``,
		`,"sort":["year"]`,
		`,"sort":[{"pages":{"order":"desc","missing":"_first"}},"tag"]`,
		`,"sort":[{"score":"desc"}]`,
		`,"sort":["tag","_score"]`,
	}
	aggs := []string{
		``,
		``,
		`,"aggs":{"t":{"terms":{"field":"tag","size":3},"aggs":{"m":{"avg":{"field":"pages"}}}},"s":{"sum":{"field":"score"}}}`,
		`,"aggs":{"h":{"histogram":{"field":"year","interval":5}},"c":{"cardinality":{"field":"title"}},"x":{"max":{"field":"year"}}}`,
	}
	for i := range o.Cases {
		q := queries[rng.IntN(len(queries))]
		body := fmt.Sprintf(
			`{"query":{"bool":{"must":[%s],"must_not":[{"term":{"_case":%d}}]}},"from":%d,"size":%d,"track_total_hits":true%s%s}`,
			q,
			i,
			rng.IntN(20),
			rng.IntN(15),
			sorts[rng.IntN(len(sorts))],
			aggs[rng.IntN(len(aggs))],
		)
		all = append(all, Case{i, verticals[min(rng.IntN(10)/4, 2)], body})
	}
	return all
}

var caseOf = regexp.MustCompile(`"_case":(\d+)`)

// leaves answers parts: by the documents, or with the trouble that the case and the shard draw.
type leaves struct {
	seed   uint64
	corpus *standin.Corpus
	mu     sync.Mutex
	calls  map[string]int // by part
	total  int
	cases  map[string]int // calls by case and shard
	again  []time.Time    // further calls, as leaves saw them
}

func (l *leaves) answer(id, text string, shard int) (int, []byte) {
	found := caseOf.FindStringSubmatch(text)
	if found == nil {
		return 500, nil
	}
	key := found[1] + "/" + strconv.Itoa(shard)
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", l.seed, key)
	draw := h.Sum64() % 1000
	l.mu.Lock()
	l.cases[key]++
	try := l.cases[key]
	if try > 1 {
		l.again = append(l.again, time.Now())
	}
	l.mu.Unlock()
	switch {
	case draw < lost:
		return 500, nil
	case draw < lost+failing && try == 1:
		return 500, nil
	case draw < lost+failing+full && try == 1:
		return 503, nil
	}
	value, err := l.corpus.Answer(text, shard)
	if err != nil {
		return 500, nil
	}
	return 200, value
}

func (l *leaves) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id]++
	l.total++
}

// Run plays the script through both forms.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Seed: o.Seed}
	cases := script(o)
	for _, form := range []struct {
		name string
		to   *Settled
	}{{"native", &r.Native}, {"opensearch", &r.Search}} {
		if err := play(ctx, o, cases, form.name, form.to); err != nil {
			return nil, err
		}
	}
	for i := range cases {
		if a, b := r.Native.how[i], r.Search.how[i]; a != b {
			r.Differ = append(
				r.Differ,
				fmt.Sprintf("case %d (%s): %s natively, %s by searches", i, cases[i].Vertical, a, b),
			)
		}
	}
	return r, nil
}

// play plays the script through one form.
func play(ctx context.Context, o Options, cases []Case, form string, to *Settled) error {
	f, err := fleet.Decode("conform", []byte(fleetText))
	if err != nil {
		return err
	}
	at, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	text := fmt.Sprintf(
		"opensearch:\n  enabled: true\n  listen: %s\n  leaves: %v\n  indices:\n",
		at,
		o.Leaves,
	)
	for _, v := range verticals {
		text += fmt.Sprintf("    - {name: docs-%s, vertical: %s, shards: 0-%d}\n", v, v, shards-1)
	}
	l := &leaves{
		seed:   o.Seed,
		corpus: standin.NewCorpus(o.Seed, shards, docs),
		calls:  map[string]int{},
		cases:  map[string]int{},
	}
	c, err := cluster.Start(
		cluster.Options{
			Fleet:    f,
			Program:  o.Program,
			Text:     text,
			Limits:   true,
			Searches: o.Leaves,
			Leaf: func(_ int, leaf *standin.Leaf) {
				leaf.OnRun, leaf.Answer, leaf.Work = l.ran, l.answer, 500*time.Microsecond
			},
		},
	)
	if err != nil {
		return err
	}
	defer c.Stop()
	to.how = make([]string, len(cases))
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: o.Lanes},
		Timeout:   10 * time.Second,
	}
	defer client.CloseIdleConnections()
	var next, took atomic.Int64
	var mu sync.Mutex
	var taken []time.Time
	var all sync.WaitGroup
	for range o.Lanes {
		all.Go(func() {
			for ctx.Err() == nil {
				i := int(next.Add(1)) - 1
				if i >= len(cases) {
					return
				}
				how, wrong, sent := "", "", time.Time{}
				for try := range mostTries {
					var holdOff time.Duration
					sent = time.Now()
					if how, wrong, holdOff = ask(ctx, client, form, c.Routers[0].Address, at, &cases[i], l.corpus, try, &took); how != "refused" {
						break
					}
					mu.Lock()
					to.Refusals++
					mu.Unlock()
					select {
					case <-ctx.Done():
					case <-time.After(holdOff):
					}
				}
				mu.Lock()
				to.how[i] = how
				to.count(how)
				if how != "refused" {
					taken = append(taken, sent)
				}
				if wrong != "" {
					to.Wrong++
					if len(to.mistakes) < 5 {
						to.mistakes = append(to.mistakes, fmt.Sprintf("case %d: %s", i, wrong))
					}
				}
				mu.Unlock()
				if o.Tell != nil && i%500 == 0 {
					o.Tell(form, i)
				}
			}
		})
	}
	all.Wait()
	to.MeanUS = took.Load() / int64(max(len(cases), 1))
	l.mu.Lock()
	defer l.mu.Unlock()
	to.Calls = l.total
	to.Over, to.Peak = overBudget(l.again, taken, f.Rules.BudgetWindow, f.Rules.BudgetSpare, f.Rules.BudgetRatio)
	for key, n := range l.cases {
		to.Further += n - 1
		number, _, _ := strings.Cut(key, "/")
		if i, _ := strconv.Atoi(number); cases[i].Vertical == "record" {
			h := fnv.New64a()
			fmt.Fprintf(h, "%d/%s", o.Seed, key)
			draw := h.Sum64() % 1000
			turned := 0
			if draw >= lost+failing &&
				draw < lost+failing+full { // its first call was turned away, so it has not run
				turned = 1
			}
			to.Twice += max(n-turned-1, 0)
		}
	}
	return ctx.Err()
}

// overBudget counts further calls that came while the window had no room for one more, and says how much of
// the budget was in use at the most. What is taken counts as its parts and one, as the platform states. A
// call and a query may be seen a while after the router has decided on them: the window is shorter by that
// for the one, and longer for the other.
func overBudget(again, taken []time.Time, window time.Duration, spare, ratio float64) (over int, peak float64) {
	slices.SortFunc(again, time.Time.Compare)
	slices.SortFunc(taken, time.Time.Compare)
	since := func(all []time.Time, at time.Time, w time.Duration) float64 {
		from, _ := slices.BinarySearchFunc(all, at.Add(-w), time.Time.Compare)
		to, _ := slices.BinarySearchFunc(all, at.Add(1), time.Time.Compare)
		return float64(to - from)
	}
	for _, at := range again {
		room := spare + ratio*(shards+1)*since(taken, at, window+seenLate)
		used := since(again, at, window-seenLate)
		if peak = max(peak, used/room); used > room {
			over++
		}
	}
	return over, peak
}

func (s *Settled) count(how string) {
	s.Taken++
	switch how {
	case "whole":
		s.Whole++
	case "partly":
		s.Partly++
	case "refused":
		s.Refused++
	case "failed":
		s.Failed++
	default:
		s.Broken++
	}
}

// ask sends one case and says how it was settled, and what is wrong with its answer.
func ask(
	ctx context.Context,
	client *http.Client,
	form, native, search string,
	c *Case,
	corpus *standin.Corpus,
	try int,
	took *atomic.Int64,
) (how, wrong string, holdOff time.Duration) {
	s, err := opensearch.ParseSearch([]byte(c.Body))
	if err != nil {
		return "broken", err.Error(), 0
	}
	url, body := "http://"+search+"/docs-"+c.Vertical+"/_search", c.Body
	if form == "native" {
		text, err := s.Text("docs-" + c.Vertical)
		if err != nil {
			return "broken", err.Error(), 0
		}
		var parts []string
		for shard := range shards {
			parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%g}`, shard, 1.0/shards))
		}
		quoted, _ := json.Marshal(text) // a string can be written
		url, body = "http://"+native+"/"+c.Vertical+"/k", fmt.Sprintf(
			`{"parts":[%s],"expr":%s}`,
			strings.Join(parts, ","),
			quoted,
		)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "broken", err.Error(), 0
	}
	req.Header.Set("X-Customer", "acme")
	req.Header.Set("X-Trace-Id", fmt.Sprintf("case-%d-%d", c.Number, try))
	req.Header.Set("X-Expires-In-Ms", "4000")
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return "broken", err.Error(), 0
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	took.Add(time.Since(begun).Microseconds()) // before the answer is looked at
	if err != nil {
		return "broken", err.Error(), 0
	}
	switch {
	case resp.StatusCode == http.StatusOK && form == "native":
		how, wrong = settledNative(raw)
		return how, wrong, 0
	case resp.StatusCode == http.StatusOK:
		how, wrong = settledSearch(s, c, raw, corpus)
		return how, wrong, 0
	case resp.StatusCode == http.StatusTooManyRequests || form == "native" && resp.StatusCode == http.StatusServiceUnavailable:
		holdOff = usualReturn
		if x, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && x > 0 && x < 10 {
			holdOff = time.Duration(x * float64(time.Second))
		}
		return "refused", "", holdOff
	}
	return "failed", "", 0
}

func settledNative(raw []byte) (string, string) {
	var a struct{ Exact bool }
	if json.Unmarshal(raw, &a) != nil {
		return "broken", "not JSON"
	}
	if a.Exact {
		return "whole", ""
	}
	return "partly", ""
}

type failure struct {
	Shard  int
	Reason struct{ Type string }
}

// settledSearch holds an answer against the documents of the shards that it says are in it.
func settledSearch(s *opensearch.Search, c *Case, raw []byte, corpus *standin.Corpus) (string, string) {
	var a struct {
		Shards struct {
			Total, Successful, Failed int
			Failures                  []failure
		} `json:"_shards"`
		Hits struct {
			Total struct {
				Value    int
				Relation string
			}
			Hits []struct {
				ID string `json:"_id"`
			}
		}
		Aggregations map[string]json.RawMessage
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return "broken", err.Error()
	}
	how := "whole"
	for _, f := range a.Shards.Failures { // where a part of the shards is all that is asked for, that is all
		if f.Reason.Type != "shard_not_needed" {
			how = "partly"
		}
	}
	if a.Shards.Total != shards || a.Shards.Successful+a.Shards.Failed != shards ||
		len(a.Shards.Failures) != a.Shards.Failed {
		return how, fmt.Sprintf("the count of shards does not come out even: %+v", a.Shards)
	}
	var query struct{ Query json.RawMessage }
	json.Unmarshal([]byte(c.Body), &query) // it was read before
	var list []*standin.Doc
	for shard := range shards {
		if slices.ContainsFunc(a.Shards.Failures, func(f failure) bool { return f.Shard == shard }) {
			continue
		}
		docs, err := corpus.Matching(query.Query, shard)
		if err != nil {
			return how, err.Error()
		}
		list = append(list, docs...)
	}
	slices.SortStableFunc(
		list,
		func(x, y *standin.Doc) int { // ties stay in the order of shards, and of positions in them
			return s.Spec.Compare(
				&merge.Hit{Sort: x.SortBy(s.Spec.Keys)},
				&merge.Hit{Sort: y.SortBy(s.Spec.Keys)},
			)
		},
	)
	relation := "eq"
	if a.Shards.Failed > 0 {
		relation = "gte"
	}
	if a.Hits.Total.Value != len(list) || a.Hits.Total.Relation != relation {
		return how, fmt.Sprintf("total %+v, there are %d", a.Hits.Total, len(list))
	}
	page := list[min(s.Spec.From, len(list)):min(s.Spec.From+s.Spec.Size, len(list))]
	if len(page) != len(a.Hits.Hits) {
		return how, fmt.Sprintf("%d hits, want %d", len(a.Hits.Hits), len(page))
	}
	for i, d := range page {
		if a.Hits.Hits[i].ID != d.ID {
			return how, fmt.Sprintf("hit %d is %s, want %s", i, a.Hits.Hits[i].ID, d.ID)
		}
	}
	want, err := reference(s, []byte(c.Body), list)
	if err != nil {
		return how, err.Error()
	}
	for name, text := range want {
		if !bytes.Equal(compact(a.Aggregations[name]), text) {
			return how, fmt.Sprintf("aggregation %s is %.300s, want %.300s", name, a.Aggregations[name], text)
		}
	}
	return how, ""
}

func compact(raw []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}

// reference counts all documents at once, as if they stood on one shard, and writes that as an answer would.
// What can't be exact across shards (distinct values) is left out here; package merge's own tests hold it to
// its bounds.
func reference(s *opensearch.Search, body []byte, list []*standin.Doc) (map[string][]byte, error) {
	out := map[string][]byte{}
	if len(s.Spec.Aggs) == 0 {
		return out, nil
	}
	raw, err := standin.Whole(s, body, list)
	if err != nil {
		return nil, err
	}
	for i := range s.Spec.Aggs {
		if a := &s.Spec.Aggs[i]; a.Kind != merge.Cardinality {
			out[a.Name] = compact(raw[a.Name])
		}
	}
	return out, nil
}

// Mistakes are some of the wrong answers.
func (s *Settled) Mistakes() []string { return s.mistakes }
