package peer

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"moleshift/internal/httphead"
	"moleshift/internal/sock"
)

const (
	dialTimeout     = 250 * time.Millisecond
	idleTimeout     = 20 * time.Second
	connectionsEach = 32
	maxBody         = 16 << 20
	compressFrom    = 512     // bytes: smaller bodies are sent as they are
	bufferSize      = 2 << 10 // bytes
)

var encodingS2 = []byte("s2")

// Handler answers a call: it reads the request from in and gives the reply.
type Handler func(in []byte) (msgp.Marshaler, error)

// Server takes the calls of other nodes.
type Server struct {
	handlers map[string]Handler
	http     *fasthttp.Server
}

// NewServer makes a server of the given handlers, by path of the call.
func NewServer(handlers map[string]Handler) *Server {
	s := &Server{handlers: handlers}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: maxBody, IdleTimeout: 2 * idleTimeout, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		Logger: sock.Quiet{},
	}
	return s
}

// Serve takes calls until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return trace.Wrap(s.http.Serve(l)) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	handler := s.handlers[string(ctx.Path())]
	if handler == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	in := ctx.PostBody()
	if string(ctx.Request.Header.ContentEncoding()) == string(encodingS2) {
		plain, err := s2.Decode(nil, in)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		in = plain
	}
	reply, err := handler(in)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	out, err := reply.MarshalMsg(nil)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if len(out) >= compressFrom {
		out = s2.Encode(nil, out)
		ctx.Response.Header.SetContentEncodingBytes(encodingS2)
	}
	ctx.SetBody(out)
}

// ErrFailed is the error of a call that got no answer, or none that can be read.
var ErrFailed = errors.New("peer did not answer")

// Client sends calls to other nodes and keeps connections to them.
type Client struct {
	from  string // source IP
	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient makes a client that dials from the given IP.
func NewClient(ip string) *Client { return &Client{from: ip, hosts: map[string]*fasthttp.HostClient{}} }

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr: address, NoDefaultUserAgentHeader: true, MaxConns: connectionsEach, MaxIdleConnDuration: idleTimeout,
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxBody, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
			Dial: c.dial,
		}
		c.hosts[address] = h
	}
	return h
}

// dial connects to another node. The library's parser forgives heads that are none, so they do not reach it.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := sock.Dial(c.from, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return httphead.NewConn(conn, bufferSize), nil
}

// Call sends one call and reads the reply into out. Every call may be repeated, so one that failed at once on a kept connection is
// sent again on a new one.
func (c *Client) Call(address, call string, in msgp.Marshaler, out msgp.Unmarshaler, timeout time.Duration) error {
	began := time.Now()
	err := c.once(address, call, in, out, timeout)
	if left := timeout - time.Since(began); err != nil && left > timeout/2 {
		err = c.once(address, call, in, out, left)
	}
	return err
}

func (c *Client) once(address, call string, in msgp.Marshaler, out msgp.Unmarshaler, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + call)
	if len(body) >= compressFrom {
		body = s2.Encode(nil, body)
		req.Header.SetContentEncodingBytes(encodingS2)
	}
	req.SetBodyRaw(body)
	if err := c.host(address).DoTimeout(req, resp, timeout); err != nil {
		return trace.Wrap(ErrFailed, "%s%s: %v", address, call, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return trace.Wrap(ErrFailed, "%s%s: status %d", address, call, resp.StatusCode())
	}
	reply := resp.Body()
	if string(resp.Header.ContentEncoding()) == string(encodingS2) {
		if reply, err = s2.Decode(nil, reply); err != nil {
			return trace.Wrap(ErrFailed, "%s%s: %v", address, call, err)
		}
	}
	if _, err := out.UnmarshalMsg(reply); err != nil {
		return trace.Wrap(ErrFailed, "%s%s: %v", address, call, err)
	}
	return nil
}
