package httphead

import (
	"bufio"
	"net"
)

// Conn is a client's connection on which only answers with sound heads can be read. It is for libraries whose parsers forgive what is no
// head. Requests and answers take turns on it: behind a write, the head of an answer is due.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	head   int  // bytes of a sound head that are still to be read
	inBody bool // the answer's own head was sound: what follows is its body
}

// NewConn makes a connection that reads heads of up to size bytes.
func NewConn(conn net.Conn, size int) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, size)}
}

// Write writes bytes of a request. What lies unread by then stands in the place of its answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.head, c.inBody = 0, false
	return c.Conn.Write(b)
}

// Read reads bytes of an answer once its head has come whole. Errors are those of the connection, and of type Error where the bytes are no
// answer.
func (c *Conn) Read(b []byte) (int, error) {
	if c.head == 0 && !c.inBody {
		head, _, err := PeekResponse(c.reader)
		if err != nil {
			return 0, err
		}
		c.head, c.inBody = head.Length, head.IsFinal()
	}
	if c.head == 0 {
		return c.reader.Read(b)
	}
	n, err := c.reader.Read(b[:min(len(b), c.head)])
	c.head -= n
	return n, err
}
