package keelproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// goneInterval is how often the connections of waiting callers are looked at.
const goneInterval = 100 * time.Millisecond

// CallerWatch cancels requests whose callers have closed their connections.
// The HTTP library reads nothing while a request runs, so it can't tell.
type CallerWatch struct {
	mu      sync.Mutex
	waiting map[net.Conn]context.CancelFunc
}

// NewCallerWatch returns a watch of no connections.
func NewCallerWatch() *CallerWatch {
	return &CallerWatch{waiting: make(map[net.Conn]context.CancelFunc)}
}

// Run looks at the connections until ctx ends.
func (w *CallerWatch) Run(ctx context.Context) error {
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.check()
		}
	}
}

func (w *CallerWatch) add(c net.Conn, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[c] = cancel
}

func (w *CallerWatch) remove(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, c)
}

func (w *CallerWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.waiting {
		// 0 bytes without an error is the end of the stream.
		if n, err := peek(c); n == 0 && err == nil {
			cancel()
		}
	}
}
