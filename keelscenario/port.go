package keelscenario

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports of instances lie below the ephemeral ports of the operating system, so
// that no connection takes the port of a stopped instance before it restarts.
// Each test process uses one of portRanges ranges, chosen by its process id.
const (
	firstPort       = 12_000
	portsPerProcess = 600
	portRanges      = 30
)

var nextPort atomic.Uint32

// freePort returns a loopback address whose port is free for TCP and UDP.
func (c *cluster) freePort() netip.AddrPort {
	base := firstPort + uint32(os.Getpid()%portRanges)*portsPerProcess
	for range portsPerProcess {
		port := base + nextPort.Add(1)%portsPerProcess
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if isFree(addr) {
			return addr
		}
	}
	c.fatalf("no free port in the range that begins at %d", base)
	return netip.AddrPort{}
}

func isFree(addr netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
