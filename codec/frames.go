package codec

// frames.go owns the frames that travel to and from leaves. It must never make up an outcome or a value: a
// line that does not read as the protocol has it is an error.

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"moleshift/choice"
	"moleshift/config"
)

// The letters of frames.
const (
	LetterCall   = 'D'
	LetterGiveUp = 'K'
	LetterProbe  = 'I'
	LetterLoad   = 'U'
	LetterAnswer = 'O'
	LetterBroken = 'Z'
)

// MostFrame bounds what a leaf may send in one frame: a value, and the line before it.
const MostFrame = MostBody + 1024

const (
	frameHead  = 4
	smallFrame = 1024 // for which no room is asked: what is read for it is in the ring's own size
)

var (
	errFrame  = errors.New("a frame's length is out of range")
	errAnswer = errors.New("an answer's line is malformed")
)

// Frame is one frame without its length.
type Frame struct {
	Letter byte
	Rest   []byte
	Cut    bool // there was no room for it: Rest ends with the line before its value
	Size   int  // of Rest, as room was asked for; 0: none was
}

// FrameReader reads frames from a ring as they come.
type FrameReader struct {
	Most int                 // bytes in a frame
	Room func(size int) bool // asked once for each frame of some size; nil: there always is

	size int // that there is room for
	cut  bool
	head []byte
	rest []byte
	left int
}

// Begun tells whether part of a frame has been read from the ring.
func (f *FrameReader) Begun() bool { return len(f.head) > 0 }

// Next returns the next whole frame; false where the ring holds too little.
func (f *FrameReader) Next(r *Ring) (Frame, bool, error) {
	for r.Len() > 0 {
		if len(f.head) < frameHead {
			f.head = append(f.head, r.Head()[0])
			r.Skip(1)
			if len(f.head) < frameHead {
				continue
			}
			n := binary.BigEndian.Uint32(f.head)
			if n == 0 || int64(n) > int64(f.Most) {
				return Frame{}, false, errFrame
			}
			f.left, f.rest, f.size, f.cut = int(n), nil, 0, false
			if f.Room != nil && f.left > smallFrame {
				if f.cut = !f.Room(f.left); !f.cut {
					f.size = f.left
				}
			}
			continue
		}
		piece := r.Head()
		piece = piece[:min(len(piece), f.left)]
		if f.cut {
			f.skip(piece)
		} else {
			f.rest = append(f.rest, piece...)
		}
		f.left -= len(piece)
		r.Skip(len(piece))
		if f.left == 0 {
			frame := Frame{f.rest[0], f.rest[1:], f.cut, f.size}
			f.head, f.rest, f.size = f.head[:0], nil, 0
			return frame, true, nil
		}
	}
	return Frame{}, false, nil
}

// skip keeps the letter and the line of a frame that there is no room for, so that the connection goes on and the part's
// fate can be told.
func (f *FrameReader) skip(piece []byte) {
	if len(f.rest) > 0 && f.rest[len(f.rest)-1] == '\n' || len(f.rest) >= smallFrame {
		return
	}
	if i := bytes.IndexByte(piece, '\n'); i >= 0 {
		piece = piece[:i+1]
	}
	f.rest = append(f.rest, piece[:min(len(piece), smallFrame-len(f.rest))]...)
}

// Drop tells how much room the frame that has begun was given, for one whose end never comes.
func (f *FrameReader) Drop() int {
	size := f.size
	f.size = 0
	return size
}

// AppendFrame appends a short frame.
func AppendFrame(to []byte, letter byte, rest string) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(rest)+1))
	return append(append(to, letter), rest...)
}

// PartSent is one part of a call. Wait is how long its answer is waited for, in milliseconds.
type PartSent struct {
	ID    string
	Shard int
	Wait  int64
	More  string // further words of its list, such as ",v=3"; empty: none
	Text  []byte
}

// AppendCall appends one call: a frame with all its parts.
func AppendCall(to []byte, parts []PartSent) []byte {
	head := len(to)
	to = append(to, 0, 0, 0, 0, LetterCall)
	for _, p := range parts {
		to = append(append(append(to, p.ID...), ' '), strconv.Itoa(p.Shard)...)
		to = append(strconv.AppendInt(append(to, " d="...), p.Wait, 10), p.More...)
		to = append(strconv.AppendInt(append(to, ' '), int64(len(p.Text)), 10), '\n')
		to = append(to, p.Text...)
	}
	binary.BigEndian.PutUint32(to[head:], uint32(len(to)-head-4))
	return to
}

// ends are the outcomes that a leaf's answer tells.
var ends = map[string]choice.Outcome{"200": choice.OK, "500": choice.Failed, "503": choice.Full}

// otherMap is the end by which a leaf says that it has another version of the map of shards, which stands in the score's place. It has not
// run the part.
const otherMap = "409"

// Answer is what a leaf answers for a part.
type Answer struct {
	ID      string
	Outcome choice.Outcome
	Map     int64          // version of the map that the leaf has, where it refused for that
	Report  *choice.Report // nil where none came along
	Value   []byte
}

// ParseAnswer reads the rest of an answer's frame. The value stays where it is.
func ParseAnswer(rest []byte) (Answer, error) {
	line, value, found := bytes.Cut(rest, []byte{'\n'})
	words := strings.Split(string(line), " ")
	if !found || len(words) != 4 || words[0] == "" {
		return Answer{}, errAnswer
	}
	o, known := ends[words[1]]
	if version, err := strconv.ParseInt(words[2], 10, 64); words[1] == otherMap && err == nil && version > 0 {
		return Answer{ID: words[0], Outcome: choice.Moot, Map: version, Report: ParseReport(words[3])}, nil
	}
	if !known {
		return Answer{}, errAnswer
	}
	if _, err := config.ParseNumber(words[2]); err != nil && o == choice.OK {
		return Answer{}, errAnswer
	}
	return Answer{ID: words[0], Outcome: o, Report: ParseReport(words[3]), Value: value}, nil
}

// ParseReport reads a load report; nil for "-", and for one that can't be read, as what it came with is good
// without it. Values of unknown names are skipped.
func ParseReport(word string) *choice.Report {
	if word == "-" || word == "" {
		return nil
	}
	rep, err := config.ParseReport(word, "=")
	if err != nil {
		return nil
	}
	return rep
}

// ParseProbe reads the answer to a probe: a report, or just a status. The leaf has answered, whatever it reports.
func ParseProbe(rest []byte) (choice.Outcome, *choice.Report) {
	switch word := string(rest); word {
	case "200", "-":
		return choice.OK, nil
	case "500":
		return choice.Failed, nil
	default:
		return choice.OK, ParseReport(word)
	}
}
