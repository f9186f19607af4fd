package proxy

// Which request an answer on a server's connection belongs to.

import "github.com/valyala/fasthttp"

// answerOwner is the request that an answer belongs to.
type answerOwner int

// The owners of an answer.
const (
	ownRequest      answerOwner = iota // the request that waits for it
	earlierRequest                     // another one: a surplus answer
	unknownRequest                     // it cannot be told: it has no id
	severalRequests                    // its head was put together from two
	answerOwners
)

// String gives the owner's name in logs and metrics.
func (o answerOwner) String() string { return [...]string{"own", "earlier", "unknown", "several"}[o] }

// ownerOf tells which request an answer belongs to: the one whose id it carries, whatever its status says. kept tells that the
// connection has carried other requests before, holdsTwo that another answer begins within the head. An answer without an id counts as the waiting request's own only where it says that
// the request was not run and nobody else can be meant by that.
func ownerOf(h *fasthttp.ResponseHeader, id string, kept, holdsTwo bool) answerOwner {
	switch answered := string(h.Peek(headerRequestID)); {
	case runsTogether(h, holdsTwo):
		return severalRequests
	case answered == id:
		return ownRequest
	case answered != "":
		return earlierRequest
	case !kept && turnsAway(h):
		return ownRequest
	}
	return unknownRequest
}

// runsTogether tells whether a head was put together from two: a server broke off within the head of one answer and sent another one
// behind it. Such a head has a status line within it, or two ids, or says of a success that its request has not run.
func runsTogether(h *fasthttp.ResponseHeader, holdsTwo bool) bool {
	contradicts := h.StatusCode() < fasthttp.StatusBadRequest && turnsAway(h)
	return holdsTwo || contradicts || len(h.PeekAll(headerRequestID)) > 1
}

// turnsAway tells whether an answer says that its request has not run.
func turnsAway(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusMisdirectedRequest || len(h.Peek(headerNotExecuted)) > 0
}
