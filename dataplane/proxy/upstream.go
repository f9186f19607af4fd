package proxy

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"moleshift/dataplane/outlier"
	"moleshift/internal/sock"
	"moleshift/peer"
)

const (
	dialServer   = 300 * time.Millisecond
	reuseShare   = 0.6 // of the time that a server keeps an idle connection
	reuseUnknown = 4 * time.Second
	maxIdle      = 64
	readerSize   = 8 << 10
	connShare    = 0.9 // of a server's connections that all routers together use
	leastConns   = 2
)

// serverConn is one connection to a server. It carries one request at a time.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // idle since; zero: it has carried no request before
	keep   time.Duration
	heads  int // of answers that were read on it
}

// kept tells whether the connection has carried other requests before.
func (c *serverConn) kept() bool { return !c.since.IsZero() }

// target is one incarnation of a server as this router sees it. The proxy's lock guards it.
type target struct {
	id       string // of the instance; never changes, so it may be read without the lock
	instance peer.Instance
	state    outlier.State
	idle     []*serverConn
	conns    int

	versionNow map[string]int64
}

// version is the version of a model's weights that the server is believed to run.
func (t *target) version(model string) int64 {
	v := t.versionNow[model]
	for _, m := range t.instance.Models {
		if m.Name == model {
			v = max(v, m.Version)
		}
	}
	return v
}

// takeIdle takes the newest idle connection that may still be used. The lock is held; those that are to be closed come back.
func (t *target) takeIdle(now time.Time) (c *serverConn, stale []*serverConn) {
	for len(t.idle) > 0 {
		c = t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if now.Sub(c.since) < time.Duration(reuseShare*float64(c.keep)) {
			return c, stale
		}
		stale = append(stale, c)
	}
	return nil, stale
}

// quiet tells whether an idle connection is open and nothing has come on it.
func (c *serverConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// connect gives a connection to the target, a kept one where there is one. nil: none came up, or the target's share is used up.
func (p *Proxy) connect(t *target, limit int, deadline time.Time) *serverConn {
	var address string
	for {
		now := time.Now()
		p.mu.Lock()
		address = t.instance.Address
		c, stale := t.takeIdle(now)
		t.conns -= len(stale)
		full := c == nil && t.conns >= limit
		if c == nil && !full {
			t.conns++
		}
		p.mu.Unlock()
		for _, s := range stale {
			s.Close()
		}
		if full {
			return nil
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c
		}
		p.closeConn(t, c)
	}
	wait := min(dialServer, time.Until(deadline))
	conn, err := sock.Dial(p.set.IP, address, max(wait, time.Millisecond))
	if err != nil {
		p.mu.Lock()
		t.conns--
		t.state.Unreachable(p.now())
		p.mu.Unlock()
		return nil
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, readerSize), keep: reuseUnknown}
}

// keepConn keeps a connection for the next request.
func (p *Proxy) keepConn(t *target, c *serverConn) {
	_ = c.SetDeadline(time.Time{})
	c.since = time.Now()
	p.mu.Lock()
	keep := p.targets[t.instance.ID] == t && len(t.idle) < maxIdle
	if keep {
		t.idle = append(t.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.closeConn(t, c)
	}
}

func (p *Proxy) closeConn(t *target, c *serverConn) {
	c.Close()
	p.mu.Lock()
	t.conns--
	p.mu.Unlock()
}

// keepAlive reads how long a server keeps an idle connection: timeout=SECONDS.
func keepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.ParseFloat(value, 64); err == nil && s >= 0 {
				return time.Duration(s * float64(time.Second)), true
			}
		}
	}
	return 0, false
}
