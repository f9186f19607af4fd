package router

// shards.go owns the map of key ranges: it follows its versions, keeps the latest in a file, and turns what a client asks for into
// parts by the map, with the leaves that hold each as the module's candidates. It must never make a part of keys that its candidates do
// not hold, and never take a version back.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"moleshift/choice"
	"moleshift/codec"
	"moleshift/config"
	"moleshift/shardmap"
	"moleshift/shardmap/mapfile"
)

const (
	mostNumbers = 1 << 13  // ranges that parts may be of at once, for the module to number
	mostMapLine = 64 << 20 // bytes of one line of the watch
	numberKeeps = 10_000   // tenths for which a range that nobody asks for keeps its number, at least
)

// span is a range as the module knows it: a number, with the holders that may be asked for it. Two numbers stand for a range that has a
// cold holder: one with it and one without.
type span struct {
	keys   shardmap.Range
	shard  int  // of the map, where the range lies in one
	cold   bool // cold holders are among its candidates
	number int
	used   choice.Time
	open   int // parts of open queries
}

type spanKey struct {
	keys shardmap.Range
	cold bool
}

// ranging is the map and what hangs on it. It is the owner's.
type ranging struct {
	o       *owner
	set     config.Shards
	follows shardmap.Follower
	spans   map[spanKey]*span
	numbers []*span // by number; nil: free
	slices  int     // that clients name
	drawn   uint64
	saves   chan *shardmap.Map // one at most: the latest
	refetch chan struct{}
}

// enableShards has the owner go by a map. The module numbers ranges rather than slices.
func (o *owner) enableShards() error {
	r := &ranging{o: o, set: o.cfg.More.Shards, spans: map[spanKey]*span{}, numbers: make([]*span, mostNumbers),
		slices: o.cfg.Settings.Module.Shards, saves: make(chan *shardmap.Map, 1), refetch: make(chan struct{}, 1)}
	if path := r.set.Snapshot; path != "" {
		m, err := mapfile.Load(path)
		var damaged *mapfile.Damaged
		switch {
		case errors.As(err, &damaged):
			o.log.Error().Err(damaged.Why).Str("aside", damaged.Aside).Msg("the snapshot of the map is not believed")
		case err != nil:
			return fmt.Errorf("shards.snapshot: %w", err)
		case m != nil:
			r.follows.Whole(m) // Load has checked it
			o.log.Info().Int64("version", m.Version).Msg("map of shards from the snapshot")
		}
	}
	o.ranging = r
	o.news(o.cfg.Known, true)
	return nil
}

// line is one line of the watch: a whole map, or a change.
type mapLine struct {
	Whole  *shardmap.Map
	Change *shardmap.Change
}

// run follows the map until the program ends.
func (r *ranging) run(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return r.o.dial(ctx, address, r.o.cfg.Settings.ConnectTimeout)
	}}}
	defer client.CloseIdleConnections()
	since := int64(0)
	for ctx.Err() == nil {
		attempt, cut := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() { // a gap: the watch begins anew, from the whole map
			select {
			case <-r.refetch:
				cut()
			case <-attempt.Done():
			}
			close(stop)
		}()
		err := r.watch(attempt, client, &since)
		cut()
		<-stop
		if ctx.Err() != nil {
			return nil
		}
		r.o.log.Warn().Err(err).Int64("version", since).Msg("watch on the map of shards ended")
		select {
		case <-ctx.Done():
		case <-time.After(r.set.Retry):
		}
	}
	return nil
}

// watch reads one watch. It asks for the whole map where it has none, or where changes could not be followed.
func (r *ranging) watch(ctx context.Context, client *http.Client, since *int64) error {
	address := r.o.list.where()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/shards?follow=1&since=%d", address, *since), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostMapLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var one mapLine
		if err := json.Unmarshal(lines.Bytes(), &one); err != nil {
			return err
		}
		taken := make(chan int64, 1)
		r.o.post(ctx, func(o *owner) { taken <- r.take(&one) })
		select {
		case *since = <-taken:
		case <-ctx.Done():
			return ctx.Err()
		}
		if *since == 0 {
			return errors.New("a change could not be followed: the whole map is needed")
		}
	}
	return errors.Join(lines.Err(), errEnded)
}

// take takes one line, and says from which version on changes are wanted; 0: the whole map.
func (r *ranging) take(one *mapLine) int64 {
	var err error
	before := r.follows.Now
	switch {
	case one.Whole != nil:
		err = r.follows.Whole(one.Whole)
	case one.Change != nil && before != nil:
		err = r.follows.Take(one.Change)
	default:
		return 0
	}
	if err != nil && !errors.Is(err, shardmap.ErrOld) {
		r.o.log.Warn().Err(err).Msg("a version of the map of shards was not taken")
	}
	if now := r.follows.Now; now != before && now != nil {
		r.o.log.Info().Int64("version", now.Version).Int("shards", len(now.Shards)).Msg("map of shards")
		r.moved()
		select { // the latest is what is to be kept
		case <-r.saves:
		default:
		}
		r.saves <- now
	}
	if r.follows.Behind || r.follows.Now == nil {
		return 0
	}
	return r.follows.Now.Version
}

