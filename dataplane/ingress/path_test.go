package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
	"moleshift/peer"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, "got "+body) })
	router := start(t, s.instance("batch"))
	c := router.dial()
	for n := range 3 {
		c.send("/once/x?q=1&q=%20", fmt.Sprint("id", n), "X-Other: kept", "Connection: X-Drop", "X-Drop: 1")
		resp, body, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "got body", body)
		must.Eq(t, "st", resp.Header.Get("Moleshift-Response-Stamp"))
	}
	must.Eq(t, 1, s.conns, must.Sprint("connections to servers are kept"))
	r := s.seen()[0]
	must.Eq(t, "/once/x?q=1&q=%20", r.RequestURI)
	must.Eq(t, "h", r.Host)
	must.Eq(t, "kept", r.Header.Get("X-Other"))
	must.Eq(t, "", r.Header.Get("X-Drop"))
	must.Eq(t, "", r.Header.Get("Authorization"))
	must.Eq(t, []string{"walled"}, r.Header["Moleshift-Tenant-Id"])
	must.Eq(t, "i1", r.Header.Get("Moleshift-Expect-Instance"))
}

func TestChunkedRequestIsPassedWithLength(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, body) })
	c := start(t, s.instance("batch")).dial()
	io.WriteString(c.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: a\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, "abcde", body)
}

func TestOwnAnswers(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, body) })
	router := start(t, s.instance("batch"))
	for _, row := range []struct {
		path, key string
		status    int
	}{{"/nowhere/", "Token key", 404}, {"/once/", "Token other", 401}, {"/stream/", "Token key", 503}} {
		c := router.dial()
		io.WriteString(c.conn, "POST "+row.path+" HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: a\r\nAuthorization: "+row.key+"\r\nContent-Length: 0\r\n\r\n")
		resp, _, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, row.status, resp.StatusCode)
		must.Eq(t, row.status == 503, resp.Header.Get("Retry-After") != "")
	}
	router.update(func(s *follower.Snapshot) { s.Lease, s.Confirmed = time.Second, time.Now().Add(-time.Second) })
	c := router.dial()
	c.send("/once/", "a")
	resp, _, _ := c.answer()
	must.Eq(t, 503, resp.StatusCode, must.Sprint("a configuration that may be out of date serves no keyed route"))
	must.Len(t, 0, s.seen())
}

func TestTurnedAwayGoesToAnother(t *testing.T) {
	full := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { notExecuted(c) })
	other := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, full.instance("batch"), other.instance("batch"))
	for n := range 6 {
		c := router.dial()
		c.send("/once/", fmt.Sprint(n))
		resp, body, _ := c.answer()
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "fine", body)
	}
	alone := start(t, full.instance("batch")).dial()
	alone.send("/once/", "x")
	resp, _, _ := alone.answer()
	must.Eq(t, 503, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
}

func TestBrokenIsSentOnceUnlessRepeatable(t *testing.T) {
	broken := serve(t, "i1", func(c net.Conn, _ int, _ *http.Request, _ string) { c.Close() })
	other := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) { c.Close() })
	router := start(t, broken.instance("batch"), other.instance("batch"))
	c := router.dial()
	c.send("/once/", "a")
	resp, _, _ := c.answer()
	must.Eq(t, 502, resp.StatusCode)
	must.Eq(t, 1, len(broken.seen())+len(other.seen()))
	c.send("/again/", "b")
	resp, _, _ = c.answer()
	must.Eq(t, 502, resp.StatusCode)
	must.Eq(t, 3, len(broken.seen())+len(other.seen()))
}

func TestDeadServerIsNotTried(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	l.Close()
	dead := peer.Instance{ID: "dead", Service: "batch", Address: l.Addr().String(), Zone: "a"}
	s := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, dead, s.instance("batch"))
	for n := range 5 {
		c := router.dial()
		c.send("/once/", fmt.Sprint(n))
		resp, _, _ := c.answer()
		must.Eq(t, 200, resp.StatusCode)
	}
}

func TestSurplusAnswersBelongToNobody(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, n int, r *http.Request, _ string) {
		ok(c, r, fmt.Sprint("answer ", n))
		if n == 0 {
			ok(c, r, "a second answer to the first request")
		}
	})
	c := start(t, s.instance("batch")).dial()
	for n := range 3 {
		c.send("/once/", fmt.Sprint("id", n))
		resp, body, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, fmt.Sprint("answer ", n), body)
	}
}

