// Package reshape has ranges split, merge and move under load, on sockets with a real router process, and judges by what clients and
// leaves saw: is every answer complete and right, did what may run once do so, was anybody asked for what it no longer holds, and did
// cold holders get no more than their share.
//
// reshape.go owns a run: the load, the changes, the judgement. It must never ask the router for what the others can tell.
package reshape

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"moleshift/fleet"
	"moleshift/lab/cluster"
	"moleshift/lab/standin"
	"moleshift/shardmap"
)

// Options is one run.
type Options struct {
	Program string
	For     time.Duration
	Every   time.Duration // between steps of the changes
	Rate    float64       // queries a second
	Seed    uint64
	Tell    func(at time.Duration, version int64)
}

// Result is what a run came to.
type Result struct {
	Queries   int     `json:"queries"`
	Whole     int     `json:"whole"`
	Partly    int     `json:"partly"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Wrong     int     `json:"wrong"`       // answers with keys left out or counted twice, or called whole and not so
	Twice     int     `json:"ran_twice"`   // parts that may run once only
	Misplaced int     `json:"misplaced"`   // parts worked on by a leaf that does not hold them
	Turned    int     `json:"turned_away"` // parts that a leaf refused for its map, and did not run
	Late      int     `json:"late"`        // parts that came to a leaf over 250 ms after it had ceased to be a holder
	Changes   int     `json:"changes"`
	Splits    int     `json:"splits"`
	Merges    int     `json:"merges"`
	Moves     int     `json:"moves"`
	ColdShare float64 `json:"cold_share"` // of the parts of ranges with a cold holder, that it got
	ColdParts int     `json:"cold_parts"` // parts that cold holders got
	ColdOf    int     `json:"cold_of"`    // parts of ranges while they had one
	MeanMS    float64 `json:"mean_ms"`
	Version   int64   `json:"version"` // of the snapshot that is left
	Seed      uint64  `json:"seed"`
	mistakes  []string
	changeLog []string
}

const (
	slices_    = 8
	leaves     = 8
	coldFor    = 3    // steps for which a new holder is cold
	coldMost   = 0.15 // of their ranges' parts that cold holders may get: a tenth is stated, the rest is chance
	coldLeast  = 200  // such parts from which that is judged
	lateAfter  = 250 * time.Millisecond
	graceSteps = 2 // for which a leaving holder stays
)

const fleetText = `
zones: [here]
links: {same: 0s, cross: 0s}
kinds: [{name: k, cores: 8, speed: 1, queue: 200}]
shards: 8
cells: 1
leaves: [{name: l, count: 8, kind: k, zone: here, cells: [0]}]
routers: [{name: r0, count: 1, zone: here, cores: 2, memory_mb: 128, sockets: 1024, open_cap: 5000}]
verticals:
  - {name: search, slo: 500ms, deadline: 1s, effect: repeatable, utility: 1, late_utility: 0.1, need: 1, floor: 1}
  - {name: record, slo: 500ms, deadline: 1s, effect: side_effecting, utility: 1, late_utility: 0, need: 1, floor: 1}
tenants: [{name: acme, per_second: 100000}]
rules: {tick: 1ms, budget_spare: 100000}
`

type game struct {
	o    Options
	r    *Result
	maps *standin.Maps
	rng  *rand.Rand

	mu    sync.Mutex
	known []*shardmap.Map      // by leaf: the version that it has
	ran   map[string][]string  // of queries that may run once: keys that were worked on
	gone  map[string]time.Time // by leaf and keys' shard: since when it is no holder
	next  int
	took  time.Duration
}

func name(i int) string { return "l-" + strconv.Itoa(i) }

// first is the map that the run begins with: each slice has a shard, held by two leaves.
func first() *shardmap.Map {
	m := &shardmap.Map{Version: 1}
	for i := range uint64(slices_) {
		w := shardmap.Space / slices_
		s := shardmap.Shard{ID: int(i), Range: shardmap.Range{From: i * w, To: (i + 1) * w}}
		for _, l := range []uint64{i % leaves, (i + 1) % leaves} {
			s.Holders = append(s.Holders, shardmap.Holder{Leaf: name(int(l)), State: shardmap.Serving})
		}
		slices.SortFunc(s.Holders, func(a, b shardmap.Holder) int { return strings.Compare(a.Leaf, b.Leaf) })
		m.Shards = append(m.Shards, s)
	}
	return m
}

// Run plays one run.
func Run(ctx context.Context, o Options) (*Result, error) {
	f, err := fleet.Decode("reshape", []byte(fleetText))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "molelab-reshape-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	g := &game{o: o, r: &Result{Seed: o.Seed}, maps: standin.NewMaps(first()), rng: rand.New(rand.NewPCG(o.Seed, 0x5a)),
		ran: map[string][]string{}, gone: map[string]time.Time{}, next: 100}
	for range leaves {
		g.known = append(g.known, g.maps.Now())
	}
	snapshot := filepath.Join(dir, "map")
	more := fmt.Sprintf("shards: {enabled: true, snapshot: %s, retry: 50ms}\n", snapshot)
	c, err := cluster.Start(cluster.Options{Fleet: f, Program: o.Program, Text: more, Limits: true, Maps: g.maps,
		Leaf: func(i int, l *standin.Leaf) {
			l.Work = 3 * time.Millisecond
			l.Holds = func(keys string) (int64, bool) { return g.holds(i, keys) }
			l.OnKeys = func(id, keys string) { g.works(i, id, keys) }
		}})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	time.Sleep(300 * time.Millisecond) // until the router has the map
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { g.reshape(ctx) })
	g.load(ctx, c.Routers[0].Address)
	all.Wait()
	g.judge(snapshot)
	return g.r, nil
}

// parseKeys reads a range as frames name it.
func parseKeys(text string) (r shardmap.Range, ok bool) {
	n, err := fmt.Sscanf(text, "%x-%x", &r.From, &r.To)
	return r, err == nil && n == 2
}

// holds is a leaf's own word, by the version that it has; each hears of a version a little later than it was published.
func (g *game) holds(i int, text string) (int64, bool) {
	keys, ok := parseKeys(text)
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.known[i]
	for _, s := range m.Over(keys) {
		at := slices.IndexFunc(s.Holders, func(h shardmap.Holder) bool { return h.Leaf == name(i) })
		if at < 0 || !s.Holders[at].State.Answers() {
			g.r.Turned++
			if since, was := g.gone[fmt.Sprintf("%s/%d", name(i), s.ID)]; was && time.Since(since) > lateAfter {
				g.r.Late++
			}
			return m.Version, false
		}
	}
	return m.Version, ok
}

// works notes that a leaf works on a part.
func (g *game) works(i int, id, text string) {
	keys, _ := parseKeys(text)
	m := g.maps.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range m.Over(keys) {
		at := slices.IndexFunc(s.Holders, func(h shardmap.Holder) bool { return h.Leaf == name(i) })
		for _, h := range s.Holders {
			if h.State == shardmap.Cold {
				g.r.ColdOf++
				if h.Leaf == name(i) {
					g.r.ColdParts++
				}
			}
		}
		if at < 0 { // by the newest version; its own may be a moment older, then it is still a holder in truth
			old := g.known[i].Over(keys)
			if !slices.ContainsFunc(old, func(s *shardmap.Shard) bool {
				return slices.ContainsFunc(s.Holders, func(h shardmap.Holder) bool { return h.Leaf == name(i) && h.State.Answers() })
			}) {
				g.r.Misplaced++
			}
		}
	}
	if query, _, _ := strings.Cut(id, "."); strings.HasPrefix(query, "once") {
		for _, other := range g.ran[query] {
			if o, _ := parseKeys(other); o.Meets(keys) {
				g.r.Twice++
			}
		}
		g.ran[query] = append(g.ran[query], text)
	}
}

// move is one holder on its way from a leaf to another.
type move struct {
	shard    int
	from, to string
	step     int
}

// reshape makes a change with each step: one that was begun goes on, or a new one is drawn.
func (g *game) reshape(ctx context.Context) {
	var moves []*move
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.o.Every):
		}
		m := g.maps.Now()
		var ops []shardmap.Op
		moves = slices.DeleteFunc(moves, func(v *move) bool {
			if m.Shard(v.shard) == nil {
				return true // it was split or merged on the way: what is left of the move stays as it stands
			}
			v.step++
			turn := func(leaf string, to shardmap.State) {
				ops = append(ops, shardmap.Op{Kind: shardmap.Turn, Shard: v.shard, Leaf: leaf, To: to})
			}
			switch v.step {
			case 1:
				turn(v.to, shardmap.Cold)
			case 1 + coldFor:
				turn(v.to, shardmap.Serving)
				turn(v.from, shardmap.Leaving)
			case 1 + coldFor + graceSteps:
				turn(v.from, shardmap.Gone)
				g.r.Moves++
				return true
			}
			return false
		})
		busy := func(id int) bool { return slices.ContainsFunc(moves, func(v *move) bool { return v.shard == id }) }
		s := m.Shards[g.rng.IntN(len(m.Shards))]
		switch draw := g.rng.IntN(3); {
		case busy(s.ID):
		case draw == 0 && len(m.Shards) < 20 && s.Range.Width() > 64:
			at := s.Range.From + s.Range.Width()/4*uint64(1+g.rng.IntN(3))
			ops = append(ops, shardmap.Op{Kind: shardmap.Split, Shard: s.ID, Into: [2]int{g.next, g.next + 1}, At: at})
			g.r.Splits++
		case draw == 1 && len(m.Shards) > 4:
			ops = g.merge(m, s, ops, busy)
		case draw == 2:
			to := name(g.rng.IntN(leaves))
			if slices.ContainsFunc(s.Holders, func(h shardmap.Holder) bool { return h.Leaf == to }) {
				break
			}
			ops = append(ops, shardmap.Op{Kind: shardmap.Add, Shard: s.ID, Leaf: to})
			moves = append(moves, &move{shard: s.ID, from: s.Holders[g.rng.IntN(len(s.Holders))].Leaf, to: to})
		}
		g.next += 2
		if len(ops) > 0 {
			g.publish(ctx, ops)
		}
		if g.o.Tell != nil {
			g.o.Tell(time.Since(begun), g.maps.Now().Version)
		}
	}
}

// merge puts a shard together with the one behind it, if the same leaves serve both.
func (g *game) merge(m *shardmap.Map, s shardmap.Shard, ops []shardmap.Op, busy func(int) bool) []shardmap.Op {
	at := slices.IndexFunc(m.Shards, func(o shardmap.Shard) bool { return o.ID == s.ID })
	if at+1 == len(m.Shards) || busy(m.Shards[at+1].ID) {
		return ops
	}
	same := 0
	for _, h := range s.Holders {
		if slices.Contains(m.Shards[at+1].Holders, h) && h.State == shardmap.Serving {
			same++
		}
	}
	if same < 1 {
		return ops
	}
	g.r.Merges++
	return append(ops, shardmap.Op{Kind: shardmap.Merge, Shard: s.ID, Into: [2]int{g.next, 0}})
}

// publish publishes a change; leaves hear of it at once, or up to 100 ms later, on their own.
func (g *game) publish(ctx context.Context, ops []shardmap.Op) {
	if err := g.maps.Publish(ops...); err != nil {
		g.r.changeLog = append(g.r.changeLog, err.Error())
		return
	}
	g.r.Changes++
	now := g.maps.Now()
	g.mu.Lock()
	for _, op := range ops {
		if op.Kind == shardmap.Turn && op.To == shardmap.Gone {
			g.gone[fmt.Sprintf("%s/%d", op.Leaf, op.Shard)] = time.Now()
		}
	}
	g.mu.Unlock()
	for i := range leaves {
		wait := time.Duration(g.rng.IntN(100)) * time.Millisecond
		time.AfterFunc(wait, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.known[i].Version < now.Version {
				g.known[i] = now
			}
		})
	}
}

// load sends queries at their times, whatever became of those before, and looks at every answer.
func (g *game) load(ctx context.Context, router string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(g.o.Seed, 0x10ad))
	var all sync.WaitGroup
	begun := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		at := begun.Add(time.Duration(float64(n) / g.o.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(at)):
		}
		vertical, id := "search", fmt.Sprintf("q%d", n)
		if rng.IntN(3) == 0 {
			vertical, id = "record", fmt.Sprintf("once%d", n)
		}
		asked := rng.Perm(slices_)[:1+rng.IntN(4)]
		all.Go(func() { g.ask(client, router, vertical, id, asked) })
	}
	all.Wait()
}

func (g *game) ask(client *http.Client, router, vertical, id string, asked []int) {
	var parts []string
	for _, s := range asked {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%.6f}`, s, 1/float64(len(asked))))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+router+"/"+vertical+"/k",
		strings.NewReader(fmt.Sprintf(`{"parts":[%s],"expr":"text"}`, strings.Join(parts, ","))))
	if err != nil {
		return
	}
	req.Header.Set("X-Trace-Id", id)
	req.Header.Set("X-Customer", "acme")
	req.Header.Set("X-Expires-In-Ms", "1000")
	sent := time.Now()
	resp, err := client.Do(req)
	status := 0
	var raw []byte
	if err == nil {
		status = resp.StatusCode
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.r.Queries++
	g.took += time.Since(sent)
	switch {
	case err != nil:
		g.r.Failed++
		g.mistake("%s: %v", id, err)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		g.r.Refused++
	case status != http.StatusOK:
		g.r.Failed++
	default:
		whole, wrong := check(raw, asked)
		if whole {
			g.r.Whole++
		} else {
			g.r.Partly++
		}
		if wrong != "" {
			g.r.Wrong++
			g.mistake("%s: %s: %.300s", id, wrong, raw)
		}
	}
}

