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
	"maps"
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

const mostMapLine = 64 << 20 // bytes of one line of the watch

// ranging is the map and what hangs on it. It is the owner's.
type ranging struct {
	o       *owner
	set     config.Shards
	follows shardmap.Follower
	spans   *shardmap.Spans
	load    shardmap.Load      // work asked for, by shard, while that is there
	saves   chan *shardmap.Map // one at most: the latest
	refetch chan struct{}
}

// enableShards has the owner go by a map. The module numbers ranges rather than slices.
func (o *owner) enableShards() error {
	set := o.cfg.More.Shards
	r := &ranging{o: o, set: set, load: shardmap.Load{}, saves: make(chan *shardmap.Map, 1), refetch: make(chan struct{}, 1),
		spans: shardmap.NewSpans(o.cfg.Settings.Module.Shards, set.ColdShare, o.cfg.Seed)}
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
			r.spans.Move(shardmap.Time(o.now), m)
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
	r.spans.Move(shardmap.Time(r.o.now), r.follows.Now)
	maps.DeleteFunc(r.load, func(id int, _ float64) bool { return r.follows.Now.Shard(id) == nil })
	r.tell(func(string) bool { return true })
}

// tell tells the module what leaves hold now.
func (r *ranging) tell(which func(leaf string) bool) {
	var entries []choice.Entry
	for _, l := range r.o.listed {
		if !l.gone && which(l.id) {
			e := l.last
			e.Shards = r.spans.Holds(l.id)
			entries = append(entries, e)
		}
	}
	r.o.root.List(r.o.now, entries, false, true)
}

// parts turns what a client asks for into parts by the map; false where that can't be, as without a map.
func (r *ranging) parts(q *query, asked []codec.PartAsked) (held []*part, ok bool) {
	var named []int
	for _, a := range asked {
		named = append(named, a.Shard)
	}
	pieces, fresh, ok := r.spans.Ask(shardmap.Time(r.o.now), named)
	if len(fresh) > 0 {
		r.tell(func(leaf string) bool {
			return slices.ContainsFunc(fresh, func(s *shardmap.Span) bool { return r.spans.May(s, leaf) })
		})
	}
	for _, piece := range pieces {
		a := asked[slices.IndexFunc(asked, func(a codec.PartAsked) bool { return a.Shard == piece.Slice })]
		p := &part{id: fmt.Sprintf("%s.%d", q.id, a.Shard), query: q, slice: a.Shard, span: piece.Span,
			p: &choice.Part{Shard: piece.Span.Number, Weight: a.Weight * piece.Share, Hint: a.Hint / 1000 * piece.Share}}
		if s := r.follows.Now.Of(piece.Span.Keys.From); s != nil {
			r.load[s.ID] += p.p.Weight
		}
		if piece.Of > 1 {
			p.id += fmt.Sprintf(".%d", piece.Number)
			p.keys = keysText(piece.Span.Keys)
		}
		held = append(held, p)
	}
	return held, ok
}

// keysText is how keys are told on the wire.
func keysText(k shardmap.Range) string { return fmt.Sprintf("%08x-%08x", k.From, k.To) }

// more is what a leaf is told of a part beside its shard: the version of the map, and the keys.
func (r *ranging) more(p *part) string {
	return fmt.Sprintf(",v=%d,k=%s", r.spans.Version(), keysText(p.span.Keys))
}
