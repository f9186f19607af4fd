package proxy

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"moleshift/dataplane/admission"
)

// longPast is a deadline that ends every read and write under way.
var longPast = time.Unix(1, 0)

// lingerDefault has the system send what is left when a connection is closed.
const lingerDefault = -1

// Exchange is one request of a client: what came, and the connection that the answer goes to.
type Exchange struct {
	Header   *fasthttp.RequestHeader
	Body     []byte
	Arrived  time.Time // when its first byte was there; deadlines count from then
	Complete time.Time // when it had been read whole
	Conn     net.Conn
	Writer   *bufio.Writer
	Closing  bool            // the connection is closed after this answer
	Drain    admission.Drain // of the process, as it stood when the request was complete

	mu      sync.Mutex
	gone    bool
	expired bool
	servers []net.Conn // the connections to servers that work on it: two while a stream is taken over
}

// key gives the client's Authorization header.
func (e *Exchange) key() string { return string(e.Header.Peek(fasthttp.HeaderAuthorization)) }

// resetOnClose sets whether the client's connection is reset when it is closed, by whatever ends this process too.
func (e *Exchange) resetOnClose(reset bool) {
	lingers, ok := e.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := lingerDefault
	if reset {
		seconds = 0
	}
	_ = lingers.SetLinger(seconds) // fails only where the connection is closed already
}

// ClientGone is called when the client has closed its connection: the request is ended at its server.
func (e *Exchange) ClientGone() { e.end(&e.gone) }

// Expire is called when the process is about to end: the request is ended at its server, and the client gets an answer that says
// so where none has begun.
func (e *Exchange) Expire() { e.end(&e.expired) }

func (e *Exchange) end(how *bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*how = true
	for _, c := range e.servers {
		_ = c.SetDeadline(longPast) // fails only where the connection is closed already
	}
}

// Gone tells whether the client has closed its connection.
func (e *Exchange) Gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// isExpired tells whether the process is about to end, so that the request was ended.
func (e *Exchange) isExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expired
}

// over tells whether nothing more may be tried: the deadline has passed, or the process is about to end.
func (e *Exchange) over(deadline time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expired || !time.Now().Before(deadline)
}

// addServer notes a connection to a server; false: the request has been ended.
func (e *Exchange) addServer(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = append(e.servers, c)
	return !e.gone && !e.expired
}

// removeServer forgets a connection to a server; false: the request has been ended.
func (e *Exchange) removeServer(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = slices.DeleteFunc(e.servers, func(other net.Conn) bool { return other == c })
	return !e.gone && !e.expired
}

// limitServer sets a deadline of the connection to the server, unless the request was ended: that deadline stands.
func (e *Exchange) limitServer(set func(time.Time) error, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.gone && !e.expired {
		_ = set(at) // fails only where the connection is closed already
	}
}