func (g *game) mistake(format string, args ...any) {
	if len(g.r.mistakes) < 5 {
		g.r.mistakes = append(g.r.mistakes, fmt.Sprintf(format, args...))
	}
}

// check holds an answer against what was asked: the keys of its rows must cover each slice once, if it says that it is whole.
func check(raw []byte, asked []int) (whole bool, wrong string) {
	var a struct {
		Exact bool
		Rows  []struct {
			ID   int
			Keys string
			Data string
		}
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return false, err.Error()
	}
	for _, s := range asked {
		w := shardmap.Space / slices_
		slice := shardmap.Range{From: uint64(s) * w, To: uint64(s+1) * w}
		var have []shardmap.Range
		for _, row := range a.Rows {
			if row.ID != s {
				continue
			}
			keys, ok := parseKeys(row.Data)
			if !ok || row.Keys != "" && row.Keys != row.Data || !keys.Within(slice) {
				return a.Exact, "a row's keys are not those that it names"
			}
			have = append(have, keys)
		}
		slices.SortFunc(have, func(a, b shardmap.Range) int { return int(int64(a.From) - int64(b.From)) })
		at := slice.From
		for _, h := range have {
			if h.From < at {
				return a.Exact, "keys count twice"
			}
			if h.From > at && a.Exact {
				return a.Exact, "keys are left out"
			}
			at = h.To
		}
		if at != slice.To && a.Exact {
			return a.Exact, "keys are left out at the end"
		}
	}
	return a.Exact, ""
}

