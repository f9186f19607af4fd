package standin

// search.go owns leaves that speak the form of OpenSearch over HTTP: an _msearch with an item for each shard.
// It must never answer an item of its own accord: what becomes of it is the leaf's.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"moleshift/codec"
)

// Search is a leaf as an HTTP server of the form. Its items queue and run as parts of frames do.
type Search struct {
	Leaf   *Leaf
	number atomic.Int64
}

const mostSearch = 4 << 20

// ServeHTTP answers GET / and POST /_msearch.
func (s *Search) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/_msearch" {
		fmt.Fprintln(w, `{"version":{"distribution":"opensearch"}}`)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, mostSearch))
	lines := bytes.Split(bytes.TrimSuffix(body, []byte{'\n'}), []byte{'\n'})
	if err != nil || len(lines)%2 != 0 {
		http.Error(w, `{"error":{"type":"parsing_exception"}}`, http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("cancel_after_time_interval"))
	if err != nil {
		wait = time.Minute
	}
	call := s.number.Add(1)
	items := make([]json.RawMessage, len(lines)/2)
	var all sync.WaitGroup
	for i := range items {
		all.Add(1)
		var once sync.Once
		done := func(item string) {
			once.Do(func() { items[i] = json.RawMessage(item); all.Done() })
		}
		s.item(r, fmt.Sprintf("%d.%d", call, i), lines[2*i], lines[2*i+1], wait, done)
	}
	all.Wait()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"responses": items}) // an error is the router's: it has gone
}

// item has the leaf work on one search, and puts what comes of it into the form.
func (s *Search) item(r *http.Request, id string, head, body []byte, wait time.Duration, done func(string)) {
	var h struct{ Index, Preference string }
	var search map[string]json.RawMessage
	shard, err := 0, json.Unmarshal(head, &h)
	if err == nil {
		shard, err = strconv.Atoi(strings.TrimPrefix(h.Preference, "_shards:"))
	}
	if err == nil {
		err = json.Unmarshal(body, &search)
	}
	if err != nil {
		done(`{"status":400,"error":{"type":"parsing_exception"}}`)
		return
	}
	search["index"], _ = json.Marshal(h.Index) // a string can be written
	text, _ := json.Marshal(search)
	j := &job{
		id:    id,
		shard: shard,
		text:  string(text),
		ms:    s.Leaf.Overhead + s.Leaf.Work.Seconds()*1000,
		until: time.Now().Add(wait),
	}
	j.reply = func(letter byte, rest string) {
		line, value, _ := strings.Cut(rest, "\n")
		status := strings.Fields(line)[1]
		switch {
		case letter == codec.LetterAnswer && status == "200":
			done(`{"status":200,` + strings.TrimPrefix(value, "{"))
		case status == "503":
			done(`{"status":429,"error":{"type":"rejected_execution_exception"}}`)
		default:
			done(`{"status":500,"error":{"type":"exception"}}`)
		}
	}
	// Who has gone, or has waited for long enough, frees its place; the leaf may never answer.
	go func() {
		select {
		case <-r.Context().Done():
		case <-time.After(wait + time.Second):
		}
		done(`{"status":504,"error":{"type":"timeout"}}`)
	}()
	s.Leaf.come(j)
}
