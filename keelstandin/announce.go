package keelstandin

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Paths on the endpoint port of an instance.
const (
	announcePath = "/v1/endpoints/announce"
	leavePath    = "/v1/endpoints/leave"
)

const (
	announceTimeout = time.Second
	// renewalsPerTTL is the number of announcements within the validity of one.
	renewalsPerTTL = 3
)

// runAnnouncements announces the endpoint at once, at equal intervals, after each
// restart and when it leaves.
func (e *Endpoint) runAnnouncements(ctx context.Context) {
	ticker := e.cfg.Clock.NewTicker(e.cfg.TTL / renewalsPerTTL)
	defer ticker.Stop()
	e.announce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.leaveRequested:
			e.announceLeave()
		case <-e.restarted:
			e.announce()
		case <-ticker.Chan():
			e.announce()
		}
	}
}

func (e *Endpoint) announce() {
	if !e.renewalsStopped() {
		e.broadcast(announcePath, e.announcement(keel.EndpointServing))
	}
}

// renewalsStopped reports whether the endpoint must not announce itself: it
// leaves, has crashed, or its behaviour is unannounced.
func (e *Endpoint) renewalsStopped() bool {
	l := e.currentListener()
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return leaving || l.closed || e.behaviour.Load().Unannounced
}

func (e *Endpoint) announceLeave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.broadcast(leavePath, e.announcement(keel.EndpointLeaving))
}

func (e *Endpoint) announcement(state keel.EndpointState) keel.Announcement {
	e.mu.Lock()
	incarnation := e.incarnation
	e.mu.Unlock()
	return keel.Announcement{
		Service:     e.cfg.Service,
		Name:        e.cfg.Name,
		Address:     e.addr,
		Site:        e.cfg.Site,
		Slots:       e.cfg.Slots,
		Incarnation: incarnation,
		State:       state,
		Labels:      e.cfg.Labels,
		TTL:         keel.Duration(e.cfg.TTL),
		Report:      e.loadReport(),
	}
}

// loadReport returns the load to announce. A frozen utilisation also sets the
// number of requests in flight.
func (e *Endpoint) loadReport() keel.LoadReport {
	inFlight := e.counter.snapshot().InFlight
	r := keel.LoadReport{
		InFlight:    inFlight,
		Utilisation: min(1, float64(inFlight)/float64(e.cfg.Slots)),
	}
	if u := e.behaviour.Load().FrozenUtilisation; u != nil {
		r.Utilisation = *u
		r.InFlight = int(*u * float64(e.cfg.Slots))
	}
	return r
}

// broadcast sends an announcement to every configured instance and waits for all
// answers.
func (e *Endpoint) broadcast(path string, a keel.Announcement) {
	body, err := json.Marshal(a)
	if err != nil {
		e.cfg.Log.WithError(err).Error("announcement not encoded")
		return
	}
	var group conc.WaitGroup
	for _, addr := range e.cfg.AnnounceTo {
		group.Go(func() {
			if err := e.post(addr, path, body); err != nil {
				e.cfg.Log.WithError(err).WithField("endpoint", e.ID().String()).Debug("announcement failed")
			}
		})
	}
	group.Wait()
}

func (e *Endpoint) post(addr netip.AddrPort, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := e.client.DoTimeout(req, resp, announceTimeout); err != nil {
		return errors.Wrapf(err, "announce to %s", addr)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.Errorf("announce to %s: status %d: %s", addr, resp.StatusCode(), resp.Body())
	}
	return nil
}
