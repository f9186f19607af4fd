// Package soak runs the system's own processes on loopback under signals, restarts and changes that overlap, with stand-in model
// servers, clients that keep using their connections, and an operator. What happened is judged from outside, by what clients, servers
// and the operator saw, never by a process's own word.
//
// history.go owns the record of a run. It must never leave out what was seen.
package soak

import (
	"sync"
	"time"
)

// Kind is a kind of requests.
type Kind string

// The kinds of requests.
const (
	Once      Kind = "once"      // whole answer, may run once
	Resumable Kind = "resumable" // a stream that may be taken over
	Single    Kind = "single"    // a stream that may run once
)

// Request is one request of a client.
type Request struct {
	ID       string
	Kind     Kind
	Node     int
	Sent     time.Duration // when its last byte was written
	Deadline time.Duration // counted from its first byte
	Ended    time.Duration // when the answer was whole, or the connection ended
	Status   int           // 0: no answer had begun
	Whole    bool          // the answer was complete
	Foreign  bool          // what came belongs to another request, or pieces are missing or come twice
	Left     bool          // the client closed the connection itself
}

// Execution is the work of a server on a request.
type Execution struct {
	ID      string
	Server  string
	Version int64 // of the weights on which it began; 0: the service has none
	Began   time.Duration
	Ended   time.Duration
}

// Naming is a version of the weights whose naming was acknowledged.
type Naming struct {
	Version int64
	Acked   time.Duration
}

// Strike is a signal or a restart.
type Strike struct {
	Node    int
	Name    string
	At      time.Duration
	Until   time.Duration // when the node had been back for long enough to be in touch
	Planned bool
}

// The names of strikes.
const (
	Terminate = "SIGTERM"
	Reload    = "SIGHUP"
	Kill      = "SIGKILL"
	Wipe      = "SIGKILL and an empty disk"
	Freeze    = "SIGSTOP"
)

// History is all that was seen in a run. Its methods may be called by several goroutines.
type History struct {
	mu       sync.Mutex
	began    time.Time
	Requests []Request
	Runs     []Execution
	Namings  []Naming
	Strikes  []Strike
	Changes  int // of the configuration, acknowledged
}

// Now is the time since the run began.
func (h *History) Now() time.Duration { return time.Since(h.began) }

func (h *History) addRequest(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests = append(h.Requests, r)
}

// begin records that a server began work; the function that comes back records the end.
func (h *History) begin(r Execution) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.Runs)
	h.Runs = append(h.Runs, r)
	return func() {
		now := h.Now()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Runs[i].Ended = now
	}
}

func (h *History) addNaming(n Naming) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Namings = append(h.Namings, n)
}

func (h *History) addChange() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Changes++
}

// strike records a strike; the function that comes back records its end.
func (h *History) strike(s Strike) (end func(until time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.Strikes)
	s.Until = time.Hour
	h.Strikes = append(h.Strikes, s)
	return func(until time.Duration) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Strikes[i].Until = until
	}
}
