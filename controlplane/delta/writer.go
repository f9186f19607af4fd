package delta

import (
	"bytes"
	"sync"
)

// remembered is how many contents and how many written forms a Writer keeps.
const remembered = 4

// Writer writes the contents of one register. It remembers the newest contents, so that a reader which has one of them gets the
// change alone, and the forms written last, so that many readers cost one writing. It may be used by several goroutines.
type Writer struct {
	mu       sync.Mutex
	contents []known    // newest last
	written  []*Content // newest last
}

type known struct {
	hash, data []byte
}

// Learn notes a content that readers may have, and gives its hash.
func (w *Writer) Learn(data []byte) []byte {
	w.mu.Lock()
	if n := len(w.contents); n > 0 && bytes.Equal(w.contents[n-1].data, data) {
		defer w.mu.Unlock()
		return w.contents[n-1].hash
	}
	w.mu.Unlock()
	hash := Hash(data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.contents = append(w.contents, known{hash, data})
	if len(w.contents) > remembered {
		w.contents = w.contents[1:]
	}
	return hash
}

// Write writes a content for a reader that has the content with the hash has; nil: it has none.
func (w *Writer) Write(data, has []byte) *Content {
	hash := w.Learn(data)
	base := w.content(has)
	w.mu.Lock()
	for _, c := range w.written {
		if bytes.Equal(c.Hash, hash) && ((base == nil && c.Form != Against) || (base != nil && bytes.Equal(c.Base, has))) {
			defer w.mu.Unlock()
			return c
		}
	}
	w.mu.Unlock()
	c := Whole(data)
	if base != nil {
		c = Change(base, data)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = append(w.written, c)
	if len(w.written) > remembered {
		w.written = w.written[1:]
	}
	return c
}

// content gives the content with a hash, or nil.
func (w *Writer) content(hash []byte) []byte {
	if len(hash) == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.contents {
		if bytes.Equal(k.hash, hash) && len(k.data) > 0 {
			return k.data
		}
	}
	return nil
}
