package sock

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// scarcePause is between two tries to accept a connection where the system has no descriptor or no memory for one.
const scarcePause = 10 * time.Millisecond

// patientListener accepts connections, and waits where none can be had for now: a program that took that for the end of its listener
// would end while it serves others.
type patientListener struct {
	net.Listener
	scarce func(err error) // is told of each try that failed; nil: nobody is
}

// Accept returns the next connection; an error is final.
func (l *patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isScarce(err) {
			return c, err
		}
		if l.scarce != nil {
			l.scarce(err)
		}
		time.Sleep(scarcePause)
	}
}

// isScarce tells whether an accept failed for want of something that may be there soon, or for a client that left too early.
func isScarce(err error) bool {
	for _, number := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}
