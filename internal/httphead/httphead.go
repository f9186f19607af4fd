// Package httphead tells whether the head of an HTTP/1.1 message, and what frames its body, is sound by RFC 9112, sections 2 to 7, on the
// bytes as they came.
//
// Parsers forgive much: they drop blanks from names, join folded lines, take any three digits for a status. What they have read no longer
// shows that it was no message, so the bytes are looked at before a parser sees them. Nothing is mended here: a head is sound or it is none.
package httphead

import (
	"bufio"
	"bytes"
)

// Error is the error of bytes that are no head of a message.
type Error struct {
	Reason string // what is wrong, for the log
}

// Error tells what is wrong with the bytes.
func (e *Error) Error() string { return "malformed HTTP message: " + e.Reason }

// The errors of lines.
var (
	errHeadEnd     = &Error{"head does not end with CR LF CR LF"}
	errControlByte = &Error{"control byte within a line"}
	errFolded      = &Error{"line begins with a blank"}
	errNoColon     = &Error{"field has no colon"}
	errName        = &Error{"name of a field is no token"}
)

// cutLine takes the first line off bytes that have come. whole is false where its end has not come yet. A line ends with CR LF or with LF
// alone (RFC 9112, section 2.2) and holds no control byte but tabs.
func cutLine(come []byte) (line, rest []byte, whole bool, err error) {
	end := bytes.IndexByte(come, '\n')
	if end < 0 {
		return nil, come, false, nil
	}
	line = bytes.TrimSuffix(come[:end], []byte("\r"))
	if bytes.ContainsFunc(line, isControl) {
		return nil, come, false, errControlByte
	}
	return line, come[end+1:], true, nil
}

// isControl tells whether a line may not hold a character: all bytes over 127 may stand in values and reasons.
func isControl(b rune) bool { return b < ' ' && b != '\t' || b == 0x7f }

// skipEmptyLines leaves out empty lines in front of a message. They belong to none.
func skipEmptyLines(come []byte) []byte {
	for {
		line, rest, whole, err := cutLine(come)
		if err != nil || !whole || len(line) > 0 {
			return come
		}
		come = rest
	}
}

// field is one line of a head or of trailers.
type field struct {
	name, value []byte
}

// parseField takes a line apart. It holds no control byte.
func parseField(line []byte) (field, error) {
	if bytes.HasPrefix(line, []byte(" ")) || bytes.HasPrefix(line, []byte("\t")) {
		return field{}, errFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return field{}, errNoColon
	}
	if !isToken(name) {
		return field{}, errName
	}
	return field{name, bytes.Trim(value, " \t")}, nil
}

// tokenMarks are the bytes of a token that are no letters or digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken tells whether bytes are a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		case bytes.IndexByte([]byte(tokenMarks), b) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}

// headEnd is how a head ends. Lines that end with LF alone could end it too: but then a name that begins with LF would pass for the end of
// the head, and what follows for the body.
var headEnd = []byte("\r\n\r\n")

// scanFields reads the field lines of a head up to the empty line behind them. message is the head from its beginning on, come what follows
// its first line. size is the head's whole length in bytes; whole is false where its end has not come yet.
func scanFields(message, come []byte, take func(field) error) (size int, whole bool, err error) {
	for {
		line, rest, whole, err := cutLine(come)
		if err != nil || !whole {
			return 0, false, err
		}
		come = rest
		if len(line) == 0 {
			break
		}
		f, err := parseField(line)
		if err != nil {
			return 0, false, err
		}
		if err := take(f); err != nil {
			return 0, false, err
		}
	}
	size = len(message) - len(come)
	if !bytes.HasSuffix(message[:size], headEnd) {
		return 0, false, errHeadEnd
	}
	return size, true, nil
}

// ScanRequest looks at as much of a request's head as has come: its field lines are sound so far. The request line is left to the parser.
// whole tells that the empty line behind the head has come.
func ScanRequest(come []byte) (whole bool, err error) {
	_, fields, whole, err := cutLine(skipEmptyLines(come))
	if err != nil || !whole {
		return false, err
	}
	_, whole, err = scanFields(come, fields, func(field) error { return nil })
	return whole, err
}

// PeekRequest waits until the head of a request has come whole and is sound. Nothing of it is taken from the reader. The only errors are of
// type Error; what else may be wrong, such as a head that breaks off or does not fit, is left to the parser.
func PeekRequest(reader *bufio.Reader) error {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return nil
		}
		come, _ := reader.Peek(reader.Buffered()) // comes from memory
		whole, err := ScanRequest(come)
		if err != nil || whole {
			return err
		}
		wanted = len(come) + 1
	}
}
