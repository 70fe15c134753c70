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
	// renewalsPerTTL is how often an endpoint announces itself in the time
	// that one announcement is valid.
	renewalsPerTTL = 3
)

// loopAnnounce announces the endpoint at once and then in equal intervals.
func (e *Endpoint) loopAnnounce(ctx context.Context) {
	ticker := e.cfg.Clock.NewTicker(e.cfg.TTL / renewalsPerTTL)
	defer ticker.Stop()
	e.announce()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.leave:
			e.announceLeave()
		case <-e.restarted:
			e.announce()
		case <-ticker.Chan():
			e.announce()
		}
	}
}

func (e *Endpoint) announce() {
	if !e.quiet() {
		e.post(announcePath, e.announcement(keel.EndpointServing))
	}
}

// quiet reports whether the endpoint must not renew.
func (e *Endpoint) quiet() bool {
	l := e.current()
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
	e.post(leavePath, e.announcement(keel.EndpointLeaving))
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
		Report:      e.report(),
	}
}

func (e *Endpoint) report() keel.LoadReport {
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

// post sends an announcement to every instance.
func (e *Endpoint) post(path string, a keel.Announcement) {
	body, err := json.Marshal(a)
	if err != nil {
		e.cfg.Log.WithError(err).Error("announcement not encoded")
		return
	}
	var group conc.WaitGroup
	for _, addr := range e.cfg.AnnounceTo {
		group.Go(func() {
			if err := e.postTo(addr, path, body); err != nil {
				e.cfg.Log.WithError(err).WithField("endpoint", e.ID().String()).Debug("announcement failed")
			}
		})
	}
	group.Wait()
}

func (e *Endpoint) postTo(addr netip.AddrPort, path string, body []byte) error {
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
