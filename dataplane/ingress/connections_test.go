package ingress_test

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"moleshift/dataplane/ingress"
)

// holding starts another front of the router that holds so many connections, and sends new clients there.
func (r *router) holding(most int) *ingress.Server {
	r.t.Helper()
	server := ingress.New(r.proxy, r.snapshot.Load, most, func() bool { return true }, zerolog.Nop())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(r.t, err)
	r.front = l.Addr().String()
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(l) })
	r.t.Cleanup(func() {
		l.Close()
		done.Wait()
		server.CloseIdle()
	})
	return server
}

func (c *client) served(id string) {
	c.t.Helper()
	c.send("/once/", id)
	resp, _, err := c.answer()
	must.NoError(c.t, err)
	must.Eq(c.t, 200, resp.StatusCode)
}

// isClosed waits for the end of the connection.
func (c *client) isClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	must.Error(c.t, err)
	must.False(c.t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the connection is open"))
}

// Guards against clients that rest until no descriptor is left: the one that has rested for longest gives way.
func TestConnectionThatRestsLongestGivesWay(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("batch"))
	server := router.holding(3)
	var clients []*client
	for _, id := range []string{"a", "b", "c"} {
		c := router.dial()
		c.served(id)
		server.AwaitRest()
		clients = append(clients, c)
	}
	clients[0].served("a again") // b has rested for longest now
	server.AwaitRest()
	late := router.dial()
	late.served("d")
	clients[1].isClosed()
	clients[0].served("a once more")
	clients[2].served("c again")
	var text strings.Builder
	server.WriteMetrics(&text)
	must.StrContains(t, text.String(), "moleshift_client_connections_closed_idle_total 1\n")
	must.StrContains(t, text.String(), "moleshift_client_connections_refused_total 0\n")
}

// Where every connection has a request under way, a new one is refused at once, and no request is lost.
func TestConnectionIsRefusedWhereNoneRests(t *testing.T) {
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		<-release
		ok(c, r, "fine")
	})
	router := start(t, s.instance("batch"))
	server := router.holding(2)
	var clients []*client
	for _, id := range []string{"a", "b"} {
		c := router.dial()
		c.send("/once/", id)
		clients = append(clients, c)
	}
	server.AwaitActiveOf(2)
	if c, err := net.Dial("tcp4", router.front); err == nil { // the reset may come before the connection is known to be up
		must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1))
		must.Error(t, err)
		must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the connection is open"))
		c.Close()
	}
	free()
	for _, c := range clients {
		resp, body, err := c.answer()
		must.NoError(t, err)
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "fine", body)
	}
	var text strings.Builder
	server.WriteMetrics(&text)
	must.StrContains(t, text.String(), "moleshift_client_connections_refused_total 1\n")
}
