// Package servercall makes the system's own calls to servers and stores: those that are no requests of clients.
//
// Answers to such calls carry no id of the call. A server may send an answer twice, and the second one would be read as that to the
// next call on its connection. A call whose answer must be its own is therefore made on a connection of its own.
package servercall

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/internal/httphead"
	"moleshift/internal/sock"
)

const headSize = 4 << 10 // of the head of an answer, in bytes

// Settings are a client's figures.
type Settings struct {
	IP          string        // the IP to dial from
	DialTimeout time.Duration // for a connection to come up
	PerServer   int           // connections to one server at the most
	Idle        time.Duration // how long a kept connection may rest
}

// Call is one call to a server.
type Call struct {
	Method  string // GET where empty
	Address string // of the server, as IP:PORT
	Path    string // with the query
	Headers map[string]string
	JSON    []byte // the body; nil: none
	Alone   bool   // on a connection of its own, which carries no other call
	Timeout time.Duration
}

// Client makes calls and keeps connections for those that need none of their own.
type Client struct {
	kept, alone *fasthttp.Client
}

// New makes a client.
func New(set Settings) *Client {
	client := func() *fasthttp.Client {
		return &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: set.PerServer, MaxIdleConnDuration: set.Idle,
			Dial: func(address string) (net.Conn, error) { return dial(&set, address) },
		}
	}
	return &Client{kept: client(), alone: client()}
}

// dial connects to a server. What comes on the connection is an answer or an error: the library alone would take most broken heads for one.
func dial(set *Settings, address string) (net.Conn, error) {
	conn, err := sock.Dial(set.IP, address, set.DialTimeout)
	if err != nil {
		return nil, err
	}
	return httphead.NewConn(conn, headSize), nil
}

// Do makes a call and gives the status and the body of its answer. Errors are those of the connection: no answer came in time, or
// bytes that are none. Then nobody knows whether the server took the call.
func (c *Client) Do(call *Call) (status int, body []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if call.Method != "" {
		req.Header.SetMethod(call.Method)
	}
	req.SetRequestURI("http://" + call.Address + call.Path)
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	if call.JSON != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.JSON)
	}
	client := c.kept
	if call.Alone {
		client = c.alone
		req.SetConnectionClose()
	}
	if err := client.DoTimeout(req, resp, call.Timeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), slices.Clone(resp.Body()), nil
}
