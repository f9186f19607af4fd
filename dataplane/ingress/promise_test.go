package ingress_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
)

// lockedBuffer takes the lines of a log from several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// promiseLine is a line of the log that tells of a promise.
type promiseLine struct {
	Message  string `json:"message"`
	Request  string `json:"request"`
	Status   string `json:"status"`
	Ground   string `json:"ground"`
	Route    string `json:"route"`
	Attempts []struct {
		Instance string `json:"instance"`
		Outcome  string `json:"outcome"`
		Cause    string `json:"cause"`
		Status   int    `json:"status"`
		Answered string `json:"answered"`
		Kept     bool   `json:"kept-connection"`
		Message  int    `json:"message"`
	} `json:"attempts"`
}

// promises gives the lines that tell of promises.
func (b *lockedBuffer) promises(t *testing.T) []promiseLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []promiseLine
	for line := range bytes.Lines(b.text.Bytes()) {
		var p promiseLine
		must.NoError(t, json.Unmarshal(line, &p))
		if p.Message == "promised that the request has not run" {
			lines = append(lines, p)
		}
	}
	return lines
}

func notExecutedWithID(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nMoleshift-Request-Id: %s\r\nMoleshift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get("Moleshift-Request-Id"))
}

// An operator who sees REFUSED has to find what the promise rested on in the log of the level info, by the request's id.
func TestPromiseTellsItsGround(t *testing.T) {
	full := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { notExecutedWithID(c, r) })
	var log lockedBuffer
	router := startWithLog(t, zerolog.New(&log).Level(zerolog.InfoLevel), full.instance("batch"))
	c := router.dial()
	for _, request := range []struct{ path, id string }{{"/once/", "a"}, {"/once/", "b"}, {"/again/", "c"}, {"/unsafe/", "d"}} {
		c.send(request.path, request.id)
		resp, _, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, 503, resp.StatusCode)
	}
	lines := log.promises(t)
	must.Len(t, 3, lines, must.Sprint("one for each request that must not run twice"))
	must.Eq(t, []string{"a", "b", "d"}, []string{lines[0].Request, lines[1].Request, lines[2].Request})
	must.Eq(t, "batch", lines[0].Route)
	must.Eq(t, "servers' word with the id", lines[1].Ground)
	must.Len(t, 1, lines[1].Attempts)
	word := lines[1].Attempts[0]
	must.Eq(t, "i1 turned away 503 b true 2", fmt.Sprint(word.Instance, " ", word.Outcome, " ", word.Status, " ", word.Answered, " ", word.Kept, " ", word.Message))
	must.Eq(t, "never sent", lines[2].Ground)
	must.SliceEmpty(t, lines[2].Attempts)
	var text strings.Builder
	router.proxy.WriteMetrics(&text)
	must.StrContains(t, text.String(), "moleshift_promises_total{ground=\"servers' word with the id\"} 3\n")
	must.StrContains(t, text.String(), "moleshift_promises_total{ground=\"never sent\"} 1\n")
}

// Guards against REFUSED by a server's own status: only Moleshift-Not-Executed and 421 say that a request has not run.
func TestStatusOfAServerIsNoPromise(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
				fmt.Fprintf(c, "HTTP/1.1 %d Own\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 4\r\n\r\nfail",
					status, r.Header.Get("Moleshift-Request-Id"))
			})
			c := start(t, s.instance("batch")).dial()
			c.send("/once/", "a")
			resp, _, _ := c.answer()
			must.Eq(t, 502, resp.StatusCode)
			must.Eq(t, "", resp.Header.Get("Moleshift-Response-Stamp"), must.Sprint("a failure with a stamp has its server's status"))
			c.send("/again/", "b")
			resp, body, _ := c.answer()
			must.Eq(t, status, resp.StatusCode, must.Sprint("what may run again is passed on as it came"))
			must.Eq(t, "st", resp.Header.Get("Moleshift-Response-Stamp"))
			must.Eq(t, "fail", body)
		})
	}
}

// Guards against TWICE and REFUSED by the beginning of a surplus answer: the answer behind it was read as the rest of its head.
func TestHeadsThatRunTogetherAreNoPromise(t *testing.T) {
	own := map[string]string{
		"":                       "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: second\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 4\r\n\r\nfine",
		", with the same fields": "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nServer: s\r\nMoleshift-Request-Id: second\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine",
	}
	for kind, surplus := range map[string]string{
		"turned away": "HTTP/1.1 503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\nServer: s\r\nContent-Type: text/plain\r\nMoleshift-Request-Id: first\r\nConnection: close\r\nX: y\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nServer: s\r\nContent-Type: text/plain\r\nSet-Cookie: a=b\r\nContent-Length: 0\r\n\r\n",
		"failed":      "HTTP/1.1 503 Service Unavailable\r\nConnection: keep-alive\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
	} {
		for form, answer := range own {
			for cut := 1; cut < len(surplus); cut++ {
				checkRunTogether(t, kind+form, surplus[:cut], answer)
			}
		}
	}
}

// checkRunTogether has a server send the beginning of an answer to a first request, and the answer to the second right behind it.
func checkRunTogether(t *testing.T, name, begun, answer string) {
	t.Helper()
	other := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "of another server") })
	defer other.close()
	var router *router
	s := serve(t, "i1", func(c net.Conn, n int, r *http.Request, _ string) {
		if n == 0 {
			ok(c, r, "fine")
			return
		}
		router.update(func(s *follower.Snapshot) {
			s.Instances["batch"] = append(slices.Clone(s.Instances["batch"]), other.instance("batch"))
		})
		io.WriteString(c, begun+answer)
		c.Close()
	})
	defer s.close()
	router = start(t, s.instance("batch"))
	c := router.dial()
	defer c.conn.Close()
	for _, id := range []string{"first", "second"} {
		c.send("/once/", id)
		resp, _, err := c.answer()
		must.NoError(t, err)
		if id == "second" && resp.StatusCode != 502 {
			t.Errorf("%s, broken off behind %q: %d", name, begun, resp.StatusCode)
		}
	}
	must.Len(t, 0, other.seen(), must.Sprintf("%s, broken off behind %q: a request that the first server runs must not be sent to a second", name, begun))
}

// Guards against waiting for an own answer where none is due: on a new connection an answer without an id is its server's only one.
func TestAnswerWithoutIDOnANewConnectionEndsTheAttempt(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, _ *http.Request, _ string) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 0\r\n\r\n")
	})
	c := start(t, s.instance("batch")).dial()
	c.send("/once/", "a")
	resp, _, _ := c.answer()
	must.Eq(t, 502, resp.StatusCode)
}
