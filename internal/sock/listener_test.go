package sock

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// failing is a listener whose accepts fail in a given order; behind that it is closed.
type failing struct {
	net.Listener
	errs []error // nil: a connection
}

func (l *failing) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	one, other := net.Pipe()
	other.Close()
	return one, nil
}

// Guards against the end of a process that has no descriptor left for one more connection.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := 0
		l := &patientListener{
			Listener: &failing{errs: []error{syscall.EMFILE, syscall.EMFILE, syscall.ENOMEM, syscall.ECONNABORTED, nil, syscall.EBADF}},
			failed:   func(error) { failed++ },
		}
		c, err := l.Accept()
		must.NoError(t, err)
		c.Close()
		must.Eq(t, 4, failed)
		_, err = l.Accept()
		must.ErrorIs(t, err, syscall.EBADF)
		_, err = l.Accept()
		must.ErrorIs(t, err, net.ErrClosed)
	})
}

// Guards against the end of a process at an accept that reports an error of the network for a connection that was waiting.
func TestAcceptOutlastsNetworkErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{
			syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
			syscall.ENETUNREACH, syscall.EPERM, syscall.ETIMEDOUT, syscall.ECONNRESET,
		}
		failed := 0
		l := &patientListener{Listener: &failing{errs: append(errs, nil)}, failed: func(error) { failed++ }}
		c, err := l.Accept()
		must.NoError(t, err)
		c.Close()
		must.Eq(t, len(errs), failed)
	})
}
