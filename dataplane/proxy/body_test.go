package proxy

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// halting gives its bytes in pieces, with a timeout before each.
type halting struct {
	pieces []string
	halted bool
}

func (h *halting) Read(p []byte) (int, error) {
	if h.halted = !h.halted; h.halted {
		return 0, os.ErrDeadlineExceeded
	}
	if len(h.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, h.pieces[0])
	h.pieces = h.pieces[1:]
	return n, nil
}

// Wherever the wait for a body's next bytes times out, reading goes on behind it as if it had not.
func TestBodyGoesOnBehindATimeout(t *testing.T) {
	const text = "4\r\nabcd\r\n12;x=y\r\nefghijklmnopqrstuv\r\n0\r\nTrailer: x\r\n\r\n"
	for size := 1; size <= len(text); size++ {
		source := &halting{}
		for at := 0; at < len(text); at += size {
			source.pieces = append(source.pieces, text[at:min(at+size, len(text))])
		}
		var h fasthttp.ResponseHeader
		h.SetContentLength(-1)
		body := newBodyReader(bufio.NewReader(source), &h)
		var got []byte
		for {
			piece := make([]byte, 7)
			n, err := body.Read(piece)
			got = append(got, piece[:n]...)
			if errors.Is(err, io.EOF) {
				break
			}
			must.True(t, err == nil || isTimeout(err), must.Sprint(err))
		}
		must.Eq(t, "abcdefghijklmnopqrstuv", string(got), must.Sprint(size))
	}
}

// A stream can be taken up after its last event only where that event named an id.
func TestEventsWithoutIDs(t *testing.T) {
	for _, row := range []struct {
		text       string
		lastID     string
		unnumbered bool
	}{
		{"id: 4\ndata: x\n\n", "4", false},
		{"data: x\n\n", "", true},
		{"id: 4\ndata: x\n\ndata: y\n\n", "4", true},
		{"data: x\n\nid: 5\ndata: y\n\n", "5", false},
		{"id: 4\ndata: x\n\n: nothing yet\n\n", "4", false},
		{"id: 4\r\ndata: x\r\n\r\ndata: y\r\n\r\n", "4", true},
	} {
		events := eventBuffer{pending: []byte(row.text)}
		must.Eq(t, row.text, string(events.whole()))
		must.Eq(t, row.lastID, events.lastID, must.Sprint(row.text))
		must.Eq(t, row.unnumbered, events.unnumbered, must.Sprint(row.text))
	}
}

func TestEndlessLineBetweenChunksIsNoAnswer(t *testing.T) {
	source := &halting{}
	for range 2 * maxLine / 64 {
		source.pieces = append(source.pieces, strings.Repeat("0", 64))
	}
	var h fasthttp.ResponseHeader
	h.SetContentLength(-1)
	body := newBodyReader(bufio.NewReader(source), &h)
	var err error
	for err == nil || isTimeout(err) {
		_, err = body.Read(make([]byte, 7))
	}
	must.ErrorIs(t, err, errLongLine)
}

// Guards against the next answer, or any other bytes, being read as the framing of a body in chunks (RFC 9112, section 7).
func TestChunkedBodies(t *testing.T) {
	for name, row := range map[string]struct {
		text  string
		sound bool
	}{
		"plain":                        {"2\r\nok\r\n0\r\n\r\n", true},
		"extensions":                   {"02;a=\"b c\"\r\nok\r\n0;last\r\n\r\n", true},
		"blank before an extension":    {"2 ;a=b\r\nok\r\n0\r\n\r\n", true},
		"size in hexadecimal digits":   {"00a\r\nok34567890\r\n0\r\n\r\n", true},
		"trailers":                     {"2\r\nok\r\n0\r\nX-A: 1\r\nx-b:\t\xff\r\n\r\n", true},
		"blank before a size":          {" 2\r\nok\r\n0\r\n\r\n", false},
		"size with a sign":             {"+2\r\nok\r\n0\r\n\r\n", false},
		"size with a prefix":           {"0x2\r\nok\r\n0\r\n\r\n", false},
		"size with an underscore":      {"0_2\r\nok\r\n0\r\n\r\n", false},
		"no size":                      {"\r\nok\r\n0\r\n\r\n", false},
		"no size before an extension":  {";a\r\nok\r\n0\r\n\r\n", false},
		"size beyond all numbers":      {"fffffffffffffffffff\r\nok\r\n0\r\n\r\n", false},
		"two sizes":                    {"2 2\r\nok\r\n0\r\n\r\n", false},
		"two ends of a size's line":    {"2\r\r\nok\r\n0\r\n\r\n", false},
		"line feed behind a size":      {"2\nok\r\n0\r\n\r\n", false},
		"line feed behind a chunk":     {"2\r\nok\n0\r\n\r\n", false},
		"control byte in an extension": {"2;a\x01\r\nok\r\n0\r\n\r\n", false},
		"chunk longer than its size":   {"2\r\nokay\r\n0\r\n\r\n", false},
		"no chunk of size 0":           {"2\r\nok\r\n\r\n", false},
		"answer in place of trailers":  {"2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\nX: 1\r\n\r\n", false},
		"blank in a trailer's name":    {"2\r\nok\r\n0\r\nX Y: 1\r\n\r\n", false},
		"blank behind a trailer":       {"2\r\nok\r\n0\r\nX : 1\r\n\r\n", false},
		"folded trailer":               {"2\r\nok\r\n0\r\nX: 1\r\n y\r\n\r\n", false},
		"control byte in a trailer":    {"2\r\nok\r\n0\r\nX: \x00\r\n\r\n", false},
		"line feed ends the trailers":  {"2\r\nok\r\n0\r\n\n\r\n", false},
		"cut behind the chunks":        {"2\r\nok\r\n0\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			h.SetContentLength(-1)
			body := newBodyReader(bufio.NewReader(strings.NewReader(row.text)), &h)
			got, err := io.ReadAll(body)
			must.Eq(t, row.sound, err == nil && body.ended, must.Sprint(err))
			if row.sound {
				must.StrHasPrefix(t, "ok", string(got))
			}
		})
	}
}
