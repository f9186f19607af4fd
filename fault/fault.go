// Package fault holds the closed list of the kinds of errors that the system answers with, and the table from a kind to its
// answer. Nothing else in the system chooses a status.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is one kind of error.
type Kind int

// The kinds. A request that ended with a kind whose answer is a promise has not run and never will.
const (
	None          Kind = iota
	NoRoute            // no route for host and path
	BadKey             // the key belongs to no tenant
	BadRequest         // the request cannot be read, or lacks what it must have
	TooLarge           // head or body over the configuration's limits
	SlowHead           // the head was not there in time
	NoConfig           // this node knows no configuration yet, or may not act on it any more
	NoServer           // no server may take the request now
	Overloaded         // servers turned the request away
	Uncertain          // sent to a server, outcome unknown
	TimedOut           // the route's timeout or the client's deadline was reached
	TimedOutIdle       // the same, and the request was never sent
	ClientGone         // the client closed its connection
	WrongVersion       // another configuration version is current
	BadConfig          // the configuration is invalid
	Unavailable        // no quorum, or this node cannot serve the call now
	UnknownCall        // no such interface
	NotRegistered      // the instance is not known
	UnderWay           // a release of the service has not ended
	MayBeRepeat        // an order that may be an earlier one, sent again or late
	NoRelease          // no release of the service was ever ordered
	Leaving            // this process is about to end and the request may outlast it
	numKinds
)

// Answer is what a caller gets for a kind.
type Answer struct {
	Status     int
	Promise    bool          // the status tells that the request has not run
	RetryAfter time.Duration // 0: none is told
	Text       string        // what it means
	Remedy     string        // what an operator can do
}

var answers = [numKinds]Answer{
	None:          {Status: 200},
	NoRoute:       {Status: 404, Text: "no route", Remedy: "compare host and path with the routes of GET /config/read"},
	BadKey:        {Status: 401, Text: "unknown key", Remedy: "add the key to a tenant in the configuration"},
	BadRequest:    {Status: 400, Text: "request cannot be read", Remedy: "look at the client"},
	TooLarge:      {Status: 413, Text: "request too large", Remedy: "raise limits.max-header-bytes or limits.max-body-bytes"},
	SlowHead:      {Status: 408, Promise: true, Text: "request came too slowly", Remedy: "raise limits.header-timeout-ms"},
	NoConfig:      {Status: 503, Promise: true, RetryAfter: 200 * time.Millisecond, Text: "no configuration in force", Remedy: "see whether this node reaches a majority of the machines that count for the quorum"},
	NoServer:      {Status: 503, Promise: true, RetryAfter: 150 * time.Millisecond, Text: "no server available", Remedy: "see whether servers of the service register and answer"},
	Overloaded:    {Status: 503, Promise: true, RetryAfter: 200 * time.Millisecond, Text: "servers are full", Remedy: "add servers to the service"},
	Uncertain:     {Status: 502, Text: "server broke off", Remedy: "look at the server named in the log"},
	TimedOut:      {Status: 504, Text: "timed out", Remedy: "look for slow servers, or raise the route's timeout-ms"},
	TimedOutIdle:  {Status: 503, Promise: true, RetryAfter: 100 * time.Millisecond, Text: "no server took the request in time", Remedy: "add servers to the service"},
	ClientGone:    {Status: 499, Text: "client has gone"},
	WrongVersion:  {Status: 412, Text: "another version is current", Remedy: "read the configuration and build the change on it"},
	BadConfig:     {Status: 400, Text: "configuration is invalid", Remedy: "mend what the text names and send it again"},
	Unavailable:   {Status: 503, Promise: true, RetryAfter: 200 * time.Millisecond, Text: "not available now", Remedy: "send it again, to any node"},
	UnknownCall:   {Status: 404, Text: "no such interface", Remedy: "see docs/system.md for what is served"},
	NotRegistered: {Status: 404, Text: "instance is not known", Remedy: "let the server send a heartbeat first"},
	UnderWay:      {Status: 409, Text: "a release is under way", Remedy: "read its state, and order the next one once it has ended"},
	MayBeRepeat:   {Status: 503, Promise: true, RetryAfter: 500 * time.Millisecond, Text: "this may be an earlier order, sent again", Remedy: "send it again until it has another answer: it begins nothing until no repeat of the earlier order can come any more"},
	NoRelease:     {Status: 404, Text: "no release of the service was ordered", Remedy: "compare the service with those of GET /config/read"},
	Leaving:       {Status: 503, Promise: true, RetryAfter: 20 * time.Millisecond, Text: "this router is about to end", Remedy: "nothing: the client comes back to another router"},
}

// Kinds lists all kinds in their order.
func Kinds() []Kind {
	var kinds []Kind
	for k := None; k < numKinds; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Answer gives the table's row for the kind.
func (k Kind) Answer() Answer { return answers[k] }

// Error is an error of a kind with its detail.
type Error struct {
	Kind   Kind
	Detail string
}

// Error gives the text of the kind and the detail.
func (e *Error) Error() string {
	text := e.Kind.Answer().Text
	if e.Detail == "" {
		return text
	}
	return text + ": " + e.Detail
}

// New makes an error of a kind; the detail is formatted.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// KindOf finds the kind of an error; an error of no kind is Unavailable.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unavailable
}
