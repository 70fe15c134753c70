package keelsteer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/greengagekeel/greengagekeel/keelguard"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelsteer"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// world simulates the system around the engines under test. Instances a, b and
// c are in domain near, f is in domain far.
type world struct {
	t        testing.TB
	hub      *keelpeer.MemoryHub
	log      *logrus.Entry
	services int
	class    keel.Class
	cap      float64
	weights  []keel.DomainWeight
	// idle lists the instances that are labelled to drain, so that they own no
	// endpoints.
	idle    []string
	leaving map[keel.InstanceName]bool
	// claims are those of the engines; nil means that there are none.
	claims *keelclaim.Service
	// endpoint is the address of the endpoints, and farSlots are the slots that the
	// domain far reports for each service.
	endpoint netip.AddrPort
	farSlots int
	// ran counts the requests that reached each simulated instance. If verdicts
	// is not empty, these requests fail with its elements in turn.
	mu       sync.Mutex
	ran      map[keel.InstanceName]int
	verdicts []keel.Verdict
}

func newWorld(t testing.TB) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &world{
		t: t, hub: keelpeer.NewMemoryHub(keelpeer.HubConfig{Log: log}), log: logrus.NewEntry(log), services: 1, class: keel.ClassLive, idle: []string{"a"}, endpoint: netip.MustParseAddrPort("10.1.0.1:80"),
		leaving: map[keel.InstanceName]bool{}, ran: map[keel.InstanceName]int{},
	}
}

var names = []keel.InstanceName{"a", "b", "c", "f"}

func instance(name keel.InstanceName) keel.Instance {
	n := strings.Index("abcf", string(name)) + 1
	in := keel.Instance{Name: name, Domain: "near", Region: "r1", Incarnation: 1}
	if name == "f" {
		in.Domain, in.Region = "far", "r2"
	}
	in.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
	in.Caller = netip.AddrPortFrom(in.Peer.Addr(), 2)
	return in
}

func (w *world) service(i int) keel.ServiceName { return keel.ServiceName(fmt.Sprintf("s%d", i)) }

// snapshot declares the services.
func (w *world) snapshot() *keeldeclare.Snapshot {
	d := &keel.Declarations{
		Domains: []keel.FailureDomain{{Name: "far", Region: "r2"}, {Name: "near", Region: "r1"}},
		Labels: []keel.LabelRule{{
			Name: "idle", Target: keel.TargetInstance, Names: w.idle, Set: keel.Labels{keel.LabelDrain: keel.LabelOn},
		}},
	}
	for i := range w.services {
		d.Services = append(d.Services, keel.Service{Name: w.service(i), AnnounceFrom: []netip.Prefix{netip.PrefixFrom(w.endpoint.Addr(), 8)}})
		d.Selectors = append(d.Selectors, keel.Selector{
			Name: keel.SelectorName(w.service(i)), Service: w.service(i), Class: w.class, Deadline: keel.Duration(time.Minute),
			Cap: keel.ShiftCap{Percent: w.cap, Window: keel.Duration(time.Hour)}, Weights: w.weights,
		})
	}
	for _, name := range names {
		d.Instances = append(d.Instances, keel.RegisteredInstance{Name: name, Domain: instance(name).Domain})
	}
	return &keeldeclare.Snapshot{Version: 1, Declarations: d, Blocks: keeldeclare.NewBlocks(func(func(netip.Prefix, []keel.SiteName) bool) {})}
}

func (w *world) view() *keelsteer.View {
	near, far := keelsteer.Domain{Name: "near"}, keelsteer.Domain{Name: "far"}
	for _, name := range names {
		m := keelsteer.Member{Instance: instance(name), Leaving: w.leaving[name]}
		if name == "f" {
			far.Members = append(far.Members, m)
			continue
		}
		near.Members = append(near.Members, m)
	}
	for i := range w.services {
		far.Capacities = append(far.Capacities, keelsteer.ServiceCapacity{Service: w.service(i), Slots: w.farSlots, Free: w.farSlots})
	}
	return &keelsteer.View{Domains: []keelsteer.Domain{near, far}}
}

// join adds a simulated instance, which counts and answers the requests sent to
// it.
func (w *world) join(name keel.InstanceName) {
	tr := w.hub.Join(name, instance(name).Peer)
	tr.SetStreams(drainFirst{&keelproxy.Receiver{Runner: runner{w, name}, Log: w.log}})
	w.t.Cleanup(tr.Close)
}

// drainFirst reads a stream to its end before the request is run, since streams
// in memory are not buffered.
type drainFirst struct{ keel.StreamHandler }

// HandleStream drains the stream and runs its request.
func (h drainFirst) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	if _, err := io.Copy(io.Discard, s); err != nil {
		s.Cancel()
		return
	}
	h.StreamHandler.HandleStream(ctx, e, s)
}

