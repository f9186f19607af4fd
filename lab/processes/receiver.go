package processes

// receiver.go owns what the holders' effects meet: a server that checks tokens, does each step once, and writes down what came when,
// on its own clock. It must never believe more of a router than what that has sent.

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"moleshift/lease"
	"moleshift/rights"
)

// effect is one step as the receiver saw it.
type effect struct {
	right    string
	seat     int
	token    lease.Token
	step     uint64
	sent     time.Duration // by the holder's clock, brought to the receiver's; it held the right then, by its own word
	came     time.Duration
	answered time.Duration
	taken    bool // the fence let it pass
	done     bool // it was not done before
}

// receiver has one fence for all rights.
type receiver struct {
	begun  time.Time
	server *http.Server
	at     string
	clocks func(seat int) time.Duration

	mu      sync.Mutex
	fence   lease.Fence
	last    map[string]uint64 // step that was done
	effects []effect
	latest  map[string]time.Duration // when a right's last effect was taken
	skipped int
}

func newReceiver(begun time.Time, clocks func(int) time.Duration) (*receiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &receiver{begun: begun, at: l.Addr().String(), clocks: clocks, last: map[string]uint64{}, latest: map[string]time.Duration{}}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// url is where a right's steps go.
func (r *receiver) url(right string) string { return "http://" + r.at + "/" + right }

// ServeHTTP takes a step.
func (r *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c rights.Call
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.Header.Get(rights.TokenHeader) != strconv.FormatUint(c.Token, 10) {
		http.Error(w, "the header has another token", http.StatusBadRequest)
		return
	}
	seat, _ := strconv.Atoi(strings.TrimPrefix(c.Instance, "r")) // the laboratory's own names
	r.mu.Lock()
	e := effect{right: c.Right, seat: seat, token: lease.Token(c.Token), step: c.Step, came: time.Since(r.begun),
		sent: time.UnixMicro(c.At).Sub(r.begun) - r.clocks(seat)}
	if e.taken = r.fence.Pass(c.Right, e.token); e.taken {
		r.latest[c.Right] = e.came
		if e.done = c.Step > r.last[c.Right]; e.done {
			if c.Step > r.last[c.Right]+1 {
				r.skipped++
			}
			r.last[c.Right] = c.Step
		}
	}
	e.answered = time.Since(r.begun)
	r.effects = append(r.effects, e)
	r.mu.Unlock()
	if !e.taken {
		http.Error(w, "a greater token was met", http.StatusConflict)
		return
	}
	json.NewEncoder(w).Encode(rights.Answer{State: []byte("x"), Done: true}) // an error is the router's: it has gone
}

// quiet are the rights whose last effect was taken before a time.
func (r *receiver) quiet(names []string, since time.Duration) (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if at, any := r.latest[name]; !any || at < since {
			all = append(all, name)
		}
	}
	return all
}

// holders are the seats whose effect was last taken, by right.
func (r *receiver) holders() map[string]effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]effect{}
	for _, e := range r.effects {
		if e.taken {
			all[e.right] = e
		}
	}
	return all
}

func (r *receiver) close() { r.server.Close() }
