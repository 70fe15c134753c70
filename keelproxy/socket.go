package keelproxy

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Sizes of the buffers of sockets. The kernel holds up to twice as much for each connection
// whose other side does not read, or is not read from; without a limit it is some megabytes.
const (
	receiveBufferBytes = 64 << 10
	sendBufferBytes    = 64 << 10
)

// answerBytes is what is charged for an answer that is streamed: what the kernel holds on both
// sides while the caller does not read.
const answerBytes = 2 * (receiveBufferBytes + sendBufferBytes)

// LimitBuffers limits what the kernel holds for the connections that ln accepts from now on.
// It does nothing if ln is no socket.
func LimitBuffers(ln net.Listener) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return limitSocketBuffers("", "", raw)
}

// limitSocketBuffers limits what the kernel holds for a socket. It is the Control function of a
// [net.Dialer].
func limitSocketBuffers(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes),
		)
	})
	if controlErr != nil {
		err = controlErr
	}
	if err != nil {
		return errors.Wrap(err, "limit socket buffers")
	}
	return nil
}
