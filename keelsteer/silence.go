package keelsteer

import (
	"context"
	"sync"
	"time"

	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/sirupsen/logrus"
)

// Limits of silent connections.
const (
	silenceLimit  = 1500 * time.Millisecond
	silencePeriod = 100 * time.Millisecond
)

// silenceWatch tells the silence core what happens on connections to endpoints
// and carries out what it asks for. It is safe for use by several goroutines.
type silenceWatch struct {
	client *keelproxy.EndpointClient
	log    *logrus.Entry

	mu      sync.Mutex
	core    *keelguard.Silence
	targets map[keelguard.Peer]keelproxy.Target
	retired int
	// steps holds the reads and writes of each connection when they were looked
	// at last.
	steps map[uint64]uint64
}

func newSilenceWatch(log *logrus.Entry) *silenceWatch {
	return &silenceWatch{
		log:     log,
		core:    keelguard.NewSilence(keelguard.SilenceConfig{Limit: silenceLimit}),
		targets: make(map[keelguard.Peer]keelproxy.Target),
		steps:   make(map[uint64]uint64),
	}
}

// Opened implements [keelproxy.ConnObserver].
func (w *silenceWatch) Opened(id uint64, t keelproxy.Target, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	peer := keelguard.Peer(t.Address.String())
	w.targets[peer] = t
	w.core.Opened(now, keelguard.ConnID(id), peer, now)
}

// Closed implements [keelproxy.ConnObserver].
func (w *silenceWatch) Closed(id uint64, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Closed(keelguard.ConnID(id))
	delete(w.steps, id)
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

// ask notes what the operating system heard on connections in doubt, so that an
// endpoint which takes long to answer is told from a dead path.
func (w *silenceWatch) ask(now time.Time) {
	w.mu.Lock()
	doubtful := w.core.Doubtful(now)
	w.mu.Unlock()
	for _, id := range doubtful {
		socket, ok := w.client.Socket(uint64(id))
		if !ok {
			continue
		}
		age, err := keelguard.Heard(socket)
		if err != nil {
			continue // closed meanwhile
		}
		w.mu.Lock()
		w.core.Progress(now.Add(-age), id)
		w.mu.Unlock()
	}
}

// look tells the core which connections have moved bytes since the last time,
// and from which something is expected.
func (w *silenceWatch) look(now time.Time) {
	seen := make(map[uint64]uint64)
	w.client.Activity(func(id, steps uint64) { seen[id] = steps })
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, steps := range seen {
		conn := keelguard.ConnID(id)
		if w.steps[id] != steps {
			w.core.Progress(now, conn)
			w.core.Waiting(now, conn, 0)
		}
		w.core.Waiting(now, conn, int(steps%2))
	}
	w.steps = seen
}

func (w *silenceWatch) check(ctx context.Context, now time.Time) {
	w.look(now)
	w.ask(now)
	w.mu.Lock()
	actions := w.core.Check(now)
	w.mu.Unlock()
	for _, a := range actions {
		switch a.Type {
		case keelguard.ActionProbe:
			w.probe(ctx, a.Peer)
		case keelguard.ActionRetire:
			w.log.WithFields(logrus.Fields{"endpoint_address": string(a.Peer), "connection": a.Conn}).Warn("silent connection closed")
			w.countRetired()
			w.client.CloseConn(uint64(a.Conn))
		}
	}
}

func (w *silenceWatch) countRetired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired++
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
	w.core.Probed(time.Now(), peer, err == nil)
}
