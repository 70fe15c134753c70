package keelclaim_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
)

// BenchmarkClaim claims and settles keys, and measures the cost of one keyed
// request with three holders in one process, without the network.
func BenchmarkClaim(b *testing.B) {
	n, all := startHome(b)
	answer := keelclaim.Answer{Status: 200, Body: make([]byte, 512)}
	var waits []time.Duration
	bytes, calls := n.bytes.Load(), n.calls.Load()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		start := time.Now()
		g, err := all[0].Claim(b.Context(), request(fmt.Sprintf("key-%d", i), time.Minute))
		if err != nil {
			b.Fatal(err)
		}
		waits = append(waits, time.Since(start))
		g.Settle(b.Context(), answer)
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(n.bytes.Load()-bytes)/float64(i), "bytes/claim")
	b.ReportMetric(float64(n.calls.Load()-calls)/float64(i), "calls/claim")
}

// BenchmarkClaimParallel measures the throughput of claims at one instance.
func BenchmarkClaimParallel(b *testing.B) {
	_, all := startHome(b, func(c *keelclaim.Config) { c.MaxTotalBytes = 4 << 30 })
	b.RunParallel(func(pb *testing.PB) {
		worker := time.Now().UnixNano()
		for i := 0; pb.Next(); i++ {
			g, err := all[0].Claim(b.Context(), request(fmt.Sprintf("%d-%d", worker, i), time.Minute))
			if err != nil {
				b.Error(err)
				return
			}
			g.SettleRan(b.Context())
		}
	})
}

// BenchmarkResend measures a resend that gets the recorded answer.
func BenchmarkResend(b *testing.B) {
	_, all := startHome(b)
	g, err := all[0].Claim(b.Context(), request("key", time.Minute))
	if err != nil {
		b.Fatal(err)
	}
	g.Settle(b.Context(), testAnswer)
	for b.Loop() {
		if _, err := all[2].Claim(b.Context(), request("key", time.Minute)); err != nil {
			b.Fatal(err)
		}
	}
}

func keyOf(i int) keelclaim.KeyID {
	var key keelclaim.KeyID
	binary.BigEndian.PutUint64(key[:], uint64(i)*0x9e3779b97f4a7c15)
	return key
}

// settledHolder returns a whole holder with n settled claims.
func settledHolder(n int) *keelclaim.Holder {
	h := keelclaim.NewHolder(keelclaim.HolderConfig{
		Self: "k2", Incarnation: 1, Started: holderStart,
		Retention: time.Hour, ClockSlack: time.Second, MaxTotalBytes: 1 << 40,
	})
	set := holderSet
	set.ObservedFromStart = true
	h.SetHolders(holderStart, []keelclaim.Set{set})
	for i := range n {
		a := keelclaim.Attempt{Instance: "k1", Incarnation: 1, Counter: uint64(i)}
		h.Vote(holderStart, keelclaim.VoteRequest{Key: keyOf(i), Attempt: a})
		h.Settle(holderStart, keelclaim.Settle{Key: keyOf(i), Attempt: a, Outcome: keelclaim.OutcomeRan})
	}
	return h
}

// BenchmarkClaimMemory measures the heap size of one settled claim at a holder.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := settledHolder(claims)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "heap-bytes/claim")
		b.ReportMetric(float64(h.Bytes())/claims, "counted-bytes/claim")
	}
}

// BenchmarkRefill measures how a restarted holder reads 100,000 claims from
// each of the two others, encoded and decoded as between processes.
func BenchmarkRefill(b *testing.B) {
	const claims = 100_000
	others := map[keel.InstanceName]*keelclaim.Holder{"k2": settledHolder(claims), "k3": settledHolder(claims)}
	bytes := 0
	for b.Loop() {
		h := newHolder("k1", 2, false)
		bytes = 0
		for h.Phase(holderStart) != keelclaim.PhaseWhole {
			for name, m := range h.Refills(holderStart) {
				page, err := keel.EncodeCBOR(others[name].Handle(holderStart, "k1", keelclaim.Message{Refill: &m}))
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(page)
				var reply keelclaim.Reply
				if err := keel.DecodeCBOR(page, &reply); err != nil {
					b.Fatal(err)
				}
				h.Refilled(holderStart, name, m.After, reply)
			}
		}
	}
	b.ReportMetric(float64(bytes)/claims, "bytes/claim")
}

// BenchmarkClaimQUIC claims over the peer protocol on the loopback interface,
// and compares this with the bare round trip on the same connections.
func BenchmarkClaimQUIC(b *testing.B) {
	names := []keel.InstanceName{"k1", "k2", "k3"}
	keys, err := keelkey.Ephemeral(names...)
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers := map[keel.InstanceName]*keelpeer.Transport{}
	for _, name := range names {
		p, err := keelpeer.New(keelpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys[name], Log: log})
		if err != nil {
			b.Fatal(err)
		}
		peers[name] = p
	}
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(func() { cancel(); wg.Wait() })
	services := map[keel.InstanceName]*keelclaim.Service{}
	for _, name := range names {
		s := keelclaim.New(keelclaim.Config{
			Self: keel.Instance{Name: name, Domain: "dakar-a", Incarnation: 1}, Transport: peers[name],
			Resolve: func(n keel.InstanceName) (netip.AddrPort, bool) { return peers[n].Addr(), true },
			Holders: func(keel.DomainName) []keelclaim.Set {
				return []keelclaim.Set{{Holders: names, ObservedFromStart: true}}
			},
			Domains: func() []keel.DomainName { return []keel.DomainName{"dakar-a"} },
			Clock:   clockwork.NewRealClock(), Log: logrus.NewEntry(log), Secret: testSecret,
			Retention: time.Hour, MaxAnswerBytes: 64 << 10, MaxTotalBytes: 64 << 20, Seed: 1,
		})
		services[name] = s
		peers[name].Register(keel.KindClaim, s)
		wg.Go(func() { _ = peers[name].Run(ctx) })
		wg.Go(func() { _ = s.Run(ctx) })
	}
	for _, s := range services {
		waitPhase(b, s, keelclaim.PhaseWhole)
	}
	hello, err := keel.EncodeCBOR(keelclaim.Message{Hello: &keelclaim.Hello{}})
	if err != nil {
		b.Fatal(err)
	}
	for _, part := range []string{"round-trip", "claim"} {
		b.Run(part, func(b *testing.B) {
			var waits []time.Duration
			i := 0
			for b.Loop() {
				i++
				start := time.Now()
				if part == "claim" {
					g, err := services["k1"].Claim(b.Context(), request(fmt.Sprintf("%d-%d", start.UnixNano(), i), time.Minute))
					if err != nil {
						b.Fatal(err)
					}
					waits = append(waits, time.Since(start))
					g.SettleRan(b.Context())
					continue
				}
				if _, err := peers["k1"].Call(b.Context(), peers["k2"].Addr(), keel.Envelope{Kind: keel.KindClaim, Body: hello}); err != nil {
					b.Fatal(err)
				}
				waits = append(waits, time.Since(start))
			}
			slices.Sort(waits)
			b.ReportMetric(float64(waits[len(waits)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds()), "p99-us")
		})
	}
}
