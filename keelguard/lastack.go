package keelguard

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// keepAliveSeconds is the interval of keep-alive probes on a suspected
// connection, the shortest that the operating system offers.
const keepAliveSeconds = 1

// SinceLastAck returns the time since the peer's TCP stack last acknowledged
// anything on a connection. It also turns on keep-alive probes, so that the
// next call can distinguish a slow endpoint from a broken path: an endpoint
// that is busy or reads slowly continues to acknowledge, a path that drops the
// connection's packets does not.
func SinceLastAck(c syscall.Conn) (time.Duration, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "get socket of connection")
	}
	var age time.Duration
	var sockErr error
	if err := raw.Control(func(fd uintptr) { age, sockErr = readLastAck(int(fd)) }); err != nil {
		return 0, errors.Wrap(err, "access socket")
	}
	if sockErr != nil {
		return 0, errors.Wrap(sockErr, "read state of TCP connection")
	}
	return age, nil
}

func readLastAck(fd int) (time.Duration, error) {
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
