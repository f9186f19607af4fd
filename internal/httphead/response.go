package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// The statuses that HTTP has (RFC 9110, section 15).
const (
	leastStatus = 100
	mostStatus  = 599

	switchingProtocols = 101 // no request of ours asks for that
	leastFinal         = 200 // the statuses below only tell that the answer is still to come
)

const (
	versionLength = len("HTTP/1.1")
	statusLength  = len("200")
)

// The errors of answers.
var (
	errVersion       = &Error{"answer does not begin with HTTP/1.1 or HTTP/1.0"}
	errStatus        = &Error{"status is none of 100 to 599"}
	errSwitched      = &Error{"answer switches protocols unasked"}
	errTwoLengths    = &Error{"Content-Length comes twice"}
	errLength        = &Error{"Content-Length is no length"}
	errTwoCodings    = &Error{"Transfer-Encoding comes twice"}
	errCoding        = &Error{"Transfer-Encoding is not chunked"}
	errLengthChunked = &Error{"Content-Length beside Transfer-Encoding"}
	errOldChunked    = &Error{"Transfer-Encoding in HTTP/1.0"}

	// ErrTooLarge is the error of an answer whose head does not fit into the reader's buffer.
	ErrTooLarge = &Error{"head is larger than the buffer"}
)

// Response is the head of an answer.
type Response struct {
	Status int
	Length int // of the head in bytes, with the empty lines in front of it and behind it
}

// IsFinal tells whether the head is that of the answer itself: others may go in front of it.
func (r Response) IsFinal() bool { return r.Status >= leastFinal }

// ScanResponse looks at as much of an answer's head as has come. whole is false where the empty line behind it has not come and all that
// has is sound so far. Errors are of type Error: the bytes are no answer.
func ScanResponse(come []byte) (head Response, whole bool, err error) {
	line, fields, whole, err := cutLine(skipEmptyLines(come))
	if err != nil || !whole {
		return Response{}, false, err
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return Response{}, false, err
	}
	var body framing
	size, whole, err := scanFields(come, fields, body.take)
	if err != nil || !whole {
		return Response{}, false, err
	}
	isOld := bytes.HasPrefix(line, []byte("HTTP/1.0"))
	if err := body.check(isOld); err != nil {
		return Response{}, false, err
	}
	return Response{Status: status, Length: size}, true, nil
}

// PeekResponse waits until the head of an answer has come whole, and gives it with its bytes, which stay in the reader and are good until
// its next use. Errors are those of the connection, and of type Error where the bytes are no answer.
func PeekResponse(reader *bufio.Reader) (head Response, raw []byte, err error) {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return Response{}, nil, notEnd(err, wanted)
		}
		come, _ := reader.Peek(reader.Buffered()) // comes from memory
		head, whole, err := ScanResponse(come)
		if err != nil {
			return Response{}, nil, err
		}
		if whole {
			return head, come[:head.Length], nil
		}
		if len(come) == reader.Size() {
			return Response{}, nil, ErrTooLarge
		}
		wanted = len(come) + 1
	}
}

// notEnd tells a connection that ends within a head, where so many bytes were wanted, from one that ends in front of it.
func notEnd(err error, wanted int) error {
	if wanted > 1 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseStatusLine gives the status. A reason need not follow it, nor the blank in front of one.
func parseStatusLine(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) {
		return 0, errVersion
	}
	digits, _, _ := bytes.Cut(line[versionLength+1:], []byte(" "))
	status, ok := parseDigits(digits)
	if !ok || len(digits) != statusLength || status < leastStatus || status > mostStatus {
		return 0, errStatus
	}
	if status == switchingProtocols {
		return 0, errSwitched
	}
	return int(status), nil
}

// parseDigits reads a number that consists of digits alone.
func parseDigits(digits []byte) (int64, bool) {
	for _, b := range digits {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	number, err := strconv.ParseInt(string(digits), 10, 64)
	return number, err == nil
}

// framing is what a head says of the length of its body.
type framing struct {
	hasLength, hasCoding bool
}

// take notes a field. A length that comes twice leaves open where the next message begins, even where both are the same.
func (f *framing) take(line field) error {
	switch {
	case bytes.EqualFold(line.name, []byte("Content-Length")):
		if f.hasLength {
			return errTwoLengths
		}
		f.hasLength = true
		if _, ok := parseDigits(line.value); !ok {
			return errLength
		}
	case bytes.EqualFold(line.name, []byte("Transfer-Encoding")):
		if f.hasCoding {
			return errTwoCodings
		}
		f.hasCoding = true
		if !bytes.EqualFold(line.value, []byte("chunked")) {
			return errCoding
		}
	}
	return nil
}

// check tells whether the fields agree with one another. isOld: the message is of HTTP/1.0, which has no chunks.
func (f *framing) check(isOld bool) error {
	switch {
	case f.hasCoding && f.hasLength:
		return errLengthChunked
	case f.hasCoding && isOld:
		return errOldChunked
	}
	return nil
}
