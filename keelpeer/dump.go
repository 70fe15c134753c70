package keelpeer

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
)

// ConnectionState is the state of one connection in the state dump.
type ConnectionState struct {
	Peer    keel.InstanceName `json:"peer"`
	Address netip.AddrPort    `json:"address"`
	// Class is the purpose of the connection with the version of its protocol.
	Class string          `json:"class"`
	State keelchart.State `json:"state"`
	Age   keel.Duration   `json:"age"`
	// InFlight is the number of calls and streams in flight.
	InFlight int64         `json:"in_flight"`
	RTT      keel.Duration `json:"rtt"`
	// BytesSent and BytesReceived exclude the headers of UDP and IP.
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
}

// Connections returns the live connections, sorted by address and class.
func (t *Transport) Connections() []ConnectionState {
	now := t.cfg.Clock.Now()
	var all []ConnectionState
	for _, p := range t.allPools() {
		all = append(all, p.connectionStates(now)...)
	}
	slices.SortFunc(all, func(a, b ConnectionState) int {
		if c := a.Address.Compare(b.Address); c != 0 {
			return c
		}
		return strings.Compare(a.Class, b.Class)
	})
	return all
}

// Blocked returns the addresses that [Transport.Block] or [Transport.BlockSend]
// blocks.
func (t *Transport) Blocked() []netip.AddrPort { return t.filter.blockedAddrs() }

func (p *pool) connectionStates(now time.Time) []ConnectionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []ConnectionState
	for _, l := range p.links {
		if l.alive() {
			all = append(all, l.dump(p.key, now))
		}
	}
	return all
}

func (l *link) dump(key poolKey, now time.Time) ConnectionState {
	s := l.conn.ConnectionStats()
	return ConnectionState{
		Peer:            l.name,
		Address:         key.addr,
		Class:           string(key.class),
		State:           l.watch.machine.State(),
		Age:             keel.Duration(now.Sub(l.opened)),
		InFlight:        l.inFlight.Load(),
		RTT:             keel.Duration(s.SmoothedRTT),
		BytesSent:       s.BytesSent,
		BytesReceived:   s.BytesReceived,
		PacketsSent:     s.PacketsSent,
		PacketsReceived: s.PacketsReceived,
	}
}
