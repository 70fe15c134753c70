package keelsteer

import (
	"context"
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Periods of the hand-over of endpoints.
const (
	// handOverPeriod is the interval at which the number of requests still
	// running at an endpoint is sent to its new owner.
	handOverPeriod = 250 * time.Millisecond
	// handOverMinDuration is how long it is sent at least, since the new owner
	// may not have computed the new ownership yet and ignores hand-overs until
	// then. A new owner that receives no message for as long ends the hand-over.
	handOverMinDuration = 3 * time.Second
)

// handOverMessage tells the new owner of endpoints that the sender starts no
// new requests there.
type handOverMessage struct {
	Endpoints []handOverEndpoint `cbor:"1,keyasint"`
}

// handOverEndpoint is one endpoint and the number of requests of the sender
// that still run there.
type handOverEndpoint struct {
	ID   keel.EndpointID `cbor:"1,keyasint"`
	Busy int             `cbor:"2,keyasint"`
	// Limit is the limit on the rate of requests, which an answer named.
	Limit handOverLimit `cbor:"3,keyasint,omitzero"`
}

// handOverLimit is the limit of an endpoint on the rate of requests, if it is Limited.
type handOverLimit struct {
	Limited     bool   `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// PerSecond is the rate in requests per second.
	PerSecond float64 `cbor:"3,keyasint"`
}

// Check reports the faults of the message.
func (m *handOverMessage) Check() keel.Faults {
	var fs keel.Faults
	for i := range m.Endpoints {
		fs = append(fs, keel.CheckName("endpoints.service", m.Endpoints[i].ID.Service)...)
		fs = append(fs, keel.CheckName("endpoints.name", m.Endpoints[i].ID.Name)...)
		if m.Endpoints[i].Busy < 0 {
			fs.Add("endpoints.busy", "is %d, must not be negative", m.Endpoints[i].Busy)
		}
		if rate := m.Endpoints[i].Limit.PerSecond; !(rate >= 0) || math.IsInf(rate, 0) {
			fs.Add("endpoints.limit", "is %v, must be a number of at least 0", rate)
		}
	}
	return fs
}

// handOvers holds the hand-overs in progress. outgoing holds the endpoints that
// this instance hands over, each with the time until which messages are sent at
// least. incoming holds the endpoints handed over to this instance.
type handOvers struct {
	outgoing map[keel.EndpointID]time.Time
	incoming map[keel.EndpointID]incomingHandOver
}

// incomingHandOver is the last message about an endpoint: the number of
// requests that the previous owner still runs there and when it was received.
type incomingHandOver struct {
	inFlight   int
	receivedAt time.Time
}

func newHandOvers() handOvers {
	return handOvers{outgoing: make(map[keel.EndpointID]time.Time), incoming: make(map[keel.EndpointID]incomingHandOver)}
}

// updateOwners updates the ownership of endpoints from the live instances and
// starts the hand-over of endpoints that moved to another instance. The caller
// holds mu.
func (e *Engine) updateOwners(now time.Time, p *plan) {
	live := p.ownerCandidates(e.cfg.Self, e.leaving.Load())
	for _, id := range e.owners.Update(now, live, p.registeredInstances(e.cfg.Self.Domain)) {
		e.handOvers.outgoing[id] = now.Add(handOverMinDuration)
		delete(e.handOvers.incoming, id)
	}
	for id, t := range e.handOvers.incoming {
		if now.Sub(t.receivedAt) < handOverMinDuration {
			continue
		}
		// Without messages for that long the previous owner is assumed to be
		// dead, and its connections closed.
		delete(e.handOvers.incoming, id)
		if t.inFlight > 0 {
			e.owners.AcceptHandOver(now, id, 0)
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
	for owner, message := range e.handOverMessages(now) {
		m := d.member(owner)
		if m == nil {
			continue
		}
		if err := e.post(ctx, m.Instance, keel.KindHandOver, message); err != nil {
			e.cfg.Log.WithError(err).WithField("to", owner).Debug("endpoints not handed over")
		}
	}
}

// handOverMessages returns the messages to send, by new owner, and removes
// hand-overs that are complete.
func (e *Engine) handOverMessages(now time.Time) map[keel.InstanceName]*handOverMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	messages := make(map[keel.InstanceName]*handOverMessage)
	for id, until := range e.handOvers.outgoing {
		owner, _ := e.owners.Owner(now, id)
		pl := e.pools[id.Service]
		if owner == "" || owner == e.cfg.Self.Name || pl == nil {
			delete(e.handOvers.outgoing, id)
			continue
		}
		inFlight := pl.inFlight(id)
		if inFlight == 0 && now.After(until) {
			delete(e.handOvers.outgoing, id)
			continue
		}
		if messages[owner] == nil {
			messages[owner] = &handOverMessage{}
		}
		messages[owner].Endpoints = append(messages[owner].Endpoints, handOverEndpoint{ID: id, Busy: inFlight, Limit: pl.limitOf(id)})
	}
	return messages
}

// receiveHandOver takes over endpoints from another instance of the failure
// domain. Endpoints that this instance does not own yet are ignored; the sender
// repeats the message.
func (e *Engine) receiveHandOver(now time.Time, env keel.Envelope) error {
	var message handOverMessage
	if err := keel.DecodeCBOR(env.Body, &message); err != nil {
		return err
	}
	d := e.plan.Load().view.domain(e.cfg.Self.Domain)
	if d == nil || d.member(env.From) == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range message.Endpoints {
		if pl := e.pools[endpoint.ID.Service]; pl != nil {
			pl.acceptLimit(now, endpoint.ID, endpoint.Limit)
		}
		previous, known := e.handOvers.incoming[endpoint.ID]
		if known && previous.inFlight == endpoint.Busy {
			e.handOvers.incoming[endpoint.ID] = incomingHandOver{inFlight: endpoint.Busy, receivedAt: now}
			continue
		}
		if e.owners.AcceptHandOver(now, endpoint.ID, endpoint.Busy) {
			e.handOvers.incoming[endpoint.ID] = incomingHandOver{inFlight: endpoint.Busy, receivedAt: now}
		}
		e.Replan()
	}
	return nil
}
