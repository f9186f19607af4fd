package ingress_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
)

// aging is a connection that can be made to have rested: its write deadlines count on a clock that is moved on.
type aging struct {
	net.Conn
	mu     sync.Mutex
	rested time.Duration
	write  time.Time // deadline on the clock that is moved on
}

func (c *aging) note(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = at
	if !at.IsZero() {
		c.write = at.Add(c.rested)
	}
}

func (c *aging) SetWriteDeadline(at time.Time) error {
	c.note(at)
	return c.Conn.SetWriteDeadline(at)
}

func (c *aging) SetDeadline(at time.Time) error {
	c.note(at)
	return c.Conn.SetDeadline(at)
}

func (c *aging) Write(b []byte) (int, error) {
	c.mu.Lock()
	passed := !c.write.IsZero() && time.Now().Add(c.rested).After(c.write)
	c.mu.Unlock()
	if passed {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
}

// rest lets the connection rest.
func (c *aging) rest(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rested += d
}

// agingListener gives aging connections.
type agingListener struct {
	net.Listener
	accepted chan *aging
}

func (l *agingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a := &aging{Conn: c}
	l.accepted <- a
	return a, nil
}

// Guards against a request that gets no answer as the deadline of the answer before it was still set: its client waits to be told to go on.
func TestExpectOnARestedConnection(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, body) })
	router := start(t, s.instance("batch"))
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	l := &agingListener{Listener: inner, accepted: make(chan *aging, 1)}
	var done sync.WaitGroup
	done.Go(func() { _ = router.server.Serve(l) })
	t.Cleanup(func() {
		l.Close()
		done.Wait()
	})
	router.front = l.Addr().String()
	c := router.dial()
	conn := <-l.accepted
	c.send("/once/", "a")
	_, body, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, "body", body)
	conn.rest(12 * time.Second)
	io.WriteString(c.conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: b\r\nAuthorization: Token key\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	must.NoError(t, err)
	must.StrHasPrefix(t, "HTTP/1.1 100", line)
	_, err = c.reader.ReadString('\n')
	must.NoError(t, err)
	io.WriteString(c.conn, "next")
	_, body, err = c.answer()
	must.NoError(t, err)
	must.Eq(t, "next", body)
}

// Guards against limits of the moment at which a connection came: those in force when a request begins hold for it, higher or lower.
func TestLimitsOfAKeptConnectionAreThoseInForce(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("batch"))
	limit := func(header int) {
		router.update(func(s *follower.Snapshot) {
			table := *s.Table
			table.Limits.MaxHeaderBytes = header
			s.Table = &table
		})
	}
	status := func(c *client, head int) int {
		c.send("/once/", "a", "X-Long: "+strings.Repeat("x", head))
		resp, _, err := c.answer()
		must.NoError(t, err)
		return resp.StatusCode
	}
	limit(1000)
	c := router.dial()
	must.Eq(t, 200, status(c, 10))
	limit(20000)
	must.Eq(t, 200, status(c, 15000))
	limit(2000)
	must.Eq(t, 200, status(c, 1000))
	must.Eq(t, 413, status(c, 5000))
}
