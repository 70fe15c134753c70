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

// filter says which addresses packets may go to and come from.
type filter struct {
	custom  func(netip.AddrPort) bool
	mu      sync.Mutex
	blocked atomic.Pointer[map[netip.AddrPort]bool]
}

func newFilter(custom func(netip.AddrPort) bool) *filter { return &filter{custom: custom} }

func (f *filter) block(addrs []netip.AddrPort) {
	f.change(func(m map[netip.AddrPort]bool) {
		for _, a := range addrs {
			m[unmapped(a)] = true
		}
	})
}

func (f *filter) unblock(addrs []netip.AddrPort) {
	f.change(func(m map[netip.AddrPort]bool) {
		if len(addrs) == 0 {
			clear(m)
		}
		for _, a := range addrs {
			delete(m, unmapped(a))
		}
	})
}

// change replaces the set, so that readers need no lock.
func (f *filter) change(edit func(map[netip.AddrPort]bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[netip.AddrPort]bool{}
	if old := f.blocked.Load(); old != nil {
		for a := range *old {
			next[a] = true
		}
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

func (f *filter) passes(addr netip.AddrPort) bool {
	if m := f.blocked.Load(); m != nil && (*m)[unmapped(addr)] {
		return false
	}
	return f.custom == nil || f.custom(unmapped(addr))
}

func (f *filter) passesAddr(addr net.Addr) bool {
	udp, ok := addr.(*net.UDPAddr)
	return !ok || f.passes(udp.AddrPort())
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
		if !c.filter.passesAddr(ms[i].Addr) {
			ms[i].N = 0
		}
	}
	return n, err
}

// WriteMsgUDP drops the packet if the filter does not pass its address.
func (c *filteredConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if !c.filter.passesAddr(addr) {
		return len(b), len(oob), nil
	}
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo drops the packet if the filter does not pass its address.
func (c *filteredConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if !c.filter.passesAddr(addr) {
		return len(b), nil
	}
	return c.UDPConn.WriteTo(b, addr)
}
