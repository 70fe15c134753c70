package keelpeer

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// acceptRetryDelay is the delay before a connection is accepted again after the process ran
// out of files or memory.
const acceptRetryDelay = 20 * time.Millisecond

// AcceptRetrier is a listener that waits while the process has no file descriptor or memory
// for a further connection. Other servers take such an error of Accept for the end of the
// listener, and the process would end or serve no more calls. New connections wait in the
// queue of the socket meanwhile.
type AcceptRetrier struct{ net.Listener }

// Accept waits for the next connection. It returns an error once the listener is closed.
func (l AcceptRetrier) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil || !isShortage(err) {
			return nc, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isShortage reports whether a connection could not be accepted for a reason that passes.
func isShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
