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
}

type connectionKey struct{}

// withConnection makes a server's connection known to the requests that come on it.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{conn: c})
}

func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection)
}

// sendSurplus sends what was kept, in the place where the next answer is due.
func (c *connection) sendSurplus() {
	_, _ = c.conn.Write([]byte(c.surplus)) // a caller that has left is noticed later
	c.surplus = ""
}

// keepSurplus keeps a surplus answer to a request until the next one comes.
func (c *connection) keepSurplus(kind surplus, server, id string) {
	withID := "Moleshift-Request-Id: " + id + "\r\n"
	const notExecuted = "503 Service Unavailable\r\nMoleshift-Not-Executed: 1\r\n"
	head := map[surplus]string{
		turnedAway: notExecuted + withID, misdirected: "421 Misdirected Request\r\n" + withID,
		answered:       "200 OK\r\nMoleshift-Response-Stamp: " + server + "\r\n" + withID,
		turnedAwayNoID: notExecuted, misdirectedNoID: "421 Misdirected Request\r\n",
	}[kind]
	if kind != noSurplus {
		c.surplus = fmt.Sprintf("HTTP/1.1 %sContent-Length: 0\r\n\r\n", head)
	}
}
