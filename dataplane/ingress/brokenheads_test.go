package ingress_test

// Answers whose head is none by RFC 9112, sections 2 to 6, and heads that look odd and are sound.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// brokenHeads are answers that are none, from their status line on. ID stands for the id of the request.
var brokenHeads = map[string]string{
	"status 000":                         "HTTP/1.1 000 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                         "HTTP/1.1 099 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                         "HTTP/1.1 600 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                         "HTTP/1.1 999 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":               "HTTP/1.1 20 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":              "HTTP/1.1 2000 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":                 "HTTP/1.1 +20 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"no status":                          "HTTP/1.1 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"reason next to the status":          "HTTP/1.1 200OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"control byte in the reason":         "HTTP/1.1 200 O\x01K\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in the reason":      "HTTP/1.1 200 OK\r\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"two blanks before the status":       "HTTP/1.1  200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"another major version":              "HTTP/2.0 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"another minor version, in chunks":   "HTTP/1.2 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"version in lower case":              "http/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"switched protocols unasked":         "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status 000 in front":                "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"status 099 in front":                "HTTP/1.1 099 Continue\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"broken name in a head in front":     "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":                    "HTTP/1.1 200 OK\r\nID\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank behind a name":                "HTTP/1.1 200 OK\r\nID\r\nX-Y : 1\r\nContent-Length: 2\r\n\r\nok",
	"tab behind a name":                  "HTTP/1.1 200 OK\r\nID\r\nX-Y\t: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank in the name of the length":    "HTTP/1.1 200 OK\r\nID\r\nContent -Length: 2\r\n\r\nok",
	"blank behind the length's name":     "HTTP/1.1 200 OK\r\nID\r\nContent-Length : 2\r\n\r\nok",
	"blank in the name of the coding":    "HTTP/1.1 200 OK\r\nID\r\nTransfer -Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank behind the coding's name":     "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank behind the id's name":         "HTTP/1.1 200 OK\r\nMoleshift-Request-Id : REQUEST\r\nStamp\r\nContent-Length: 2\r\n\r\nok",
	"line that begins with a blank":      "HTTP/1.1 200 OK\r\nID\r\n XY: 1\r\nContent-Length: 2\r\n\r\nok",
	"line that begins with a tab":        "HTTP/1.1 200 OK\r\nID\r\n\tXY: 1\r\nContent-Length: 2\r\n\r\nok",
	"first line begins with a blank":     "HTTP/1.1 200 OK\r\n X: 1\r\nID\r\nContent-Length: 2\r\n\r\nok",
	"line of blanks":                     "HTTP/1.1 200 OK\r\nID\r\n  \r\nContent-Length: 2\r\n\r\nok",
	"no name":                            "HTTP/1.1 200 OK\r\nID\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                           "HTTP/1.1 200 OK\r\nID\r\nXY\r\nContent-Length: 2\r\n\r\nok",
	"line feed alone in front of a name": "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\nX: 1\r\n\r\nok",
	"head that ends with a line feed":    "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\n\nok",
	"last line ends with a line feed":    "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\n\r\nok",
	"control byte in a value":            "HTTP/1.1 200 OK\r\nID\r\nX: a\x01b\r\nContent-Length: 2\r\n\r\nok",
	"zero byte in a value":               "HTTP/1.1 200 OK\r\nID\r\nX: a\x00b\r\nContent-Length: 2\r\n\r\nok",
	"delete in a value":                  "HTTP/1.1 200 OK\r\nID\r\nX: a\x7fb\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in a value":         "HTTP/1.1 200 OK\r\nID\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":                        "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
	"list of lengths":                    "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2, 2\r\n\r\nok",
	"length with a sign":                 "HTTP/1.1 200 OK\r\nID\r\nContent-Length: +2\r\n\r\nok",
	"length below zero":                  "HTTP/1.1 200 OK\r\nID\r\nContent-Length: -2\r\n\r\nok",
	"length in hexadecimal digits":       "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 0x2\r\n\r\nok",
	"no length":                          "HTTP/1.1 200 OK\r\nID\r\nContent-Length:\r\n\r\nok",
	"length beyond all numbers":          "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 99999999999999999999\r\n\r\nok",
	"length and chunks":                  "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks told twice":                  "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"another coding":                     "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: gzip\r\n\r\nok",
	"chunks in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
}

