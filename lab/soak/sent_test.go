package soak

import (
	"bufio"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"moleshift/internal/httphead"
)

// Each way in which a stand-in server breaks a head makes one that is none: else the judge would ask for a sound answer to be refused.
func TestBrokenHeadsAreNone(t *testing.T) {
	a := &soundAnswer{fields: []string{"Moleshift-Request-Id: a", "X-Odd: \xff"}, body: "answer"}
	come := []byte(a.whole(soundStatusLine))
	_, whole, err := httphead.ScanResponse(come)
	must.NoError(t, err)
	must.True(t, whole)
	for n, head := range brokenHeads {
		for _, b := range []byte(noToken) {
			text := head(a, b)
			_, _, err := httphead.PeekResponse(bufio.NewReader(strings.NewReader(text)))
			must.Error(t, err, must.Sprintf("form %d, byte %q: %q", n, b, text))
		}
	}
}

func TestSentAnswers(t *testing.T) {
	sent := Sent{ID: "a", Status: 200, Fields: []string{"Moleshift-Request-Id: a", "Moleshift-Response-Stamp: s", "X-Odd: a\tb", "Connection: close", "Keep-Alive: timeout=2"}}
	const common = "moleshift-request-id: a|Moleshift-Response-Stamp: s"
	for name, row := range map[string]struct {
		status int
		fields string
		same   bool
	}{
		"as it was sent, with what either end adds": {200, common + "|X-Odd: a\tb|Content-Length: 2|Content-Type: text/plain|Date: now", true},
		"in another order and case":                 {200, "x-odd: a\tb|" + common + "|Transfer-Encoding: chunked", true},
		"another status":                            {201, common + "|X-Odd: a\tb", false},
		"a value that lost a byte":                  {200, common + "|X-Odd: a b", false},
		"a field that is missing":                   {200, common, false},
		"a field more":                              {200, common + "|X-Odd: a\tb|X Y: 1", false},
		"a field that comes twice":                  {200, common + "|X-Odd: a\tb|X-Odd: a\tb", false},
		"a name with a blank behind it":             {200, common + "|X-Odd : a\tb", false},
		"a line that was joined to another":         {200, common + "|X-Odd: a\tb c", false},
	} {
		must.Eq(t, row.same, sent.matches(row.status, strings.Split(row.fields, "|")), must.Sprint(name))
	}
}

func TestStatusOfALine(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 000 OK": 0, "HTTP/1.1 2000 OK": 0, "HTTP/2.0 200 OK": 0, "200 OK": 0, "": 0,
	} {
		must.Eq(t, status, statusOf(line), must.Sprintf("%q", line))
	}
}
