package rights

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"moleshift/capture"
	"moleshift/internal/wholefile"
	"moleshift/lease"
	"moleshift/shardmap"
	"moleshift/work"
)

// circuit brings messages from driver to driver.
type circuit struct {
	mu   sync.Mutex
	ends []*Driver
}

func (c *circuit) to(seat int, b []byte) {
	c.mu.Lock()
	d := c.ends[seat]
	c.mu.Unlock()
	if d != nil {
		d.Message(b)
	}
}

type end struct {
	c    *circuit
	seat int
}

func (e end) Send(seat int, b []byte) { e.c.to(seat, b) }
func (e end) Broadcast(b []byte) {
	for seat := range e.c.ends {
		if seat != e.seat {
			e.c.to(seat, b)
		}
	}
}

// Three drivers share a hook's steps: each comes once, under tokens that grow, also as holders are told to end, a right is paused and
// none has it, and what was kept comes to the next one.
func TestHookIsHandedOn(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var mu sync.Mutex
	var calls []Call
	var fence lease.Fence
	came := make(chan Call, 1000)
	hook := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c Call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil || r.Header.Get(TokenHeader) != fmt.Sprint(c.Token) {
			t.Error(err, r.Header)
		}
		mu.Lock()
		defer mu.Unlock()
		if !fence.Pass(c.Right, lease.Token(c.Token)) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		calls = append(calls, c)
		json.NewEncoder(w).Encode(Answer{State: fmt.Appendf(nil, "after %d", c.Step), Done: true})
		came <- c
	}))
	defer hook.Close()
	defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	c := &circuit{ends: make([]*Driver, 3)}
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	rights := func(paused bool) []Right {
		return []Right{{Right: lease.Right{Name: "x", Paused: paused}, Do: Hook(hook.URL, "n"),
			Job: work.Job{Name: "x", Every: 20 * lease.Millisecond, Deadline: 1000 * lease.Millisecond}}}
	}
	for seat := range 3 {
		d, err := New(Settings{Lease: lease.Settings{Seat: seat, Size: 3, Lease: 400 * lease.Millisecond, Beat: 100 * lease.Millisecond,
			Skew: 20 * lease.Millisecond, Seed: uint64(seat)}, State: filepath.Join(t.TempDir(), "p.db"), Cluster: "c", Name: "n",
			Rights: rights(false)}, end{c, seat}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.ends[seat] = d
		c.mu.Unlock()
	}
	for _, d := range c.ends {
		all.Go(func() { d.Run(ctx) })
	}
	first := <-came
	holder := func() *Driver {
		for {
			for _, d := range c.ends {
				if _, _, is := d.look("x"); is {
					return d
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	was := holder()
	was.Leave()
	<-was.Ended()
	next := <-came
	for next.Token == first.Token || len(next.State) == 0 {
		next = <-came
	}
	if next.Token < first.Token {
		t.Errorf("%+v and then %+v", first, next)
	}
	for _, d := range c.ends {
		d.Reload(rights(true), work.Settings{})
	}
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		idle = true
		for _, d := range c.ends {
			if _, _, is := d.look("x"); is && d != was {
				idle = false
			}
		}
	}
	for len(came) > 0 {
		<-came
	}
	for _, d := range c.ends {
		if d != was {
			d.Reload(rights(false), work.Settings{})
		}
	}
	again := <-came
	if again.Token <= next.Token {
		t.Errorf("%+v and then %+v", next, again)
	}
	s, err := holder().Status(ctx)
	if err != nil || len(s.Rights) != 1 || !s.Rights[0].Mine || s.Rights[0].Token != again.Token || s.Jobs[0].Steps == 0 {
		t.Errorf("%+v %v", s, err)
	}
	stop()
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < len(calls); i++ {
		a, b := calls[i-1], calls[i]
		if b.Token < a.Token || b.Step != a.Step && b.Step != a.Step+1 || b.Token == a.Token && b.Step == a.Step && b.Try == a.Try {
			t.Errorf("%+v and then %+v", a, b)
		}
	}
}

// A file of promises is whole, or it is another's, or in use, or damaged in whatever way: each is told as what it is, and a damaged one is
// set aside, never believed.
func TestMemory(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "p.db")
	open := func(seat int) (*memory, error) { return openMemory(path, "c", seat, zerolog.Nop()) }
	m, err := open(1)
	if err != nil || !m.mem.Forgot {
		t.Fatal(m, err)
	}
	kept := lease.Kept{Floor: 7, By: 6, Seq: 5, Value: []byte("so far")}
	if err := errors.Join(m.promise(1<<40), m.keep("x", kept)); err != nil {
		t.Fatal(err)
	}
	openWithin = 50 * time.Millisecond
	if _, err := open(1); err == nil || !strings.Contains(err.Error(), "another process has it") {
		t.Error(err)
	}
	m.close()
	if _, err := open(2); err == nil || !strings.Contains(err.Error(), "must not be copied") {
		t.Error(err)
	}
	m, err = open(1)
	if err != nil || m.mem.Forgot || m.mem.Floor != 1<<40 || string(m.mem.Kept["x"].Value) != "so far" || m.mem.Kept["x"].Floor != 7 {
		t.Fatalf("%+v %v", m, err)
	}
	m.close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if m, err = open(1); err != nil { // a disk that takes nothing: no promise is made, and what was promised stands
		t.Fatal(err)
	}
	m.f.Close()
	if m.promise(1<<42) == nil || m.keep("x", lease.Kept{Value: []byte("more")}) == nil || m.mem.Floor != 1<<40 {
		t.Errorf("promised on a disk that takes nothing: %+v", m.mem)
	}
	m.close()
	if m, err = open(1); err != nil || m.mem.Floor != 1<<40 || string(m.mem.Kept["x"].Value) != "so far" {
		t.Fatalf("%+v %v", m, err)
	}
	m.close()
	forgot, tried := 0, 0
	for at := range whole { // short, and with a stretch of other bytes
		for _, text := range [][]byte{whole[:at], slices.Concat(whole[:at], bytes.Repeat([]byte{0xa5}, min(9, len(whole)-at)),
			whole[min(at+9, len(whole)):])} {
			tried++
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			m, err := open(1)
			if err != nil {
				t.Errorf("damage at %d: %v", at, err)
				continue
			}
			k, has := m.mem.Kept["x"]
			if has && (string(k.Value) != "so far" || k.Floor != 7) || m.mem.Floor != 0 && m.mem.Floor != 1<<40 {
				t.Errorf("damage at %d: believed %+v", at, m.mem)
			}
			if m.mem.Forgot {
				forgot++
			}
			if err := m.promise(1 << 41); err != nil {
				t.Errorf("damage at %d: %v", at, err)
			}
			m.close()
		}
	}
	if forgot < tried-2 { // a file that ends where a record does can't be told from one of before: there are two such places
		t.Errorf("%d of %d damaged files were taken for whole", tried-forgot, tried)
	}
}

// Files: a smaller token does nothing, one at a time has the fence, captures are put together once, and a snapshot that went back is told.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	did := 0
	do := func() error { did++; return nil }
	for _, step := range []struct {
		t    lease.Token
		want error
	}{{5, nil}, {5, nil}, {9, nil}, {5, ErrOvertaken}, {1 << 60, nil}, {9, ErrOvertaken}} {
		if err := Fenced(t.Context(), dir, "a/b", step.t, do); !errors.Is(err, step.want) {
			t.Errorf("token %d: %v", step.t, err)
		}
	}
	if did != 4 {
		t.Errorf("done %d times", did)
	}
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := Fenced(t.Context(), dir, "a/b", 1<<60, func() error { return Fenced(short, dir, "a/b", 1<<61, do) }); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
	old := time.Now().Add(-time.Hour)
	for i := range 3 {
		path := filepath.Join(dir, fmt.Sprintf("r%d.molecap", i))
		err := wholefile.Write(path, func(out io.Writer) error {
			w, err := capture.NewWriter(out, capture.Header{Begun: old, Router: "r", Sample: 1, Shards: 4})
			if err != nil {
				return err
			}
			if err := w.Add(&capture.Query{At: int64(i), Key: uint64(i) + 1}); err != nil {
				return err
			}
			return w.Flush()
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, old, old); err != nil {
			t.Fatal(err)
		}
	}
	held := func() (lease.Token, time.Duration, bool) { return 3, time.Second, true }
	task := Captures(dir)
	if r := task(t.Context(), work.Step{Job: "c", Token: 3}, held); r.Err != "" || r.Done || r.Overtaken {
		t.Errorf("%+v", r)
	}
	if r := task(t.Context(), work.Step{Job: "c", Token: 3}, held); r.Err != "" || !r.Done {
		t.Errorf("%+v", r)
	}
	if r := task(t.Context(), work.Step{Job: "c", Token: 2}, held); !r.Overtaken {
		t.Errorf("%+v", r)
	}
	names, _ := filepath.Glob(filepath.Join(dir, "*.molecap"))
	if len(names) != 1 {
		t.Fatal(names)
	}
	f, err := os.Open(names[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, queries, err := capture.ReadAll(f); err != nil || len(queries) != 3 {
		t.Error(len(queries), err)
	}
	path := filepath.Join(dir, "map")
	check := Snapshot(path)
	if r := check(t.Context(), work.Step{Job: "s", Token: 3}, held); r.Err == "" {
		t.Error("a snapshot that is not there is in order")
	}
	if err := os.WriteFile(path, mapOf(t, 4), 0o600); err != nil {
		t.Fatal(err)
	}
	r := check(t.Context(), work.Step{Job: "s", Token: 3}, held)
	if r.Err != "" || string(r.State) != "4" {
		t.Errorf("%+v", r)
	}
	if r := check(t.Context(), work.Step{Job: "s", Token: 3, State: []byte("5")}, held); !strings.Contains(r.Err, "version 4, it had been 5") {
		t.Errorf("%+v", r)
	}
}

func mapOf(t *testing.T, version int64) []byte {
	m := &shardmap.Map{Version: version, Shards: []shardmap.Shard{{Range: shardmap.Range{To: shardmap.Space},
		Holders: []shardmap.Holder{{Leaf: "l", State: shardmap.Serving}}}}}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A right that is only held gets a job by new settings: the job is done, under a tenure of its own. Settings that can't be taken change
// nothing.
func TestJobComesLater(t *testing.T) {
	came := make(chan Call, 100)
	hook := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c Call
		if json.NewDecoder(r.Body).Decode(&c) == nil {
			came <- c
		}
	}))
	defer hook.Close()
	right := Right{Right: lease.Right{Name: "x"}, Job: work.Job{Name: "x", Every: 100 * lease.Millisecond, Deadline: 1000 * lease.Millisecond}}
	d, err := New(Settings{Lease: lease.Settings{Size: 1, Lease: 400 * lease.Millisecond, Beat: 100 * lease.Millisecond}, Name: "n",
		Rights: []Right{right}}, end{&circuit{ends: make([]*Driver, 1)}, 0}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var ran sync.WaitGroup
	ran.Go(func() { d.Run(ctx) })
	var before lease.Token
	for held := false; !held; time.Sleep(time.Millisecond) {
		before, _, held = d.look("x")
	}
	d.Reload([]Right{right, right}, work.Settings{})
	right.Do = Hook(hook.URL, "n")
	d.Reload([]Right{right}, work.Settings{})
	if c := <-came; lease.Token(c.Token) <= before {
		t.Errorf("token %d after %d", c.Token, before)
	}
	stop()
	ran.Wait()
}
