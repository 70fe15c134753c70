package keelplace

import "time"

const (
	// warmKeys is how many objects an endpoint is taken to remember.
	warmKeys = 24
	// warmFor is how long it is taken to remember an object.
	warmFor = 20 * time.Second
	// missedFor is how long it is taken not to know an object whose work was
	// lost there. Others may have taught it since; one run is enough.
	missedFor = 3 * time.Second
)

// objectSet are objects that were noted of an endpoint lately.
type objectSet struct {
	at map[uint64]time.Time
}

// has reports whether an object was noted in the last d.
func (w *objectSet) has(now time.Time, key uint64, d time.Duration) bool {
	at, ok := w.at[key]
	return ok && now.Sub(at) < d
}

func (w *objectSet) remove(key uint64) { delete(w.at, key) }

func (w *objectSet) add(now time.Time, key uint64) {
	if w.at == nil {
		w.at = map[uint64]time.Time{}
	}
	w.at[key] = now
	if len(w.at) <= warmKeys {
		return
	}
	var oldest uint64
	first := true
	for k, at := range w.at {
		if first || at.Before(w.at[oldest]) {
			oldest, first = k, false
		}
	}
	delete(w.at, oldest)
}
