package codec

// values.go owns where the objects of a JSON stream end. It must never look into them: whether an object makes
// sense is its reader's matter.

import "errors"

// ErrTooLong is an object of over the stated size.
var ErrTooLong = errors.New("an object is too long")

var errNoObject = errors.New("something other than an object begins")

// Values cuts a stream of JSON objects, each on one line or indented over several, at their ends.
type Values struct {
	Most int // bytes of one object

	object  []byte // so far
	depth   int
	quoted  bool // within a string
	escaped bool
}

// Feed goes through a piece of the stream. Every object is given as it ends, in a slice of its own, and nil for
// every line's end between objects: a sign of life, which part of an object that never ends is not.
func (v *Values) Feed(piece []byte, each func(object []byte) error) error {
	for _, b := range piece {
		if v.depth == 0 {
			switch b {
			case '{':
			case '\n':
				if err := each(nil); err != nil {
					return err
				}
				continue
			case ' ', '\t', '\r':
				continue
			default:
				return errNoObject
			}
		}
		if v.object = append(v.object, b); len(v.object) > v.Most {
			return ErrTooLong
		}
		switch {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			v.escaped, v.quoted = b == '\\', b != '"'
		case b == '"':
			v.quoted = true
		case b == '{' || b == '[':
			v.depth++
		case b == '}' || b == ']':
			v.depth--
		}
		if v.depth == 0 {
			whole := v.object
			v.object = nil
			if err := each(whole); err != nil {
				return err
			}
		}
	}
	return nil
}
