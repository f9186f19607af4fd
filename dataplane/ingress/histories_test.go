package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ledger is what servers saw: which requests they ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// misbehave plays a server whose connections do anything that the protocol page says of servers, by lot.
func (l *ledger) misbehave(draw func(n int) int) func(c net.Conn, n int, r *http.Request, body string) {
	return func(c net.Conn, _ int, r *http.Request, _ string) {
		id := r.Header.Get("Moleshift-Request-Id")
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nMoleshift-Request-Id: %s\r\nMoleshift-Response-Stamp: st\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\nran %s",
			id, 4+len(id), id)
		switch draw(13) {
		case 0: // turned away, with no id
			notExecuted(c)
			return
		case 6: // turned away
			notExecutedWithID(c, r)
			return
		case 1: // closed without having run
			c.Close()
			return
		case 2: // a surplus answer to another request first
			io.WriteString(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: other\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 5\r\n\r\nother")
		case 3: // and one behind
			defer io.WriteString(c, "HTTP/1.1 200 OK\r\nMoleshift-Request-Id: other\r\nMoleshift-Response-Stamp: st\r\nContent-Length: 5\r\n\r\nother")
		case 4: // the same answer twice
			defer io.WriteString(c, whole)
		case 5: // bytes that are no answer behind it
			defer io.WriteString(c, "\x00\x7f garbage\r\n")
		}
		l.ran(id)
		switch draw(8) {
		case 0: // cut somewhere
			io.WriteString(c, whole[:draw(len(whole))])
			c.Close()
		case 1: // reset somewhere
			io.WriteString(c, whole[:draw(len(whole))])
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		case 2: // in two pieces, and closed
			at := draw(len(whole))
			io.WriteString(c, whole[:at])
			io.WriteString(c, whole[at:])
			c.Close()
		default:
			io.WriteString(c, whole)
		}
	}
}

// Whatever connections to servers do: an answer reaches its own caller, what may not be repeated runs once at most, and what was
// refused with a promise has not run.
func TestHistoriesOfConnections(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playHistory(t, seed)
		})
	}
}

// playHistory has clients send requests, one after the other each, to servers whose connections misbehave.
func playHistory(t *testing.T, seed uint64) {
	l := &ledger{runs: map[string]int{}}
	var mu sync.Mutex
	lots := rand.New(rand.NewPCG(seed, 11))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return lots.IntN(n)
	}
	one, two, three := serve(t, "i1", l.misbehave(draw)), serve(t, "i2", l.misbehave(draw)), serve(t, "i3", l.misbehave(draw))
	router := start(t, one.instance("batch"), two.instance("batch"), three.instance("batch"))
	var clients sync.WaitGroup
	for who := range 6 {
		clients.Go(func() {
			var c *client
			for n := range 50 {
				if c == nil {
					c = router.dial()
				}
				path, id := "/once/", fmt.Sprintf("%d.%d.%d", seed, who, n)
				if draw(3) == 0 {
					path = "/again/"
				}
				if !checkAnswer(t, l, c, path, id) {
					c = nil
				}
			}
		})
	}
	clients.Wait()
	for id, runs := range l.runs {
		must.LessEq(t, 2, runs, must.Sprint(id))
	}
}

// checkAnswer sends one request and holds its answer against what servers saw; false: the connection is closed.
func checkAnswer(t *testing.T, l *ledger, c *client, path, id string) bool {
	c.send(path, id)
	resp, err := http.ReadResponse(bufio.NewReader(c.reader), nil)
	if err != nil {
		t.Errorf("%s: a connection ends without an answer: %v", id, err)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%s: body breaks off: %v", id, err)
		return false
	}
	if path == "/once/" && l.count(id) > 1 {
		t.Errorf("%s ran %d times", id, l.count(id))
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if string(body) != "ran "+id || resp.Header.Get("Moleshift-Request-Id") != id {
			t.Errorf("%s gets %q", id, body)
		}
	case http.StatusServiceUnavailable:
		if path == "/once/" && l.count(id) > 0 {
			t.Errorf("%s was refused with a promise and has run", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		t.Errorf("%s: status %d", id, resp.StatusCode)
	}
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	return !resp.Close
}
