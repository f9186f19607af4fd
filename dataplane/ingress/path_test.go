package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"moleshift/controlplane/configuration"
	"moleshift/dataplane/follower"
	"moleshift/dataplane/ingress"
	"moleshift/dataplane/proxy"
	"moleshift/dataplane/routing"
	"moleshift/peer"
	"moleshift/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const configurationText = `{"version":1,"routes":[
{"name":"batch","host":"h","path-prefix":"/once/","route-type":"non_idempotent","timeout-ms":3000,"target-latency-ms":300,"service":"batch","max-attempts":1},
{"name":"again","host":"h","path-prefix":"/again/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":300,"service":"batch","max-attempts":2},
{"name":"stream","host":"h","path-prefix":"/stream/","route-type":"streaming","timeout-ms":5000,"target-latency-ms":300,"service":"llm","max-attempts":2,"resumable":true,"gap_aim_ms":300},
{"name":"unsafe","host":"h","path-prefix":"/unsafe/","route-type":"streaming","timeout-ms":3000,"target-latency-ms":300,"service":"llm","max-attempts":1},
{"name":"short","host":"h","path-prefix":"/short/","route-type":"non_idempotent","timeout-ms":150,"service":"batch","max-attempts":1}],
"services":[{"name":"batch","max-connections":100},{"name":"llm","max-connections":100,"engine":{"slots":8,"kv-capacity-tokens":10000,"models":[{"name":"m"}]}}],
"tenants":[{"name":"walled","api-keys":["key"],"isolated":true}]}`

// mostClients is how many connections the routers of the tests hold.
const mostClients = 100

// scripted is a server that plays one script for each request that it gets; after the last it repeats it.
type scripted struct {
	t        testing.TB
	listener net.Listener
	id       string
	play     func(c net.Conn, n int, r *http.Request, body string)

	mu       sync.Mutex
	requests []*http.Request
	conns    int
	open     []net.Conn
	done     sync.WaitGroup
}

func serve(t testing.TB, id string, play func(c net.Conn, n int, r *http.Request, body string)) *scripted {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scripted{t: t, listener: l, id: id, play: play}
	s.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.open = append(s.open, c)
			s.mu.Unlock()
			s.done.Go(func() { s.conn(c) })
		}
	})
	t.Cleanup(s.close)
	return s
}

// close ends the server and its connections.
func (s *scripted) close() {
	s.listener.Close()
	s.mu.Lock()
	for _, c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *scripted) conn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		n := len(s.requests)
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		s.play(c, n, r, string(body))
	}
}

func (s *scripted) seen() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *scripted) instance(service string) peer.Instance {
	return peer.Instance{ID: s.id, Service: service, Address: s.listener.Addr().String(), Zone: "a", Models: []peer.Model{{Name: "m", Version: 3}}}
}

// router is a data plane under test.
type router struct {
	t      testing.TB
	front  string
	proxy  *proxy.Proxy
	server *ingress.Server

	snapshot atomic.Pointer[follower.Snapshot]
	looks    atomic.Int64
	onLook   func(n int64) // is called before each look at the snapshot; the proxy may hold its lock
}

// look gives the snapshot as it is now.
func (r *router) look() *follower.Snapshot {
	if n := r.looks.Add(1); r.onLook != nil {
		r.onLook(n)
	}
	return r.snapshot.Load()
}

// update puts a changed snapshot in force.
func (r *router) update(change func(s *follower.Snapshot)) {
	r.proxy.Update(r.publish(change))
}

// publish changes the snapshot; the proxy has not heard of it yet.
func (r *router) publish(change func(s *follower.Snapshot)) *follower.Snapshot {
	s := *r.snapshot.Load()
	s.Instances = maps.Clone(s.Instances)
	change(&s)
	r.snapshot.Store(&s)
	return &s
}

// setLoading marks the first server of a service as one that is about to load new weights.
func (r *router) setLoading(service string) {
	r.update(func(s *follower.Snapshot) {
		s.Instances[service] = slices.Clone(s.Instances[service])
		s.Instances[service][0].Loading = true
	})
}

func start(t testing.TB, instances ...peer.Instance) *router {
	t.Helper()
	return startWithLog(t, zerolog.Nop(), instances...)
}

// startWithLog starts a router that writes to the given log.
func startWithLog(t testing.TB, log zerolog.Logger, instances ...peer.Instance) *router {
	t.Helper()
	set := settings.Default()
	set.IP, set.Zone, set.Zones = "127.0.0.1", "a", map[string]string{"a": "r"}
	d, err := configuration.Parse([]byte(configurationText))
	must.NoError(t, err)
	snapshot := &follower.Snapshot{Table: routing.Compile(d), Instances: map[string][]peer.Instance{}}
	for _, in := range instances {
		snapshot.Instances[in.Service] = append(snapshot.Instances[in.Service], in)
	}
	r := &router{t: t}
	r.snapshot.Store(snapshot)
	started := make(chan struct{})
	close(started)
	r.proxy = proxy.New(&set, "n0", r.look, started, log)
	r.proxy.Update(snapshot)
	r.server = ingress.New(r.proxy, r.snapshot.Load, mostClients, func() bool { return true }, zerolog.Nop())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	r.front = l.Addr().String()
	var done sync.WaitGroup
	done.Go(func() { _ = r.server.Serve(l) })
	t.Cleanup(func() {
		l.Close()
		done.Wait()
		r.proxy.Update(&follower.Snapshot{Instances: map[string][]peer.Instance{}})
		r.server.CloseIdle()
	})
	return r
}

// client is one connection of a client.
type client struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func (r *router) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp4", r.front)
	must.NoError(r.t, err)
	must.NoError(r.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	r.t.Cleanup(func() { c.Close() })
	return &client{r.t, c, bufio.NewReader(c)}
}

func (c *client) send(path, id string, headers ...string) {
	c.t.Helper()
	text := "POST " + path + " HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: " + id + "\r\nAuthorization: Token key\r\nMoleshift-Tenant-Id: forged\r\nContent-Length: 4\r\n"
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c.conn, text+"\r\nbody")
	must.NoError(c.t, err)
}

// answer reads one whole answer; err tells that its body broke off.
func (c *client) answer() (*http.Response, string, error) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func ok(c net.Conn, r *http.Request, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Moleshift-Request-Id"), len(body), body)
}

func notExecuted(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

// streamHead begins a stream in chunks.
func streamHead(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Moleshift-Request-Id"))
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

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

func TestStreamPassesWholeEvents(t *testing.T) {
	next := make(chan struct{})
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		streamHead(c, r)
		chunk(c, event(1)+"id: 2\nda")
		<-next
		chunk(c, "ta: piece 2\n\n")
		chunk(c, event(3))
		io.WriteString(c, "0\r\n\r\n")
	})
	c := start(t, s.instance("llm")).dial()
	c.send("/unsafe/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5", "Moleshift-Prompt-Prefix: ab:60,cd:40")
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	got := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, got)
	must.NoError(t, err)
	must.Eq(t, event(1), string(got), must.Sprint("the first event comes before the second is whole"))
	close(next)
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, event(2)+event(3), string(rest))
	r := s.seen()[0]
	must.Eq(t, "m@3/walled", r.Header.Get("Cache-Salt"))
	must.Eq(t, "3", r.Header.Get("Expect-Version"))
}

func TestStreamIsTakenUpElsewhere(t *testing.T) {
	play := func(c net.Conn, _ int, r *http.Request, _ string) {
		from := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			fmt.Sscan(last, &from)
			from++
		}
		streamHead(c, r)
		chunk(c, event(from))
		if from == 1 {
			chunk(c, event(2)+"id: 3\ndata: half a pie")
			c.Close()
			return
		}
		chunk(c, event(from+1))
		io.WriteString(c, "0\r\n\r\n")
	}
	one, two := serve(t, "i1", play), serve(t, "i2", play)
	c := start(t, one.instance("llm"), two.instance("llm")).dial()
	c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
	resp, body, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, event(1)+event(2)+event(3)+event(4), body)
	must.Len(t, 1, one.seen())
	must.Len(t, 1, two.seen())
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		streamHead(c, r)
		chunk(c, event(1))
		c.Close()
	})
	c := start(t, s.instance("llm")).dial()
	c.send("/unsafe/", "a", "Moleshift-Model-Id: m")
	_, body, err := c.answer()
	must.Error(t, err)
	must.Eq(t, event(1), body)
}

// A stream that has been taken up once may not be a second time: then its server has until the deadline, however long it is silent.
func TestLastAttemptIsNotGivenUp(t *testing.T) {
	silent := make(chan struct{})
	play := func(c net.Conn, _ int, r *http.Request, _ string) {
		if r.Header.Get("Last-Event-Id") == "" {
			streamHead(c, r)
			chunk(c, event(1))
			c.Close()
			return
		}
		<-silent
		streamHead(c, r)
		chunk(c, event(2))
		io.WriteString(c, "0\r\n\r\n")
	}
	one, two := serve(t, "i1", play), serve(t, "i2", play)
	c := start(t, one.instance("llm"), two.instance("llm")).dial()
	c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
	timer := time.AfterFunc(1300*time.Millisecond, func() { close(silent) }) // longer than a silence that has another attempt
	defer timer.Stop()
	_, body, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, event(1)+event(2), body)
}

// A stream that another server should take up, because its own is about to load new weights or is silent, stays where it is when no
// other takes it: only its server, its deadline or its client may end it.
func TestStreamStaysWhereNoOtherServerTakesIt(t *testing.T) {
	for name, row := range map[string]struct {
		silence time.Duration
		loading bool
	}{
		"its server is about to load": {0, true},
		"its server is silent":        {1300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			goOn := sync.OnceFunc(func() { close(proceed) })
			one := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
				streamHead(c, r)
				chunk(c, event(1))
				<-proceed
				chunk(c, event(2))
				chunk(c, event(3))
				io.WriteString(c, "0\r\n\r\n")
			})
			full := serve(t, "i2", func(c net.Conn, _ int, _ *http.Request, _ string) { notExecuted(c) })
			router := start(t, one.instance("llm"))
			c := router.dial()
			c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
			resp, err := http.ReadResponse(c.reader, nil)
			must.NoError(t, err)
			router.update(func(s *follower.Snapshot) {
				s.Instances["llm"] = append(slices.Clone(s.Instances["llm"]), full.instance("llm"))
			})
			if row.loading {
				router.setLoading("llm")
			}
			timer := time.AfterFunc(row.silence, goOn)
			defer timer.Stop()
			defer goOn()
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, event(1)+event(2)+event(3), string(body))
			must.Len(t, 1, one.seen())
		})
	}
}

// An answer that ends with its connection cannot take a stream over that has an end of its own: its end could not be told from a break.
func TestStreamIsNotTakenOverByAnAnswerWithoutAnEnd(t *testing.T) {
	proceed := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(proceed) })
	defer goOn()
	one := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		streamHead(c, r)
		chunk(c, event(1))
		<-proceed
		chunk(c, event(2))
		io.WriteString(c, "0\r\n\r\n")
	})
	unframed := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nContent-Type: text/event-stream\r\n\r\n%s",
			r.Header.Get("Moleshift-Request-Id"), event(2))
		goOn()
		c.Close()
	})
	router := start(t, one.instance("llm"))
	c := router.dial()
	c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	router.update(func(s *follower.Snapshot) {
		s.Instances["llm"] = append(slices.Clone(s.Instances["llm"]), unframed.instance("llm"))
	})
	body, err := io.ReadAll(resp.Body) // i1 is silent until i2 has been asked
	must.NoError(t, err)
	must.Eq(t, event(1)+event(2), string(body))
	must.Len(t, 1, unframed.seen())
}

// Events without ids tell no place to go on from: such a stream must be cut, or its pieces would come twice.
func TestStreamWithoutIDsIsNotTakenUp(t *testing.T) {
	play := func(c net.Conn, _ int, r *http.Request, _ string) {
		streamHead(c, r)
		chunk(c, "data: piece 1\n\n")
		c.Close()
	}
	one, two := serve(t, "i1", play), serve(t, "i2", play)
	c := start(t, one.instance("llm"), two.instance("llm")).dial()
	c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
	_, body, err := c.answer()
	must.Error(t, err)
	must.Eq(t, "data: piece 1\n\n", body)
	must.Eq(t, 1, len(one.seen())+len(two.seen()))
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
