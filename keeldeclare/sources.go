package keeldeclare

import (
	"net/netip"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// maxSources bounds the peers that are remembered.
	maxSources = 256
	// sourceLife is how long a peer that was not heard again is remembered.
	sourceLife = 2 * time.Minute
	// firstRetry and maxRetry bound the wait after a failed fetch, which
	// doubles with every failure of the peer.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 10 * time.Second
)

// source is a peer that said which version it has.
type source struct {
	version    keel.Version
	sameDomain bool
	heard      time.Time
	failures   int
	notBefore  time.Time
}

// sources chooses the peer to fetch from.
type sources struct {
	peers map[netip.AddrPort]*source
}

func newSources() sources { return sources{peers: map[netip.AddrPort]*source{}} }

// notice records what a peer said about itself. An old message does not lower
// its version.
func (s *sources) notice(now time.Time, peer netip.AddrPort, v keel.Version, sameDomain bool) {
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
	p.heard = now
}

func (s *sources) dropOldest() {
	var oldest netip.AddrPort
	for peer, p := range s.peers {
		o, ok := s.peers[oldest]
		if !ok || p.heard.Before(o.heard) || p.heard.Equal(o.heard) && peer.Compare(oldest) < 0 {
			oldest = peer
		}
	}
	delete(s.peers, oldest)
}

// pick returns the peer to ask: of those with version want or a higher one, one
// of the own failure domain, then the one with fewer failures, then the one with
// the highest version. Without one that may be asked now, wait is the time
// until one may, or 0 if there is none.
func (s *sources) pick(now time.Time, want keel.Version) (peer netip.AddrPort, sameDomain bool, wait time.Duration) {
	for addr, p := range s.peers {
		if now.Sub(p.heard) > sourceLife {
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
		if best, ok := s.peers[peer]; !ok || p.before(best) || !best.before(p) && addr.Compare(peer) < 0 {
			peer = addr
		}
	}
	if !peer.IsValid() {
		return netip.AddrPort{}, false, wait
	}
	return peer, s.peers[peer].sameDomain, 0
}

func (p *source) before(o *source) bool {
	if p.sameDomain != o.sameDomain {
		return p.sameDomain
	}
	if p.failures != o.failures {
		return p.failures < o.failures
	}
	return p.version > o.version
}

// failed makes the peer wait before it is asked again.
func (s *sources) failed(now time.Time, peer netip.AddrPort) {
	p, ok := s.peers[peer]
	if !ok {
		return
	}
	wait := min(firstRetry<<min(p.failures, 16), maxRetry)
	p.failures++
	p.notBefore = now.Add(wait)
}

// answered records the version that a peer named in its answer. A peer whose
// answer was of no use waits like one that failed.
func (s *sources) answered(now time.Time, peer netip.AddrPort, v keel.Version, useful bool) {
	p, ok := s.peers[peer]
	if !ok {
		return
	}
	p.version = v
	p.heard = now
	if useful {
		p.failures = 0
		return
	}
	s.failed(now, peer)
}

// pacer spreads bytes over time.
type pacer struct {
	rate int // bytes a second
	free time.Time
}

// spend records bytes that were moved, and returns how long to wait before the
// next ones.
func (p *pacer) spend(now time.Time, n int) time.Duration {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	return p.free.Sub(now)
}
