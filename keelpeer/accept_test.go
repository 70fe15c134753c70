package keelpeer_test

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
)

// scriptedListener returns errors before it accepts a connection, and is closed then.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	_ = client.Close()
	return server, nil
}

// The process runs out of file descriptors while hundreds of instances connect. It accepts
// connections again later, instead of ending or serving no more.
func TestAcceptAfterShortage(t *testing.T) {
	is := is.New(t)
	shortage := &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	l := keelpeer.AcceptRetrier{Listener: &scriptedListener{errs: []error{shortage, shortage, nil}}}
	nc, err := l.Accept()
	is.NoErr(err)
	_ = nc.Close()
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
