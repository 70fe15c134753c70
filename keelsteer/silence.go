package keelsteer

import (
	"context"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/sirupsen/logrus"
)

// Limits for silent connections.
const (
	// silenceLimit is the time without progress after which a connection counts
	// as silent.
	silenceLimit = 1500 * time.Millisecond
	// silencePeriod is the interval between two checks of the connections.
	silencePeriod = 100 * time.Millisecond
)

// silenceWatch reports the activity of connections to endpoints to a
// [keelguard.SilenceDetector] and carries out its actions: it probes endpoints and
// closes silent connections. It is safe for use by several goroutines.
type silenceWatch struct {
	client *keelproxy.EndpointClient
	log    *logrus.Entry

	mu          sync.Mutex
	detector    *keelguard.SilenceDetector
	targets     map[keelguard.Peer]keelproxy.Target
	closedCount int
	// counts holds, per connection, the number of begun and ended reads and
	// writes at the last check.
	counts map[uint64]uint64
}

func newSilenceWatch(log *logrus.Entry) *silenceWatch {
	return &silenceWatch{
		log:      log,
		detector: keelguard.NewSilenceDetector(keelguard.SilenceConfig{Limit: silenceLimit}),
		targets:  make(map[keelguard.Peer]keelproxy.Target),
		counts:   make(map[uint64]uint64),
	}
}

// Opened implements [keelproxy.ConnObserver].
func (w *silenceWatch) Opened(id uint64, t keelproxy.Target, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	peer := keelguard.Peer(t.Address.String())
	w.targets[peer] = t
	w.detector.Opened(now, keelguard.ConnID(id), peer, now)
}

// Closed implements [keelproxy.ConnObserver].
func (w *silenceWatch) Closed(id uint64, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Closed(keelguard.ConnID(id))
	delete(w.counts, id)
}

func (l loop) runSilence() {
	ticker := time.NewTicker(silencePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.e.silence.check(l.ctx, now)
		}
	}
}

// readSocketAges reads from the operating system when the peer of each stalled
// connection last acknowledged data. This distinguishes a slow endpoint from a
// broken path.
func (w *silenceWatch) readSocketAges(now time.Time) {
	w.mu.Lock()
	stalled := w.detector.Suspected(now)
	w.mu.Unlock()
	for _, id := range stalled {
		socket, ok := w.client.Socket(uint64(id))
		if !ok {
			continue
		}
		age, err := keelguard.SinceLastAck(socket)
		if err != nil {
			continue // closed meanwhile
		}
		w.mu.Lock()
		w.detector.Progress(now.Add(-age), id)
		w.mu.Unlock()
	}
}

// readActivity reports which connections have moved bytes since the last check
// and which are waiting for the endpoint. A connection is waiting while its
// count is odd; see [keelproxy.EndpointClient.Activity].
func (w *silenceWatch) readActivity(now time.Time) {
	seen := make(map[uint64]uint64)
	w.client.Activity(func(id, steps uint64) { seen[id] = steps })
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, steps := range seen {
		conn := keelguard.ConnID(id)
		if w.counts[id] != steps {
			w.detector.Progress(now, conn)
			w.detector.Waiting(now, conn, 0)
		}
		w.detector.Waiting(now, conn, int(steps%2))
	}
	w.counts = seen
}

func (w *silenceWatch) check(ctx context.Context, now time.Time) {
	w.readActivity(now)
	w.readSocketAges(now)
	w.mu.Lock()
	actions := w.detector.Check(now)
	w.mu.Unlock()
	for _, a := range actions {
		switch a.Type {
		case keelguard.ActionProbe:
			w.probe(ctx, a.Peer)
		case keelguard.ActionRetire:
			w.log.WithFields(logrus.Fields{"endpoint_address": string(a.Peer), "connection": a.Conn}).Warn("silent connection closed")
			w.countClosed()
			w.client.CloseConn(uint64(a.Conn))
		}
	}
}

func (w *silenceWatch) countClosed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closedCount++
}

func (w *silenceWatch) probe(ctx context.Context, peer keelguard.Peer) {
	w.mu.Lock()
	t := w.targets[peer]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := w.client.Probe(ctx, t)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Probed(time.Now(), peer, err == nil)
}
