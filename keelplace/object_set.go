package keelplace

import "time"

const (
	// maxTrackedObjects is how many objects an endpoint is assumed to have cached.
	maxTrackedObjects = 24
	// cachedFor is how long an endpoint is assumed to have an object cached.
	cachedFor = 20 * time.Second
	// timedOutFor is how long an endpoint is assumed not to have an object cached
	// after a request for it timed out there. It is short, since one request of
	// another instance is enough to cache the object.
	timedOutFor = 3 * time.Second
)

// objectSet holds the hashes of the [maxTrackedObjects] objects that were added
// last.
type objectSet struct {
	addedAt map[uint64]time.Time
}

// has reports whether an object was added within the last d.
func (s *objectSet) has(now time.Time, key uint64, d time.Duration) bool {
	at, ok := s.addedAt[key]
	return ok && now.Sub(at) < d
}

func (s *objectSet) remove(key uint64) { delete(s.addedAt, key) }

func (s *objectSet) add(now time.Time, key uint64) {
	if s.addedAt == nil {
		s.addedAt = map[uint64]time.Time{}
	}
	s.addedAt[key] = now
	if len(s.addedAt) <= maxTrackedObjects {
		return
	}
	var oldest uint64
	first := true
	for k, at := range s.addedAt {
		if first || at.Before(s.addedAt[oldest]) {
			oldest, first = k, false
		}
	}
	delete(s.addedAt, oldest)
}
