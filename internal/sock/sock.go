// Package sock makes the TCP sockets of the system: with bounds on how long a peer may stay silent.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout bounds how long sent bytes may stay unacknowledged before a connection is given up.
const UserTimeout = 1500 * time.Millisecond

const (
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 2
)

func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A system without the option does without it: calls have deadlines of their own.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout/time.Millisecond))
	})
}

// Dial connects to address, from the given IP.
func Dial(from, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout, Control: control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
	}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.Dial("tcp4", address)
}

// Listen listens on address; accepted connections have the same bounds as dialled ones. Where one cannot be accepted for want of
// descriptors or memory, or with an error of the network, failed is told and the listener tries again.
func Listen(address string, failed func(err error)) (net.Listener, error) {
	l := net.ListenConfig{
		Control:         control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
	}
	inner, err := l.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &patientListener{Listener: inner, failed: failed}, nil
}

// Quiet is a logger for libraries whose own lines nobody needs: errors are told where they are handled.
type Quiet struct{}

// Printf drops the line.
func (Quiet) Printf(string, ...any) {}
