package keelentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// LinkConfig configures a [LinkGuard].
type LinkConfig struct {
	// Traffic counts the bytes that the link carries.
	Traffic *keelproxy.Traffic
	// BytesPerSecond is the rate of the link in each direction; 0 means that it is not
	// known, and that no caller is moved.
	BytesPerSecond float64
}

// LinkGuard keeps the network link of an instance from filling up while those of others
// are free: it moves callers to them, and refuses requests while a full link keeps the
// instance from the voters. It is safe for concurrent use.
type LinkGuard struct {
	cfg LinkConfig

	mu    sync.Mutex
	link  *keelplace.Link
	yield keelplace.Yield
}

// NewLinkGuard returns the guard of an idle link.
func NewLinkGuard(cfg LinkConfig) *LinkGuard {
	return &LinkGuard{cfg: cfg, link: keelplace.NewLink(cfg.BytesPerSecond)}
}

// MoveCaller reports whether the connection of a request should be closed after its
// answer. It is called for each request.
func (g *LinkGuard) MoveCaller() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe()
	return rand.Float64() < g.link.MoveFraction()
}

// Yields reports whether a request that arrives now is refused, since the link is busy, the
// view was last confirmed the time age ago, and a voter last answered the time silence ago.
func (g *LinkGuard) Yields(now time.Time, age, silence time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe()
	return g.yield.Observe(now, age, silence, g.link.Utilization())
}

// Utilization returns the fraction of the link's rate that is used in the busier
// direction.
func (g *LinkGuard) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe()
	return g.link.Utilization()
}

// observe brings the measured rates up to date. The caller holds mu.
func (g *LinkGuard) observe() {
	received, sent := g.cfg.Traffic.Bytes()
	g.link.Observe(time.Now(), received, sent)
}
