package soak

// Answers of stand-in servers whose head is none: a status or a name of a field that HTTP does not have, lines that are no fields, lengths
// that are told in a way that is not allowed. None of them is an answer to its request.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// soundAnswer is what a broken answer is made of.
type soundAnswer struct {
	fields []string // its lines, but for what tells the length of the body
	body   string
}

// text puts an answer together, with lines of its own behind the fields.
func (a *soundAnswer) text(statusLine, body string, lines ...string) string {
	head := append(append([]string{statusLine}, a.fields...), lines...)
	return strings.Join(head, "\r\n") + "\r\n\r\n" + body
}

// whole puts an answer together that tells the length of its body.
func (a *soundAnswer) whole(statusLine string, lines ...string) string {
	return a.text(statusLine, a.body, append(lines, a.length())...)
}

func (a *soundAnswer) length() string { return "Content-Length: " + strconv.Itoa(len(a.body)) }

// inChunk gives the body as one chunk.
func (a *soundAnswer) inChunk() string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
}

const soundStatusLine = "HTTP/1.1 200 OK"

// brokenHead makes an answer whose head is none. b is a byte that no name of a field may hold.
type brokenHead func(a *soundAnswer, b byte) string

// brokenHeads are the ways in which a head is broken.
var brokenHeads = []brokenHead{
	func(a *soundAnswer, _ byte) string { return a.whole("HTTP/1.1 000 OK") },
	func(a *soundAnswer, _ byte) string { return a.whole("HTTP/1.1 099 OK") },
	func(a *soundAnswer, _ byte) string { return a.whole("HTTP/1.1 777 OK") },
	func(a *soundAnswer, _ byte) string { return a.whole("HTTP/1.1 200 O\x02K") },
	func(a *soundAnswer, _ byte) string { return "HTTP/1.1 000 Continue\r\n\r\n" + a.whole(soundStatusLine) },
	func(a *soundAnswer, _ byte) string { return a.whole(soundStatusLine, "X Y: 1") },
	func(a *soundAnswer, _ byte) string { return a.whole(soundStatusLine, "X-Y : 1") },
	func(a *soundAnswer, b byte) string { return a.whole(soundStatusLine, "X"+string([]byte{b})+"Y: 1") },
	func(a *soundAnswer, b byte) string { return a.whole(soundStatusLine, "X-Y"+string([]byte{b})+": 1") },
	func(a *soundAnswer, _ byte) string { return a.whole(soundStatusLine, " X-Y: 1") },
	func(a *soundAnswer, _ byte) string { return a.whole(soundStatusLine, "\tX-Y: 1") },
	func(a *soundAnswer, _ byte) string { return a.whole(soundStatusLine, "X-Y: a\x01b") },
	func(a *soundAnswer, _ byte) string { return a.text(soundStatusLine, a.body, a.length()+"\r\n\nX-Y: 1") },
	func(a *soundAnswer, _ byte) string {
		return a.text(soundStatusLine, a.body, strings.Replace(a.length(), "t-L", "t -L", 1))
	},
	func(a *soundAnswer, _ byte) string {
		return a.text(soundStatusLine, a.body, strings.Replace(a.length(), ":", " :", 1))
	},
	func(a *soundAnswer, _ byte) string {
		return a.text(soundStatusLine, a.inChunk(), "Transfer -Encoding: chunked")
	},
	func(a *soundAnswer, _ byte) string {
		return a.text(soundStatusLine, a.inChunk(), "Transfer-Encoding : chunked")
	},
	func(a *soundAnswer, _ byte) string {
		return a.text("HTTP/1.0 200 OK", a.inChunk(), "Transfer-Encoding: chunked")
	},
	func(a *soundAnswer, _ byte) string {
		return a.text(soundStatusLine, a.inChunk(), "Transfer-Encoding: chunked", a.length())
	},
}

// noToken are bytes that no name of a field may hold. A colon ends one, and a line feed the line.
const noToken = "\x00\x01\t\v\f\r\x1b \"(),/;<=>?@[\\]{}\x7f\x80\xff"

// brokenLinger is how long some connections stay open behind a broken head, for whoever would use them again.
const brokenLinger = 300 * time.Millisecond

// brokenAnswer is an answer whose head is none.
type brokenAnswer struct {
	head    brokenHead
	byte    byte // for those that hold one that may not be
	lingers bool // its connection stays open for a while
}

// send takes a request's connection over and sends the answer on it.
func (b *brokenAnswer) send(w http.ResponseWriter, a *soundAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, b.head(a, b.byte)); err != nil || !b.lingers {
		return // its caller has left, or is not waited for
	}
	_ = conn.SetReadDeadline(time.Now().Add(brokenLinger))
	_, _ = conn.Read(make([]byte, 1)) // ends when the caller closes the connection, sends more, or the time is over
}

// answerBroken works on a request and sends what would be its answer but for the head.
func (s *modelServer) answerBroken(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, version int64, run *execution, broken *brokenAnswer) {
	a := &soundAnswer{fields: fieldsOf(w.Header()), body: answerTo(id)}
	if s.service == modelService {
		first, last := eventsOf(r)
		a.fields = append(a.fields, streamFields(version)...)
		a.body = eventsText(id, first, last)
	}
	pause(ctx, batchWork)
	run.breakOff()
	broken.send(w, a)
}
