package ingress_test

// Requests whose head is none by RFC 9112, section 5, and heads that look odd and are sound.

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against fields being passed to servers that these may read otherwise than this router: a request with such a head gets 400.
func TestBrokenHeadOfARequestIsRefused(t *testing.T) {
	for name, line := range map[string]string{
		"blank in a name":                   "X Y: 1\r\n",
		"blank in the name of the length":   "Content -Length: 9\r\n",
		"blank in the name of the coding":   "Transfer -Encoding: chunked\r\n",
		"blank in the name of the tenant":   "Moleshift-Tenant -Id: other\r\n",
		"blank behind a name":               "X-Y : 1\r\n",
		"blank behind the tenant's name":    "Moleshift-Tenant-Id : other\r\n",
		"tab behind a name":                 "X-Y\t: 1\r\n",
		"folded line":                       " XY: 1\r\n",
		"folded line with a tab":            "\tXY: 1\r\n",
		"no name":                           ": 1\r\n",
		"no colon":                          "XY\r\n",
		"control byte in a name":            "X\x01Y: 1\r\n",
		"line feed in front of a name":      "\nXY: 1\r\n",
		"control byte in a value":           "X: a\x01b\r\n",
		"carriage return within a value":    "X: a\rb\r\n",
		"byte over 127 in a name":           "X\xfcY: 1\r\n",
		"delete in a value":                 "X: a\x7fb\r\n",
		"blank in the name of the priority": "Prio rity: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, body) })
			c := start(t, s.instance("batch")).dial()
			c.send("/once/", "a", "X-Before: 1\r\n"+line[:len(line)-2])
			resp, _, err := c.answer()
			must.NoError(t, err)
			must.Eq(t, 400, resp.StatusCode)
			must.True(t, resp.Close)
			must.Len(t, 0, s.seen())
		})
	}
}

// What the protocol allows of a request goes through as before, however it comes.
func TestOddRequestsThatAreSoundPass(t *testing.T) {
	for name, row := range map[string]struct {
		line, odd string
	}{
		"value with a tab":      {"X-Odd: a\tb", "a\tb"},
		"value over 127":        {"X-Odd: \xff\x80", "\xff\x80"},
		"value with colons":     {"X-Odd: a: b : c", "a: b : c"},
		"value without a blank": {"X-Odd:1", "1"},
		"value among blanks":    {"X-Odd: \t 1 \t ", "1"},
		"empty value":           {"X-Odd:", ""},
		"name in upper case":    {"X-ODD: 1", "1"},
		"name in lower case":    {"x-odd: 1", "1"},
		"name of all tokens":    {"!#$%&'*+-.^_`|~09: 1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", func(c net.Conn, _ int, r *http.Request, body string) { ok(c, r, body) })
			c := start(t, s.instance("batch")).dial()
			io.WriteString(c.conn, "\r\n") // an empty line in front is passed over
			for range 2 {
				c.send("/once/", "a", row.line)
				resp, body, err := c.answer()
				must.NoError(t, err)
				must.Eq(t, 200, resp.StatusCode)
				must.Eq(t, "body", body)
			}
			must.Eq(t, row.odd, s.seen()[0].Header.Get("X-Odd"))
		})
	}
}
