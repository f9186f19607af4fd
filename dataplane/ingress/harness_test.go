package ingress_test

// What the tests of this package share: a router under test, servers that play a script, and clients.

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
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
