package soak

// Reading the configuration back, at nodes drawn by lot all along, and at every node in the end.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"moleshift/lab/nodes"
)

const (
	readEvery   = 120 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
)

// reader reads the configuration back, at one node after the other drawn by lot.
type reader struct {
	fleet   *nodes.Fleet
	history *History
	client  *http.Client
	random  *rand.Rand
}

func newReader(f *nodes.Fleet, h *History, random *rand.Rand) *reader {
	return &reader{fleet: f, history: h, random: random,
		client: &http.Client{Timeout: readTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run reads until the context ends.
func (r *reader) run(ctx context.Context) {
	for pause(ctx, readEvery) {
		r.read(ctx, r.random.IntN(r.fleet.Len()), false)
	}
}

// final reads at every node until each has answered, or the time is over.
func (r *reader) final(ctx context.Context) {
	for node := range r.fleet.Len() {
		for !r.read(ctx, node, true) && pause(ctx, readEvery) {
		}
	}
}

// read reads at one node; false: it gave no configuration.
func (r *reader) read(ctx context.Context, node int, final bool) bool {
	read := Read{Node: node, Sent: r.history.Now(), Final: final}
	status, text := call(ctx, r.client, "GET", "http://"+r.fleet.Address(node, nodes.Control)+"/config/read", nil)
	read.Status = status
	var config struct {
		Version int64 `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &config) == nil {
		read.Version = config.Version
	}
	r.history.addRead(read)
	return status == http.StatusOK
}
