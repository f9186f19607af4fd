package soak

import (
	"net/http"
	"sync/atomic"
	"time"

	"moleshift/lab/nodes"
)

const (
	askEvery    = 500 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	missesToOut = 2 // answers in a row without a 200 that take a node out
)

// platform is what sends clients to nodes: it asks each again and again whether it takes them.
type platform struct {
	fleet *nodes.Fleet
	ready []atomic.Bool
}

func newPlatform(f *nodes.Fleet) *platform {
	return &platform{fleet: f, ready: make([]atomic.Bool, f.Len())}
}

// watch asks until stop is closed.
func (p *platform) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := make([]int, p.fleet.Len())
	for {
		for i := range missed {
			resp, err := client.Get("http://" + p.fleet.Address(i, nodes.Ready) + "/readyz")
			if err == nil {
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				missed[i] = 0
			} else {
				missed[i]++
			}
			p.ready[i].Store(missed[i] < missesToOut)
		}
		select {
		case <-stop:
			return
		case <-time.After(askEvery):
		}
	}
}

// list gives the nodes that take clients.
func (p *platform) list() []int {
	var ready []int
	for i := range p.ready {
		if p.ready[i].Load() {
			ready = append(ready, i)
		}
	}
	return ready
}
