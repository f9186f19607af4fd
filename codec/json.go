package codec

// json.go owns the JSON that travels in bodies: a scanner that takes it as it comes, the query a client sends,
// the answer it gets. It must never hold more of a body than the query's parts, its text and one scalar.

import (
	"errors"
	"math"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// token is what the scanner finds: a bracket, or one of the letters below.
type token byte

const (
	key     token = 'k'
	text    token = 's'
	number  token = 'n'
	literal token = 'l' // true, false or null
)

const (
	mostDepth = 32

	// Weights of parts add up to 1, but each is rounded: to four digits at the coarsest that is taken.
	rounding = 0.5e-4
)

var errJSON = errors.New("malformed JSON")

// scanner reads JSON as it comes, a byte at a time, and tells each token to emit. A scalar is held until it
// is whole, so whoever feeds it bounds what it holds.
type scanner struct {
	emit  func(t token, value []byte) error
	stack []byte // '{' or '['
	wants byte   // what may come next, see step
	begun bool   // within a scalar
	kind  token
	value []byte
	esc   int // within an escape: 1 after the backslash, 2 to 5 within \uXXXX
	code  rune
	high  rune // first half of a surrogate pair
}

// What may come next: a value; a value or the end of an array; a key or the end of an object; a key; a
// colon; a comma or an end; nothing.
const (
	aValue      = 'v'
	firstInList = 'f'
	firstKey    = 'o'
	aKey        = 'k'
	aColon      = ':'
	afterValue  = ','
	done        = '.'
)

func newScanner(emit func(token, []byte) error) *scanner { return &scanner{emit: emit, wants: aValue} }

func (s *scanner) feed(p []byte) error {
	for _, b := range p {
		if err := s.step(b); err != nil {
			return err
		}
	}
	return nil
}

// end says that no more comes.
func (s *scanner) end() error {
	if s.begun && s.kind != text && s.kind != key {
		if err := s.scalar(); err != nil {
			return err
		}
	}
	if s.wants != done {
		return errJSON
	}
	return nil
}

func (s *scanner) step(b byte) error {
	if s.begun {
		if s.kind == text || s.kind == key {
			return s.inString(b)
		}
		switch {
		case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '+', b == '-', b == '.':
			s.value = append(s.value, b)
			return nil
		}
		if err := s.scalar(); err != nil {
			return err
		}
	}
	if b == ' ' || b == '\t' || b == '\r' || b == '\n' {
		return nil
	}
	wants := s.wants
	isValue := wants == aValue || wants == firstInList
	switch {
	case b == '"' && (isValue || wants == aKey || wants == firstKey):
		s.begun, s.kind, s.value = true, text, s.value[:0]
		if !isValue {
			s.kind = key
		}
		return nil
	case (b == '{' || b == '[') && isValue:
		if len(s.stack) == mostDepth {
			return errJSON
		}
		s.stack = append(s.stack, b)
		if s.wants = firstKey; b == '[' {
			s.wants = firstInList
		}
		return s.emit(token(b), nil)
	case b == '}' && (wants == firstKey || wants == afterValue && s.in('{')),
		b == ']' && (wants == firstInList || wants == afterValue && s.in('[')):
		s.stack = s.stack[:len(s.stack)-1]
		s.closed()
		return s.emit(token(b), nil)
	case b == ':' && wants == aColon:
		s.wants = aValue
		return nil
	case b == ',' && wants == afterValue:
		if s.wants = aValue; s.in('{') {
			s.wants = aKey
		}
		return nil
	case isValue && (b == '-' || b >= '0' && b <= '9'):
		s.begun, s.kind, s.value = true, number, append(s.value[:0], b)
		return nil
	case isValue && (b == 't' || b == 'f' || b == 'n'):
		s.begun, s.kind, s.value = true, literal, append(s.value[:0], b)
		return nil
	}
	return errJSON
}

func (s *scanner) in(bracket byte) bool {
	return len(s.stack) > 0 && s.stack[len(s.stack)-1] == bracket
}

// closed notes that a value is whole.
func (s *scanner) closed() {
	if s.wants = afterValue; len(s.stack) == 0 {
		s.wants = done
	}
}

// scalar ends a number or a literal.
func (s *scanner) scalar() error {
	s.begun = false
	switch v := string(s.value); s.kind {
	case number:
		digits := v
		if digits[0] == '-' {
			digits = digits[1:]
		}
		if _, err := strconv.ParseFloat(v, 64); err != nil || digits == "" || digits[0] < '0' || digits[0] > '9' ||
			len(digits) > 1 && digits[0] == '0' && digits[1] >= '0' && digits[1] <= '9' || digits[len(digits)-1] == '.' ||
			len(digits) > 1 && digits[0] == '0' && (digits[1] == 'x' || digits[1] == 'X') {
			return errJSON
		}
	case literal:
		if v != "true" && v != "false" && v != "null" {
			return errJSON
		}
	}
	s.closed()
	return s.emit(s.kind, s.value)
}

// plain are the escapes of one letter.
var plain = map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

func (s *scanner) inString(b byte) error {
	if s.esc == 0 && b != '\\' {
		s.half()
	}
	switch {
	case s.esc == 1:
		if s.esc = 0; b == 'u' {
			s.esc, s.code = 2, 0
			return nil
		}
		s.half()
		c, known := plain[b]
		if !known {
			return errJSON
		}
		s.value = append(s.value, c)
	case s.esc > 1:
		d, err := strconv.ParseUint(string(b), 16, 8)
		if err != nil || b >= utf8.RuneSelf {
			return errJSON
		}
		s.code = s.code<<4 | rune(d)
		if s.esc++; s.esc < 6 {
			return nil
		}
		s.esc = 0
		switch {
		case s.high != 0:
			if pair := utf16.DecodeRune(s.high, s.code); pair != utf8.RuneError {
				s.value, s.high = utf8.AppendRune(s.value, pair), 0
				return nil
			}
			s.half()
			fallthrough
		default:
			if s.code >= 0xd800 && s.code < 0xdc00 {
				s.high = s.code
				return nil
			}
			s.value = utf8.AppendRune(s.value, s.code)
		}
	case b == '\\':
		s.esc = 1
	case b == '"':
		s.begun = false
		if s.kind == key {
			s.wants = aColon
		} else {
			s.closed()
		}
		return s.emit(s.kind, s.value)
	case b < ' ':
		return errJSON
	default:
		s.value = append(s.value, b)
	}
	return nil
}

// half writes the first half of a pair that has no second.
func (s *scanner) half() {
	if s.high != 0 {
		s.value, s.high = utf8.AppendRune(s.value, utf8.RuneError), 0
	}
}

// appendString appends a JSON string that holds just these bytes.
func appendString(out, value []byte) []byte {
	const hex = "0123456789abcdef"
	out = append(out, '"')
	for _, b := range value {
		switch {
		case b == '"' || b == '\\':
			out = append(out, '\\', b)
		case b < ' ':
			out = append(out, '\\', 'u', '0', '0', hex[b>>4], hex[b&15])
		default:
			out = append(out, b)
		}
	}
	return append(out, '"')
}

// PartAsked is one part as the client lists it. Hint is in microseconds; 0 where there is none.
type PartAsked struct {
	Shard        int
	Weight, Hint float64
}

// QueryBody is the body of a query, read as it comes.
type QueryBody struct {
	Parts []PartAsked
	Text  []byte // what each part carries

	scan      *scanner
	most      int // parts
	depth     int
	at        string // the key at depth 1
	in        string // the key at depth 3, within a part
	part      PartAsked
	has       map[string]bool
	seen      map[int]bool
	sum       float64
	partsSeen bool
	textSeen  bool
}

var (
	errBody  = errors.New("body does not hold the parts of a query and its text")
	errParts = errors.New("parts are none, too many, twice, or carry weights that make no sense")
)

// NewQueryBody reads a query of at most so many parts, on shards from 0 to most-1.
func NewQueryBody(most int) *QueryBody {
	q := &QueryBody{most: most, seen: map[int]bool{}}
	q.scan = newScanner(q.token)
	return q
}

// Feed takes the next bytes of the body.
func (q *QueryBody) Feed(p []byte) error { return q.scan.feed(p) }

// End checks what has come.
func (q *QueryBody) End() error {
	if err := q.scan.end(); err != nil {
		return err
	}
	if !q.partsSeen || !q.textSeen {
		return errBody
	}
	if n := float64(len(q.Parts)); n == 0 || math.Abs(q.sum-1) > rounding*(n+1) {
		return errParts
	}
	return nil
}

func (q *QueryBody) token(t token, value []byte) error {
	switch t {
	case '{', '[':
		q.depth++
		switch {
		case q.depth == 1 && t != '{', q.at == "parts" && q.depth == 2 && (t != '[' || q.partsSeen),
			q.at == "parts" && q.depth == 3 && t != '{', q.at == "expr" && q.depth == 2:
			return errBody
		}
		if q.at == "parts" {
			q.partsSeen = true
			if q.depth == 3 {
				q.part, q.has = PartAsked{}, map[string]bool{}
			}
		}
	case '}', ']':
		if q.depth--; q.at == "parts" && q.depth == 2 {
			return q.partEnds()
		}
	case key:
		if q.depth == 1 {
			q.at = string(value)
		} else if q.depth == 3 {
			q.in = string(value)
		}
	default:
		switch {
		case q.depth == 0, q.depth == 1 && q.at == "parts", q.depth == 1 && q.at == "expr" && (t != text || q.textSeen),
			q.depth == 2 && q.at == "parts":
			return errBody
		case q.depth == 1 && q.at == "expr":
			q.Text, q.textSeen = append([]byte(nil), value...), true
		case q.depth == 3 && q.at == "parts":
			return q.field(t, value)
		}
	}
	return nil
}

func (q *QueryBody) field(t token, value []byte) error {
	if q.in != "id" && q.in != "w" && q.in != "hint" {
		return nil
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if t != number || err != nil || q.has[q.in] {
		return errBody
	}
	q.has[q.in] = true
	switch q.in {
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 31) // plain digits: 3.0 or 3e0 names no shard
		if q.part.Shard = int(n); err != nil || int(n) >= q.most {
			return errParts
		}
	case "w":
		q.part.Weight = x
	case "hint":
		q.part.Hint = x
	}
	return nil
}

func (q *QueryBody) partEnds() error {
	p := q.part
	if !q.has["id"] || !q.has["w"] || p.Weight <= 0 || p.Weight > 1+rounding || p.Hint < 0 || p.Hint > 1e12 ||
		q.seen[p.Shard] {
		return errParts
	}
	q.seen[p.Shard] = true
	q.sum += p.Weight
	q.Parts = append(q.Parts, p)
	return nil
}

// Row is one part of an answer: the value is a leaf's bytes.
type Row struct {
	Shard int
	Keys  string // the range that the value is of, where it is a part of the shard; else empty
	Value []byte
}

// AppendAnswer appends the body of an answer.
func AppendAnswer(out []byte, whole bool, rows []Row) []byte {
	out = strconv.AppendBool(append(out, `{"exact":`...), whole)
	out = append(out, `,"rows":[`...)
	for i, r := range rows {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendInt(append(out, `{"id":`...), int64(r.Shard), 10)
		if r.Keys != "" {
			out = appendString(append(out, `,"keys":`...), []byte(r.Keys))
		}
		out = append(appendString(append(out, `,"data":`...), r.Value), '}')
	}
	return append(out, `]}`...)
}
