package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	api "github.com/opensearch-project/opensearch-go/v4"
	"github.com/opensearch-project/opensearch-go/v4/opensearchapi"

	"moleshift/config"
	"moleshift/front/opensearch"
)

func searchable(c *config.Config) {
	c.More.OpenSearch = config.OpenSearch{
		Enabled: true,
		Tenant:  "X-Customer",
		Indices: []config.Index{{Name: "docs", Vertical: "search", Shards: "0-2"},
			{Name: "files", Vertical: "file", Shards: "1"}, {Name: "most", Vertical: "any", Shards: "0-3"}},
	}
	s := c.Settings
	s.Verticals = append(s.Verticals, "any")
	v := s.Module.Verticals[0]
	v.Need, v.Floor = 0.75, 0.75
	s.Module.Verticals = append(s.Module.Verticals[:len(s.Module.Verticals):len(s.Module.Verticals)], v)
}

// finds answers a part with one hit of its shard; how may change what a part gets.
func finds(how map[string]string) func(int, string, net.Conn) {
	var mu sync.Mutex // of several leaves
	return func(_ int, frame string, conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		if frame[0] != 'D' {
			return
		}
		for _, id := range ids(frame) {
			shard := id[strings.LastIndexByte(id, '.')+1:]
			switch h := how[shard]; h {
			case "silent":
			case "", "inside":
				failed := 0
				if h == "inside" {
					failed = 1
				}
				sendFrame(
					conn,
					fmt.Sprintf(
						`O%s 200 1 -`+"\n"+`{"_shards":{"failed":%d},"hits":{"total":{"value":1},"hits":[{"_id":"h%s","_score":1}]}}`,
						id,
						failed,
						shard,
					),
				)
			default:
				sendFrame(conn, "O"+id+" "+h+" 1 -\n")
				delete(how, shard) // once
			}
		}
	}
}

// search makes a request of the other front, and prints what comes back.
func (st *stage) search(ctx context.Context, target, body string) {
	req := httptest.NewRequestWithContext(ctx, "POST", target, strings.NewReader(body))
	req.Header.Set("X-Customer", "acme")
	rec := httptest.NewRecorder()
	go func() {
		st.owner.searching.front.ServeHTTP(rec, req)
		text := rec.Body.String()
		if i := strings.Index(text, `"took":`); i >= 0 { // how long is the clock's matter
			text = text[:i] + text[i+strings.IndexByte(text[i:], ',')+1:]
		}
		st.say("search %s: %d %s", target, rec.Code, text)
	}()
	st.step()
}

// Searches of the other front go the owner's own way: one final answer each, a side-effecting part is never
// run again, an any-n answer says that it is one, and a client that leaves is heard of.
func TestSearches(t *testing.T) {
	play(t, "searches", 2, searchable, func(st *stage) {
		how := map[string]string{}
		act := finds(how)
		st.leafAt("A", act)
		st.leafAt("B", act)
		st.serve()
		newSearching(st.owner)
		ctx := context.Background()
		st.search(ctx, "/docs/_search", `{"size":2}`)
		how["1"] = "503" // never run: asked again
		st.search(ctx, "/files/_search", "")
		how["1"] = "500" // may have run: not asked again
		st.search(ctx, "/files/_search", "")
		how["2"] = "inside"
		st.search(ctx, "/docs/_search", "")
		delete(how, "2")
		how["1"] = "silent"
		st.search(ctx, "/most/_search", "")
		st.search(ctx, "/docs/_count?timeout=100ms", "")
		st.pass(200)
		left, leave := context.WithCancel(ctx)
		st.search(left, "/docs/_search", "")
		leave()
		st.pass(100)
		how["1"] = ""
		st.search(ctx, "/docs/_search", "")
		st.pass(2600)
	})
}

// throughFront is a transport that ends at the front.
type throughFront struct{ st *stage }

func (f throughFront) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	rec := httptest.NewRecorder()
	f.st.owner.searching.front.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// An unmodified client library, through the real owner: a search, the page behind it, a bulk, and a
// side-effecting one that fails and that the library does not ask again of itself.
func TestClientLibrary(t *testing.T) {
	play(t, "client-library", 1, searchable, func(st *stage) {
		how := map[string]string{}
		st.leafAt("A", finds(how))
		st.serve()
		newSearching(st.owner)
		client, err := opensearchapi.NewClient(
			opensearchapi.Config{Client: api.Config{Addresses: []string{"http://router"},
				Header: http.Header{"X-Customer": {"acme"}}, Transport: throughFront{st}}},
		)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		search := func(index, body string) {
			r, err := client.Search(
				context.Background(),
				&opensearchapi.SearchReq{Indices: []string{index}, Body: strings.NewReader(body)},
			)
			if err != nil {
				st.say("search %s %s: %.60s", index, body, err.Error())
				return
			}
			st.say(
				"search %s %s: %d hits, %d shown, %d of %d shards",
				index,
				body,
				r.Hits.Total.Value,
				len(r.Hits.Hits),
				r.Shards.Successful,
				r.Shards.Total,
			)
		}
		search("docs", `{"size":2}`)
		search("docs", `{"size":2,"from":2}`)
		how["1"] = "500"
		search("files", `{}`)
		r, err := client.MSearch(
			context.Background(),
			opensearchapi.MSearchReq{Body: strings.NewReader("{\"index\":\"docs\"}\n{}\n")},
		)
		if err != nil {
			t.Fatal(err)
		}
		for _, one := range r.Responses {
			st.say("of several: %d hits", one.Hits.Total.Value)
		}
		st.step()
	})
}

// A vertical or a tenant that nobody knows is an error of the asker's.
func TestSearchFaults(t *testing.T) {
	play(t, "search-faults", 1, searchable, func(st *stage) {
		st.leafAt("A", finds(map[string]string{}))
		st.serve()
		s := newSearching(st.owner)
		for _, q := range []opensearch.Question{{Vertical: "nobody's", Tenant: "acme"}, {Vertical: "search", Tenant: "nobody"}} {
			q.Shards = []int{0}
			_, err := s.Ask(context.Background(), &q)
			st.say("%v", err)
		}
		for _, l := range s.leaves() {
			st.say("leaf %s serves %v, holds %v", l.ID, l.Serves, l.Shards)
		}
	})
}
