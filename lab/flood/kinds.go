package flood

// kinds.go owns the kinds of flood. Each ends by itself with its context, is bounded in what it opens, and
// goes to the router's loopback address only.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"moleshift/lab/standin"
)

type kind struct {
	workers int
	says    string
	attack  func(ctx context.Context, s *scene, worker int)
}

const (
	openEvery  = 4 * time.Millisecond // between new connections of a worker
	mostOpen   = 400                  // that a worker holds
	soon       = 8 * time.Millisecond // sooner than even a connection that has just come may make way
	largeValue = 60_000
)

var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"open":          {2, "connections that say nothing", opens("127.9.0.%d", "")},
		"slowloris":     {2, "heads that come a byte at a time", slowloris},
		"connect-churn": {2, "connections that end at once", churn},
		"half-close": {
			2,
			"half a request, and the client's side ended",
			opens("127.9.3.%d", "POST /search/k HTTP/1.1\r\nContent-Le"),
		},
		"huge-body": {2, "bodies of 60 MB", hugeBody},
		"pipeline":  {2, "hundreds of requests at once on a connection", pipeline},
		"slow-read": {4, "answers that are read a byte at a time", slowRead},
		"shared-address": {
			2,
			"connections that say nothing, from a known client's address",
			opens("127.0.1.1", ""),
		},
		"fd-exhaustion": {2, "fewer descriptors than the router is told", opens("127.9.8.%d", "")},
		"big-values":    {8, "queries whose values are large", bigValues},
		"slow-leaf":     {8, "queries to shards whose leaves say nothing", slowLeaf},
	}
}

// Kinds are the names of all, in order.
func Kinds() (names []string) {
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Says tells what a kind is; empty for an unknown name.
func Says(name string) string { return kinds[name].says }

// opened counts a connection of the flood.
func (s *scene) opened() { s.count(func() { s.r.Attacks++ }) }

// watch reads a connection that says nothing more until it ends, and tells whether it was turned away with a
// word.
func (s *scene) watch(conn net.Conn, begun time.Time, says bool) {
	buf := make([]byte, 512)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := conn.Read(buf)
	switch {
	case n > 0 && strings.HasPrefix(string(buf[:n]), "HTTP/1.1 503"):
		s.count(func() { s.r.Turned++ })
	case says: // it has sent half a request and ended its side: an end is all that it can be owed
	case n == 0 && err != nil && time.Since(begun) < soon && !errors.Is(err, net.ErrClosed):
		s.count(func() { s.r.Unclear++ })
	}
}

// opens opens connections one after the other and holds them; each may say something first.
func opens(from, says string) func(context.Context, *scene, int) {
	return func(ctx context.Context, s *scene, worker int) {
		var held []net.Conn
		defer func() {
			for _, c := range held {
				c.Close()
			}
		}()
		address := from
		if strings.Contains(from, "%d") {
			address = fmt.Sprintf(from, 1+worker%100)
		}
		for ctx.Err() == nil && len(held) < 5*mostOpen {
			c, err := dialFrom(ctx, address, s.at)
			if err != nil {
				pause(ctx, openEvery)
				continue
			}
			s.opened()
			held = append(held, c)
			begun := time.Now()
			if says != "" {
				io.WriteString(c, says)
				if t, ok := c.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			}
			go s.watch(c, begun, says != "")
			pause(ctx, openEvery)
		}
		<-ctx.Done()
	}
}

func slowloris(ctx context.Context, s *scene, worker int) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	head := "POST /search/k HTTP/1.1\r\nX-Trace-Id: slow\r\nX-Filler: " + strings.Repeat("a", 1000)
	sent := 0
	for ctx.Err() == nil {
		if len(held) < mostOpen {
			if c, err := dialFrom(ctx, fmt.Sprintf("127.9.1.%d", 1+worker%100), s.at); err == nil {
				s.opened()
				held = append(held, c)
				go s.watch(c, time.Now(), false)
			}
		}
		if sent++; sent%20 == 0 {
			for i, c := range held {
				io.WriteString(c, head[(sent/20+i)%len(head):][:1])
			}
		}
		pause(ctx, openEvery)
	}
}

func churn(ctx context.Context, s *scene, worker int) {
	for ctx.Err() == nil {
		if c, err := dialFrom(ctx, fmt.Sprintf("127.9.2.%d", 1+worker%100), s.at); err == nil {
			s.opened()
			c.Close()
		}
		pause(ctx, openEvery/2)
	}
}

