package keelscenario

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports of instances lie below those that the system gives to connections, so
// that a stopped instance finds its ports free when it starts again.
const (
	firstPort    = 12_000
	portsPerTest = 600
	portRanges   = 30
)

var nextPort atomic.Uint32

// freePort returns a loopback address whose port no one listens on.
func (c *cluster) freePort() netip.AddrPort {
	base := firstPort + uint32(os.Getpid()%portRanges)*portsPerTest
	for range portsPerTest {
		port := base + nextPort.Add(1)%portsPerTest
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if free(addr) {
			return addr
		}
	}
	c.fatalf("no port is free from %d on", base)
	return netip.AddrPort{}
}

func free(addr netip.AddrPort) bool {
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
