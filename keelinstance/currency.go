package keelinstance

import (
	"context"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
)

const (
	// currencyPeriod is how often it is looked whether the version in force is
	// the current one.
	currencyPeriod = 200 * time.Millisecond
	// currencyAge is how old the sign of a working majority of voters may be.
	currencyAge = 3 * time.Second
)

// currency remembers the last version in force here that was known as the
// current one: a working majority of voters was heard, and nobody had more. It
// is safe for use by several goroutines.
type currency struct {
	mu      sync.Mutex
	version keel.Version
	known   bool
}

func (c *currency) confirm(v keel.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.known = v, true
}

// CurrencyDump says which version was last known as the current one.
type CurrencyDump struct {
	Known   bool         `json:"known"`
	Version keel.Version `json:"version"`
}

func (c *currency) dump() CurrencyDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CurrencyDump{Known: c.known, Version: c.version}
}

// wasCurrent reports whether next follows right after a version that was known
// as the current one.
func (c *currency) wasCurrent(next keel.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && next == c.version+1
}

// runCurrency looks whether the version in force is the current one, until ctx
// ends.
func (in *Instance) runCurrency(ctx context.Context) error {
	ticker := time.NewTicker(currencyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			v := in.control.replica.Current().Version
			if isCurrent(in.members.View(), v, now) {
				in.currency.confirm(v)
			}
		}
	}
}

func isCurrent(view *keelmember.View, v keel.Version, now time.Time) bool {
	age, heard := view.Staleness(now)
	if !heard || age > currencyAge || view.QuorumVersion > v {
		return false
	}
	for _, m := range view.Domain {
		if m.Version > v {
			return false
		}
	}
	for _, d := range view.Domains() {
		if d.Version > v || d.Digest.Highest > v {
			return false
		}
	}
	return true
}
