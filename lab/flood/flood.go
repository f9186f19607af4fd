// Package flood attacks a router process on loopback in the ways that a misconfigured or malicious client
// would, while known clients send measured queries, and judges by what both sides saw: were the known ones
// served, did every query that was taken get exactly one answer, were those who were turned away told so, and
// was everything given back afterwards.
//
// flood.go owns a run and its judgement. It must never ask the router for what clients and leaves can tell;
// only what the router holds is read from its page for operators.
package flood

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"moleshift/fleet"
	"moleshift/lab/cluster"
	"moleshift/lab/standin"
	"moleshift/router"
)

// Options is one run.
type Options struct {
	Program string
	Kinds   []string // one or more at once
	Plain   bool     // without the YAML file: for texts that do not know it
	Warm    time.Duration
	Flood   time.Duration
	Seed    uint64
}

// Result is what a run came to.
type Result struct {
	Kind         string           `json:"kind"`
	Service      float64          `json:"service_known"` // of known clients' queries, while the flood lasted
	Before       float64          `json:"service_before"`
	Queries      int              `json:"queries_known"`
	P99          float64          `json:"p99_ms"`
	Lost         int              `json:"lost"`    // queries sent whole whose connection ended without an answer
	Doubled      int              `json:"doubled"` // a second answer, or a side-effecting part that ran twice
	Turned       int              `json:"turned_away"`
	Unclear      int              `json:"unclear_refusals"` // connections ended at once without a word
	Refused      int              `json:"refused_known"`
	Recovered    int              `json:"recovered_ms"` // -1: not within the time
	PeakMB       float64          `json:"peak_rss_mb"`
	Peak         map[string]int64 `json:"peak_by_purpose,omitempty"`
	NoRoom       map[string]int   `json:"refused_by_purpose,omitempty"`
	CapsBroken   int              `json:"caps_broken"`
	MostConns    int              `json:"most_connections"`
	Attacks      int              `json:"attacks"` // connections that the flood opened
	Died         bool             `json:"died"`
	Uneven       int              `json:"uneven"`
	Seed         uint64           `json:"seed"`
	broken       []string
	firstFailure string
}

const (
	serviceLeast  = 0.99
	recoverWithin = 2 * time.Second
	sampleEvery   = 100 * time.Millisecond
	knownClients  = 6
	knownRate     = 12 // queries a second of each
	starvedFiles  = 72 // descriptors that the process really gets where they run out
)

const fleetText = `
zones: [here]
links: {same: 0s, cross: 0s}
kinds: [{name: k, cores: 4, speed: 1, queue: 200}]
shards: 8
cells: 4
leaves: [{name: l, count: 8, kind: k, zone: here, cells: [0, 1, 2, 3]}]
routers: [{name: r0, count: 1, zone: here, cores: 1, memory_mb: 64, sockets: 256, open_cap: 2000}]
verticals:
  - {name: search, slo: 500ms, deadline: 2s, effect: repeatable, utility: 1, late_utility: 0.1, need: 1, floor: 1}
  - {name: record, slo: 500ms, deadline: 2s, effect: side_effecting, utility: 1, late_utility: 0, need: 1, floor: 1}
  - {name: bulk, slo: 500ms, deadline: 2s, effect: repeatable, utility: 0.2, late_utility: 0.1, need: 1, floor: 1}
tenants: [{name: known, per_second: 1000}, {name: other, per_second: 50}]
rules: {tick: 1ms}
`

const configText = `
admission: {enabled: true}
memory: {enabled: true, log_every: 1s}
admin: {listen: %q}
`

// scene is a run in progress.
type scene struct {
	o      Options
	c      *cluster.Cluster
	at     string // the router's address
	admin  string
	r      *Result
	mu     sync.Mutex
	phase  atomic.Int32 // 0 warming, 1 flood, 2 after
	ran    map[string]int
	asked  int
	served int
	before [2]int // asked, served
	took   []time.Duration
	stop   atomic.Bool
	next   atomic.Int64
	swing  atomic.Uint64 // thousandths of the known clients' pace; 0: as it is
}

// Run plays one run.
func Run(ctx context.Context, o Options) (*Result, error) {
	f, err := fleet.Decode("flood", []byte(fleetText))
	if err != nil {
		return nil, err
	}
	s := &scene{
		o: o,
		r: &Result{
			Kind:      strings.Join(o.Kinds, "+"),
			Seed:      o.Seed,
			Peak:      map[string]int64{},
			NoRoom:    map[string]int{},
			Recovered: -1,
		},
		ran: map[string]int{},
	}
	co := cluster.Options{Fleet: f, Program: o.Program, Limits: true, Leaf: s.leaf}
	if slices.Contains(o.Kinds, "fd-exhaustion") {
		co.Files = starvedFiles
	}
	if !o.Plain {
		if s.admin, err = cluster.FreeAddress(); err != nil {
			return nil, err
		}
		co.Text = fmt.Sprintf(configText, s.admin)
	}
	if s.c, err = cluster.Start(co); err != nil {
		return nil, err
	}
	defer s.c.Stop()
	s.at = s.c.Routers[0].Address
	s.play(ctx)
	s.judge()
	return s.r, nil
}

