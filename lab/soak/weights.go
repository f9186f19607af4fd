package soak

// What the stand-in servers answer to questions for a report, and to orders to load weights.

import (
	"encoding/json"
	"net/http"
	"time"
)

// report tells what the server runs.
func (s *modelServer) report(w http.ResponseWriter, _ *http.Request) {
	if broken := s.faults.drawBrokenHead(); broken != nil {
		broken.send(w, &soundAnswer{body: loadedReport})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": []map[string]any{{"name": modelName, "version": s.version}}, "busy": s.ordered > 0, "sequence": s.sequence,
		"running": s.running, "queued": s.queued,
	})
}

// loadedReport is a report of weights that no server has: it comes in what is no answer.
const loadedReport = `{"models":[{"name":"` + modelName + `","version":1000000}],"busy":false,"sequence":1,"running":0,"queued":0}`

// order takes an order to load weights: runs end first, what waits is turned away, then the weights take their time.
func (s *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64 `json:"version"`
		Fence   int64 `json:"fence-token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.faults.isDeaf(s.history.Now()) {
		panic(http.ErrAbortHandler) // no answer, and nothing was taken
	}
	if broken := s.faults.drawBrokenHead(); broken != nil {
		broken.send(w, &soundAnswer{}) // acknowledged by what is no answer, and nothing was taken
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		w.WriteHeader(http.StatusServiceUnavailable)
	case order.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.ordered > 0:
		w.WriteHeader(http.StatusConflict)
	case order.Version <= s.version:
		w.WriteHeader(http.StatusOK)
	default:
		s.fence, s.ordered = order.Fence, order.Version
		s.sequence++
		s.changed.Broadcast()
		s.loads.Go(s.load)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *modelServer) load() {
	s.mu.Lock()
	for s.running > 0 && !s.ended {
		s.changed.Wait()
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.loadTime):
	case <-s.closed:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.ordered = s.ordered, 0
	clear(s.parts)
	s.changed.Broadcast()
}