func (g *game) judge(snapshot string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.r.ColdShare = float64(g.r.ColdParts) / float64(max(g.r.ColdOf, 1))
	g.r.MeanMS = float64(g.took.Microseconds()) / 1000 / float64(max(g.r.Queries, 1))
	if raw, err := os.ReadFile(snapshot); err == nil {
		if m, err := shardmap.Decode(raw); err == nil {
			g.r.Version = m.Version
		}
	}
	if now := g.maps.Now().Version; g.r.Version < now-1 {
		g.r.mistakes = append(g.r.mistakes, fmt.Sprintf("the snapshot has version %d of %d", g.r.Version, now))
	}
}

// Broken is what did not hold.
func (r *Result) Broken() (all []string) {
	if r.Wrong+r.Twice+r.Misplaced+r.Late > 0 {
		all = append(all, fmt.Sprintf("%d wrong answers, %d ran twice, %d worked on by a leaf that does not hold them, %d came late", r.Wrong,
			r.Twice, r.Misplaced, r.Late))
	}
	if r.ColdOf >= coldLeast && r.ColdShare > coldMost {
		all = append(all, fmt.Sprintf("cold holders got %.2f of their ranges' parts", r.ColdShare))
	}
	if good := float64(r.Whole) / float64(max(r.Queries, 1)); good < 0.99 {
		all = append(all, fmt.Sprintf("only %.4f of the queries were answered whole", good))
	}
	return append(all, r.mistakes...)
}

// Log is what changes were refused, and why.
func (r *Result) Log() []string { return r.changeLog }
