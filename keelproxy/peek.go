package keelproxy

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// peeker inspects the state of a connection without reading from it. It is not
// safe for concurrent use.
type peeker struct {
	raw syscall.RawConn
	// err is set if the connection gives no access to its socket.
	err error
	// peekFunc, pollFunc and unreadFunc are created once, since a closure per call would
	// allocate.
	peekFunc   func(fd uintptr)
	pollFunc   func(fd uintptr)
	unreadFunc func(fd uintptr)
	pollFds    [1]unix.PollFd
	// n and callErr are the result of the last call of one of them.
	n       int
	callErr error
	buf     [1]byte
}

func newPeeker(c net.Conn) *peeker {
	p := &peeker{}
	sc, ok := c.(syscall.Conn)
	if !ok {
		p.err = errors.Errorf("%T gives no access to its socket", c)
		return p
	}
	p.raw, p.err = sc.SyscallConn()
	p.peekFunc = func(fd uintptr) {
		p.n, _, p.callErr = unix.Recvfrom(int(fd), p.buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	p.unreadFunc = func(fd uintptr) { p.n, p.callErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }
	p.pollFunc = func(fd uintptr) {
		p.pollFds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		p.n, p.callErr = unix.Poll(p.pollFds[:], 0)
	}
	return p
}

// peek checks for a next byte without consuming it or waiting for it. It returns
// 0 without an error if the other side has closed the connection.
func (p *peeker) peek() (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	if err := p.raw.Control(p.peekFunc); err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	return p.n, p.callErr
}

// idle reports whether the connection is open and has nothing to read.
func (p *peeker) idle() bool {
	if p.err != nil {
		return false
	}
	err := p.raw.Control(p.pollFunc)
	return err == nil && p.callErr == nil && p.n == 0
}

// unread returns the number of bytes that the kernel holds and that were not read.
func (p *peeker) unread() int64 {
	if p.err != nil {
		return 0
	}
	err := p.raw.Control(p.unreadFunc)
	if err != nil || p.callErr != nil {
		return 0 // the connection is closed
	}
	return int64(p.n)
}

// closed reports whether the other side has closed the connection.
func (p *peeker) closed() bool {
	n, err := p.peek()
	return n == 0 && err == nil // 0 bytes without an error is the end of the stream
}

// PeerClosed reports whether the other side of a connection has closed it and everything
// that it sent was read. It reports false for a connection without a socket.
func PeerClosed(c net.Conn) bool { return newPeeker(c).closed() }
