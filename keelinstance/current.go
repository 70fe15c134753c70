package keelinstance

import (
	"context"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
)

const (
	// currentCheckPeriod is the interval between checks of whether the version
	// in force is the latest one.
	currentCheckPeriod = 200 * time.Millisecond
	// currentMaxStaleness limits the age of the latest evidence of a working
	// majority of voters.
	currentMaxStaleness = 3 * time.Second
)

// currentVersion records the last version in force at this instance that was
// confirmed as the latest one: there was recent evidence of a working majority of
// voters, and no instance reported a higher version. It is safe for concurrent
// use.
type currentVersion struct {
	mu      sync.Mutex
	version keel.Version
	known   bool
}

func (c *currentVersion) confirm(v keel.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.known = v, true
}

// CurrentVersionDump shows the version that was last confirmed as the latest one.
type CurrentVersionDump struct {
	Known   bool         `json:"known"`
	Version keel.Version `json:"version"`
}

func (c *currentVersion) dump() CurrentVersionDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CurrentVersionDump{Known: c.known, Version: c.version}
}

// follows reports whether next is the direct successor of the version that was
// last confirmed as the latest one.
func (c *currentVersion) follows(next keel.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && next == c.version+1
}

// runCurrentCheck periodically checks whether the version in force is the latest
// one, until ctx ends.
func (in *Instance) runCurrentCheck(ctx context.Context) error {
	ticker := time.NewTicker(currentCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			v := in.control.replica.Current().Version
			if isCurrent(in.members.View(), v, now) {
				in.current.confirm(v)
			}
		}
	}
}

// isCurrent reports whether the view shows that v is the latest version.
func isCurrent(view *keelmember.View, v keel.Version, now time.Time) bool {
	age, known := view.Staleness(now)
	if !known || age > currentMaxStaleness || view.QuorumVersion > v {
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
