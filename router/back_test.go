package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"moleshift/config"
)

// single is a listener of one connection.
type single struct {
	conn net.Conn
	once sync.Once
	done chan struct{}
}

func (s *single) Accept() (c net.Conn, err error) {
	err = net.ErrClosed
	s.once.Do(func() { c, err = s.conn, nil })
	if err != nil {
		<-s.done
	}
	return c, err
}
func (s *single) Close() error   { return nil }
func (s *single) Addr() net.Addr { return &net.UnixAddr{Name: "leaf"} }

// searchAt puts a leaf that speaks the form of OpenSearch in its place: what it answers, item by item, act
// says; nil: it says nothing.
func (st *stage) searchAt(name string, act func(shard string) string) {
	st.places[at(name)] = func(conn net.Conn) error {
		st.say("leaf %s: connection", name)
		l := &single{conn: conn, done: make(chan struct{})}
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			lines := strings.Split(strings.TrimSuffix(string(body), "\n"), "\n")
			st.say("leaf %s: gets %s %s %q", name, r.Method, r.URL, lines)
			if r.URL.Path == "/" {
				return
			}
			// Or which answers first would be chance.
			time.Sleep(time.Duration(name[0]-'A') * time.Millisecond)
			var items []string
			for i := 0; i < len(lines); i += 2 {
				_, shard, _ := strings.Cut(lines[i], "_shards:")
				item := act(shard[:strings.IndexByte(shard, '"')])
				if item == "" {
					<-r.Context().Done()
					return
				}
				items = append(items, item)
			}
			fmt.Fprintf(w, `{"responses":[%s]}`, strings.Join(items, ","))
		})
		go http.Serve(l, handler)
		context.AfterFunc(st.owner.ctx, func() { close(l.done) })
		return nil
	}
}

func goodItem(shard string) string {
	return fmt.Sprintf(
		`{"status":200,"_shards":{"failed":0},"hits":{"total":{"value":1},"hits":[{"_id":"h%s","_score":1}]}}`,
		shard,
	)
}

// Leaves that speak the form: parts of a call share a request, each item is an outcome of its own, a part
// turned away is asked again elsewhere, one that may have run is not where it may run once only, and what is
// given up as a whole ends the connection.
func TestSearchLeaves(t *testing.T) {
	change := func(c *config.Config) {
		searchable(c)
		c.More.OpenSearch.Leaves = true
	}
	play(t, "search-leaves", 2, change, func(st *stage) {
		var mu sync.Mutex
		how := map[string]string{}
		set := func(shard, item string) {
			mu.Lock()
			defer mu.Unlock()
			how[shard] = item
		}
		act := func(shard string) string {
			mu.Lock()
			defer mu.Unlock()
			switch h := how[shard]; h {
			case "":
				return goodItem(shard)
			case "silent":
				return ""
			default:
				delete(how, shard)
				return h
			}
		}
		st.searchAt("A", act)
		st.searchAt("B", act)
		st.serve()
		newSearching(st.owner)
		ctx := context.Background()
		st.search(ctx, "/docs/_search", "")
		st.pass(20)
		set("1", `{"status":429,"error":{}}`)
		st.search(ctx, "/files/_search", "")
		st.pass(20)
		set("1", `{"status":200,"_shards":{"failed":1},"hits":{}}`)
		st.search(ctx, "/files/_search", "")
		st.pass(20)
		set("2", `{"status":200,"_shards":{"failed":1},"hits":{}}`)
		st.search(ctx, "/docs/_search", "")
		st.pass(20)
		st.ask(
			st.connect(),
			request("native", "search", 2000, 0),
		) // a text that no server of the form could read
		st.pass(20)
		set("1", "silent")
		st.search(ctx, "/docs/_search?timeout=300ms", "")
		st.pass(400)
		set("1", "")
		st.search(ctx, "/docs/_search", "")
		st.pass(100)
	})
}
