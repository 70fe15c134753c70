package keeldeclare

import (
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// maxSources limits the number of peers whose versions are remembered.
	maxSources = 256
	// sourceTTL is how long a peer is remembered after its last message.
	sourceTTL = 2 * time.Minute
	// minRetryDelay and maxRetryDelay limit the delay after a failed fetch,
	// which doubles with every consecutive failure of the peer.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// source is a peer that can be fetched from, and the version that it reported.
type source struct {
	version    keel.Version
	sameDomain bool
	lastSeen   time.Time
	failures   int
	notBefore  time.Time
}

// sources selects the peer to fetch from.
type sources struct {
	peers map[netip.AddrPort]*source
}

func newSources() sources { return sources{peers: map[netip.AddrPort]*source{}} }

// observe records the version reported by a peer. A delayed message does not
// lower it.
func (s *sources) observe(now time.Time, peer netip.AddrPort, v keel.Version, sameDomain bool) {
	p, ok := s.peers[peer]
	if !ok {
		if len(s.peers) >= maxSources {
			s.dropOldest()
		}
		p = &source{}
		s.peers[peer] = p
	}
	p.version = max(p.version, v)
	p.sameDomain = sameDomain
	p.lastSeen = now
}

func (s *sources) dropOldest() {
	var oldest netip.AddrPort
	for peer, p := range s.peers {
		o, ok := s.peers[oldest]
		if !ok || p.lastSeen.Before(o.lastSeen) || p.lastSeen.Equal(o.lastSeen) && peer.Compare(oldest) < 0 {
			oldest = peer
		}
	}
	delete(s.peers, oldest)
}

// pick returns the peer to fetch from, among those with at least version want.
// It prefers peers of the own failure domain, then fewer failures, then the
// higher version. If no peer is available now, wait is the time until one is,
// or 0 if there is none.
func (s *sources) pick(now time.Time, want keel.Version) (peer netip.AddrPort, sameDomain bool, wait time.Duration) {
	for addr, p := range s.peers {
		if now.Sub(p.lastSeen) > sourceTTL {
			delete(s.peers, addr)
			continue
		}
		if p.version < want {
			continue
		}
		if d := p.notBefore.Sub(now); d > 0 {
			if wait == 0 || d < wait {
				wait = d
			}
			continue
		}
		if best, ok := s.peers[peer]; !ok || p.preferredTo(best) || !best.preferredTo(p) && addr.Compare(peer) < 0 {
			peer = addr
		}
	}
	if !peer.IsValid() {
		return netip.AddrPort{}, false, wait
	}
	return peer, s.peers[peer].sameDomain, 0
}

// preferredTo reports whether p is to be asked rather than o.
func (p *source) preferredTo(o *source) bool {
	if p.sameDomain != o.sameDomain {
		return p.sameDomain
	}
	if p.failures != o.failures {
		return p.failures < o.failures
	}
	return p.version > o.version
}

// recordFailure delays the next fetch from the peer.
func (s *sources) recordFailure(now time.Time, peer netip.AddrPort) {
	p, ok := s.peers[peer]
	if !ok {
		return
	}
	wait := min(minRetryDelay<<min(p.failures, 16), maxRetryDelay)
	p.failures++
	p.notBefore = now.Add(wait)
}

// recordAnswer records the version in a peer's response. A response that was
// not useful delays the next fetch from the peer like a failure.
func (s *sources) recordAnswer(now time.Time, peer netip.AddrPort, v keel.Version, useful bool) {
	p, ok := s.peers[peer]
	if !ok {
		return
	}
	p.version = v
	p.lastSeen = now
	if useful {
		p.failures = 0
		return
	}
	s.recordFailure(now, peer)
}

// pacer limits the rate of transferred bytes.
type pacer struct {
	rate   int       // bytes per second
	idleAt time.Time // when all reserved bytes have been transferred at the rate
}

// reserve accounts for n transferred bytes and returns how long to wait before
// the next transfer.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	if p.idleAt.Before(now) {
		p.idleAt = now
	}
	p.idleAt = p.idleAt.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	return p.idleAt.Sub(now)
}
