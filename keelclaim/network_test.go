package keelclaim_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
)

// network is a transport within one process. It counts bytes and drops the
// messages from and to instances that are down.
type network struct {
	mu       sync.Mutex
	services map[netip.AddrPort]*keelclaim.Service
	addrs    map[keel.InstanceName]netip.AddrPort
	sets     map[keel.DomainName][]keelclaim.Set
	domains  []keel.DomainName
	down     map[keel.InstanceName]bool
	stops    map[keel.InstanceName]func()
	bytes    atomic.Int64
	calls    atomic.Int64
}

func newNetwork() *network {
	return &network{
		services: map[netip.AddrPort]*keelclaim.Service{},
		addrs:    map[keel.InstanceName]netip.AddrPort{},
		sets:     map[keel.DomainName][]keelclaim.Set{},
		down:     map[keel.InstanceName]bool{},
		stops:    map[keel.InstanceName]func(){},
	}
}

func (n *network) setDown(down bool, names ...keel.InstanceName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.down[name] = down
	}
}

// link is the transport of one instance.
type link struct {
	net  *network
	from keel.InstanceName
}

func (l link) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	l.net.mu.Lock()
	s, ok := l.net.services[to]
	cut := l.net.down[l.from]
	for name, addr := range l.net.addrs {
		cut = cut || addr == to && l.net.down[name]
	}
	l.net.mu.Unlock()
	if !ok || cut {
		return keel.Envelope{}, errors.Errorf("no route to %s", to)
	}
	e.From = l.from
	reply, err := s.HandleMessage(ctx, e)
	l.net.calls.Add(1)
	l.net.bytes.Add(int64(len(e.Body) + len(reply.Body)))
	return reply, err
}

func (l link) Send(ctx context.Context, to netip.AddrPort, e keel.Envelope) error {
	_, err := l.Call(ctx, to, e)
	return err
}

func (l link) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	return nil, errors.New("streams are not supported")
}

// kill disconnects an instance and ends its process.
func (n *network) kill(name keel.InstanceName) {
	n.setDown(true, name)
	n.mu.Lock()
	stop := n.stops[name]
	n.mu.Unlock()
	stop()
}

// start creates the service of one instance and runs it until the test ends or
// the instance is killed.
func (n *network) start(t testing.TB, name keel.InstanceName, domain keel.DomainName, incarnation uint64, change ...func(*keelclaim.Config)) *keelclaim.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.mu.Lock()
	addr, ok := n.addrs[name]
	if !ok {
		addr = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(n.addrs)+1))
		n.addrs[name] = addr
	}
	n.mu.Unlock()
	cfg := keelclaim.Config{
		Self:      keel.Instance{Name: name, Domain: domain, Incarnation: incarnation},
		Transport: link{net: n, from: name},
		Resolve: func(name keel.InstanceName) (netip.AddrPort, bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			a, ok := n.addrs[name]
			return a, ok
		},
		Holders: func(d keel.DomainName) []keelclaim.Set {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.sets[d]
		},
		Domains: func() []keel.DomainName {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.domains
		},
		Clock:          clockwork.NewRealClock(),
		Log:            logrus.NewEntry(log),
		Secret:         testSecret,
		Retention:      time.Hour,
		MaxAnswerBytes: 64 << 10,
		MaxTotalBytes:  64 << 20,
		Seed:           1,
	}
	for _, f := range change {
		f(&cfg)
	}
	s := keelclaim.New(cfg)
	n.mu.Lock()
	n.services[addr] = s
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	n.mu.Lock()
	n.stops[name] = stop
	n.mu.Unlock()
	return s
}

// waitPhase waits until the service's holder is in the phase.
func waitPhase(t testing.TB, s *keelclaim.Service, want keelclaim.Phase) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		d := s.Dump().(keelclaim.Dump)
		if d.Phase == want && len(d.Sets) > 0 {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("phase is %v, want %v", d.Phase, want)
		case <-ticker.C:
		}
	}
}

// startHome declares one domain with three registered instances that lost no
// votes, and starts them.
func startHome(t testing.TB, change ...func(*keelclaim.Config)) (*network, []*keelclaim.Service) {
	n := newNetwork()
	n.domains = []keel.DomainName{"dakar-a"}
	names := []keel.InstanceName{"k1", "k2", "k3"}
	n.sets["dakar-a"] = []keelclaim.Set{{Holders: names, ObservedFromStart: true}}
	var all []*keelclaim.Service
	for _, name := range names {
		all = append(all, n.start(t, name, "dakar-a", 1, change...))
	}
	for _, s := range all {
		waitPhase(t, s, keelclaim.PhaseWhole)
	}
	return n, all
}
