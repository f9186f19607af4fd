package proxy

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
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
		must.Eq(t, row.owner, ownerOf(&h, "mine", row.kept), must.Sprintf("%+v", row))
	}
}
