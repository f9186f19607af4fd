package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"moleshift/lab/nodes"
)

const (
	mostRequests    = 20 // on one connection
	requestDeadline = 7 * time.Second
	mostEvents      = 40
	slowBodyShare   = 0.1 // of the requests have bodies that come in pieces
	longBodyShare   = 0.1 // of the requests for whole answers have long bodies
	mostBody        = 200 << 10
	leaveShare      = 0.03
	idleShare       = 0.3
)

// client sends one request after the other on connections that it goes on using until they are closed.
type client struct {
	name    string
	nodes   *platform
	history *History
	random  *rand.Rand
	kinds   []Kind        // of its requests, drawn by lot
	hurry   time.Duration // it sends the next request so long behind an answer at the most; 0: as other clients do
	sent    int
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.connection(ctx) {
			pause(ctx, 50*time.Millisecond)
		}
	}
}

// pick picks a node that the platform holds for ready.
func (c *client) pick() (int, bool) {
	ready := c.nodes.list()
	if len(ready) == 0 {
		return 0, false
	}
	return ready[c.random.IntN(len(ready))], true
}

// connection uses one connection; false: none came up.
func (c *client) connection(ctx context.Context) bool {
	at, ok := c.pick()
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp4", c.nodes.fleet.Address(at, nodes.Front), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 1 + c.random.IntN(mostRequests) {
		if ctx.Err() != nil || !c.request(ctx, at, conn, reader) {
			return true
		}
		if c.hurry > 0 {
			pause(ctx, time.Duration(c.random.Int64N(int64(c.hurry))))
		} else if c.random.Float64() < idleShare {
			pause(ctx, time.Duration(c.random.IntN(400))*time.Millisecond)
		}
	}
	return true
}

// request sends one request and reads its answer; false: the connection cannot be used any more.
func (c *client) request(ctx context.Context, at int, conn net.Conn, reader *bufio.Reader) bool {
	c.sent++
	r := Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Node: at}
	r.Kind = c.kinds[c.random.IntN(len(c.kinds))]
	switch r.Kind {
	case Keyed:
		r.Key = c.history.someKey(c.random)
	case Walled:
		r.Key = wallKeys[c.random.IntN(len(wallKeys))]
	}
	events := 1 + c.random.IntN(mostEvents)
	r.Deadline = c.history.Now() + requestDeadline
	if !c.write(ctx, conn, &r, events) {
		return false // never sent whole
	}
	r.Sent = c.history.Now()
	r.Left = c.random.Float64() < leaveShare
	limit := r.Deadline - r.Sent
	if r.Left {
		limit = time.Duration(c.random.IntN(500)) * time.Millisecond
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	goesOn := c.readAnswer(reader, &r, events)
	r.Ended = c.history.Now()
	_ = conn.SetDeadline(time.Time{})
	c.history.addRequest(r)
	return goesOn
}

// write writes the request, some of them slowly; false: it could not be written whole.
func (c *client) write(ctx context.Context, conn net.Conn, r *Request, events int) bool {
	body := "prompt"
	if c.random.Float64() < longBodyShare && !r.Kind.IsStream() {
		body = strings.Repeat("x", longBody+c.random.IntN(mostBody-longBody))
	}
	head := fmt.Sprintf("POST /%s/x?events=%d HTTP/1.1\r\nHost: h\r\nMoleshift-Request-Id: %s\r\nMoleshift-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		r.Kind, events, r.ID, requestDeadline.Milliseconds(), len(body))
	if r.Kind.IsStream() {
		head += "Moleshift-Model-Id: " + modelName + "\r\nMoleshift-Token-Count: 100,20\r\nMoleshift-Prompt-Prefix: " + promptOf(r.Kind) + "\r\n"
	}
	if r.Key != "" {
		head += "Authorization: Token " + r.Key + "\r\n"
	}
	text := head + "\r\n" + body
	if c.random.Float64() < slowBodyShare {
		cut := len(text) - 1 - c.random.IntN(len(body)+20)
		if _, err := io.WriteString(conn, text[:cut]); err != nil {
			return false
		}
		pause(ctx, time.Duration(c.random.IntN(1500))*time.Millisecond)
		text = text[cut:]
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// promptOf gives the parts of a prompt: the two tenants between whom a wall comes have some in common with each other alone.
func promptOf(k Kind) string {
	if k == Walled {
		return "ee:60,ff:40"
	}
	return "ab:60,cd:40"
}

// readAnswer reads the answer; false: the connection cannot be used any more.
func (c *client) readAnswer(reader *bufio.Reader, r *Request, events int) bool {
	lines, err := peekHead(reader)
	if err != nil {
		return false
	}
	r.Status, r.Fields = statusOf(lines[0]), lines[1:]
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	r.Whole = err == nil
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	if id := resp.Header.Get("Moleshift-Request-Id"); id != "" && id != r.ID {
		r.Foreign = true
	}
	if r.Status == http.StatusOK && !isAnswerTo(r, string(body), events) {
		r.Foreign = true
	}
	return r.Whole && !resp.Close
}

// isAnswerTo tells whether a body is what the servers send for a request, or, where the answer broke off, its beginning.
func isAnswerTo(r *Request, body string, events int) bool {
	expected := answerTo(r.ID)
	if r.Kind.IsStream() {
		expected = eventsText(r.ID, 1, events)
	}
	if r.Whole {
		return body == expected
	}
	return strings.HasPrefix(expected, body)
}
