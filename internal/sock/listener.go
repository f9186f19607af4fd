package sock

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// acceptPause is between two tries to accept a connection.
const acceptPause = 10 * time.Millisecond

// passing are the errors of an accept that end by themselves: there is no descriptor or no memory for now, the client left too early, or the
// network had an error for the connection that waits, which Linux hands on (accept(2) names these and asks to try again).
var passing = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET,
}

// patientListener accepts connections, and waits where none can be had for now: a program that took that for the end of its listener
// would end while it serves others.
type patientListener struct {
	net.Listener
	failed func(err error) // is told of each try that failed; nil: nobody is
}

// Accept returns the next connection; an error is final.
func (l *patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return c, err
		}
		if l.failed != nil {
			l.failed(err)
		}
		time.Sleep(acceptPause)
	}
}

// isPassing tells whether an accept failed with an error that ends by itself.
func isPassing(err error) bool {
	return slices.ContainsFunc(passing, func(number syscall.Errno) bool { return errors.Is(err, number) })
}
