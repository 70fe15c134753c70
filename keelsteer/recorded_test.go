package keelsteer_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelclaim"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"
)

// claimService starts a service that alone holds the claims of all keys.
func (w *world) claimService(self keel.Instance) *keelclaim.Service {
	tr := w.hub.Join("claims", netip.MustParseAddrPort("10.0.0.9:1"))
	s := keelclaim.New(keelclaim.Config{
		Self: self, Transport: tr, Clock: clockwork.NewRealClock(), Log: w.log, Secret: []byte("secret"),
		Resolve: func(keel.InstanceName) (netip.AddrPort, bool) { return tr.Addr(), true },
		Domains: func() []keel.DomainName { return []keel.DomainName{self.Domain} },
		Holders: func(keel.DomainName) []keelclaim.Set {
			return []keelclaim.Set{{Holders: []keel.InstanceName{self.Name}, ObservedFromStart: true}}
		},
		Retention: time.Hour, MaxAnswerBytes: 1 << 10, MaxTotalBytes: 1 << 20, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	w.t.Cleanup(func() {
		cancel()
		group.Wait()
		tr.Close()
	})
	return s
}

// An instance of an earlier version recorded an answer that this one refuses. A caller that
// sends the request again gets neither that answer nor the advice to send it once more.
func TestMalformedRecordedAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		answer keelclaim.Answer
		valid  bool
	}{
		"valid":                    {keelclaim.Answer{Status: 200, Header: []keelclaim.HeaderField{{Name: "X-Other", Value: "1"}}, Body: []byte("bytes")}, true},
		"status 600":               {keelclaim.Answer{Status: 600}, false},
		"interim status":           {keelclaim.Answer{Status: 103}, false},
		"blank in a field's name":  {keelclaim.Answer{Status: 200, Header: []keelclaim.HeaderField{{Name: "X Other", Value: "1"}}}, false},
		"control byte in a value":  {keelclaim.Answer{Status: 200, Header: []keelclaim.HeaderField{{Name: "X-Other", Value: "1\n2: 3"}}}, false},
		"failure, no field's name": {keelclaim.Answer{Status: 500, Header: []keelclaim.HeaderField{{Value: "1"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.class = keel.ClassAtMostOnce
			w.claims = w.claimService(instance("a"))
			e, _ := w.engine("a")
			grant, err := w.claims.Claim(t.Context(), keelclaim.Request{
				Service: w.service(0), Key: "k", BodyHash: xxh3.HashString("POST / "), Deadline: time.Now().Add(10 * time.Second),
			})
			is.NoErr(err)
			grant.Settle(t.Context(), tt.answer)
			a, err := e.RunRequest(t.Context(), &keelproxy.Request{
				ID: "request", Service: w.service(0), Method: "POST", URI: "/", Key: "k", Timeout: 10 * time.Second, Deadline: time.Now().Add(10 * time.Second),
			})
			if !tt.valid {
				is.Equal(keel.VerdictOf(err), keel.Ran)
				return
			}
			is.NoErr(err)
			body, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(string(body), "bytes")
		})
	}
}
