package httphead

import (
	"bytes"
	"strconv"
)

// chunkSizeBits bounds the size of one chunk.
const chunkSizeBits = 31

// The errors of lines between chunks.
var (
	errChunkLine = &Error{"line between chunks does not end with CR LF"}
	errChunkSize = &Error{"size of a chunk is none"}
)

// CutChunkLine takes the end off a line of a body in chunks, outside the chunks' data. It ends with CR LF: LF alone would do for lines of a
// head only.
func CutChunkLine(line []byte) ([]byte, error) {
	line, isCRLF := bytes.CutSuffix(line, []byte("\r\n"))
	if !isCRLF {
		return nil, errChunkLine
	}
	if bytes.ContainsFunc(line, isControl) {
		return nil, errControlByte
	}
	return line, nil
}

// ParseChunkSize gives the size in bytes that a line in front of a chunk tells (RFC 9112, section 7.1). Extensions are passed over.
func ParseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, chunkSizeBits)
	if err != nil {
		return 0, errChunkSize
	}
	return int64(size), nil
}

// CheckTrailer tells whether a line behind the last chunk, without its end, is a sound field.
func CheckTrailer(line []byte) error {
	_, err := parseField(line)
	return err
}