func (s *scene) leaf(i int, l *standin.Leaf) {
	l.OnRun = func(id string) {
		s.mu.Lock()
		s.ran[id]++
		s.mu.Unlock()
	}
}

// play runs the phases: known clients alone, the flood beside them, and the time until all is as before.
func (s *scene) play(ctx context.Context) {
	var all sync.WaitGroup
	known, endKnown := context.WithCancel(ctx)
	defer endKnown()
	for i := range knownClients {
		all.Go(func() { s.known(known, i) })
	}
	pause(ctx, s.o.Warm)
	rest := s.sample(false)
	s.phase.Store(1)
	flood, endFlood := context.WithTimeout(ctx, s.o.Flood)
	var attack sync.WaitGroup
	for i, kind := range s.o.Kinds {
		k := kinds[kind]
		for j := range k.workers {
			attack.Go(func() { k.attack(flood, s, i*100+j) })
		}
	}
	for flood.Err() == nil {
		pause(flood, sampleEvery)
		s.sample(true)
	}
	endFlood()
	ended := time.Now()
	s.phase.Store(2)
	for i := range s.c.Leaves {
		s.c.Leaves[i].Behave(standin.Well)
	}
	if s.o.Plain {
		attack.Wait()
		pause(ctx, recoverWithin)
	}
	for !s.o.Plain && time.Since(ended) < 3*recoverWithin {
		if now := s.sample(false); now != nil && rest != nil && calm(rest, now) {
			s.r.Recovered = int(time.Since(ended).Milliseconds())
			break
		}
		pause(ctx, sampleEvery/2)
	}
	attack.Wait()
	s.stop.Store(true)
	endKnown()
	all.Wait()
	if last := s.sample(false); last != nil {
		s.r.Uneven = last.Uneven
	}
}

// passing is what is held for what comes and goes. Connections to leaves are kept for a while, as they are
// meant to.
var passing = []string{"bodies", "queries", "values", "frames", "given up"}

// calm tells whether what is held is what was held before the flood, but for what known clients happen to do
// just now.
func calm(rest, now *router.LimitsStatus) bool {
	if now.Connections > rest.Connections+knownClients {
		return false
	}
	for _, p := range passing {
		if now.Purposes[p].Held > rest.Purposes[p].Held+64<<10 {
			return false
		}
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sample reads the router's books and its memory.
func (s *scene) sample(counts bool) *router.LimitsStatus {
	if rss := rssOf(s.c.Routers[0].Cmd.Process.Pid); rss > s.r.PeakMB {
		s.r.PeakMB = rss
	}
	if s.o.Plain {
		return nil
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + s.admin + "/limits")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var st router.LimitsStatus
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&st) != nil {
		return nil
	}
	for name, e := range st.Purposes {
		s.r.Peak[name] = max(s.r.Peak[name], e.Peak)
		if e.Refused > 0 {
			s.r.NoRoom[name] = e.Refused
		}
		if e.Cap > 0 && e.Held > e.Cap {
			s.r.CapsBroken++
		}
	}
	if st.Whole > 0 && st.Held > st.Whole {
		s.r.CapsBroken++
	}
	s.r.MostConns = max(s.r.MostConns, st.Connections)
	return &st
}

// rssOf is a process's resident memory, MB; 0 where the system does not tell.
func rssOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// judge works out what held.
func (s *scene) judge() {
	r := s.r
	r.Queries = s.asked
	r.Service, r.Before = share(s.served, s.asked), share(s.before[1], s.before[0])
	slices.Sort(s.took)
	if n := len(s.took); n > 0 {
		r.P99 = float64(s.took[min(n*99/100, n-1)].Microseconds()) / 1000
	}
	for id, n := range s.ran {
		if n > 1 && strings.HasPrefix(id, "once-") {
			r.Doubled += n - 1
		}
	}
	r.Died = s.c.Routers[0].Cmd.ProcessState != nil || rssOf(s.c.Routers[0].Cmd.Process.Pid) == 0
	check := func(bad bool, format string, args ...any) {
		if bad {
			r.broken = append(r.broken, fmt.Sprintf(format, args...))
		}
	}
	check(
		r.Service < serviceLeast,
		"known clients had %.4f served, %.2f at least (%s)",
		r.Service,
		serviceLeast,
		s.r.firstFailure,
	)
	check(r.Lost > 0, "%d queries were lost", r.Lost)
	check(r.Doubled > 0, "%d answers or effects came twice", r.Doubled)
	check(r.Died, "the router ended")
	if !s.o.Plain {
		check(r.Unclear > 0, "%d connections were ended at once without a word", r.Unclear)
		check(
			r.Recovered < 0 || r.Recovered > int(recoverWithin.Milliseconds()),
			"not as before within %v (%d ms)",
			recoverWithin,
			r.Recovered,
		)
		check(r.CapsBroken > 0, "%d caps were passed", r.CapsBroken)
		check(r.Uneven > 0, "%d returns to the books were too many", r.Uneven)
	}
}

func share(n, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(n) / float64(of)
}

// Broken is what did not hold.
func (r *Result) Broken() []string { return r.broken }
