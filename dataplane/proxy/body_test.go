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
	must.ErrorIs(t, err, errGarbled)
}
