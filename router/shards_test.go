package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"moleshift/config"
	"moleshift/shardmap"
)

// mapsAt puts the watch on the map of shards in its place: lines are fed by the scene. HTTP adds the port that the stage's names lack.
func (st *stage) mapsAt(feed chan string) {
	st.places["list:80"] = func(conn net.Conn) error {
		l := &single{conn: conn, done: make(chan struct{})}
		context.AfterFunc(st.owner.ctx, func() { close(l.done) })
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			st.say("maps: asked %s", r.URL)
			w.(http.Flusher).Flush()
			for {
				select {
				case <-r.Context().Done():
					return
				case line := <-feed:
					fmt.Fprintln(w, line)
					w.(http.Flusher).Flush()
				}
			}
		}))
		return nil
	}
}

func wholeLine(m *shardmap.Map) string {
	text, _ := json.Marshal(mapLine{Whole: m}) // plain numbers and words
	return string(text)
}

func changeLine(version int64, ops ...shardmap.Op) string {
	text, _ := json.Marshal(mapLine{Change: &shardmap.Change{Version: version, Ops: ops}})
	return string(text)
}

// two is a map of four slices in two shards: leaf A holds both, B the upper one.
func two(version int64) *shardmap.Map {
	half := shardmap.Space / 2
	return &shardmap.Map{Version: version, Shards: []shardmap.Shard{
		{ID: 0, Range: shardmap.Range{To: half}, Holders: []shardmap.Holder{{Leaf: "A", State: shardmap.Serving}}},
		{ID: 1, Range: shardmap.Range{From: half, To: shardmap.Space}, Holders: []shardmap.Holder{
			{Leaf: "A", State: shardmap.Serving}, {Leaf: "B", State: shardmap.Serving}}}}}
}

// ranged has the stage's router go by a map.
func ranged(snapshot string) func(*config.Config) {
	return func(c *config.Config) {
		c.More.Shards = config.Shards{Enabled: true, Snapshot: snapshot, Retry: 50 * time.Millisecond}
	}
}

// The life of a map: nothing is taken before it is there; a split midway leaves what was sent with the leaf that
// got it, and makes parts of its children for what comes after; a leaf that is ahead refuses, which is no failure
// of it; a gap has the whole map fetched.
func TestRanges(t *testing.T) {
	path := t.TempDir() + "/map"
	play(t, "ranges", 2, ranged(path), func(st *stage) {
		feed := make(chan string)
		st.mapsAt(feed)
		var mu sync.Mutex
		how := map[string]string{}
		set := func(leaf, h string) {
			mu.Lock()
			defer mu.Unlock()
			how[leaf] = h
		}
		var held []func()
		for _, name := range []string{"A", "B"} {
			st.leafAt(name, func(_ int, frame string, conn net.Conn) {
				if frame[0] != 'D' {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids(frame) {
					switch h := how[name]; h {
					case "":
						sendFrame(conn, "O"+id+" 200 1 -\nby "+name)
					case "hold":
						held = append(held, func() { sendFrame(conn, "O"+id+" 200 1 -\nby "+name) })
					default:
						sendFrame(conn, "O"+id+" "+h+" -\n")
						delete(how, name)
					}
				}
			})
		}
		tell := func(line string) {
			st.pass(100)
			feed <- line
			st.pass(10)
		}
		st.serve()
		st.ask(st.connect(), request("early", "search", 2000, 0))
		tell(wholeLine(two(5)))
		st.ask(st.connect(), request("q1", "search", 2000, 0))
		set("A", "hold") // it has the part when its range is split
		st.ask(st.connect(), request("once1", "file", 2000, 0))
		tell(changeLine(6, shardmap.Op{Kind: shardmap.Split, Shard: 0, Into: [2]int{2, 3}, At: shardmap.Space / 8}))
		set("A", "")
		for _, answer := range held {
			answer()
		}
		st.pass(10)
		st.ask(st.connect(), request("q2", "search", 2000, 0)) // its slice is two shards now
		st.pass(10)
		set("A", "409 9") // they are ahead by some versions
		set("B", "409 9")
		st.ask(st.connect(), request("once2", "file", 2000, 3))
		m := two(9)
		m.Shards[1].Holders = m.Shards[1].Holders[1:] // A holds the upper one no more
		tell(wholeLine(m))
		st.ask(st.connect(), request("q3", "search", 2000, 3))
		tell(changeLine(12, shardmap.Op{Kind: shardmap.Add, Shard: 0, Leaf: "B"}))
		st.pass(200)
	})
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := shardmap.Decode(raw); err != nil || m.Version != 9 {
		t.Errorf("the snapshot has %v, %v", m, err)
	}
}

// A router that starts with a snapshot serves by it before discovery has said a word; by a damaged one it does not.
func TestSnapshotAtStart(t *testing.T) {
	for _, damaged := range []bool{false, true} {
		path := t.TempDir() + "/map"
		raw, err := two(3).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if damaged {
			raw[len(raw)-3] ^= 1
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		play(t, fmt.Sprintf("snapshot-damaged-%v", damaged), 2, ranged(path), func(st *stage) {
			st.mapsAt(make(chan string))
			st.leafAt("A", answers)
			st.leafAt("B", answers)
			st.serve()
			st.ask(st.connect(), request("q1", "search", 2000, 0))
			st.pass(10)
		})
		if _, err := os.Stat(path + ".damaged-0"); (err == nil) != damaged {
			t.Errorf("damaged %v, put aside: %v", damaged, err)
		}
	}
}
