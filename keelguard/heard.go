package keelguard

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// keepAliveSeconds is the interval of keep-alive probes on a connection in
// doubt, the shortest that the operating system offers.
const keepAliveSeconds = 1

// Heard returns how long ago the other side's system last acknowledged anything
// on a TCP connection, and turns on keep-alive probes, so that the next call
// can tell an endpoint that takes long from a path that is dead. An endpoint
// that is busy or reads slowly goes on acknowledging; a path that drops the
// connection's packets does not.
func Heard(c syscall.Conn) (time.Duration, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "socket of connection")
	}
	var age time.Duration
	var sockErr error
	if err := raw.Control(func(fd uintptr) { age, sockErr = heard(int(fd)) }); err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	if sockErr != nil {
		return 0, errors.Wrap(sockErr, "state of TCP connection")
	}
	return age, nil
}

func heard(fd int) (time.Duration, error) {
	options := []struct{ level, name, value int }{
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveSeconds},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveSeconds},
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
	}
	for _, o := range options {
		if err := unix.SetsockoptInt(fd, o.level, o.name, o.value); err != nil {
			return 0, err
		}
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}