func hugeBody(ctx context.Context, s *scene, worker int) {
	block := strings.Repeat("x", 64<<10)
	for ctx.Err() == nil {
		c, err := dialFrom(ctx, fmt.Sprintf("127.9.4.%d", 1+worker%100), s.at)
		if err != nil {
			pause(ctx, openEvery)
			continue
		}
		s.opened()
		c.SetDeadline(time.Now().Add(deadline))
		io.WriteString(
			c,
			"POST /search/k HTTP/1.1\r\nX-Trace-Id: huge\r\nX-Customer: other\r\nX-Expires-In-Ms: 2000\r\nContent-Length: 60000000\r\n\r\n",
		)
		for i := 0; i < 60_000_000/len(block) && ctx.Err() == nil; i++ {
			if _, err := io.WriteString(c, block); err != nil {
				break
			}
		}
		c.Close()
		pause(ctx, openEvery)
	}
}

// pipeline sends many requests before it reads an answer, and counts the answers: one each, in order, until
// the connection ends.
func pipeline(ctx context.Context, s *scene, worker int) {
	for ctx.Err() == nil {
		c, err := dialFrom(ctx, fmt.Sprintf("127.9.5.%d", 1+worker%100), s.at)
		if err != nil {
			pause(ctx, openEvery)
			continue
		}
		s.opened()
		c.SetDeadline(time.Now().Add(2 * deadline))
		const many = 200
		go func() {
			for range many {
				n := s.next.Add(1)
				shards := []int{int(n % 8)}
				if _, err := io.WriteString(c, query(fmt.Sprintf("pipe-%d", n), "bulk", "other", shards, workText(shards, 0.5, 0))); err != nil {
					return
				}
			}
		}()
		in := bufio.NewReader(c)
		for i := 0; i < many && ctx.Err() == nil; i++ {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		c.Close()
		pause(ctx, 5*openEvery)
	}
}

// slowRead asks for large answers and reads them a byte at a time.
func slowRead(ctx context.Context, s *scene, worker int) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		if len(held) < mostOpen/4 {
			if c, err := dialFrom(ctx, fmt.Sprintf("127.9.6.%d", 1+worker%100), s.at); err == nil {
				s.opened()
				if t, ok := c.(*net.TCPConn); ok {
					t.SetReadBuffer(4 << 10)
				}
				n := s.next.Add(1)
				shards := []int{0, 1, 2, 3, 4, 5, 6, 7}
				io.WriteString(
					c,
					query(
						fmt.Sprintf("slow-%d", n),
						"bulk",
						"other",
						shards,
						workText(shards, 0.5, largeValue),
					),
				)
				held = append(held, c)
			}
		}
		for _, c := range held {
			c.SetReadDeadline(time.Now().Add(time.Millisecond / 10))
			c.Read(make([]byte, 1))
		}
		pause(ctx, 2*openEvery)
	}
}

// burst asks one query after the other on connections of its own.
func burst(ctx context.Context, s *scene, from string, shards []int, value int) {
	for ctx.Err() == nil {
		c, err := dialFrom(ctx, from, s.at)
		if err != nil {
			pause(ctx, openEvery)
			continue
		}
		s.opened()
		in := bufio.NewReader(c)
		for ctx.Err() == nil {
			n := s.next.Add(1)
			status, _, err := s.ask(
				c,
				in,
				query(fmt.Sprintf("burst-%d", n), "bulk", "other", shards, workText(shards, 0.5, value)),
			)
			if err != nil || status != http.StatusOK {
				break
			}
		}
		c.Close()
		pause(ctx, openEvery)
	}
}

func bigValues(ctx context.Context, s *scene, worker int) {
	burst(ctx, s, fmt.Sprintf("127.9.7.%d", 1+worker%100), []int{0, 1, 2, 3, 4, 5, 6, 7}, largeValue)
}

// slowLeaf has one of the leaves take in and say nothing, while queries for its shards come by the dozen.
func slowLeaf(ctx context.Context, s *scene, worker int) {
	if worker%100 == 0 {
		s.c.Leaves[0].Behave(standin.Silent)
	}
	burst(ctx, s, fmt.Sprintf("127.9.9.%d", 1+worker%100), []int{0, 4}, 0)
}
