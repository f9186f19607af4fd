package ingress_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
	"moleshift/peer"
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
	Status   int    `json:"status"`
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

// Guards against a promise made from our own state: a byte of the request has left, and the rest can't be written before its time is over.
func TestNoPromiseOnceAByteHasLeft(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	begun := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(begun)
			return
		}
		_, _ = c.Read(make([]byte, 1)) // and no more of it
		begun <- c
	}()
	var log lockedBuffer
	router := startWithLog(t, zerolog.New(&log), peer.Instance{ID: "i1", Service: "batch", Address: l.Addr().String(), Zone: "a"})
	c := router.dial()
	const size = 4_000_000 // more than the connection's buffers take
	fmt.Fprintf(c.conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: a\r\nAuthorization: Token key\r\nContent-Length: %d\r\n\r\n", size)
	_, err = c.conn.Write(make([]byte, size))
	must.NoError(t, err)
	resp, _, _ := c.answer()
	server := <-begun
	must.NotNil(t, server)
	server.Close()
	must.Eq(t, 504, resp.StatusCode)
	must.SliceEmpty(t, log.promises(t))
}

// Guards against TWICE and REFUSED by a surplus answer that breaks off within its body: its length takes bytes of the answer behind it.
func TestSurplusAnswerThatBreaksOffWithinItsBodyIsNoPromise(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: second\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 4\r\n\r\nfine"
	for length := 3; length < len(answer)+2*len("or"); length++ {
		head := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\nMoleshift-Request-Id: first\r\nContent-Length: %d\r\n\r\n", length)
		checkRunTogether(t, fmt.Sprint("a body of ", length), head+"or", answer)
	}
}

// A server that turns a long body away before it has come reads on, and its connection carries the next request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	var turned atomic.Bool
	var early *scripted
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	early = &scripted{id: "i1", listener: l}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.ContentLength > 1000 && turned.CompareAndSwap(false, true) {
				notExecutedWithID(c, r)
				_, _ = io.Copy(io.Discard, r.Body)
				continue
			}
			body, _ := io.ReadAll(r.Body)
			ok(c, r, fmt.Sprint(len(body), " bytes"))
		}
	}()
	router := start(t, early.instance("batch"))
	c := router.dial()
	for n, request := range []struct{ size, status int }{{300_000, 503}, {5, 200}, {300_000, 200}} {
		fmt.Fprintf(c.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: %d\r\nAuthorization: Token key\r\nContent-Length: %d\r\n\r\n", n, request.size)
		_, err := c.conn.Write(make([]byte, request.size))
		must.NoError(t, err)
		resp, body, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, request.status, resp.StatusCode)
		if request.status == 200 {
			must.Eq(t, fmt.Sprint(request.size, " bytes"), body)
		}
	}
	router.update(func(s *follower.Snapshot) { s.Instances["batch"] = nil })
	l.Close()
	<-ended
}

// Requests that come before the answer to the one ahead of them are answered in their order, each with its own id.
func TestRequestsThatComeEarlyAreAnsweredInOrder(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		ok(c, r, "of "+r.Header.Get("Moleshift-Request-Id"))
	})
	c := start(t, s.instance("batch")).dial()
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		path := "/once/"
		if id == "b" {
			path = "/unsafe/" // no server
		}
		c.send(path, id)
	}
	for _, id := range ids {
		resp, body, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, id, resp.Header.Get("Moleshift-Request-Id"))
		must.Eq(t, id == "b", resp.StatusCode == 503)
		must.True(t, id == "b" || body == "of "+id)
	}
}