// told: a leaf has refused a part as it has another version.
func (r *ranging) told(version int64) {
	if r.follows.Now != nil && r.follows.Told(version) {
		poke(r.refetch)
	}
}

// keep writes the latest map into its file, apart from everybody else, as a disk may be slow.
func (r *ranging) keep(ctx context.Context, log zerolog.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.saves:
			if r.set.Snapshot == "" {
				continue
			}
			if err := mapfile.Save(r.set.Snapshot, m); err != nil {
				log.Error().Err(err).Int64("version", m.Version).Msg("the map of shards could not be kept")
			}
		}
	}
}

// moved has the module's candidates be those of the map as it is now.
func (r *ranging) moved() {
	for i, s := range r.numbers {
		if s != nil && s.open == 0 && r.o.now-s.used > numberKeeps {
			delete(r.spans, spanKey{s.keys, s.cold})
			r.numbers[i] = nil
		}
	}
	entries := make([]choice.Entry, 0, len(r.o.listed))
	for _, l := range r.o.listed {
		if !l.gone {
			entries = append(entries, l.entry(r))
		}
	}
	r.o.root.List(r.o.now, entries, false, true)
}

// holds are the numbers of the ranges that a leaf may be asked for: it must hold all shards that the range meets. Old ranges of queries
// that are open go on with whoever holds all their parts, be that by a split since.
func (r *ranging) holds(leaf string) []int {
	held := []int{}
	if r.follows.Now == nil {
		return held
	}
	for i, s := range r.numbers {
		if s != nil && r.may(s, leaf) {
			held = append(held, i)
		}
	}
	return held
}

// may: does a leaf hold all of a range, in a state in which it may be asked for it?
func (r *ranging) may(s *span, leaf string) bool {
	for _, shard := range r.follows.Now.Over(s.keys) {
		warm, cold := shard.Candidates()
		if !slices.Contains(warm, leaf) && !(slices.Contains(cold, leaf) && (s.cold || len(warm) == 0)) {
			return false
		}
	}
	return true
}

// keysOf is the range that a slice stands for.
func (r *ranging) keysOf(slice int) shardmap.Range {
	at := func(i int) uint64 { return shardmap.Space / uint64(r.slices) * uint64(i) }
	to := at(slice + 1)
	if slice == r.slices-1 {
		to = shardmap.Space
	}
	return shardmap.Range{From: at(slice), To: to}
}

// spanOf is the number of a range, made if there is none. A part that may go to cold holders is drawn, by a counter and the seed.
func (r *ranging) spanOf(keys shardmap.Range, shard *shardmap.Shard) *span {
	_, cold := shard.Candidates()
	key := spanKey{keys, false}
	if len(cold) > 0 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d/%d", r.o.cfg.Seed, r.drawn)
		r.drawn++
		key.cold = float64(h.Sum64()%10_000) < 10_000*r.set.ColdShare
	}
	s := r.spans[key]
	if s == nil {
		free := slices.Index(r.numbers, nil)
		if free < 0 {
			return nil
		}
		s = &span{keys: keys, shard: shard.ID, cold: key.cold, number: free}
		r.spans[key], r.numbers[free] = s, s
		var entries []choice.Entry
		for _, l := range r.o.listed {
			if !l.gone && r.may(s, l.id) {
				entries = append(entries, l.entry(r))
			}
		}
		r.o.root.List(r.o.now, entries, false, true)
	}
	s.shard, s.used = shard.ID, r.o.now
	return s
}

// parts turns what a client asks for into parts by the map; nil where there is no map yet, or no number is left.
func (r *ranging) parts(q *query, asked []codec.PartAsked) (held []*part, ok bool) {
	m := r.follows.Now
	if m == nil {
		return nil, false
	}
	for _, a := range asked {
		keys := r.keysOf(a.Shard)
		over := m.Over(keys)
		for i, shard := range over {
			piece := shardmap.Range{From: max(keys.From, shard.Range.From), To: min(keys.To, shard.Range.To)}
			s := r.spanOf(piece, shard)
			if s == nil {
				return nil, false
			}
			share := float64(piece.Width()) / float64(keys.Width())
			p := &part{id: fmt.Sprintf("%s.%d", q.id, a.Shard), query: q, slice: a.Shard, span: s, version: m.Version,
				p: &choice.Part{Shard: s.number, Weight: a.Weight * share, Hint: a.Hint / 1000 * share}}
			if len(over) > 1 {
				p.id += fmt.Sprintf(".%d", i)
				p.keys = fmt.Sprintf("%08x-%08x", piece.From, piece.To)
			}
			held = append(held, p)
		}
	}
	for _, p := range held {
		p.span.open++
	}
	return held, true
}

// more is what a leaf is told of a part beside its shard: the version of the map, and the keys.
func (p *part) more(r *ranging) string {
	return fmt.Sprintf(",v=%d,k=%08x-%08x", r.follows.Now.Version, p.span.keys.From, p.span.keys.To)
}

// shardOf is the shard by which a leaf is asked for a part now: the one of the map that has its first key.
func (p *part) shardOf(r *ranging) int {
	if s := r.follows.Now.Of(p.span.keys.From); s != nil {
		return s.ID
	}
	return p.span.shard
}