type runner struct {
	w    *world
	name keel.InstanceName
}

// RunRequest answers or refuses a request.
func (r runner) RunRequest(context.Context, *keelproxy.Request) (*keelproxy.Answer, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.ran[r.name]++
	if n := len(r.w.verdicts); n > 0 {
		return nil, keel.Refuse(r.w.verdicts[(r.w.ran[r.name]-1)%n], keel.ReasonEndpointFailed, 0, "test")
	}
	return &keelproxy.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// engine returns the engine of an instance, with its first plan, and the
// transport that it sends with.
func (w *world) engine(name keel.InstanceName) (*keelsteer.Engine, *keelpeer.MemoryTransport) {
	self, snapshot := instance(name), w.snapshot()
	tr := w.hub.Join(name, self.Peer)
	w.t.Cleanup(tr.Close)
	endpoints := keelendpoint.NewService(keelendpoint.ServiceConfig{
		Directory: keelendpoint.Config{Self: name, Incarnation: 1, Services: func() []keel.Service { return snapshot.Declarations.Services }},
		Transport: tr, Members: func() []keelendpoint.Member { return nil }, Log: w.log,
	})
	for i := range w.services {
		fs := endpoints.Announce(keel.Announcement{
			Service: w.service(i), Name: "e", Address: w.endpoint, Slots: 4, Incarnation: 1,
			State: keel.EndpointServing, TTL: keel.MaxAnnounceTTL,
		})
		if len(fs) > 0 {
			w.t.Fatal(fs)
		}
	}
	clock := clockwork.NewFakeClock()
	claims := w.claims
	if claims == nil {
		claims = keelclaim.New(keelclaim.Config{
			Self: self, Transport: tr, Clock: clock, Log: w.log, Secret: []byte("secret"), Domains: func() []keel.DomainName { return nil },
			Holders: func(keel.DomainName) []keelclaim.Set { return nil },
		})
	}
	return keelsteer.New(keelsteer.Config{
		Self: self, Declared: func() *keeldeclare.Snapshot { return snapshot }, View: w.view, Endpoints: endpoints, Transport: tr,
		Claims: claims,
		Guard: keelguard.New(keelguard.Config{
			Self: self, Transport: tr, Clock: clock, Log: w.log,
			Peers: func() []keel.InstanceName { return nil }, Homes: func() []keel.InstanceName { return nil },
			Lifted: func() []string { return nil },
		}),
		Log: w.log, LookupTTL: time.Second, FirstStart: true, MaxKeyedBytes: 1 << 10,
	}), tr
}

// run sends n requests for each service. It returns the number of answers, and
// the refusals.
func (w *world) run(e *keelsteer.Engine, n int) (answered int, refusals []*keel.Refusal) {
	for i := range w.services * n {
		answer, err := e.RunRequest(context.Background(), &keelproxy.Request{
			ID: fmt.Sprint("request-", i), Service: w.service(i % w.services), Method: "GET", URI: "/",
			Caller: netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}),
		})
		if err != nil {
			refusals = append(refusals, keelproxy.AsRefusal(err))
			continue
		}
		answered++
		if err := answer.Body.Close(); err != nil {
			w.t.Fatal(err)
		}
	}
	return answered, refusals
}

func TestRequestsGoToOwners(t *testing.T) {
	for _, tt := range []struct {
		name    string
		leaving keel.InstanceName
	}{{"all stay", ""}, {"b leaves", "b"}, {"c leaves", "c"}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.services = 12
			w.leaving[tt.leaving] = true
			w.join("b")
			w.join("c")
			e, _ := w.engine("a")
			answered, refusals := w.run(e, 2)
			is.Equal(answered, 24)
			is.Equal(len(refusals), 0)
			is.Equal(w.ran["b"] > 0, tt.leaving != "b")
			is.Equal(w.ran["c"] > 0, tt.leaving != "c")
			is.Equal(w.ran["b"]+w.ran["c"], 24)
		})
	}
}

// TestVerdictAfterRetries guards against reporting a request as not run after a
// retry did not run but an earlier attempt may have.
func TestVerdictAfterRetries(t *testing.T) {
	for _, tt := range []struct {
		verdicts []keel.Verdict
		want     keel.Verdict
	}{
		{[]keel.Verdict{keel.NotRun}, keel.NotRun},
		{[]keel.Verdict{keel.MayHaveRun, keel.NotRun, keel.NotRun}, keel.MayHaveRun},
		{[]keel.Verdict{keel.NotRun, keel.MayHaveRun, keel.NotRun}, keel.MayHaveRun},
	} {
		t.Run(fmt.Sprint(tt.verdicts), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.leaving["c"] = true
			w.join("b")
			e, _ := w.engine("a")
			w.run(e, 100) // fills the retry budget
			w.ran["b"], w.verdicts = 0, tt.verdicts
			_, refusals := w.run(e, 1)
			is.Equal(refusals[0].Verdict, tt.want)
			is.Equal(w.ran["b"], 3)
		})
	}
}

