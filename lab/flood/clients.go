package flood

// clients.go owns the known clients: open-loop queries over connections that are kept, from addresses of
// their own, each counted by what came back on the wire. It must never send a query twice.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	deadline = 2 * time.Second
	renewed  = 9 // queries after which a known client takes a new connection
)

// dialFrom opens a connection from a loopback address.
func dialFrom(ctx context.Context, from, to string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: deadline, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", to)
}

// query is a request on the wire.
func query(id, vertical, tenant string, shards []int, text string) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%.4f}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"parts":[%s],"expr":%q}`, strings.Join(parts, ","), text)
	return fmt.Sprintf(
		"POST /%s/k HTTP/1.1\r\nHost: r\r\nX-Trace-Id: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		vertical,
		id,
		tenant,
		deadline.Milliseconds(),
		len(body),
		body,
	)
}

// workText has each part take some milliseconds.
func workText(shards []int, ms float64, value int) string {
	text := "work"
	for _, s := range shards {
		text += fmt.Sprintf(" %d=%.2f", s, ms)
	}
	if value > 0 {
		text += fmt.Sprintf(" value=%d", value)
	}
	return text
}

// known is one known client. Each query has its time; one that is late because the last is still out goes out
// at once.
func (s *scene) known(ctx context.Context, i int) {
	from := fmt.Sprintf("127.0.1.%d", 1+i)
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	at, sent := time.Now().Add(time.Duration(i)*time.Second/knownRate/knownClients), 0
	used := 0
	for ; ctx.Err() == nil && !s.stop.Load(); sent++ {
		every := time.Second / knownRate
		if swing := s.swing.Load(); swing > 0 {
			every = every * 1000 / time.Duration(swing)
		}
		at = at.Add(every)
		pause(ctx, time.Until(at))
		if ctx.Err() != nil {
			return
		}
		phase := s.phase.Load()
		n := s.next.Add(1)
		vertical, id := "search", fmt.Sprintf("known-%d", n)
		if sent%5 == 4 {
			vertical, id = "record", fmt.Sprintf("once-%d", n)
		}
		shards := []int{int(n % 8), int((n + 3) % 8)}
		raw := query(id, vertical, "known", shards, workText(shards, 1.5, 0))
		start := time.Now()
		status, err := 0, error(nil)
		for try := 0; try < 2; try++ { // a kept connection may have been ended between requests: then once more, on a new one
			fresh := conn == nil
			if fresh {
				if conn, err = dialFrom(ctx, from, s.at); err != nil {
					conn = nil
					break
				}
				in, used = bufio.NewReader(conn), 0
			}
			var untouched bool
			status, untouched, err = s.ask(conn, in, raw)
			if used++; err == nil {
				if used >= renewed || in.Buffered() > 0 || status == http.StatusServiceUnavailable {
					if in.Buffered() > 0 {
						s.count(func() { s.r.Doubled++ })
					}
					conn.Close()
					conn = nil
				}
				break
			}
			conn.Close()
			conn = nil
			if fresh || !untouched {
				break
			}
		}
		if ctx.Err() != nil {
			return
		}
		took := time.Since(start)
		s.count(func() {
			ok := err == nil && status == http.StatusOK
			if phase == 0 {
				s.before[0]++
				if ok {
					s.before[1]++
				}
				return
			}
			if phase != 1 {
				return
			}
			s.asked++
			switch {
			case ok:
				s.served++
				s.took = append(s.took, took)
			case err != nil:
				s.r.Lost++
			case status == http.StatusServiceUnavailable:
				s.r.Refused++
			}
			if !ok && s.r.firstFailure == "" {
				s.r.firstFailure = fmt.Sprintf(
					"%s: status %d, %v after %v",
					id,
					status,
					err,
					took.Round(time.Millisecond),
				)
			}
		})
	}
}

func (s *scene) count(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// ask sends one request and reads its answer. Untouched: the connection had been ended before the router can
// have taken the query.
func (s *scene) ask(conn net.Conn, in *bufio.Reader, raw string) (status int, untouched bool, err error) {
	conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		return 0, true, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
			errors.Is(err, syscall.ECONNRESET), err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.Close && err == nil {
		conn.Close()
	}
	return resp.StatusCode, false, err
}
