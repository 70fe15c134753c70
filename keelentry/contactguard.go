package keelentry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

const (
	// contactInterval is the time between two rounds of connections that check the contact.
	contactInterval = 300 * time.Millisecond
	// contactTimeout limits the time to open them.
	contactTimeout = 400 * time.Millisecond
)

// contactGuard finds out whether this instance is cut off from all endpoints, while callers and
// other instances still reach it.
type contactGuard struct {
	runner *Runner
	// wake has a value after a failure.
	wake chan struct{}

	mu      sync.Mutex
	contact *keelplace.Contact

	// reportMu is held while a lost or regained contact is reported, so that the last report
	// has the present state. reported is what it said.
	reportMu sync.Mutex
	reported bool
}

func newContactGuard(rn *Runner) *contactGuard {
	return &contactGuard{runner: rn, wake: make(chan struct{}, 1), contact: keelplace.NewContact()}
}

// isolated reports whether the instance is cut off from all endpoints.
func (g *contactGuard) isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact.Lost()
}

// suspected reports whether the instance may be cut off.
func (g *contactGuard) suspected(v *keelworld.View) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact.Suspected(countEndpoints(v))
}

// record follows how a request ended at an endpoint.
func (g *contactGuard) record(now time.Time, endpoint string, kind keelplace.OutcomeKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch kind {
	case keelplace.Answered, keelplace.Shed, keelplace.Elsewhere:
		g.contact.Answered(now)
	case keelplace.Unreachable, keelplace.Broken, keelplace.Late:
		g.contact.Failed(now, endpoint, kind == keelplace.Unreachable)
		select {
		case g.wake <- struct{}{}:
		default:
		}
	case keelplace.GivenUp:
	}
}

// connected records that a connection to an endpoint was opened.
func (g *contactGuard) connected() {
	g.mu.Lock()
	regained := g.contact.Connected()
	g.mu.Unlock()
	if regained {
		g.report()
	}
}

// confirm records that no endpoint could be reached.
func (g *contactGuard) confirm(timedOut bool) {
	g.mu.Lock()
	lost := g.contact.Confirm(time.Now(), timedOut)
	g.mu.Unlock()
	if lost {
		g.report()
	}
}

// report applies the present state of the contact, if that is news.
func (g *contactGuard) report() {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	isolated := g.isolated()
	if isolated == g.reported {
		return
	}
	g.reported = isolated
	rn := g.runner
	view := rn.cfg.View()
	log := rn.cfg.Log.WithFields(logrus.Fields{"index": view.Index, "endpoints": countEndpoints(view)})
	if isolated {
		log.Warn("no endpoint can be reached, requests are relayed to other instances")
	} else {
		rn.regained(time.Now())
		log.Info("contact with endpoints regained")
	}
	if rn.cfg.Isolated != nil {
		rn.cfg.Isolated(isolated)
	}
}

// run checks the contact after failures, and regularly while it is lost, until ctx ends.
func (g *contactGuard) run(ctx context.Context) error {
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		case <-ticker.C:
			if !g.isolated() {
				continue
			}
		}
		if view := g.runner.cfg.View(); g.suspected(view) {
			g.check(ctx, view)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(contactInterval):
			}
		}
	}
}

// check opens a connection to one endpoint in each failure domain, until one is open.
func (g *contactGuard) check(ctx context.Context, v *keelworld.View) {
	targets := contactTargets(v, nil)
	if len(targets) == 0 {
		return
	}
	reached, timedOut := g.reach(ctx, targets)
	if reached {
		g.connected()
		return
	}
	if ctx.Err() == nil {
		g.confirm(timedOut)
	}
}

// reach opens connections to all targets, until one is open. If none is, it reports whether some
// timed out.
func (g *contactGuard) reach(ctx context.Context, targets []keelproxy.Target) (reached, timedOut bool) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	probes := pool.NewWithResults[error]()
	for _, t := range targets {
		probes.Go(func() error {
			err := g.runner.cfg.Client.Probe(ctx, t)
			if err == nil {
				cancel()
			}
			return err
		})
	}
	for _, err := range probes.Wait() {
		if err == nil {
			return true, false
		}
		var ne net.Error
		timedOut = timedOut || errors.As(err, &ne) && ne.Timeout()
	}
	return false, timedOut
}

// reachesOthers reports whether a connection to an endpoint other than some can be opened, or
// whether there is none.
func (g *contactGuard) reachesOthers(ctx context.Context, except map[string]bool) bool {
	targets := contactTargets(g.runner.cfg.View(), except)
	if len(targets) == 0 {
		return true
	}
	reached, _ := g.reach(ctx, targets)
	return reached
}

// minContactTargets is the number of endpoints that show whether the instance reaches any, if there
// are as many. One of them may be down.
const minContactTargets = 3

// contactTargets returns an endpoint of each failure domain, other ones each time, and further
// endpoints if those are few. Endpoints with the ids in except are left out.
func contactTargets(v *keelworld.View, except map[string]bool) []keelproxy.Target {
	var all []*keelworld.Endpoint
	for _, es := range v.Endpoints {
		for i := range es {
			if !except[es[i].ID] {
				all = append(all, &es[i])
			}
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	domains := map[keel.DomainName]bool{}
	var targets, others []keelproxy.Target
	for _, e := range all {
		if domains[e.Domain] {
			others = append(others, endpointTarget(e))
			continue
		}
		domains[e.Domain] = true
		targets = append(targets, endpointTarget(e))
	}
	missing := max(minContactTargets-len(targets), 0)
	return append(targets, others[:min(missing, len(others))]...)
}

// endpointTarget returns an endpoint as the target of a request.
func endpointTarget(e *keelworld.Endpoint) keelproxy.Target {
	return keelproxy.Target{
		ID:      keel.EndpointID{Service: e.Service, Name: keel.EndpointName(e.ID)},
		Address: e.Address, Domain: e.Domain,
	}
}

func countEndpoints(v *keelworld.View) int {
	n := 0
	for _, es := range v.Endpoints {
		n += len(es)
	}
	return n
}

// ContactObserver notifies a [Runner] of the connections that its client opens. It implements
// [keelproxy.ConnObserver].
type ContactObserver struct {
	// Connected is called for each connection to an endpoint that was opened.
	Connected func()
}

// Opened implements [keelproxy.ConnObserver].
func (o ContactObserver) Opened(_ uint64, t keelproxy.Target, _ time.Time) {
	if !t.Relays {
		o.Connected()
	}
}

// Closed implements [keelproxy.ConnObserver].
func (ContactObserver) Closed(uint64, time.Time) {}
