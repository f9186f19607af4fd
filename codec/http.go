package codec

// http.go owns HTTP/1.1: messages are parsed from a ring as they come, heads are written. It must never guess
// where a message ends: where that is told twice, or not at all, the message is a fault.

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Bounds of an HTTP message.
const (
	MostBody   = 64 << 10
	mostHead   = 16 << 10
	mostFields = 100
	mostBlank  = 4 // lines before a message

	leastStatus, mostStatus = 100, 599 // that HTTP has
)

// Fault is a message that can't be taken, with the status that says so.
type Fault struct {
	Status int
	Text   string
}

func (f *Fault) Error() string { return f.Text }

func fault(status int, format string, args ...any) *Fault {
	return &Fault{status, fmt.Sprintf(format, args...)}
}

// Head is the start line and the header fields of a message.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Old            bool   // HTTP/1.0
	fields         []field
}

type field struct{ name, value string }

// Get returns a field's value, and how often it came. Names are in lower case.
func (h *Head) Get(name string) (value string, times int) {
	for _, f := range h.fields {
		if f.name == name {
			if times++; times == 1 {
				value = f.value
			}
		}
	}
	return value, times
}

// has tells whether a list of words holds one, in any case.
func (h *Head) has(name, word string) bool {
	for _, f := range h.fields {
		if f.name == name {
			for w := range strings.SplitSeq(f.value, ",") {
				if strings.EqualFold(strings.TrimSpace(w), word) {
					return true
				}
			}
		}
	}
	return false
}

// Closes tells whether the connection ends with this message.
func (h *Head) Closes() bool {
	return h.has("connection", "close") || h.Old && !h.has("connection", "keep-alive")
}

// Continues tells whether the sender waits for a 100 before its body.
func (h *Head) Continues() bool { return h.has("expect", "100-continue") }

// Step is what a Parser has come to.
type Step int

const (
	More  Step = iota // the ring holds nothing to go on with
	Begun             // the head is whole
	Data              // a piece of the body
	Ended             // the message is whole
)

type parserState int

const (
	startLine parserState = iota
	fieldLines
	headEnds
	bodyByLength
	chunkLine
	chunkData
	chunkEnd
	trailers
	untilClose
	messageEnds
)

// Parser reads messages from a ring as they come. Its zero value reads requests.
type Parser struct {
	Head      Head
	Responses bool

	state parserState
	line  []byte
	size  int // of the head or trailers so far
	blank int // lines before the message
	left  int64
	body  int64
}

// Between tells whether nothing of a next message has been read from the ring.
func (p *Parser) Between() bool { return p.state == startLine && p.size == 0 }

// Next goes on by one step. The bytes of a piece of the body stay valid until the ring is next used. After
// an error the parser is of no more use, as nobody knows where a next message would begin.
func (p *Parser) Next(r *Ring) (Step, []byte, error) {
	for {
		switch p.state {
		case startLine, fieldLines, chunkLine, chunkEnd, trailers:
			line, whole := r.Line(p.line[:0])
			p.line = line
			if !whole {
				if r.Free() == 0 {
					return More, nil, fault(http.StatusRequestHeaderFieldsTooLarge, "a line is too long")
				}
				return More, nil, nil
			}
			if err := p.take(string(line)); err != nil {
				return More, nil, err
			}
		case headEnds:
			if err := p.frame(); err != nil {
				return More, nil, err
			}
			return Begun, nil, nil
		case bodyByLength, chunkData, untilClose:
			if p.state != untilClose && p.left == 0 {
				if p.state == bodyByLength {
					p.state = messageEnds
				} else {
					p.state = chunkEnd
				}
				continue
			}
			piece := r.Head()
			if len(piece) == 0 {
				return More, nil, nil
			}
			if p.state != untilClose {
				piece = piece[:min(int64(len(piece)), p.left)]
				p.left -= int64(len(piece))
			}
			r.Skip(len(piece))
			return Data, piece, nil
		case messageEnds:
			p.state, p.size, p.blank, p.body = startLine, 0, 0, 0
			return Ended, nil, nil
		}
	}
}

