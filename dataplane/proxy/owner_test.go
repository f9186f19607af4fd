package proxy

import (
	"bufio"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"moleshift/internal/httphead"
)

// Guards against a promise being read into an answer that belongs to another request, or to nobody.
func TestOwnerOfAnAnswer(t *testing.T) {
	for _, row := range []struct {
		id          string
		status      int
		notExecuted bool
		kept        bool
		owner       answerOwner
	}{
		{"mine", 200, false, true, ownRequest},
		{"mine", 503, true, true, ownRequest},
		{"mine", 500, false, false, ownRequest},
		{"other", 200, false, true, earlierRequest},
		{"other", 503, true, true, earlierRequest},
		{"other", 421, false, true, earlierRequest},
		{"other", 421, false, false, earlierRequest},
		{"", 503, true, false, ownRequest},
		{"", 421, false, false, ownRequest},
		{"", 503, true, true, unknownRequest},
		{"", 421, false, true, unknownRequest},
		{"", 503, false, false, unknownRequest},
		{"", 200, false, false, unknownRequest},
		{"", 200, false, true, unknownRequest},
	} {
		var h fasthttp.ResponseHeader
		h.SetStatusCode(row.status)
		if row.id != "" {
			h.Set(headerRequestID, row.id)
		}
		if row.notExecuted {
			h.Set(headerNotExecuted, "1")
		}
		must.Eq(t, row.owner, ownerOf(&h, "mine", row.kept, false), must.Sprintf("%+v", row))
	}
}

// Guards against the heads of two answers being read as one, whichever of the two has the id, and against taking an ordinary head for
// such a one.
func TestHeadsThatRunTogether(t *testing.T) {
	for text, owner := range map[string]answerOwner{
		"HTTP/1.1 421 Misdirected ReqHTTP/1.1 200 OK\r\nMoleshift-Request-Id: mine":                  severalRequests,
		"HTTP/1.1 503 X\r\nMoleshift-Not-Executed: 1HTTP/1.0 500 X\r\nMoleshift-Request-Id: mine":    severalRequests,
		"HTTP/1.1 200 OK\r\nMoleshift-Request-Id: mine\r\nX: HTTP/1.1 503 X\r\nY: 1":                 severalRequests,
		"HTTP/1.1 200 OK\r\nMoleshift-Request-Id: mine\r\nMoleshift-Not-Executed: 1":                 severalRequests,
		"HTTP/1.1 503 X\r\nMoleshift-Request-Id: other\r\nMoleshift-Request-Id: mine":                severalRequests,
		"HTTP/1.1 503 X\r\nMoleshift-Request-Id: mine\r\nMoleshift-Request-Id: mine":                 severalRequests,
		"HTTP/1.1 421 X\r\nServer:HTTP/1.1 200 OK\r\nServer: s\r\nMoleshift-Request-Id: mine":        severalRequests,
		"\r\n\nHTTP/1.1 200 OK\nMoleshift-Request-Id: mine":                                          ownRequest,
		"HTTP/1.1 200 OK\r\nMoleshift-Request-Id: mine\r\nVia: HTTP/1.1 gateway\r\nServer: HTTP/1.x": ownRequest,
		"HTTP/1.1 200 OK\r\nMoleshift-Request-Id: mine\r\nLink: <http://h/HTTP/1.1>":                 ownRequest,
	} {
		reader := bufio.NewReader(strings.NewReader(text + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK"))
		_, raw, err := httphead.PeekResponse(reader)
		must.NoError(t, err)
		holdsTwo := holdsTwoHeads(raw)
		var h fasthttp.ResponseHeader
		must.NoError(t, h.Read(reader))
		must.Eq(t, owner, ownerOf(&h, "mine", true, holdsTwo), must.Sprint(text))
	}
}