// soundHeads are answers that look odd and are sound, with the status and the value of X-Odd that the client has to get. ID stands for the id
// of the request.
var soundHeads = map[string]struct {
	text   string
	status int
	odd    string
}{
	"lines that end with a line feed": {"HTTP/1.1 200 OK\nID\r\nX-Odd: 1\nContent-Length: 2\r\n\r\nok", 200, "1"},
	"empty lines in front":            {"\r\n\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"no reason":                       {"HTTP/1.1 200 \r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"no blank for a reason":           {"HTTP/1.1 200\r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"reason with other bytes":         {"HTTP/1.1 200 gr\xfc\xdfe\tdich\r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"ends with connection":            {"HTTP/1.1 200 OK\r\nID\r\n\r\nok", 200, ""},
	"HTTP/1.0":                        {"HTTP/1.0 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"names in upper case":             {"HTTP/1.1 200 OK\r\nID\r\nX-ODD: 1\r\nCONTENT-LENGTH: 2\r\n\r\nok", 200, "1"},
	"names in lower case":             {"HTTP/1.1 200 OK\r\nID\r\nx-odd: 1\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "1"},
	"names of all tokens":             {"HTTP/1.1 200 OK\r\nID\r\nX-Odd: 1\r\n!#$%&'*+-.^_`|~09: 1\r\nContent-Length: 2\r\n\r\nok", 200, "1"},
	"value with a tab":                {"HTTP/1.1 200 OK\r\nID\r\nX-Odd: a\tb\r\nContent-Length: 2\r\n\r\nok", 200, "a\tb"},
	"value over 127":                  {"HTTP/1.1 200 OK\r\nID\r\nX-Odd: \xff\x80gr\xfcn\r\nContent-Length: 2\r\n\r\nok", 200, "\xff\x80gr\xfcn"},
	"value with colons":               {"HTTP/1.1 200 OK\r\nID\r\nX-Odd: a: b : c\r\nContent-Length: 2\r\n\r\nok", 200, "a: b : c"},
	"value without a blank":           {"HTTP/1.1 200 OK\r\nID\r\nX-Odd:1\r\nContent-Length:2\r\n\r\nok", 200, "1"},
	"value among blanks":              {"HTTP/1.1 200 OK\r\nID\r\nX-Odd: \t 1 \t \r\nContent-Length:  2\t\r\n\r\nok", 200, "1"},
	"empty value":                     {"HTTP/1.1 200 OK\r\nID\r\nX-Odd:\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"trailers":                        {"HTTP/1.1 200 OK\r\nID\r\nTrailer: X-After\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-After: 1\r\nX-More:\r\n\r\n", 200, ""},
	"extensions of chunks":            {"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n02;a=b;c=\"d e\"\r\nok\r\n0;last\r\n\r\n", 200, ""},
	"heads in front":                  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 2\r\n\r\nok", 200, ""},
	"status 201":                      {"HTTP/1.1 201 Created\r\nID\r\nContent-Length: 2\r\n\r\nok", 201, ""},
	"status 299":                      {"HTTP/1.1 299 Whatever\r\nID\r\nContent-Length: 2\r\n\r\nok", 299, ""},
	"status 404":                      {"HTTP/1.1 404 Not Found\r\nID\r\nContent-Length: 2\r\n\r\nok", 404, ""},
	"status 599":                      {"HTTP/1.1 599 Whatever\r\nID\r\nContent-Length: 2\r\n\r\nok", 599, ""},
}

// withID puts the id of a request, and a stamp, into the text of an answer.
func withID(text string, r *http.Request) string {
	id := r.Header.Get("Moleshift-Request-Id")
	return strings.NewReplacer("ID\r\n", "Moleshift-Request-Id: "+id+"\r\nMoleshift-Response-Stamp: st\r\n", "REQUEST", id,
		"Stamp\r\n", "Moleshift-Response-Stamp: st\r\n").Replace(text)
}

// asStream makes the answer with the given text a series of events.
func asStream(text string) string {
	return strings.ReplaceAll(text, "ID\r\n", "ID\r\nContent-Type: text/event-stream\r\n")
}

// answerWith is a script that sends one text for each request and closes the connection behind it.
func answerWith(text string) func(c net.Conn, n int, r *http.Request, body string) {
	return func(c net.Conn, _ int, r *http.Request, _ string) {
		io.WriteString(c, withID(text, r))
		c.Close()
	}
}

// Guards against MIXED by bytes that are no answer: the client of a request that runs once gets a 502, as behind any garbage.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", answerWith(text))
			router := start(t, s.instance("batch"))
			c := router.dial()
			c.send("/once/", "a")
			resp, _, err := c.answer()
			must.NoError(t, err)
			must.Eq(t, 502, resp.StatusCode)
			must.Eq(t, "", resp.Header.Get("Moleshift-Response-Stamp"))
			must.Len(t, 1, s.seen(), must.Sprint("it may have run"))
			var counts strings.Builder
			router.proxy.WriteMetrics(&counts)
			must.StrContains(t, counts.String(), "moleshift_malformed_answers_total 1\n")
		})
	}
}

// The same on a stream that may run once.
func TestBrokenHeadBeginsNoStream(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", answerWith(asStream(text)))
			c := start(t, s.instance("llm")).dial()
			c.send("/unsafe/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
			resp, _, err := c.answer()
			must.NoError(t, err)
			must.Eq(t, 502, resp.StatusCode)
			must.Len(t, 1, s.seen())
		})
	}
}

