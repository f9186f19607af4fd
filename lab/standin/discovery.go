package standin

// discovery.go owns the list: it answers with what it holds, and a watch on it stays open and is told of
// changes.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"moleshift/config"
)

// Discovery is the list's agent.
type Discovery struct {
	mu      sync.Mutex
	list    config.List
	changed chan struct{} // closed with the next change
}

// NewDiscovery begins with a list.
func NewDiscovery(list config.List) *Discovery {
	list.Whole = true
	return &Discovery{list: list, changed: make(chan struct{})}
}

// Change has a leaf stand in the list as it is given; watches are told.
func (d *Discovery) Change(s config.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := append([]config.Server{}, d.list.Servers...)
	found := false
	for i := range next {
		if next[i].ID == s.ID {
			next[i], found = s, true
		}
	}
	if !found {
		next = append(next, s)
	}
	d.list.Servers = next
	d.list.Generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

const quiet = 2 * time.Second // between empty lines

// ServeHTTP answers GET /v1/servers.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	list, changed := d.list, d.changed
	d.mu.Unlock()
	if r.URL.Query().Get("since") == fmt.Sprint(list.Generation) {
		list.Whole, list.Servers = false, []config.Server{}
	}
	enc := json.NewEncoder(w)
	enc.Encode(list)
	for r.URL.Query().Get("follow") != "" {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			d.mu.Lock()
			list, changed = d.list, d.changed
			d.mu.Unlock()
			enc.Encode(list)
		case <-time.After(quiet):
			fmt.Fprintln(w)
		}
	}
}
