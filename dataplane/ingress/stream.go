package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
)

// stream is a client's connection with what was read of it beforehand and what is still to be written.
type stream struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newStream(c net.Conn, maxHeader int) *stream {
	return &stream{Conn: c, reader: bufio.NewReaderSize(c, maxHeader), writer: bufio.NewWriterSize(c, writerSize)}
}

// limitHead bounds the head of the next request, in bytes: it is read within the reader's buffer. What was read already stays; where that
// is more than the new bound, the old one holds for one request more.
func (s *stream) limitHead(size int) {
	buffered := s.reader.Buffered()
	if size == s.reader.Size() || buffered > size {
		return
	}
	begun, err := s.reader.Peek(buffered)
	if err != nil {
		return // nothing more is to be had of it
	}
	s.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(begun)), s.Conn), size)
	_, _ = s.reader.Peek(buffered) // is there: it comes from memory
}
