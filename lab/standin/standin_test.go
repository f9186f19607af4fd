package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"moleshift/codec"
	"moleshift/config"
	"moleshift/internal/golden"
)

// pipes is a listener that hands out connections without sockets.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// stage plays one router at a leaf and prints what it gets, in time of its own.
type stage struct {
	mu    sync.Mutex
	out   []string
	start time.Time
	conn  net.Conn
	leaf  *Leaf
}

func play(t *testing.T, name string, leaf *Leaf, scene func(st *stage)) {
	t.Helper()
	var out string
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		here, there := net.Pipe()
		st := &stage{start: time.Now(), conn: here, leaf: leaf}
		go leaf.Serve(p)
		p.conns <- there
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				var head [4]byte
				if _, err := io.ReadFull(here, head[:]); err != nil {
					return
				}
				rest := make([]byte, binary.BigEndian.Uint32(head[:]))
				if _, err := io.ReadFull(here, rest); err != nil {
					return
				}
				line, _, _ := strings.Cut(string(rest), "\n")
				st.say("gets %q", line)
			}
		}()
		synctest.Wait()
		scene(st)
		st.say("utilisation %.3f, served %d, refused %d", leaf.Utilisation(), leaf.Served, leaf.Refused)
		p.Close()
		leaf.Stop()
		here.Close()
		<-ended
		out = strings.Join(st.out, "\n") + "\n"
	})
	golden.Check(t, name, out)
}

func (st *stage) say(format string, args ...any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.out = append(
		st.out,
		fmt.Sprintf(
			"%7.1f  %s",
			float64(time.Since(st.start).Microseconds())/1000,
			fmt.Sprintf(format, args...),
		),
	)
}

func (st *stage) call(wait int64, work map[int]float64, ids ...string) {
	var parts []codec.PartSent
	var shards []int
	for s := range work {
		shards = append(shards, s)
	}
	slices.Sort(shards)
	for i, id := range ids {
		parts = append(
			parts,
			codec.PartSent{
				ID:    id,
				Shard: shards[i%len(shards)],
				Wait:  wait,
				Text:  []byte(WorkText(work, shards)),
			},
		)
	}
	st.conn.Write(codec.AppendCall(nil, parts))
	synctest.Wait()
}

func (st *stage) pass(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond) // of the scene's time
	synctest.Wait()
}

// A leaf has cores and a queue, turns away what does not fit, drops what nobody waits for, and reports its
// load.
func TestLeaf(t *testing.T) {
	play(t, "leaf", &Leaf{Cores: 1, Speed: 0.5, Queue: 2, Overhead: 1}, func(st *stage) {
		st.call(1000, map[int]float64{0: 10, 1: 20}, "q1.0", "q1.1") // 11 and 20 ms of work, at half speed
		st.call(1000, map[int]float64{3: 5}, "q2.3")
		st.call(1000, map[int]float64{3: 5}, "q3.3") // the queue is full
		st.conn.Write(codec.AppendFrame(nil, codec.LetterLoad, ""))
		st.conn.Write(codec.AppendFrame(nil, codec.LetterProbe, ""))
		st.pass(30)
		st.conn.Write(codec.AppendFrame(nil, codec.LetterGiveUp, "q2.3"))
		st.call(20, map[int]float64{3: 5}, "q4.3") // its time is up before a core is free
		st.pass(100)
		st.leaf.Slow(3)
		st.call(1000, map[int]float64{2: 10}, "q5.2")
		st.pass(100)
		st.conn.Write(codec.AppendFrame(nil, codec.LetterCall, "nonsense\n"))
		st.pass(1)
	})
}

func TestWorkOf(t *testing.T) {
	for text, want := range map[string]float64{"work 1=2.5 3=4": 4, "work 1=2": 0, "": 0, "other": 0, "work 3=x": 0, "work 3=-1": 0} {
		if got := WorkOf(text, 3); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// The list is told whole, as nothing new, or as it changes.
func TestDiscovery(t *testing.T) {
	d := NewDiscovery(config.List{Generation: 4, Servers: []config.Server{{ID: "a"}}})
	get := func(target string) string {
		w := httptest.NewRecorder()
		d.ServeHTTP(w, httptest.NewRequest("GET", target, nil))
		return w.Body.String()
	}
	if got := get("/v1/servers"); !strings.Contains(got, `"generation":4,"reset":true`) ||
		!strings.Contains(got, `"instanceId":"a"`) {
		t.Error(got)
	}
	if got := get("/v1/servers?since=4"); !strings.Contains(got, `"reset":false,"instances":[]`) {
		t.Error(got)
	}
	d.Change(config.Server{ID: "a", Lifecycle: "terminating"})
	d.Change(config.Server{ID: "b"})
	if got := get("/v1/servers?since=4"); !strings.Contains(got, `"generation":6`) ||
		!strings.Contains(got, "terminating") ||
		!strings.Contains(got, `"instanceId":"b"`) {
		t.Error(got)
	}
}
