package keelsteer

import (
	"context"
	"maps"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// sharesPeriod is how often changed share vectors are told to the other
// instances of the failure domain.
const sharesPeriod = time.Second

// shareExchange holds what is needed to tell each other instance of the failure
// domain just what it does not know yet.
type shareExchange struct {
	// heard holds the last vectors of each other instance, which it gets back
	// when it starts again.
	heard map[keel.InstanceName]map[keelroute.Source]keelroute.VectorDigest
	// told holds the vectors that were sent last.
	told map[keelroute.Source]keelroute.VectorDigest
	// greeted holds the incarnation of each instance that was sent everything.
	greeted map[keel.InstanceName]uint64
}

func newShareExchange() shareExchange {
	return shareExchange{
		heard:   make(map[keel.InstanceName]map[keelroute.Source]keelroute.VectorDigest),
		told:    make(map[keelroute.Source]keelroute.VectorDigest),
		greeted: make(map[keel.InstanceName]uint64),
	}
}

func (x *shareExchange) hear(d *keelroute.Digest) {
	if x.heard[d.From] == nil {
		x.heard[d.From] = make(map[keelroute.Source]keelroute.VectorDigest)
	}
	for _, v := range d.Vectors {
		x.heard[d.From][v.Source] = v
	}
}

// changed returns the vectors that differ from those told last.
func (x *shareExchange) changed(all keelroute.Digest) keelroute.Digest {
	out := keelroute.Digest{From: all.From}
	for _, v := range all.Vectors {
		last, known := x.told[v.Source]
		if known && last.Updated.Equal(v.Updated) && slices.Equal(last.Moves, v.Moves) {
			continue
		}
		x.told[v.Source] = v
		out.Vectors = append(out.Vectors, v)
	}
	return out
}

// digestsFor returns what a member must be told: the changes, or, if it has
// just started, all vectors and those that it had before.
func (x *shareExchange) digestsFor(m keel.Instance, all, changes keelroute.Digest) []keelroute.Digest {
	if x.greeted[m.Name] == m.Incarnation {
		return []keelroute.Digest{changes}
	}
	x.greeted[m.Name] = m.Incarnation
	before := keelroute.Digest{From: m.Name, Vectors: slices.Collect(maps.Values(x.heard[m.Name]))}
	return []keelroute.Digest{before, all}
}

func (l loop) runShares() {
	ticker := time.NewTicker(sharesPeriod)
	defer ticker.Stop()
	l.e.sendShares(l.ctx)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.e.sendShares(l.ctx)
		}
	}
}

// sendShares tells the other instances of the failure domain the share vectors
// that changed, so that one which is new to a source, or starts again, goes on
// from there.
func (e *Engine) sendShares(ctx context.Context) {
	p := e.plan.Load()
	d := p.view.domain(e.cfg.Self.Domain)
	if d == nil {
		return
	}
	e.mu.Lock()
	all := e.shares.Digest()
	changes := e.exchange.changed(all)
	due := make(map[keel.InstanceName][]keelroute.Digest)
	for _, m := range d.Members {
		if m.Instance.Name != e.cfg.Self.Name {
			due[m.Instance.Name] = e.exchange.digestsFor(m.Instance, all, changes)
		}
	}
	e.mu.Unlock()
	for name, digests := range due {
		for i := range digests {
			e.sendDigest(ctx, d.member(name).Instance, &digests[i])
		}
	}
}

func (e *Engine) sendDigest(ctx context.Context, to keel.Instance, digest *keelroute.Digest) {
	if len(digest.Vectors) == 0 {
		return
	}
	if err := e.post(ctx, to, keel.KindShares, digest); err != nil {
		e.cfg.Log.WithError(err).WithField("to", to.Name).Debug("share vectors not sent")
	}
}

func (e *Engine) post(ctx context.Context, to keel.Instance, kind keel.MessageKind, v any) error {
	body, err := keel.EncodeCBOR(v)
	if err != nil {
		return err
	}
	return e.cfg.Transport.Send(ctx, to.Peer, keel.Envelope{Kind: kind, Body: body})
}

func (e *Engine) receiveShares(now time.Time, env keel.Envelope) error {
	var d keelroute.Digest
	if err := keel.DecodeCBOR(env.Body, &d); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.Merge(now, d)
	if d.From == env.From {
		e.exchange.hear(&d)
	}
	return nil
}
