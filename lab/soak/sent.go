package soak

// What servers answered, whole, and whether that is what clients got: the status, the names and values of fields, and the body.

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Sent is the head of a sound answer that a server sent.
type Sent struct {
	ID     string
	Status int
	Fields []string // as NAME: VALUE
}

func (h *History) addSent(s Sent) { note(h, &h.Sent, s) }

// noteSent records that a server is about to send a sound answer with the given status and the fields that are set by now.
func (s *modelServer) noteSent(w http.ResponseWriter, id string, status int) {
	s.history.addSent(Sent{ID: id, Status: status, Fields: fieldsOf(w.Header())})
}

// fieldsOf gives the lines of fields in the order of their names.
func fieldsOf(header http.Header) []string {
	var lines []string
	for name, values := range header {
		for _, value := range values {
			lines = append(lines, name+": "+value)
		}
	}
	slices.Sort(lines)
	return lines
}

// oddValues are values of fields that look odd and are sound. One stands in each answer, and has to come through as it is.
var oddValues = []string{"plain", "a\tb", "gr\xfc\xdfe", "a: b : c", "\xff\x80", "", "\"x, y\"; z=1"}

// oddNames are names for such a field: they are sound in any case and with all of a token's marks.
var oddNames = []string{"X-Odd", "x-odd", "X-ODD", "x_odd!#$%&'*+.^`|~"}

// Names of fields that concern one connection, or that either end may add.
var (
	connectionFields = []string{"connection", "keep-alive", "transfer-encoding"}
	addedFields      = []string{"date", "content-length"}
)

const stampField = "moleshift-response-stamp"

// nameOf gives the name of a field's line, in lower case: whatever stands in front of the first colon.
func nameOf(line string) string {
	name, _, _ := strings.Cut(line, ":")
	return strings.ToLower(name)
}

// comparableFields gives what of the fields has to be the same at both ends, in an order of its own.
func comparableFields(lines []string, without ...string) []string {
	var kept []string
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ":")
		if slices.Contains(without, strings.ToLower(name)) {
			continue
		}
		kept = append(kept, strings.ToLower(name)+":"+strings.Trim(value, " \t"))
	}
	slices.Sort(kept)
	return kept
}

// matches tells whether a client that got a status and fields got this answer. Where the server sets no type, its library adds one.
func (s *Sent) matches(status int, got []string) bool {
	without := slices.Concat(connectionFields, addedFields)
	if !slices.ContainsFunc(s.Fields, func(line string) bool { return nameOf(line) == "content-type" }) {
		without = append(without, "content-type")
	}
	return s.Status == status && slices.Equal(comparableFields(s.Fields, without...), comparableFields(got, without...))
}

// isOfServer tells whether an answer is one of a server that was passed on: a success, or what carries a stamp.
func isOfServer(r *Request) bool {
	return r.Status == http.StatusOK || slices.ContainsFunc(r.Fields, func(line string) bool { return nameOf(line) == stampField })
}

// judgeHead looks at whether an answer of a server has the status and the fields that a server sent.
func (j *judge) judgeHead(r *Request) {
	if r.Fields == nil || !isOfServer(r) {
		return
	}
	if !slices.ContainsFunc(j.sent[r.ID], func(s Sent) bool { return s.matches(r.Status, r.Fields) }) {
		j.add(r, "MIXED", "no server sent an answer with status %d and the fields %q", r.Status, r.Fields)
	}
}

// peekHead waits until the head of an answer has come, and gives its lines as they came. Nothing is taken from the reader.
func peekHead(reader *bufio.Reader) (lines []string, err error) {
	const end = "\r\n\r\n"
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return nil, err
		}
		come, _ := reader.Peek(reader.Buffered()) // comes from memory
		if head, _, whole := bytes.Cut(come, []byte(end)); whole {
			return strings.Split(string(head), "\r\n"), nil
		}
		wanted = len(come) + 1
	}
}

// statusOf reads the status of a status line as it came; 0: there is none.
func statusOf(line string) int {
	rest, isHTTP := strings.CutPrefix(line, "HTTP/1.1 ")
	digits, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	if !isHTTP || err != nil || len(digits) != len("200") {
		return 0
	}
	return status
}

// answerTo is the body of a whole answer.
func answerTo(id string) string { return "answer to " + id }

// eventsOf gives the numbers of the first and of the last event of the stream that a request asks for.
func eventsOf(r *http.Request) (first, last int) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last, _ = strconv.Atoi(r.URL.Query().Get("events"))
	return after + 1, last
}

// eventText is one event of a stream.
func eventText(id string, number int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id) }

// eventsText is the body of a stream.
func eventsText(id string, first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(eventText(id, n))
	}
	return b.String()
}

// streamFields are the fields of a stream beside those of every answer.
func streamFields(version int64) []string {
	return []string{"Content-Type: text/event-stream", "Versions: " + strconv.FormatInt(version, 10)}
}
