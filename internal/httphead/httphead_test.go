package httphead_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"moleshift/internal/httphead"
)

// pieces are what the drawn heads are made of: sound ones, and ones that break a head in most places.
var pieces = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.0 404\r\n", "HTTP/1.1 100 \r\n", "HTTP/1.1 000 X\r\n", "HTTP/1.1 2", "\r\n", "\n", "\r", " ", "\t", ":", "\x00", "\x7f", "\xff",
	"X: 1\r\n", "X-Y : 1\r\n", "A: b\n", " c\r\n", "Content-Length: 2\r\n", "Content-Length: +2\r\n", "Transfer-Encoding: chunked\r\n",
	"Transfer -Encoding: chunked\r\n", "Connection: close\r\n", "\r\n\r\n", "ok",
}

// What is called a sound head is one to the library that reads its fields too, with the same status and the same end.
func TestLibraryReadsEverySoundHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := "HTTP/1.1 200 OK\r\n" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 8).Draw(t, "pieces"), "") + "\r\n\r\n"
		head, whole, err := httphead.ScanResponse([]byte(text))
		if err != nil || !whole {
			return
		}
		reader := bufio.NewReader(strings.NewReader(text))
		var fields fasthttp.ResponseHeader
		must.NoError(t, fields.Read(reader))
		must.Eq(t, head.Status, fields.StatusCode())
		rest, err := io.ReadAll(reader)
		must.NoError(t, err)
		must.Eq(t, text[head.Length:], string(rest))
	})
}

// However a head is cut up, it is found to be the same, and what is wrong shows as soon as its line is there.
func TestHeadsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 8).Draw(t, "pieces"), "")
		head, whole, err := httphead.ScanResponse([]byte(text))
		for n := range len(text) {
			begun, isWhole, errBegun := httphead.ScanResponse([]byte(text[:n]))
			if errBegun != nil {
				must.ErrorIs(t, err, errBegun)
				return
			}
			if isWhole {
				must.True(t, whole)
				must.Eq(t, head, begun)
				return
			}
		}
	})
}

func TestPeekResponseTakesNothing(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"
	reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "body")))
	head, raw, err := httphead.PeekResponse(reader)
	must.NoError(t, err)
	must.Eq(t, httphead.Response{Status: 200, Length: len(text)}, head)
	must.Eq(t, text, string(raw))
	all, err := io.ReadAll(reader)
	must.NoError(t, err)
	must.Eq(t, text+"body", string(all))
}

func TestPeekResponseEnds(t *testing.T) {
	cut := errors.New("reset")
	for name, row := range map[string]struct {
		come io.Reader
		want error
	}{
		"connection ends":        {strings.NewReader("HTTP/1.1 200 OK\r\nX: 1\r\n"), io.ErrUnexpectedEOF},
		"connection ends before": {strings.NewReader(""), io.EOF},
		"connection breaks":      {io.MultiReader(strings.NewReader("HTTP/1.1 2"), iotest.ErrReader(cut)), cut},
		"head is too large":      {io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nX: "), bytes.NewReader(bytes.Repeat([]byte("x"), 8<<10))), httphead.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := httphead.PeekResponse(bufio.NewReader(row.come))
			must.ErrorIs(t, err, row.want)
		})
	}
}

func TestTrailers(t *testing.T) {
	for line, sound := range map[string]bool{
		"X: 1": true, "x-y:": true, "X: \xff": true, "": false, "X": false, " X: 1": false, "X : 1": false, ": 1": false,
		"HTTP/1.1 200 OK": false,
	} {
		must.Eq(t, sound, httphead.CheckTrailer([]byte(line)) == nil, must.Sprintf("%q", line))
	}
}

func TestRequests(t *testing.T) {
	for text, sound := range map[string]bool{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n":           true,
		"\r\nGET / HTTP/1.1\r\n\r\n":                  true,
		"GET / HTTP/1.1\r\nHost: h\r\nX Y: 1\r\n":     false,
		"GET / HTTP/1.1\r\nHost : h\r\n\r\n":          false,
		"GET / HTTP/1.1\r\n Host: h\r\n\r\n":          false,
		"GET / HTTP/1.1\r\nHost: h\r\n\nX: 1\r\n\r\n": false,
	} {
		whole, err := httphead.ScanRequest([]byte(text))
		must.Eq(t, sound, whole && err == nil, must.Sprintf("%q", text))
	}
}
