// Package soak runs the system's own processes on loopback under signals, restarts and changes that overlap, with stand-in model
// servers, clients that keep using their connections, and an operator. What happened is judged from outside, by what clients, servers
// and the operator saw, never by a process's own word.
//
// history.go owns the record of a run. It must never leave out what was seen.
package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// newestKeys is how many of the keys clients use: one that is good, or two, and those that went before.
const newestKeys = 3

// Kind is a kind of requests.
type Kind string

// The kinds of requests.
const (
	Once      Kind = "once"      // whole answer, may run once
	Resumable Kind = "resumable" // a stream that may be taken over
	Single    Kind = "single"    // a stream that may run once
	Again     Kind = "again"     // whole answer, may run more than once
	Keyed     Kind = "keyed"     // whole answer, may run once, on a route that wants a key
	Released  Kind = "released"  // whole answer, may run once, of a service that is brought to other versions
	Walled    Kind = "walled"    // a stream that may run once, of one of two tenants, whose prompt has shared parts
)

// Kinds lists all kinds of requests.
func Kinds() []Kind { return []Kind{Once, Resumable, Single, Again, Keyed, Walled, Released} }

// IsStream tells whether the answer is a series of events.
func (k Kind) IsStream() bool { return k == Resumable || k == Single || k == Walled }

// MayRepeat tells whether such a request may run more than once.
func (k Kind) MayRepeat() bool { return k == Resumable || k == Again }

// Request is one request of a client.
type Request struct {
	ID       string
	Kind     Kind
	Key      string // that it carries; empty: none
	Node     int
	Sent     time.Duration // when its last byte was written
	Deadline time.Duration // counted from its first byte
	Ended    time.Duration // when the answer was whole, or the connection ended
	Status   int           // 0: no answer had begun
	Fields   []string      // lines of the head that came, without the status line; nil: none came
	Whole    bool          // the answer was complete
	Foreign  bool          // what came belongs to another request, or pieces are missing or come twice
	Left     bool          // the client closed the connection itself

	Unanswered bool // it waited to be told to go on, and got no word
}

// Execution is the work of a server on a request.
type Execution struct {
	ID      string
	Server  string
	Version int64 // of the weights on which it began; 0: the service has none
	Began   time.Duration
	Ended   time.Duration
	Broken  bool // the server broke off: it closed the connection before its answer was complete, or had sent what spoils the answer ahead of it

	CallerLeft bool // the node had closed the connection before it began

	Software string // the version of the server's software
}

// Change is a version of the configuration that was acknowledged.
type Change struct {
	Version int64
	Acked   time.Duration
}

// Key is a key of a tenant and when the operator gave and took it. What has not happened yet is at never.
type Key struct {
	Name      string
	Given     time.Duration // acknowledged
	TakenSent time.Duration // the change that takes it away was sent first
	Taken     time.Duration // acknowledged
}

// Use is a request's use of a part of a prompt that a server kept.
type Use struct {
	ID     string
	Tenant string // of the request
	Maker  string // the tenant whose request made the part
}

// Isolation is a time in which a tenant shares kept parts with nobody.
type Isolation struct {
	Tenant string
	From   time.Duration // acknowledged
	Until  time.Duration // the change that ends it was sent first
}

// End is a server's word that it leaves, acknowledged.
type End struct {
	Server string
	Acked  time.Duration
}

// never is later than any run.
const never = time.Hour