// What may run again goes to another server behind a broken head, whole answers and streams alike.
func TestBrokenHeadIsRepeatedWhereAllowed(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			for path, service := range map[string]string{"/again/": "batch", "/stream/": "llm"} {
				broken := serve(t, "i1", answerWith(asStream(text)))
				router := start(t, broken.instance(service), serve(t, "i2", sound).instance(service))
				for n := range 4 {
					c := router.dial()
					c.send(path, fmt.Sprint(n), "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
					resp, body, err := c.answer()
					must.NoError(t, err)
					must.Eq(t, 200, resp.StatusCode, must.Sprint(path))
					must.Eq(t, event(1), body, must.Sprint(path))
				}
			}
		})
	}
}

// sound is a script that answers with one event.
func sound(c net.Conn, _ int, r *http.Request, _ string) {
	streamHead(c, r)
	chunk(c, event(1))
	io.WriteString(c, "0\r\n\r\n")
}

// A stream that is taken up elsewhere goes on with a sound answer only: a broken head there leaves nothing of itself in it.
func TestBrokenHeadTakesNoStreamUp(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			answers := answerWith(strings.ReplaceAll(asStream(text), "ok", event(2)))
			play := func(c net.Conn, n int, r *http.Request, body string) {
				if r.Header.Get("Last-Event-Id") != "" {
					answers(c, n, r, body)
					return
				}
				streamHead(c, r)
				chunk(c, event(1))
				c.Close()
			}
			one, two := serve(t, "i1", play), serve(t, "i2", play)
			c := start(t, one.instance("llm"), two.instance("llm")).dial()
			c.send("/stream/", "a", "Moleshift-Model-Id: m", "Moleshift-Token-Count: 100,5")
			_, body, err := c.answer()
			must.Error(t, err, must.Sprint("the answer has to look cut"))
			must.Eq(t, event(1), body)
			must.Eq(t, 2, len(one.seen())+len(two.seen()))
		})
	}
}

// A broken head in the place of a surplus answer leaves the connection unfit, and what stands behind it belongs to nobody.
func TestConnectionIsNotUsedBehindABrokenHead(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", func(c net.Conn, n int, r *http.Request, _ string) {
				if n == 1 {
					io.WriteString(c, strings.ReplaceAll(withID(text, r), "Moleshift-Request-Id: b", "Moleshift-Request-Id: earlier"))
				}
				ok(c, r, "fine")
			})
			c := start(t, s.instance("batch")).dial()
			for _, row := range []struct {
				id     string
				status int
			}{{"a", 200}, {"b", 502}, {"c", 200}} {
				c.send("/once/", row.id)
				resp, _, err := c.answer()
				must.NoError(t, err)
				must.Eq(t, row.status, resp.StatusCode, must.Sprint(row.id))
			}
			must.Eq(t, 2, s.conns)
		})
	}
}

// Every byte that is no token breaks a name, wherever it stands in it.
func TestNameOfAFieldIsAToken(t *testing.T) {
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	var text string
	s := serve(t, "i1", func(c net.Conn, n int, r *http.Request, body string) { answerWith(text)(c, n, r, body) })
	c := start(t, s.instance("batch")).dial()
	for b := range 256 {
		for _, form := range []string{"%sX-Y", "X%sY", "X-Y%s"} {
			name := fmt.Sprintf(form, string([]byte{byte(b)}))
			if b == ':' && form != "%sX-Y" {
				continue // ends the name: what follows is the value
			}
			text = "HTTP/1.1 200 OK\r\nID\r\nConnection: close\r\n" + name + ": 1\r\nContent-Length: 2\r\n\r\nok"
			c.send("/once/", fmt.Sprint("a", b, form))
			resp, _, err := c.answer()
			must.NoError(t, err)
			status := 502
			if strings.IndexByte(tokens, byte(b)) >= 0 {
				status = 200
			}
			must.Eq(t, status, resp.StatusCode, must.Sprintf("%q", name))
		}
	}
}

// What the protocol allows goes through as it came.
func TestOddHeadsThatAreSoundPass(t *testing.T) {
	for name, row := range soundHeads {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "i1", answerWith(row.text))
			c := start(t, s.instance("batch")).dial()
			c.send("/once/", "a")
			resp, body, err := c.answer()
			must.NoError(t, err)
			must.Eq(t, row.status, resp.StatusCode)
			must.Eq(t, "ok", body)
			must.Eq(t, "st", resp.Header.Get("Moleshift-Response-Stamp"))
			must.Eq(t, row.odd, resp.Header.Get("X-Odd"))
		})
	}
}
