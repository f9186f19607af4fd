package opensearch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// router stands for the router: it answers each shard by a function, and writes down what it was asked.
type router struct {
	outcome Outcome
	whole   bool
	holdOff time.Duration
	shard   func(text string, shard int) string // empty: no answer
	mu      sync.Mutex
	asked   []string
	done    int
	room    int // bytes for bodies; 0: any
	taken   int
}

func (r *router) take(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.room > 0 && r.taken+n > r.room {
		return false
	}
	r.taken += n
	return true
}

func (r *router) Ask(_ context.Context, q *Question) (*Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, fmt.Sprintf("%s by %s within %v: %s", q.Vertical, q.Tenant, q.Wait, q.Text))
	reply := &Reply{
		Outcome: r.outcome,
		Whole:   r.whole,
		HoldOff: r.holdOff,
		Done:    func() { r.mu.Lock(); r.done++; r.mu.Unlock() },
	}
	for _, s := range q.Shards {
		if v := r.shard(q.Text, s); v != "" {
			reply.Rows = append(reply.Rows, Row{s, []byte(v)})
		}
	}
	return reply, nil
}

// shardOf is an answer with some hits, sorted by score.
func shardOf(shard int, scores ...float64) string {
	var hits []string
	for i, x := range scores {
		hits = append(hits, fmt.Sprintf(`{"_id":"%d-%d","_score":%g}`, shard, i, x))
	}
	return fmt.Sprintf(
		`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":%d,"relation":"eq"},"hits":[%s]}}`,
		len(scores),
		strings.Join(hits, ","),
	)
}

func front(r *router) *Front {
	return New(
		Settings{
			Name:    "n0",
			Tenant:  "X-Customer",
			Take:    r.take,
			Return:  func(n int) { r.mu.Lock(); r.taken -= n; r.mu.Unlock() },
			HoldOff: time.Second,
			Indices: []Index{{"docs", "search", []int{0, 1, 2}}, {"one", "record", []int{1}}},
			Leaves: func() []Leaf {
				return []Leaf{{"a", true, []int{0, 1}}, {"b", true, []int{1, 2}}, {"c", false, []int{0, 2}}}
			},
		},
		r,
	)
}

// call makes a request and tells what comes back.
func call(f *Front, method, target, body string) string {
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	req.Header.Set("X-Customer", "acme")
	rec := httptest.NewRecorder()
	f.ServeHTTP(rec, req)
	text, _ := io.ReadAll(rec.Body)
	var v map[string]any
	if json.Unmarshal(text, &v) == nil {
		delete(v, "took")
		if items, is := v["responses"].([]any); is {
			for _, one := range items {
				delete(one.(map[string]any), "took")
			}
		}
		text, _ = json.Marshal(v)
	}
	after := ""
	if x := rec.Header().Get("Retry-After"); x != "" {
		after = " come back in " + x
	}
	return fmt.Sprintf("%d%s %s", rec.Code, after, text)
}

// handler is a transport without sockets.
type handler struct{ http.Handler }

func (h handler) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
