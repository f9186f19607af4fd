package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"moleshift/internal/httphead"
)

// The framings of a body.
const (
	framedByLength = iota
	framedByChunks
	framedByClose
)

// maxLine bounds a line between chunks, in bytes.
const maxLine = 4 << 10

// The errors of bodies in chunks.
var (
	errLongChunk = &httphead.Error{Reason: "chunk is longer than its size"}
	errLongLine  = &httphead.Error{Reason: "line between chunks is too long"}
)

// bodyReader reads the body of an answer as it comes; io.EOF comes only at its proper end. A read that timed out may be followed by
// another one, which goes on where that one stood.
type bodyReader struct {
	reader  *bufio.Reader
	framing int
	left    int64  // of the body, or of the chunk
	begun   []byte // a line that has not come whole
	between bool   // behind a chunk's data, before the end of its line
	trailer bool   // behind the last chunk, before the empty line
	ended   bool
}

func newBodyReader(reader *bufio.Reader, h *fasthttp.ResponseHeader) *bodyReader {
	b := &bodyReader{reader: reader}
	status := h.StatusCode()
	switch n := h.ContentLength(); {
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		b.ended = true
	case n >= 0:
		b.left, b.ended = int64(n), n == 0
	case n == -1:
		b.framing = framedByChunks
	default:
		b.framing = framedByClose
	}
	return b
}

// Read gives what has come, waiting only where nothing has.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	switch b.framing {
	case framedByClose:
		n, err := b.reader.Read(p)
		if errors.Is(err, io.EOF) {
			b.ended = true
		}
		return n, err
	case framedByChunks:
		if b.left == 0 {
			if err := b.nextChunk(); err != nil {
				return 0, err
			}
			if b.ended {
				return 0, io.EOF
			}
		}
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err != nil {
		return n, notEnd(err)
	}
	if b.left == 0 {
		b.ended = b.framing == framedByLength
		b.between = b.framing == framedByChunks
	}
	return n, nil
}

func notEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line reads a line outside the chunks' data; what has come of one that is not whole is kept for the next call.
func (b *bodyReader) line() ([]byte, error) {
	line, err := b.reader.ReadSlice('\n')
	if len(b.begun)+len(line) > maxLine {
		return nil, errLongLine
	}
	b.begun = append(b.begun, line...)
	if err != nil {
		return nil, notEnd(err)
	}
	whole := b.begun
	b.begun = nil
	return httphead.CutChunkLine(whole)
}

// nextChunk reads up to the data of the next chunk, or up to the end of the body.
func (b *bodyReader) nextChunk() error {
	if b.between {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errLongChunk
		}
		b.between = false
	}
	if !b.trailer {
		line, err := b.line()
		if err != nil {
			return err
		}
		if b.left, err = httphead.ParseChunkSize(line); err != nil {
			return err
		}
		b.trailer = b.left == 0
	}
	for b.trailer && !b.ended {
		if err := b.nextTrailer(); err != nil {
			return err
		}
	}
	return nil
}

// nextTrailer reads a line behind the last chunk. Trailers are not passed on.
func (b *bodyReader) nextTrailer() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	if len(line) == 0 {
		b.ended = true
		return nil
	}
	return httphead.CheckTrailer(line)
}

// eventBuffer gathers the bytes of a stream and gives whole events only.
type eventBuffer struct {
	pending    []byte
	lastID     string
	unnumbered bool // the last event with data had no id: no id tells where a stream taken up after it would have to go on
}

// whole gives the events that are whole, together, and keeps the rest. The bytes are good until the next call.
func (e *eventBuffer) whole() []byte {
	end := max(bytes.LastIndex(e.pending, []byte("\n\n")), bytes.LastIndex(e.pending, []byte("\n\r\n"))+1)
	if end < 1 {
		return nil
	}
	end += 2
	events := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.note(events)
	return events
}

// note keeps the id of the last event, and whether the last one with data had none.
func (e *eventBuffer) note(events []byte) {
	var numbered, data bool
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID, numbered = string(bytes.TrimSpace(value)), true
		}
		data = data || bytes.HasPrefix(line, []byte("data"))
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if data {
			e.unnumbered = !numbered
		}
		numbered, data = false, false
	}
}