// A caller may close the connection within the body of an at-most-once request.
// The refusal must name the cut body, also if the closing was noticed before the
// body was read.
func TestCutKeyedBody(t *testing.T) {
	for _, closingNoticed := range []bool{false, true} {
		t.Run(fmt.Sprint(closingNoticed), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.class = keel.ClassAtMostOnce
			e, _ := w.engine("a")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if closingNoticed {
				cancel()
			}
			_, err := e.RunRequest(ctx, &keelproxy.Request{
				ID: "request", Service: w.service(0), Method: "POST", URI: "/", Key: "k",
				ContentLength: 10, Body: iotest.ErrReader(io.ErrUnexpectedEOF),
			})
			refusal := keelproxy.AsRefusal(err)
			is.Equal(refusal.Reason, keel.ReasonBadRequest)
			is.Equal(refusal.Verdict, keel.NotRun)
		})
	}
}

var allFar = []keel.DomainWeight{{Domain: "far", Weight: 1}}

// TestNoCredit sends 100 requests to a domain that grants no credit. Only the
// part that the cap on shift allows is served in the own domain. Look-ups
// before the requests must not raise that part.
func TestNoCredit(t *testing.T) {
	for _, tt := range []struct {
		cap           float64
		lookups, want int
	}{{0, 0, 0}, {5, 0, 5}, {10, 0, 10}, {10, 500, 10}, {100, 0, 100}} {
		t.Run(fmt.Sprintf("cap=%v,lookups=%d", tt.cap, tt.lookups), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.cap, w.weights = tt.cap, allFar
			w.join("b")
			w.join("c")
			e, _ := w.engine("a")
			for range tt.lookups {
				lookUp(is, e)
			}
			answered, refusals := w.run(e, 100)
			is.Equal(answered, tt.want)
			for _, r := range refusals {
				is.Equal(r.Verdict, keel.NotRun)
				is.Equal(r.Reason, keel.ReasonNoCredit)
				is.True(r.RetryAfter > 0)
			}
			is.Equal(w.ran["f"], 0)
		})
	}
}

func lookUp(is *is.I, e *keelsteer.Engine) keelsteer.LookupAnswer {
	var fctx fasthttp.RequestCtx
	fctx.Request.SetRequestURI("/v1/lookup?service=s0")
	e.HandleLookup(&fctx)
	var a keelsteer.LookupAnswer
	is.NoErr(json.Unmarshal(fctx.Response.Body(), &a))
	return a
}

func TestLookupOmitsLeavingInstances(t *testing.T) {
	for _, tt := range []struct{ leaving, want string }{
		{"", "b c"}, {"b", "c"}, {"c", "b"},
	} {
		t.Run("leaving="+tt.leaving, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.leaving[keel.InstanceName(tt.leaving)] = true
			e, _ := w.engine("a") // a is labelled to drain
			seen := map[keel.InstanceName]bool{}
			for range 50 {
				for _, in := range lookUp(is, e).Instances {
					seen[in.Name] = true
				}
			}
			var got []string
			for _, name := range []keel.InstanceName{"a", "b", "c"} {
				if seen[name] {
					got = append(got, string(name))
				}
			}
			is.Equal(strings.Join(got, " "), tt.want)
		})
	}
}

// TestSharesExchanged uses up the cap on shift at one engine. Another engine that
// has received its share vectors must not shift more.
func TestSharesExchanged(t *testing.T) {
	for _, tt := range []struct {
		received bool
		want     int
	}{{false, 10}, {true, 0}} {
		t.Run(fmt.Sprint("received=", tt.received), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.cap, w.weights, w.idle = 10, allFar, []string{"a", "c"}
			w.join("b")
			first, _ := w.engine("a")
			answered, _ := w.run(first, 100)
			is.Equal(answered, 10)
			second, tr := w.engine("c")
			if tt.received {
				w.exchange(first, second, tr)
			}
			answered, _ = w.run(second, 100)
			is.Equal(answered, tt.want)
		})
	}
}

// exchange runs one engine until the other one has handled its share vectors.
func (w *world) exchange(from, to *keelsteer.Engine, tr *keelpeer.MemoryTransport) {
	h := &notifyingHandler{Handler: to, done: make(chan struct{})}
	tr.Register(keel.KindShares, h)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = from.Run(ctx) })
	<-h.done
	cancel()
	group.Wait()
}

// notifyingHandler closes done when its handler has first handled a message.
type notifyingHandler struct {
	keel.Handler
	once sync.Once
	done chan struct{}
}

// HandleMessage passes the message on.
func (n *notifyingHandler) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	defer n.once.Do(func() { close(n.done) })
	return n.Handler.HandleMessage(ctx, e)
}