// Read is an answer to a read of the configuration.
type Read struct {
	Node    int
	Sent    time.Duration
	Status  int   // 0: none came
	Version int64 // of the configuration that came
	Final   bool  // asked after all strikes, as at the end of a day
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

// ReleaseOrder is an order to bring the released service to a version.
type ReleaseOrder struct {
	Version string
	Sent    time.Duration // first
	Acked   time.Duration // 0: it was not
	Ended   time.Duration // when it was read to have ended; 0: it was not
	State   string        // that was read then
}

// ReleaseRead is an answer to a read of the release.
type ReleaseRead struct {
	Node    int
	Sent    time.Duration
	Status  int // 0: none came
	State   string
	Version string
}

// The names of strikes.
const (
	Terminate = "SIGTERM"
	Reload    = "SIGHUP"
	Kill      = "SIGKILL"
	KillAll   = "SIGKILL to all that count"
	Wipe      = "SIGKILL and an empty disk"
	Freeze    = "SIGSTOP"
)

// History is all that was seen in a run. Its methods may be called by several goroutines.
type History struct {
	mu       sync.Mutex
	began    time.Time
	Requests []Request
	Runs     []Execution
	Sent     []Sent
	Namings  []Naming
	Strikes  []Strike
	Changes  []Change
	Reads    []Read
	Keys     []Key
	Uses     []Use
	Ends     []End

	Isolations []Isolation
	Invalid    []string // configurations that are invalid and were acknowledged

	Releases     []ReleaseOrder // in the order in which they were sent
	ReleaseReads []ReleaseRead
}

// Now is the time since the run began.
func (h *History) Now() time.Duration { return time.Since(h.began) }

// note adds what was seen to one of a history's lists.
func note[T any](h *History, list *[]T, seen T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, seen)
}

func (h *History) addRequest(r Request) { note(h, &h.Requests, r) }

// execution is a run under way.
type execution struct {
	history *History
	index   int
}

// begin records that a server began work.
func (h *History) begin(r Execution) *execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs = append(h.Runs, r)
	return &execution{h, len(h.Runs) - 1}
}

// end records that the server works on it no more.
func (e *execution) end() {
	now := e.history.Now()
	e.history.mu.Lock()
	defer e.history.mu.Unlock()
	e.history.Runs[e.index].Ended = now
}

// breakOff records that the server broke off.
func (e *execution) breakOff() {
	e.history.mu.Lock()
	defer e.history.mu.Unlock()
	e.history.Runs[e.index].Broken = true
}

func (h *History) addNaming(n Naming) { note(h, &h.Namings, n) }

func (h *History) addChange(c Change) { note(h, &h.Changes, c) }

// giveKey records that the operator's tenant has a key from now on.
func (h *History) giveKey(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Keys = append(h.Keys, Key{Name: name, Given: h.Now(), TakenSent: never, Taken: never})
}

// takeKey records that a key is being taken away; the function that comes back records the acknowledgement.
func (h *History) takeKey(name string) (acknowledged func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.Keys, func(k Key) bool { return k.Name == name })
	h.Keys[i].TakenSent = h.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Keys[i].Taken = h.Now()
	}
}

// someKey draws one of the newest keys, some of which have been taken away; empty: there is none yet.
func (h *History) someKey(random *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.Keys) == 0 {
		return ""
	}
	newest := h.Keys[max(0, len(h.Keys)-newestKeys):]
	return newest[random.IntN(len(newest))].Name
}

func (h *History) addUse(u Use) { note(h, &h.Uses, u) }

func (h *History) addEnd(e End) { note(h, &h.Ends, e) }

func (h *History) addInvalid(what string) { note(h, &h.Invalid, what) }

// isolate records that a tenant is isolated from now on.
func (h *History) isolate(tenant string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Isolations = append(h.Isolations, Isolation{Tenant: tenant, From: h.Now(), Until: never})
}

// endIsolation records that the change that ends a tenant's isolation is being sent.
func (h *History) endIsolation(tenant string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.Isolations {
		if h.Isolations[i].Tenant == tenant && h.Isolations[i].Until == never {
			h.Isolations[i].Until = h.Now()
		}
	}
}

// orderRelease records that an order is about to be sent; the function that comes back records what becomes of it.
func (h *History) orderRelease(version string) (note func(edit func(o *ReleaseOrder))) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.Releases)
	h.Releases = append(h.Releases, ReleaseOrder{Version: version, Sent: h.Now()})
	return func(edit func(o *ReleaseOrder)) {
		h.mu.Lock()
		defer h.mu.Unlock()
		edit(&h.Releases[i])
	}
}

func (h *History) addReleaseRead(r ReleaseRead) { note(h, &h.ReleaseReads, r) }

func (h *History) addRead(r Read) { note(h, &h.Reads, r) }

// strike records a strike; the function that comes back records its end.
func (h *History) strike(s Strike) (end func(until time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.Strikes)
	s.Until = never
	h.Strikes = append(h.Strikes, s)
	return func(until time.Duration) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Strikes[i].Until = until
	}
}
