// Package codec holds the parsers and writers of what travels on sockets: a ring buffer, HTTP/1.1, the JSON
// of queries and answers, and the frames of leaves. It takes bytes and gives bytes: it opens no socket,
// starts no goroutine, looks at no clock, and decides nothing. Whatever it is fed, it never panics and never
// holds more than its stated bounds.
package codec

import (
	"bytes"
	"errors"
	"io"
)

// Ring is a buffer of fixed size for one direction of one connection.
type Ring struct {
	buf   []byte
	start int // of what it holds
	n     int
}

// NewRing makes a ring that holds size bytes.
func NewRing(size int) *Ring { return &Ring{buf: make([]byte, size)} }

// Len is how much it holds.
func (r *Ring) Len() int { return r.n }

// Free is how much more it can take.
func (r *Ring) Free() int { return len(r.buf) - r.n }

// room is the first stretch of what is free that lies in one piece.
func (r *Ring) room() []byte {
	end := (r.start + r.n) % len(r.buf)
	return r.buf[end:min(end+r.Free(), len(r.buf))]
}

// Resize has it hold so many bytes from now on, and at least what it holds.
func (r *Ring) Resize(size int) {
	buf := make([]byte, max(size, r.n))
	copy(buf[copy(buf, r.Head()):], r.buf[:r.n-len(r.Head())])
	r.buf, r.start = buf, 0
}

// Fill takes what one read gives. It must have room.
func (r *Ring) Fill(from io.Reader) (int, error) {
	if r.n == 0 {
		r.start = 0
	}
	if r.Free() == 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := from.Read(r.room())
	r.n += n
	return n, err
}

// Head is the first stretch of what it holds that lies in one piece.
func (r *Ring) Head() []byte { return r.buf[r.start:min(r.start+r.n, len(r.buf))] }

// Skip lets go of the first n bytes.
func (r *Ring) Skip(n int) {
	r.start, r.n = (r.start+n)%len(r.buf), r.n-n
}

// Put takes as much of p as there is room for.
func (r *Ring) Put(p []byte) int {
	done := 0
	for done < len(p) && r.Free() > 0 {
		n := copy(r.room(), p[done:])
		r.n, done = r.n+n, done+n
	}
	return done
}

// Line appends what it holds up to the next LF to line and lets it go, without the line's end. It is false
// where the line has not come whole yet: then nothing is taken.
func (r *Ring) Line(line []byte) ([]byte, bool) {
	head := r.Head()
	rest := r.buf[:r.n-len(head)]
	if i := bytes.IndexByte(head, '\n'); i >= 0 {
		line = append(line, head[:i]...)
		r.Skip(i + 1)
	} else if j := bytes.IndexByte(rest, '\n'); j >= 0 {
		line = append(append(line, head...), rest[:j]...)
		r.Skip(len(head) + j + 1)
	} else {
		return line, false
	}
	return bytes.TrimSuffix(line, []byte{'\r'}), true
}

// Writer writes through a ring to a connection, and counts what the connection took.
type Writer struct {
	ring  *Ring
	to    io.Writer
	Taken int64 // by the connection
	Given int64 // to the writer
	err   error
}

// NewWriter makes a writer over a ring of its own.
func NewWriter(to io.Writer, size int) *Writer { return &Writer{ring: NewRing(size), to: to} }

var errShortWrite = errors.New("the connection took less than it said")

// Write takes all of p, sending on what the ring has no room for. The first error stays.
func (w *Writer) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) && w.err == nil {
		if w.ring.Free() == 0 {
			w.Flush()
			continue
		}
		n := w.ring.Put(p[done:])
		done, w.Given = done+n, w.Given+int64(n)
	}
	return done, w.err
}

// Flush sends on all that the ring holds.
func (w *Writer) Flush() error {
	for w.err == nil && w.ring.Len() > 0 {
		head := w.ring.Head()
		n, err := w.to.Write(head)
		w.Taken += int64(n)
		w.ring.Skip(n)
		if w.err = err; err == nil && n < len(head) {
			w.err = errShortWrite
		}
	}
	return w.err
}
