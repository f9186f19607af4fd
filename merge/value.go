package merge

// value.go owns what hits are sorted by: values of any kind, with one total order that is the same
// everywhere. It must never lose a digit of a whole number, and never let the order hang on which answer came
// first.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Kind is what a value is.
type Kind uint8

const (
	Missing Kind = iota // null, or the field is not there
	Bool
	Number
	Text
)

// Value is one value of a sort key or of a bucket.
type Value struct {
	Kind  Kind
	Int   int64 // of a whole number, and of a bool
	Whole bool
	Float float64 // of a number
	Text  string
}

// Int and Float and Text make values.
func Int(n int64) Value     { return Value{Kind: Number, Int: n, Whole: true, Float: float64(n)} }
func Float(x float64) Value { return Value{Kind: Number, Float: x} }
func Str(s string) Value    { return Value{Kind: Text, Text: s} }

// ParseValue reads a JSON scalar.
func ParseValue(raw []byte) (Value, error) {
	raw = bytes.TrimSpace(raw)
	switch {
	case len(raw) == 0:
		return Value{}, fmt.Errorf("no value")
	case string(raw) == "null":
		return Value{}, nil
	case string(raw) == "true":
		return Value{Kind: Bool, Int: 1}, nil
	case string(raw) == "false":
		return Value{Kind: Bool}, nil
	case raw[0] == '"':
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return Value{}, err
		}
		return Str(s), nil
	case raw[0] == '-' || raw[0] >= '0' && raw[0] <= '9':
		if n, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
			return Int(n), nil
		}
		x, err := strconv.ParseFloat(string(raw), 64)
		if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
			return Value{}, fmt.Errorf("%.40s is no number", raw)
		}
		if whole := int64(x); math.Abs(x) < 1<<53 && float64(whole) == x { // 1.0 and 1 are one value
			return Int(whole), nil
		}
		return Float(x), nil
	}
	return Value{}, fmt.Errorf("%.40s is no scalar", raw)
}

// AppendJSON writes the value.
func (v Value) AppendJSON(out []byte) []byte {
	switch v.Kind {
	case Bool:
		return strconv.AppendBool(out, v.Int != 0)
	case Number:
		if v.Whole {
			return strconv.AppendInt(out, v.Int, 10)
		}
		return strconv.AppendFloat(out, v.Float, 'g', -1, 64)
	case Text:
		b, err := json.Marshal(v.Text)
		if err != nil {
			return append(out, `""`...) // a string can always be written
		}
		return append(out, b...)
	}
	return append(out, "null"...)
}

// Compare orders values: by kind, then by value. A whole number is compared with another to the last digit.
func (v Value) Compare(o Value) int {
	if v.Kind != o.Kind {
		return cmp.Compare(v.Kind, o.Kind)
	}
	switch v.Kind {
	case Bool:
		return cmp.Compare(v.Int, o.Int)
	case Number:
		if v.Whole && o.Whole {
			return cmp.Compare(v.Int, o.Int)
		}
		if c := cmp.Compare(v.Float, o.Float); c != 0 || v.Whole == o.Whole {
			return c
		}
		// A whole number beside a broken one that rounds to the same: the remainder decides.
		whole, broken := v, o
		sign := 1
		if o.Whole {
			whole, broken, sign = o, v, -1
		}
		return sign * cmp.Compare(float64(whole.Int-int64(broken.Float)), 0)
	case Text:
		return strings.Compare(v.Text, o.Text)
	}
	return 0
}

// Key is one thing that hits are sorted by.
type Key struct {
	Field        string
	Descending   bool
	MissingFirst bool // hits without the field come first; else last, whichever the direction
}

// compare orders two values by the key.
func (k *Key) compare(a, b Value) int {
	if a.Kind == Missing || b.Kind == Missing {
		c := cmp.Compare(b.Kind, a.Kind) // the missing one is greater
		if a.Kind == b.Kind {
			c = 0
		} else if a.Kind == Missing {
			c = 1
		} else {
			c = -1
		}
		if k.MissingFirst {
			c = -c
		}
		return c
	}
	if k.Descending {
		return b.Compare(a)
	}
	return a.Compare(b)
}
