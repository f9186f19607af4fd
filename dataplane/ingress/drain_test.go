package ingress_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/admission"
)

var released = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Long after the signal a request is taken where it is over before the process ends; any other is refused with a promise, at once
// and with the end of its connection.
func TestLateRequestsWhileDraining(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("batch"), s.instance("llm"))
	router.server.BeginDrain(admission.NewDrain(time.Now().Add(-4*time.Second), 8*time.Second))

	short := router.dial()
	short.send("/once/", "a")
	resp, body, err := short.answer()
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, "fine", body)
	must.True(t, resp.Close)

	long := router.dial()
	long.send("/stream/", "b")
	resp, _, err = long.answer()
	must.NoError(t, err)
	must.Eq(t, 503, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.True(t, resp.Close)
	must.Len(t, 1, s.seen(), must.Sprint("what was refused reached no server"))

	impatient := router.dial()
	impatient.send("/stream/", "c", "Moleshift-Deadline-Ms: 2000")
	resp, _, err = impatient.answer()
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode, must.Sprint("the client's own deadline counts"))
}

// When the grace is over, what is still at work is answered or cut, idle connections are closed, and Drain has returned in time.
func TestEndOfGrace(t *testing.T) {
	const grace = 900 * time.Millisecond
	hold := make(chan struct{})
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		if r.URL.Path == "/unsafe/" {
			streamHead(c, r)
			chunk(c, event(1))
		}
		<-hold
	})
	router := start(t, s.instance("batch"), s.instance("llm"))
	t.Cleanup(func() { close(hold) })
	idle, waiting, streaming := router.dial(), router.dial(), router.dial()
	waiting.send("/once/", "a")
	streaming.send("/unsafe/", "b")
	head, err := http.ReadResponse(streaming.reader, nil)
	must.NoError(t, err)
	must.Eq(t, 200, head.StatusCode)

	began := time.Now()
	router.server.Drain(grace, released)
	must.Less(t, grace, time.Since(began))

	resp, _, err := waiting.answer()
	must.NoError(t, err)
	must.Eq(t, 504, resp.StatusCode, must.Sprint("it may have run, and its client is told"))
	_, err = io.ReadAll(head.Body)
	must.Error(t, err, must.Sprint("a stream that is cut does not look complete"))
	_, err = idle.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Drain returns as soon as nothing is left to answer, but not before the node's other duties are handed over.
func TestDrainWaitsForTheNode(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("batch"))
	c := router.dial()
	c.send("/once/", "a")
	_, _, err := c.answer()
	must.NoError(t, err)

	held, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		router.server.Drain(time.Minute, held)
	}()
	c.send("/once/", "b")
	resp, _, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode)
	select {
	case <-ended:
		t.Fatal("Drain returned before the node was ready to end")
	default:
	}
	close(held)
	<-ended
}

// What was read behind a request that is being answered gets an answer too, also when the process ends behind the first answer.
func TestRequestReadBehindTheLastAnswer(t *testing.T) {
	hold, reached := make(chan struct{}), make(chan struct{})
	s := serve(t, "i1", func(net.Conn, int, *http.Request, string) { close(reached); <-hold })
	router := start(t, s.instance("batch"))
	t.Cleanup(func() { close(hold) })
	c := router.dial()
	c.send("/once/", "a")
	<-reached
	c.send("/once/", "b")
	router.server.Drain(900*time.Millisecond, released)
	resp, _, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, 504, resp.StatusCode, must.Sprint("the first may have run"))
	resp, _, err = c.answer()
	must.NoError(t, err)
	must.Eq(t, 503, resp.StatusCode, must.Sprint("the second was refused with a promise"))
	must.Len(t, 1, s.seen())
}

// A request that began long before it was complete is taken or refused by the moment at which it was complete.
func TestRequestThatIsCompleteLate(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) { ok(c, r, "fine") })
	router := start(t, s.instance("llm"))
	c := router.dial()
	_, err := io.WriteString(c.conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: a\r\nAuthorization: Token key\r\nContent-Length: 4\r\n\r\nbo")
	must.NoError(t, err)
	router.server.AwaitActive()
	router.server.BeginDrain(admission.NewDrain(time.Now().Add(-2650*time.Millisecond), 6*time.Second))
	timer := time.AfterFunc(100*time.Millisecond, func() { _, _ = io.WriteString(c.conn, "dy") })
	defer timer.Stop()
	resp, _, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, 503, resp.StatusCode)
	must.Len(t, 0, s.seen())
}