// take takes a whole line.
func (p *Parser) take(line string) error {
	p.size += len(line) + 2
	if p.size > mostHead {
		return fault(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
	}
	switch p.state {
	case startLine:
		if line == "" { // left over from a message before
			if p.blank++; p.blank > mostBlank {
				return fault(http.StatusBadRequest, "nothing but empty lines")
			}
			p.size = 0
			return nil
		}
		p.Head, p.state = Head{}, fieldLines
		return p.start(line)
	case fieldLines:
		if line == "" {
			p.state = headEnds
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) || strings.ContainsFunc(value, isControl) {
			return fault(http.StatusBadRequest, "a header field is malformed")
		}
		if len(p.Head.fields) == mostFields {
			return fault(http.StatusRequestHeaderFieldsTooLarge, "too many header fields")
		}
		p.Head.fields = append(p.Head.fields, field{strings.ToLower(name), strings.Trim(value, " \t")})
	case chunkLine:
		digits, _, _ := strings.Cut(line, ";") // extensions are skipped
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil {
			return fault(http.StatusBadRequest, "a chunk's length is malformed")
		}
		if p.body += int64(n); p.body > MostBody && !p.Responses {
			return fault(http.StatusRequestEntityTooLarge, "the body is too large")
		}
		p.size = 0
		if p.left, p.state = int64(n), chunkData; n == 0 {
			p.state = trailers
		}
	case chunkEnd:
		if line != "" {
			return fault(http.StatusBadRequest, "a chunk is longer than it says")
		}
		p.state, p.size = chunkLine, 0
	case trailers:
		if line == "" {
			p.state = messageEnds
		}
	}
	return nil
}

func (p *Parser) start(line string) error {
	words := strings.Split(line, " ")
	if p.Responses {
		if len(words) < 2 || words[0] != "HTTP/1.1" && words[0] != "HTTP/1.0" || len(words[1]) != 3 {
			return fault(http.StatusBadGateway, "the status line is malformed")
		}
		n, err := strconv.ParseUint(words[1], 10, 16)
		if err != nil {
			return fault(http.StatusBadGateway, "the status line is malformed")
		}
		if n < leastStatus || n > mostStatus {
			return fault(http.StatusBadGateway, "the status is none of 100 to 599")
		}
		p.Head.Status, p.Head.Old = int(n), words[0] == "HTTP/1.0"
		return nil
	}
	if len(words) != 3 || !isToken(words[0]) || words[1] == "" || strings.ContainsFunc(words[1], isControl) ||
		strings.Contains(words[1], "\t") {
		return fault(http.StatusBadRequest, "the request line is malformed")
	}
	p.Head.Method, p.Head.Target, p.Head.Old = words[0], words[1], words[2] == "HTTP/1.0"
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		return fault(http.StatusHTTPVersionNotSupported, "only HTTP/1 is spoken")
	}
	return nil
}

// frame finds out how the body's end is told.
func (p *Parser) frame() error {
	length, lengths := p.Head.Get("content-length")
	coding, codings := p.Head.Get("transfer-encoding")
	switch {
	case lengths > 1 || codings > 1 || lengths > 0 && codings > 0:
		return fault(http.StatusBadRequest, "the body's length is told twice")
	case codings == 1:
		if p.Head.Old {
			return fault(http.StatusBadRequest, "HTTP/1.0 has no chunks")
		}
		if !strings.EqualFold(coding, "chunked") {
			return fault(http.StatusNotImplemented, "only chunked transfer coding is known")
		}
		p.state, p.size = chunkLine, 0
	case lengths == 1:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return fault(http.StatusBadRequest, "Content-Length is malformed")
		}
		if n > MostBody && !p.Responses {
			return fault(http.StatusRequestEntityTooLarge, "the body is too large")
		}
		p.state, p.left = bodyByLength, int64(n)
	case p.Responses && p.Head.Status != http.StatusNoContent && p.Head.Status != http.StatusNotModified &&
		p.Head.Status >= http.StatusOK:
		p.state = untilClose
	default:
		p.state = messageEnds
	}
	return nil
}

// isControl: bytes that neither a start line nor a field may hold. A tab is allowed in a field alone.
func isControl(b rune) bool { return b < ' ' && b != '\t' || b == 0x7f }

func isToken(s string) bool {
	for i := range len(s) {
		b := s[i]
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0) {
			return false
		}
	}
	return s != ""
}

var errNumber = errors.New("no number that makes sense")

// Millis reads a header's time in whole milliseconds: digits and nothing else.
func Millis(value string) (int64, error) {
	x, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errNumber
	}
	return int64(x), nil
}

// AppendResponse appends the head of a response with a body of so many bytes. More fields, if any, each end
// in CR LF.
func AppendResponse(out []byte, status, length int, closes bool, more string) []byte {
	out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s",
		status, http.StatusText(status), length, more)
	if closes {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// AppendContinue appends the response that asks for a body.
func AppendContinue(out []byte) []byte { return append(out, "HTTP/1.1 100 Continue\r\n\r\n"...) }

// AppendGet appends a request for a target.
func AppendGet(out []byte, host, target string) []byte {
	return fmt.Appendf(out, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, host)
}
