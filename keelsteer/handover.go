package keelsteer

import (
	"context"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Times of a hand-over of endpoints.
const (
	// handOverPeriod is how often the new owner of an endpoint is told what
	// still runs there.
	handOverPeriod = 250 * time.Millisecond
	// handOverLong is for how long it is told so at least, since it may not
	// know yet that it is the owner.
	handOverLong = 3 * time.Second
)

// handOverNote tells the new owner of endpoints that this instance starts
// nothing new there.
type handOverNote struct {
	Endpoints []handedOver `cbor:"1,keyasint"`
}

// handedOver is one endpoint and the number of requests that still run there.
type handedOver struct {
	ID   keel.EndpointID `cbor:"1,keyasint"`
	Busy int             `cbor:"2,keyasint"`
}

// Check reports the faults of the note.
func (n *handOverNote) Check() keel.Faults {
	var fs keel.Faults
	for i := range n.Endpoints {
		fs = append(fs, keel.CheckName("endpoints.service", n.Endpoints[i].ID.Service)...)
		fs = append(fs, keel.CheckName("endpoints.name", n.Endpoints[i].ID.Name)...)
		if n.Endpoints[i].Busy < 0 {
			fs.Add("endpoints.busy", "is %d, must not be negative", n.Endpoints[i].Busy)
		}
	}
	return fs
}

// handOvers holds the endpoints that this instance gives away, each with the
// time until which its new owner is told so, and what runs at those that it was
// given.
type handOvers struct {
	given map[keel.EndpointID]time.Time
	taken map[keel.EndpointID]takenOver
}

type takenOver struct {
	busy int
	at   time.Time
}

func newHandOvers() handOvers {
	return handOvers{given: make(map[keel.EndpointID]time.Time), taken: make(map[keel.EndpointID]takenOver)}
}

// updateOwners tells the ownership core who is live. What moves to another
// instance is handed over. The caller holds mu.
func (e *Engine) updateOwners(now time.Time, p *plan) {
	live := p.liveOwners(e.cfg.Self, e.leaving.Load())
	for _, id := range e.owners.Update(now, live, p.registered(e.cfg.Self.Domain)) {
		e.moved.given[id] = now.Add(handOverLong)
		delete(e.moved.taken, id)
	}
	for id, t := range e.moved.taken {
		if now.Sub(t.at) < handOverLong {
			continue
		}
		// The owner before is gone, and so are its connections.
		delete(e.moved.taken, id)
		if t.busy > 0 {
			e.owners.HandOver(now, id, 0)
		}
	}
}

func (l loop) runHandOver() {
	ticker := time.NewTicker(handOverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.e.sendHandOvers(l.ctx, now)
		}
	}
}

func (e *Engine) sendHandOvers(ctx context.Context, now time.Time) {
	d := e.plan.Load().view.domain(e.cfg.Self.Domain)
	if d == nil {
		return
	}
	for owner, note := range e.handOverNotes(now) {
		m := d.member(owner)
		if m == nil {
			continue
		}
		if err := e.post(ctx, m.Instance, keel.KindHandOver, note); err != nil {
			e.cfg.Log.WithError(err).WithField("to", owner).Debug("endpoints not handed over")
		}
	}
}

func (e *Engine) handOverNotes(now time.Time) map[keel.InstanceName]*handOverNote {
	e.mu.Lock()
	defer e.mu.Unlock()
	notes := make(map[keel.InstanceName]*handOverNote)
	for id, until := range e.moved.given {
		owner, _ := e.owners.Owner(now, id)
		pl := e.pools[id.Service]
		if owner == "" || owner == e.cfg.Self.Name || pl == nil {
			delete(e.moved.given, id)
			continue
		}
		busy := pl.inFlight(id)
		if busy == 0 && now.After(until) {
			delete(e.moved.given, id)
			continue
		}
		if notes[owner] == nil {
			notes[owner] = &handOverNote{}
		}
		notes[owner].Endpoints = append(notes[owner].Endpoints, handedOver{ID: id, Busy: busy})
	}
	return notes
}

// receiveHandOver takes over endpoints from another instance of the failure
// domain. What this instance does not own yet is told again.
func (e *Engine) receiveHandOver(now time.Time, env keel.Envelope) error {
	var n handOverNote
	if err := keel.DecodeCBOR(env.Body, &n); err != nil {
		return err
	}
	d := e.plan.Load().view.domain(e.cfg.Self.Domain)
	if d == nil || d.member(env.From) == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range n.Endpoints {
		before, known := e.moved.taken[h.ID]
		if known && before.busy == h.Busy {
			e.moved.taken[h.ID] = takenOver{busy: h.Busy, at: now}
			continue
		}
		if e.owners.HandOver(now, h.ID, h.Busy) {
			e.moved.taken[h.ID] = takenOver{busy: h.Busy, at: now}
		}
		e.Changed()
	}
	return nil
}
