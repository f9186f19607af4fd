package soak

// Clients that rest: many that connect and send nothing, and a few that come back to a connection after a long rest.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"moleshift/lab/nodes"
)

const (
	idleConnections = 450 // at one node: more than its descriptors
	idleEvery       = 6 * time.Second
	idleFor         = 2 * time.Second

	restingClients = 2
	restFor        = 10500 * time.Millisecond // longer than any deadline of the answer before
	continueWithin = 2 * time.Second          // a node says by then that the body may come

	idleSource    = 5
	restingSource = 50
)

// idleClients has clients connect to a node and send nothing, now and then, until the context ends.
func (s *soak) idleClients(ctx context.Context) {
	random := s.fork(idleSource)
	for pause(ctx, idleEvery) {
		at := random.IntN(s.fleet.Len())
		s.tell("%d clients connect to node %d and send nothing", idleConnections, at)
		var open []net.Conn
		for range idleConnections {
			c, err := net.DialTimeout("tcp4", s.fleet.Address(at, nodes.Front), time.Second)
			if err != nil {
				break // the node is down
			}
			open = append(open, c)
		}
		pause(ctx, idleFor)
		for _, c := range open {
			c.Close()
		}
	}
}

// rest has a client send a request, rest for long, and send another one on the same connection that waits to be told to go on.
func (c *client) rest(ctx context.Context) {
	for pause(ctx, 50*time.Millisecond) {
		at, ok := c.pick()
		if !ok {
			continue
		}
		conn, err := net.DialTimeout("tcp4", c.nodes.fleet.Address(at, nodes.Front), time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		if c.once(conn, reader, at, "") && pause(ctx, restFor) {
			c.once(conn, reader, at, "Expect: 100-continue\r\n")
		}
		conn.Close()
	}
}

// once sends a request that may run once, with a header beside the usual; false: its connection cannot be used any more. One that waits
// to be told to go on and gets no word, though its connection was open when it was sent, is recorded as one without an answer.
func (c *client) once(conn net.Conn, reader *bufio.Reader, at int, header string) bool {
	c.sent++
	r := Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: Once, Node: at, Deadline: c.history.Now() + requestDeadline}
	const body = "prompt"
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: %s\r\nMoleshift-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n",
		r.Kind, r.ID, requestDeadline.Milliseconds(), len(body), header)
	_ = conn.SetDeadline(time.Now().Add(requestDeadline))
	if header != "" && isClosed(conn, reader) {
		return false // it rested for too long, or gave way
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	r.Sent = c.history.Now()
	if header != "" && !c.mayGoOn(conn, reader) {
		r.Ended = c.history.Now()
		r.Unanswered = true
		c.history.addRequest(r)
		return false
	}
	if _, err := io.WriteString(conn, body); err != nil {
		return false
	}
	r.Sent = c.history.Now()
	goesOn := c.readAnswer(reader, &r, 0)
	r.Ended = c.history.Now()
	c.history.addRequest(r)
	return goesOn
}

// isClosed tells whether the other side has closed a connection on which nothing is due.
func isClosed(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Now().Add(requestDeadline))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// mayGoOn waits for the word that a body may come; an answer in its place is left to be read.
func (c *client) mayGoOn(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(continueWithin))
	defer func() { _ = conn.SetReadDeadline(time.Now().Add(requestDeadline)) }()
	first, err := reader.Peek(len("HTTP/1.1 100"))
	if err != nil {
		return false
	}
	if strings.HasSuffix(string(first), " 100") {
		_, err = http.ReadResponse(reader, nil)
	}
	return err == nil
}
