package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	node   int
	sent   time.Duration
	status int // 0: no answer
	header http.Header
	body   string
	whole  bool // the answer ended as one that is complete
	framed bool // its end is told by a length or by chunks
	retry  time.Duration
}

// ask sends one request on a new connection and reads its answer.
func ask(f *fleet, r *record, node int, host, path, key, id string, deadline time.Duration, headers ...string) *result {
	out := &result{id: id, node: node, sent: r.now()}
	conn, err := net.DialTimeout("tcp4", f.address(node, front), time.Second)
	if err != nil {
		return out
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	const body = "prompt"
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nMoleshift-Request-Id: %s\r\nMoleshift-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, host, id, deadline.Milliseconds(), key, strings.Join(headers, ""), len(body), body)
	out.sent = r.now()
	if !write(conn, text) {
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return out
	}
	out.status, out.header = resp.StatusCode, resp.Header
	out.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	all, err := io.ReadAll(resp.Body)
	out.body, out.whole = string(all), err == nil
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retry = time.Duration(seconds * float64(time.Second))
	}
	return out
}
