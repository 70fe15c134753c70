package keelproxy

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// peeker looks at the next byte of a connection. It is not safe for use by
// several goroutines.
type peeker struct {
	raw syscall.RawConn
	err error
	// look is made once, since a function for each call is an allocation.
	look    func(fd uintptr)
	ask     func(fd uintptr)
	polled  [1]unix.PollFd
	n       int
	recvErr error
	b       [1]byte
}

func newPeeker(c net.Conn) *peeker {
	p := &peeker{}
	sc, ok := c.(syscall.Conn)
	if !ok {
		p.err = errors.Errorf("%T gives no access to its socket", c)
		return p
	}
	p.raw, p.err = sc.SyscallConn()
	p.look = func(fd uintptr) {
		p.n, _, p.recvErr = unix.Recvfrom(int(fd), p.b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	p.ask = func(fd uintptr) {
		p.polled[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		p.n, p.recvErr = unix.Poll(p.polled[:], 0)
	}
	return p
}

// peek looks at the next byte without taking it or waiting for it. It returns 0
// if the other side has closed.
func (p *peeker) peek() (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	if err := p.raw.Control(p.look); err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	return p.n, p.recvErr
}

// quiet reports whether the connection is open and has nothing to read.
func (p *peeker) quiet() bool {
	if p.err != nil {
		return false
	}
	err := p.raw.Control(p.ask)
	return err == nil && p.recvErr == nil && p.n == 0
}

// gone reports whether the other side has closed the connection.
func (p *peeker) gone() bool {
	n, err := p.peek()
	return n == 0 && err == nil // 0 bytes without an error is the end of the stream
}