// Guards against TWICE and REFUSED by a surplus answer: one that turns an earlier request away, or has no id, was taken for the answer
// to the next request, which went to a second server while the first ran it.
func TestSurplusAnswerThatTurnsAwayBelongsToNobody(t *testing.T) {
	const head = "Moleshift-Request-Id: first\r\n"
	for name, row := range map[string]struct {
		surplus string
		status  int // of the answer that the client gets
	}{
		"full":                         {"503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\n" + head, 200},
		"too many requests":            {"429 Too Many Requests\r\nMoleshift-Not-Executed: 1\r\n" + head, 200},
		"no id in the request":         {"400 Bad Request\r\nMoleshift-Not-Executed: 1\r\n" + head, 200},
		"another instance":             {"421 Misdirected Request\r\nMoleshift-Instance-Id: i9\r\n" + head, 200},
		"a failure of its own":         {"500 Internal Server Error\r\nMoleshift-Response-Stamp: st\r\n" + head, 200},
		"without an id, full":          {"503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\n", 200},
		"without an id, misdirected":   {"421 Misdirected Request\r\n", 200},
		"without an id, with success":  {"200 OK\r\nMoleshift-Response-Stamp: st\r\n", 200},
		"without an id, not executed":  {"200 OK\r\nMoleshift-Not-Executed: 1\r\n", 502},
		"without an id, its own error": {"500 Internal Server Error\r\nMoleshift-Response-Stamp: st\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			other := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "of another server") })
			var router *router
			s := serve(t, "i1", func(c net.Conn, n int, r *http.Request, _ string) {
				if n > 0 {
					router.update(func(s *follower.Snapshot) {
						s.Instances["batch"] = append(slices.Clone(s.Instances["batch"]), other.instance("batch"))
					})
					io.WriteString(c, "HTTP/1.1 "+row.surplus+"Content-Length: 0\r\n\r\n")
				}
				ok(c, r, "fine")
			})
			router = start(t, s.instance("batch"))
			c := router.dial()
			for _, id := range []string{"first", "second"} {
				c.send("/once/", id)
				resp, _, err := c.answer()
				must.NoError(t, err)
				if id == "second" {
					must.Eq(t, row.status, resp.StatusCode)
				}
			}
			must.Len(t, 2, s.seen())
			must.Len(t, 0, other.seen(), must.Sprint("a request that the first server runs must not be sent to a second"))
		})
	}
}

func TestAnswersThatAreNone(t *testing.T) {
	for name, text := range map[string]string{
		"garbage":           "\x00\x01\x02 this is no answer\r\n\r\n",
		"cut in the head":   "HTTP/1.1 200 OK\r\nMoleshift-Req",
		"cut in the body":   "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: a\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 10\r\n\r\nhalf",
		"of another":        "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: b\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 2\r\n\r\nok",
		"a wrong chunk":     "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
		"chunks that break": "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", func(c net.Conn, _ int, _ *http.Request, _ string) {
				io.WriteString(c, text)
				c.Close()
			})
			c := start(t, s.instance("batch")).dial()
			c.send("/once/", "a")
			resp, _, _ := c.answer()
			must.Eq(t, 502, resp.StatusCode)
		})
	}
}

func TestServersOwnFailureKeepsStatusAndStamp(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 4\r\n\r\nfail", r.Header.Get("Moleshift-Request-Id"))
	})
	c := start(t, s.instance("batch")).dial()
	c.send("/once/", "a")
	resp, body, _ := c.answer()
	must.Eq(t, 500, resp.StatusCode)
	must.Eq(t, "st", resp.Header.Get("Moleshift-Response-Stamp"))
	must.Eq(t, "fail", body)
}

func TestTimeoutOfTheRoute(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, "i1", func(net.Conn, int, *http.Request, string) { <-release })
	c := start(t, s.instance("batch")).dial()
	began := time.Now()
	c.send("/short/", "a")
	resp, _, _ := c.answer()
	close(release)
	must.Eq(t, 504, resp.StatusCode)
	must.Between(t, 140*time.Millisecond, time.Since(began), 2*time.Second)
}

// A client that goes has its request ended at the server.
func TestClientThatGoes(t *testing.T) {
	ended := make(chan error, 1)
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		streamHead(c, r)
		chunk(c, event(1))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	c := start(t, s.instance("llm")).dial()
	c.send("/unsafe/", "a", "Moleshift-Model-Id: m")
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(event(1))))
	must.NoError(t, err)
	c.conn.Close()
	select {
	case err := <-ended:
		must.Error(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the server was not told")
	}
}

func TestLimitsOnRequests(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "") })
	router := start(t, s.instance("batch"))
	for name, row := range map[string]struct {
		text   string
		status int
	}{
		"no request":    {"this is no request\r\n\r\n", 400},
		"head too long": {"POST /once/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", 413},
		"body too long": {"POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n", 413},
		"no id":         {"POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token key\r\nContent-Length: 0\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := router.dial()
			go io.WriteString(c.conn, row.text)
			resp, _, _ := c.answer()
			must.Eq(t, row.status, resp.StatusCode)
		})
	}
	must.Len(t, 0, s.seen())
}
