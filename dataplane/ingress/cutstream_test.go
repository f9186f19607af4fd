package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"moleshift/dataplane/follower"
)

// unframedHead begins a stream that ends with its connection.
func unframedHead(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nContent-Type: text/event-stream\r\n\r\n",
		r.Header.Get("Moleshift-Request-Id"))
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// cut is a way in which a stream without a length ends, behind its first event.
type cut struct {
	name     string
	server   func(c net.Conn, proceed <-chan struct{}) // behind the first event; proceed is closed once the client has it
	headers  []string
	act      func(r *router) // is called once the client has the first event
	complete bool
}

var cuts = []cut{
	{name: "whole", complete: true, server: func(c net.Conn, proceed <-chan struct{}) {
		<-proceed
		io.WriteString(c, event(2))
		c.Close()
	}},
	{name: "reset by its server", server: func(c net.Conn, proceed <-chan struct{}) {
		<-proceed
		reset(c)
	}},
	{name: "reset in the middle of an event", server: func(c net.Conn, proceed <-chan struct{}) {
		<-proceed
		io.WriteString(c, "id: 2\nda")
		reset(c)
	}},
	{name: "closed in the middle of an event", server: func(c net.Conn, proceed <-chan struct{}) {
		<-proceed
		io.WriteString(c, "id: 2\nda")
		c.Close()
	}},
	{name: "deadline of the client", headers: []string{"Moleshift-Deadline-Ms: 400"}, server: awaitEnd},
	{name: "end of the grace", server: awaitEnd, act: func(r *router) { r.server.Drain(600*time.Millisecond, released) }},
}

// awaitEnd keeps the stream open until its router ends it.
func awaitEnd(c net.Conn, _ <-chan struct{}) { _, _ = c.Read(make([]byte, 1)) }

// Guards against MIXED and ORDER: the part of a stream that came before a break must not look like the whole of it, however the server
// framed it, to clients of either version of HTTP.
func TestCutStreamNeverLooksComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, way := range cuts {
			t.Run(version+", "+way.name, func(t *testing.T) {
				proceed := make(chan struct{})
				goOn := sync.OnceFunc(func() { close(proceed) })
				defer goOn()
				s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
					unframedHead(c, r)
					io.WriteString(c, event(1))
					way.server(c, proceed)
				})
				router := start(t, s.instance("llm"))
				c := router.dial()
				headers := append([]string{"Moleshift-Model-Id: m"}, way.headers...)
				text := "POST /unsafe/ " + version + "\r\nHost: h\r\nMoleshift-Request-Id: a\r\nAuthorization: Token key\r\n" +
					strings.Join(headers, "\r\n") + "\r\nContent-Length: 0\r\n\r\n"
				io.WriteString(c.conn, text)
				resp, err := http.ReadResponse(c.reader, nil)
				must.NoError(t, err)
				must.Eq(t, version == "HTTP/1.1", len(resp.TransferEncoding) > 0, must.Sprint("chunks"))
				_, err = io.ReadFull(resp.Body, make([]byte, len(event(1))))
				must.NoError(t, err)
				goOn()
				if way.act != nil {
					way.act(router)
				}
				rest, err := io.ReadAll(resp.Body)
				if way.complete {
					must.NoError(t, err)
					must.Eq(t, event(2), string(rest))
					return
				}
				must.Error(t, err, must.Sprint("the answer looks complete"))
			})
		}
	}
}

// A stream without a length that broke goes on at another server, whose stream has none either, and ends whole.
func TestStreamWithoutALengthIsTakenUpElsewhere(t *testing.T) {
	var router *router
	two := serve(t, "i2", func(c net.Conn, _ int, r *http.Request, _ string) {
		unframedHead(c, r)
		io.WriteString(c, event(2))
		c.Close()
	})
	one := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		unframedHead(c, r)
		io.WriteString(c, event(1)+"id: 2\nda")
		router.update(func(s *follower.Snapshot) { s.Instances["llm"] = append(s.Instances["llm"], two.instance("llm")) })
		c.Close()
	})
	router = start(t, one.instance("llm"))
	c := router.dial()
	c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
	_, body, err := c.answer()
	must.NoError(t, err)
	must.Eq(t, event(1)+event(2), body)
	must.Len(t, 1, two.seen())
}

// An answer whose end is never reached within what is held of an answer is not passed on as a whole one.
func TestAnswerWithoutAnEndIsNotWhole(t *testing.T) {
	s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\n\r\n", r.Header.Get("Moleshift-Request-Id"))
		_, _ = c.Write(make([]byte, 9<<20)) // fails where the router has left
		c.Close()
	})
	c := start(t, s.instance("batch")).dial()
	c.send("/once/", "a")
	resp, _, _ := c.answer()
	must.Eq(t, 502, resp.StatusCode)
}

// The time of a streamed answer of a hundred events, in chunks and without a length.
func BenchmarkStream(b *testing.B) {
	const events = 100
	for _, framed := range []bool{true, false} {
		b.Run(fmt.Sprintf("framed=%t", framed), func(b *testing.B) {
			s := serve(b, "i1", func(c net.Conn, _ int, r *http.Request, _ string) {
				if framed {
					streamHead(c, r)
				} else {
					unframedHead(c, r)
				}
				for n := range events {
					if framed {
						chunk(c, event(n))
					} else {
						io.WriteString(c, event(n))
					}
				}
				if framed {
					io.WriteString(c, "0\r\n\r\n")
				} else {
					c.Close()
				}
			})
			router := start(b, s.instance("llm"))
			for b.Loop() {
				c := router.dial()
				c.send("/unsafe/", "a", "Moleshift-Model-Id: m")
				_, _, err := c.answer()
				must.NoError(b, err)
				c.conn.Close()
			}
		})
	}
}
