package keelguard_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelguard"
)

// guards connects the services of several instances within one process.
type guards struct {
	clock       clockwork.Clock
	mu          sync.Mutex
	services    map[netip.AddrPort]*keelguard.Service
	names       []keel.InstanceName
	unreachable map[netip.AddrPort]bool
	bytes       int
	// notLive holds the instances that the others no longer count as live.
	notLive map[keel.InstanceName]bool
	// dropReplies drops the reply to every call.
	dropReplies bool
	lifted      func() []string
}

func (g *guards) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	g.mu.Lock()
	s, down, dropReply := g.services[to], g.unreachable[to], g.dropReplies
	g.bytes += len(e.Body)
	g.mu.Unlock()
	if down {
		return keel.Envelope{}, errors.Errorf("no route to %s", to)
	}
	reply, err := s.HandleMessage(ctx, e)
	if dropReply {
		return keel.Envelope{}, errors.Errorf("reply of %s lost", to)
	}
	return reply, err
}

func (g *guards) Send(context.Context, netip.AddrPort, keel.Envelope) error { return nil }

func (g *guards) Open(context.Context, netip.AddrPort, keel.Envelope) (keel.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func addrOf(name keel.InstanceName) netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(name[1]))
}

func newGuards(clock clockwork.Clock, lifted func() []string) (*guards, []*keelguard.Service) {
	g := &guards{
		services: map[netip.AddrPort]*keelguard.Service{}, unreachable: map[netip.AddrPort]bool{},
		names: []keel.InstanceName{"k1", "k2", "k3"}, notLive: map[keel.InstanceName]bool{},
		clock: clock, lifted: lifted,
	}
	var services []*keelguard.Service
	for _, name := range g.names {
		services = append(services, g.startInstance(name))
	}
	return g, services
}

// startInstance starts an instance with a service that has no evidence or
// permits.
func (g *guards) startInstance(name keel.InstanceName) *keelguard.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := keelguard.New(keelguard.Config{
		Self: keel.Instance{Name: name, Incarnation: 1}, Transport: g,
		Resolve: func(n keel.InstanceName) (netip.AddrPort, bool) { return addrOf(n), true },
		Peers:   func() []keel.InstanceName { return g.names },
		Homes:   func() []keel.InstanceName { return g.names },
		Live:    g.live,
		Lifted:  g.lifted, Clock: g.clock, Log: logrus.NewEntry(log),
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.services[addrOf(name)] = s
	g.unreachable[addrOf(name)], g.notLive[name] = false, false
	return s
}

// stopInstance ends an instance; the others no longer count it as live.
func (g *guards) stopInstance(name keel.InstanceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable[addrOf(name)], g.notLive[name] = true, true
}

func (g *guards) live() map[keel.InstanceName]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[keel.InstanceName]bool)
	for _, n := range g.names {
		out[n] = !g.notLive[n]
	}
	return out
}

func crash(s *keelguard.Service, fp keelguard.ID, at keel.EndpointID) {
	s.Dispatched(fp, at)
	s.ConnectionBroke(fp, at)
	s.Probed(at, false)
}

// TestServicePoison sends one poison request to three instances in turn.
func TestServicePoison(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	_, all := newGuards(clock, nil)
	clock.Advance(guardRetention) // the homes have run long enough to give permits
	fp := keelguard.Fingerprint("scores", "POST", "/score", "key", 7)
	is.True(all[0].Admit(t.Context(), fp).Allow)
	crash(all[0], fp, endpoint(1))
	all[0].Share(t.Context())

	second := all[1].Admit(t.Context(), fp)
	is.True(second.Allow)
	is.True(second.NoRetry)
	is.Equal(second.AvoidEndpoints, []keel.EndpointID{endpoint(1)})
	is.True(!all[2].Admit(t.Context(), fp).Allow) // one instance at a time
	crash(all[1], fp, endpoint(2))
	all[1].Share(t.Context())
	for _, s := range all {
		d := s.Admit(t.Context(), fp)
		is.True(!d.Allow)
		is.Equal(d.Refuse.Reason, keel.ReasonPoison)
		is.Equal(d.Refuse.RetryAfter, keel.Duration(0)) // a retry is refused as well
		is.Equal(s.Dump().(keelguard.Dump).Refused, []keelguard.ID{fp})
	}
}

// TestServiceInnocent checks that a suspect which is answered is cleared, and
// that the permit of one that is not dispatched is returned.
func TestServiceInnocent(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	_, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	const fp = 9
	crash(all[0], fp, endpoint(1))
	all[0].Share(t.Context())
	is.True(all[1].Admit(t.Context(), fp).Allow)
	all[1].NotDispatched(fp)
	is.NoErr(all[2].Permit(t.Context(), fp)) // the permit was returned
	all[2].Dispatched(fp, endpoint(2))
	all[2].Answered(fp, endpoint(2))
	all[2].Share(t.Context())
	for _, s := range all {
		d := s.Check(fp)
		is.True(d.Allow)
		is.True(!d.NoRetry)
	}
}

// TestServiceHomeAway asks for permits while two of three homes can't be
// reached.
func TestServiceHomeAway(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	g, all := newGuards(clock, nil)
	clock.Advance(guardRetention)
	refused := 0
	for fp := range keelguard.ID(30) {
		crash(all[0], fp, endpoint(1))
		g.unreachable[addrOf("k2")], g.unreachable[addrOf("k3")] = true, true
		if d := all[0].Admit(t.Context(), fp); !d.Allow {
			is.Equal(d.Refuse.Verdict, keel.NotRun)
			refused++
		}
	}
	is.True(refused > 0 && refused < 30) // depending on the home of the fingerprint
}

func TestServiceLift(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(guardStart)
	var mu sync.Mutex
	var labels []string
	_, all := newGuards(clock, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return labels
	})
	const fp = 0xabc
	crash(all[0], fp, endpoint(1))
	crash(all[0], fp, endpoint(2))
	is.True(!all[0].Check(fp).Allow)
	mu.Lock()
	labels = []string{"nonsense", keelguard.ID(fp).String()}
	mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- all[0].Run(ctx) }()
	is.NoErr(clock.BlockUntilContext(ctx, 2)) // both loops wait for their tickers
	clock.Advance(guardRetention / 100)
	for !all[0].Check(fp).Allow {
		is.NoErr(ctx.Err())
	}
	cancel()
	is.NoErr(<-done)
}

func FuzzMessage(f *testing.F) {
	fp := keelguard.ID(3)
	for _, m := range []keelguard.Message{
		{Permit: &fp},
		{Evidence: []keelguard.Evidence{{ID: 1, Crash: keelguard.Crash{Endpoint: endpoint(1), Observer: "k1"}}}},
	} {
		b, err := keel.EncodeCBOR(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, all := newGuards(clockwork.NewFakeClockAt(guardStart), nil)
		reply, err := all[0].HandleMessage(t.Context(), keel.Envelope{Kind: keel.KindGuard, From: "k2", Body: b})
		if err != nil {
			return
		}
		var r keelguard.Reply
		if err := keel.DecodeCBOR(reply.Body, &r); err != nil {
			t.Fatalf("message % x is answered by a malformed reply: %v", b, err)
		}
	})
}

func BenchmarkBefore(b *testing.B) {
	p := newDetector("k1")
	for i := range 100 {
		apply(p, guardStart, []step{{"c", keelguard.ID(i), i}})
	}
	b.ReportAllocs()
	for b.Loop() {
		fp := keelguard.Fingerprint("scores", "GET", "/board/7", "", 0)
		p.Check(guardStart, fp)
	}
}
