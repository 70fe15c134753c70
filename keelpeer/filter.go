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

// direction is a set of packet directions.
type direction uint8

const (
	directionSend direction = 1 << iota
	directionReceive
)

// filter decides which packets are dropped, by address and direction.
type filter struct {
	allow             func(netip.AddrPort) bool
	mu                sync.Mutex
	blockedDirections atomic.Pointer[map[netip.AddrPort]direction]
}

func newFilter(custom func(netip.AddrPort) bool) *filter { return &filter{allow: custom} }

func (f *filter) block(addrs []netip.AddrPort, d direction) {
	f.update(func(m map[netip.AddrPort]direction) {
		for _, a := range addrs {
			m[unmapped(a)] |= d
		}
	})
}

func (f *filter) unblock(addrs []netip.AddrPort) {
	f.update(func(m map[netip.AddrPort]direction) {
		if len(addrs) == 0 {
			clear(m)
		}
		for _, a := range addrs {
			delete(m, unmapped(a))
		}
	})
}

// update replaces the blocked addresses by an edited copy, so that readers need
// no lock.
func (f *filter) update(edit func(map[netip.AddrPort]direction)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[netip.AddrPort]direction{}
	if old := f.blockedDirections.Load(); old != nil {
		maps.Copy(next, *old)
	}
	edit(next)
	f.blockedDirections.Store(&next)
}

func (f *filter) blockedAddrs() []netip.AddrPort {
	m := f.blockedDirections.Load()
	if m == nil {
		return nil
	}
	return slices.SortedFunc(maps.Keys(*m), netip.AddrPort.Compare)
}

func (f *filter) allows(addr net.Addr, d direction) bool {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return true
	}
	ap := unmapped(udp.AddrPort())
	if m := f.blockedDirections.Load(); m != nil && (*m)[ap]&d != 0 {
		return false
	}
	return f.allow == nil || f.allow(ap)
}

// filteredConn drops the packets that the filter does not allow. It keeps the
// batched reads that QUIC uses on a UDP socket.
type filteredConn struct {
	*net.UDPConn
	filter *filter
	batch  *ipv4.PacketConn
}

func newFilteredConn(c *net.UDPConn, f *filter) *filteredConn {
	return &filteredConn{UDPConn: c, filter: f, batch: ipv4.NewPacketConn(c)}
}

// ReadBatch reads packets and empties those that the filter does not allow.
// QUIC skips empty packets; removing them would break the pairing of messages
// with buffers by position.
func (c *filteredConn) ReadBatch(ms []ipv4.Message, flags int) (int, error) {
	n, err := c.batch.ReadBatch(ms, flags)
	for i := range n {
		if !c.filter.allows(ms[i].Addr, directionReceive) {
			ms[i].N = 0
		}
	}
	return n, err
}

// WriteMsgUDP drops the packet if the filter does not allow its address.
func (c *filteredConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if !c.filter.allows(addr, directionSend) {
		return len(b), len(oob), nil
	}
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo drops the packet if the filter does not allow its address.
func (c *filteredConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if !c.filter.allows(addr, directionSend) {
		return len(b), nil
	}
	return c.UDPConn.WriteTo(b, addr)
}
