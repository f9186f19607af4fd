package proxy

// The heads of answers, looked at on their bytes as they came: what is read into fields no longer shows that they were no head, or that two
// heads have run into one another.

import (
	"bytes"
	"regexp"

	"github.com/valyala/fasthttp"

	"moleshift/internal/httphead"
)

// statusLine begins an answer, and protocolName that.
var (
	statusLine   = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)
	protocolName = []byte("HTTP/1.")
)

// holdsTwoHeads tells whether a second answer begins within the bytes of a head.
func holdsTwoHeads(head []byte) bool {
	return bytes.Count(head, protocolName) > 1 && len(statusLine.FindAllIndex(head, 2)) > 1
}

// readHead reads the head of an answer, past those that only tell to go on. Errors are those of the connection, and of bytes that are no
// answer: then nothing is known of the request, and the connection must not be used again.
func (p *Proxy) readHead(a *reply) error {
	a.holdsTwo = false
	for {
		head, raw, err := httphead.PeekResponse(a.conn.reader)
		if err != nil {
			return err
		}
		a.holdsTwo = a.holdsTwo || holdsTwoHeads(raw)
		a.header.Reset()
		a.header.SetNoDefaultContentType(true)
		if err := a.header.Read(a.conn.reader); err != nil {
			return err
		}
		if head.IsFinal() {
			break
		}
	}
	a.conn.heads++
	a.conn.noteKeepAlive(&a.header)
	return nil
}

// noteKeepAlive notes how long the server keeps an idle connection, where the answer tells.
func (c *serverConn) noteKeepAlive(h *fasthttp.ResponseHeader) {
	if keep, ok := keepAlive(string(h.Peek("Keep-Alive"))); ok {
		c.keep = keep
	}
}
