// Package wire lets the simulator drive roots of package choice: it reads events from the simulator's text
// wire, turns each into a call on the root that it names, and writes what the root does as replies. It
// decides nothing.
package wire

import (
	"fmt"
	"strconv"
	"strings"

	"moleshift/choice"
	"moleshift/config"
)

// fields walks over the values of one line. The first fault sticks; later reads return zero values.
type fields struct {
	rest  string
	ended bool
	err   error
}

func newFields(line string) *fields { return &fields{rest: line} }

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word returns the next value; an absent one is the empty string.
func (f *fields) word(name string) string {
	if f.err != nil {
		return ""
	}
	if f.ended {
		f.fail("field %s is missing", name)
		return ""
	}
	w, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.ended = rest, !more
	if w == "" {
		f.fail("field %s is empty", name)
	}
	if w == "-" {
		return ""
	}
	return w
}

// text returns what is left of the line.
func (f *fields) text(name string) string {
	if f.err == nil && f.ended {
		f.fail("field %s is missing", name)
	}
	f.ended = true
	return f.rest
}

// end says that the line should have no more values.
func (f *fields) end() error {
	if f.err == nil && !f.ended {
		f.fail("values too many: %q", f.rest)
	}
	return f.err
}

func (f *fields) integer(name string, least, most int64) int64 {
	w := f.word(name)
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.fail("%s is no whole number: %q", name, w)
		return 0
	}
	if n < least || n > most {
		f.fail("%s is out of range: %d", name, n)
		return 0
	}
	return n
}

// integerOr is integer for a field that may be absent.
func (f *fields) integerOr(name string, least, most, absent int64) int64 {
	if f.err == nil && !f.ended && (f.rest == "-" || strings.HasPrefix(f.rest, "- ")) {
		f.word(name)
		return absent
	}
	return f.integer(name, least, most)
}

// number reads a decimal number; an absent one is 0.
func (f *fields) number(name string) float64 {
	w := f.word(name)
	if f.err != nil || w == "" {
		return 0
	}
	return f.float(name, w)
}

func (f *fields) float(name, w string) float64 {
	x, err := config.ParseNumber(w)
	if err != nil {
		f.fail("%s %w", name, err)
	}
	return x
}

// millis prints a time in milliseconds.
func millis(t choice.Time) string {
	return strconv.FormatFloat(float64(t)/10, 'f', 1, 64)
}

func (f *fields) bool(name string) bool {
	switch w := f.word(name); {
	case f.err != nil:
	case w == "1":
		return true
	case w != "0":
		f.fail("%s is neither 0 nor 1: %q", name, w)
	}
	return false
}

// node reads a server's number, which is handed back just as it came.
func (f *fields) node(name string) string {
	w := f.word(name)
	if _, err := strconv.ParseUint(w, 10, 32); err != nil {
		f.fail("%s is no server number: %q", name, w)
	}
	return w
}

func (f *fields) id(name string) string {
	w := f.word(name)
	if w == "" {
		f.fail("%s is absent", name)
	}
	return w
}

var outcomes = map[string]choice.Outcome{
	"ok": choice.OK, "error": choice.Failed, "full": choice.Full, "timeout": choice.TimedOut,
	"connect_failed": choice.NoConnection, "reset": choice.Reset, "cancelled": choice.Cancelled,
	"moot": choice.Moot,
}

func (f *fields) outcome(name string) choice.Outcome {
	w := f.word(name)
	o, ok := outcomes[w]
	if !ok {
		f.fail("%s is unknown: %q", name, w)
	}
	return o
}

// report reads a load report; nil where none came along. Values of unknown names are skipped.
func (f *fields) report(name string) *choice.Report {
	w := f.word(name)
	if f.err != nil || w == "" {
		return nil
	}
	rep, err := config.ParseReport(w, ":")
	if err != nil {
		f.fail("%s %w", name, err)
		return nil
	}
	return rep
}

// listed is one line of a list of servers, before any root sees it.
type listed struct {
	node  string
	entry choice.Entry
}

func parseEntry(line string) (listed, error) {
	f := newFields(line)
	if w := f.word("entry"); f.err == nil && w != "M" {
		return listed{}, fmt.Errorf("want an entry M, have %q", w)
	}
	var l listed
	l.node = f.node("node")
	l.entry.Zone = int(f.integer("failure_domain", 0, 1<<20))
	f.integer("kind", 0, 1<<20)
	l.entry.Cell = int(f.integerOr("cell", 0, 1<<20, 0))
	l.entry.Condition = choice.Condition(f.integer("condition", 0, 2))
	f.number("scale")
	l.entry.Started = config.CeilTime(f.number("came_up"))
	return l, f.end()
}
