package ingress_test

// Streams on their way to clients, and their takeover by another server.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
)

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
