package standin

// maps.go owns the list's part that tells versions of the map of shards: the whole map, then changes, on a watch that stays open. It must
// never tell a version before it was published.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"moleshift/lease"
	"moleshift/shardmap"
)

// Maps publishes versions of a map.
type Maps struct {
	mu      sync.Mutex
	now     *shardmap.Map
	changes []shardmap.Change
	changed chan struct{}

	fence     lease.Fence // of those who propose
	Proposed  int         // changes that were published because somebody proposed them
	Overtaken int         // proposals under a token that was not the greatest
}

const mostChanges = 64 // that are told one by one; who is further behind gets the whole map

// NewMaps begins with a map.
func NewMaps(m *shardmap.Map) *Maps { return &Maps{now: m, changed: make(chan struct{})} }

// Now is the latest version.
func (p *Maps) Now() *shardmap.Map {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// Publish publishes a change, if it makes sense.
func (p *Maps) Publish(ops ...shardmap.Op) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publish(ops)
}

func (p *Maps) publish(ops []shardmap.Op) error {
	c := shardmap.Change{Version: p.now.Version + 1, Ops: ops}
	next, err := p.now.Apply(&c)
	if err != nil {
		return err
	}
	p.now, p.changes = next, append(p.changes, c)
	if len(p.changes) > mostChanges {
		p.changes = p.changes[1:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// author is the right that all who propose must hold.
const author = "author"

// propose takes a change that somebody proposes under a token: POST /v1/shards.
func (p *Maps) propose(w http.ResponseWriter, r *http.Request) {
	var c shardmap.Change
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err == nil {
		err = json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fence.Pass(author, lease.Token(token)) {
		p.Overtaken++
		http.Error(w, "a greater token was met", http.StatusConflict)
		return
	}
	if c.Version != p.now.Version+1 {
		http.Error(w, fmt.Sprintf("the map has version %d", p.now.Version), http.StatusUnprocessableEntity)
		return
	}
	if err := p.publish(c.Ops); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Proposed++
}

// ServeHTTP answers GET /v1/shards?follow=1&since=V, and takes proposals.
func (p *Maps) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.propose(w, r)
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // 0 where it is none
	enc := json.NewEncoder(w)
	for r.Context().Err() == nil {
		p.mu.Lock()
		now, changed := p.now, p.changed
		var behind []shardmap.Change
		for _, c := range p.changes {
			if c.Version > since {
				behind = append(behind, c)
			}
		}
		p.mu.Unlock()
		if since == 0 || len(behind) > 0 && behind[0].Version > since+1 {
			enc.Encode(map[string]any{"Whole": now})
		} else {
			for _, c := range behind {
				enc.Encode(map[string]any{"Change": c})
			}
		}
		since = now.Version
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-changed:
		case <-time.After(quiet):
			fmt.Fprintln(w)
		}
	}
}
