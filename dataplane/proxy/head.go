package proxy

// The bytes of an answer's head, as they came: what is read into fields no longer shows that two heads have run into one another.

import (
	"bufio"
	"bytes"
	"regexp"
)

// statusLine begins an answer, and protocolName that.
var (
	statusLine   = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)
	protocolName = []byte("HTTP/1.")
)

// holdsTwoHeads waits until a head has come whole, or as much of it as the reader holds, and tells whether a second answer begins within
// it. Nothing of it is taken from the reader. Errors are those of the connection; what is no head at all is left for its parser to tell.
func holdsTwoHeads(reader *bufio.Reader) (bool, error) {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return false, err
		}
		come, _ := reader.Peek(reader.Buffered()) // is there: it comes from memory
		end := headEnd(come)
		if end < 0 && len(come) < reader.Size() {
			wanted = len(come) + 1
			continue
		}
		if end >= 0 {
			come = come[:end]
		}
		return bytes.Count(come, protocolName) > 1 && len(statusLine.FindAllIndex(come, 2)) > 1, nil
	}
}

// headEnd gives where the empty line behind a head begins, however its lines end; -1: it has not come. Empty lines before a head are none.
func headEnd(come []byte) int {
	begins := len(come) - len(bytes.TrimLeft(come, "\r\n"))
	for at := begins; ; {
		line := bytes.IndexByte(come[at:], '\n')
		if line < 0 {
			return -1
		}
		at += line + 1
		if rest := come[at:]; bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return at
		}
	}
}
