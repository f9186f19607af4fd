package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// connection is one connection to a stand-in server, with what is still to be sent on it once more.
type connection struct {
	conn    net.Conn
	surplus string
	spoils  bool // what is sent once more leaves the answer behind it unreadable
}

type connectionKey struct{}

// fullListener resets connections that come while its server lets nobody else wait.
type fullListener struct {
	net.Listener
	isFull func() bool
}

// Accept takes the next connection that is not reset.
func (l *fullListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.isFull() {
			return c, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only where it is closed already
		}
		c.Close()
	}
}

// withConnection makes a server's connection known to the requests that come on it.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{conn: c})
}

func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection)
}

// sendSurplus sends what was kept, in the place where the next answer is due, and tells whether it spoils that one.
func (c *connection) sendSurplus() (spoils bool) {
	_, _ = c.conn.Write([]byte(c.surplus)) // a caller that has left is noticed later
	spoils = c.spoils
	c.surplus, c.spoils = "", false
	return spoils
}

// statusEnd is where the status of an answer ends.
const statusEnd = len("HTTP/1.1 503")

// keepSurplus keeps a surplus answer to a request, as the server's faults draw it, until the next one comes.
func (c *connection) keepSurplus(faults *serverFaults, server, id string) {
	kind := faults.drawSurplus()
	if kind == noSurplus {
		return
	}
	withID := "Moleshift-Request-Id: " + id + "\r\n"
	const notExecuted = "503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\n"
	head := map[surplus]string{
		turnedAway: notExecuted + withID, misdirected: "421 Misdirected Request\r\n" + withID,
		answered:       "200 OK\r\nMoleshift-Response-Stamp: " + server + "\r\n" + withID,
		turnedAwayNoID: notExecuted, misdirectedNoID: "421 Misdirected Request\r\n",
		turnedAwayBegun: notExecuted + "Content-Type: text/plain\r\n", misdirectedBegun: "421 Misdirected Request\r\nContent-Type: text/plain\r\n",
	}[kind]
	c.surplus = fmt.Sprintf("HTTP/1.1 %sContent-Length: 0\r\n\r\n", head)
	c.spoils = kind == noAnswer || kind == turnedAwayBegun || kind == misdirectedBegun
	if kind == noAnswer {
		c.surplus = "\x00\x7f no answer\r\n"
	}
	if kind == turnedAwayBegun || kind == misdirectedBegun {
		c.surplus = faults.drawCut(c.surplus, statusEnd)
	}
}
