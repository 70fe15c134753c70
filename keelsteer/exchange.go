package keelsteer

import (
	"context"
	"maps"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

// sharesPeriod is the interval at which changed share vectors are sent to the
// other instances of the failure domain.
const sharesPeriod = time.Second

// shareExchange records which share vectors were sent and received, so that
// only changes are sent.
type shareExchange struct {
	// received holds the last vectors of each other instance. They are sent
	// back to the instance after a restart.
	received map[keel.InstanceName]map[keelroute.Source]keelroute.VectorDigest
	// sent holds each vector as it was last sent.
	sent map[keelroute.Source]keelroute.VectorDigest
	// fullySent holds, per instance, the incarnation that all vectors were sent
	// to.
	fullySent map[keel.InstanceName]uint64
}

func newShareExchange() shareExchange {
	return shareExchange{
		received:  make(map[keel.InstanceName]map[keelroute.Source]keelroute.VectorDigest),
		sent:      make(map[keelroute.Source]keelroute.VectorDigest),
		fullySent: make(map[keel.InstanceName]uint64),
	}
}

func (x *shareExchange) receive(d *keelroute.Digest) {
	if x.received[d.From] == nil {
		x.received[d.From] = make(map[keelroute.Source]keelroute.VectorDigest)
	}
	for _, v := range d.Vectors {
		x.received[d.From][v.Source] = v
	}
}

// changed returns the vectors that differ from those last sent, and records
// them as sent.
func (x *shareExchange) changed(all keelroute.Digest) keelroute.Digest {
	out := keelroute.Digest{From: all.From}
	for _, v := range all.Vectors {
		last, known := x.sent[v.Source]
		if known && last.Updated.Equal(v.Updated) && slices.Equal(last.Moves, v.Moves) {
			continue
		}
		x.sent[v.Source] = v
		out.Vectors = append(out.Vectors, v)
	}
	return out
}

// digestsFor returns the digests to send to a member: the changes, or, for a
// new incarnation, all vectors and those received from its previous
// incarnation.
func (x *shareExchange) digestsFor(m keel.Instance, all, changes keelroute.Digest) []keelroute.Digest {
	if x.fullySent[m.Name] == m.Incarnation {
		return []keelroute.Digest{changes}
	}
	x.fullySent[m.Name] = m.Incarnation
	before := keelroute.Digest{From: m.Name, Vectors: slices.Collect(maps.Values(x.received[m.Name]))}
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

// sendShares sends changed share vectors to the other instances of the failure
// domain. An instance that restarts, or that first sees a source, continues
// from them.
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
		e.exchange.receive(&d)
	}
	return nil
}
