package keelpeer

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// direction is a set of ways that packets go.
type direction uint8

const (
	directionSend direction = 1 << iota
	directionReceive
)

// filter says which addresses packets may go to and come from.
type filter struct {
	custom  func(netip.AddrPort) bool
	mu      sync.Mutex
	blocked atomic.Pointer[map[netip.AddrPort]direction]
}

func newFilter(custom func(netip.AddrPort) bool) *filter { return &filter{custom: custom} }

func (f *filter) block(addrs []netip.AddrPort, d direction) {
	f.change(func(m map[netip.AddrPort]direction) {
		for _, a := range addrs {
			m[unmapped(a)] |= d
		}
	})
}

func (f *filter) unblock(addrs []netip.AddrPort) {
	f.change(func(m map[netip.AddrPort]direction) {
		if len(addrs) == 0 {
			clear(m)
		}
		for _, a := range addrs {
			delete(m, unmapped(a))
		}
	})
}

// change replaces the set, so that readers need no lock.
func (f *filter) change(edit func(map[netip.AddrPort]direction)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[netip.AddrPort]direction{}
	if old := f.blocked.Load(); old != nil {
		maps.Copy(next, *old)
	}
	edit(next)
	f.blocked.Store(&next)
}

func (f *filter) list() []netip.AddrPort {
	m := f.blocked.Load()
	if m == nil {
		return nil
	}
	return slices.SortedFunc(maps.Keys(*m), netip.AddrPort.Compare)
}

func (f *filter) passes(addr net.Addr, d direction) bool {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return true
	}
	ap := unmapped(udp.AddrPort())
	if m := f.blocked.Load(); m != nil && (*m)[ap]&d != 0 {
		return false
	}
	return f.custom == nil || f.custom(ap)
}

// filteredConn drops packets that the filter does not pass. It keeps the batched
// calls that QUIC uses on a UDP socket.
type filteredConn struct {
	*net.UDPConn
	filter *filter
	batch  *ipv4.PacketConn
}

func newFilteredConn(c *net.UDPConn, f *filter) *filteredConn {
	return &filteredConn{UDPConn: c, filter: f, batch: ipv4.NewPacketConn(c)}
}

// ReadBatch reads packets and empties those that the filter does not pass, since
// QUIC skips empty packets and pairs messages with buffers by position.
func (c *filteredConn) ReadBatch(ms []ipv4.Message, flags int) (int, error) {
	n, err := c.batch.ReadBatch(ms, flags)
	for i := range n {
		if !c.filter.passes(ms[i].Addr, directionReceive) {
			ms[i].N = 0
		}
	}
	return n, err
}

// WriteMsgUDP drops the packet if the filter does not pass its address.
func (c *filteredConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if !c.filter.passes(addr, directionSend) {
		return len(b), len(oob), nil
	}
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo drops the packet if the filter does not pass its address.
func (c *filteredConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if !c.filter.passes(addr, directionSend) {
		return len(b), nil
	}
	return c.UDPConn.WriteTo(b, addr)
}
