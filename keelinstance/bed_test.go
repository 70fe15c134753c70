package keelinstance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// bed is three instances of one failure domain, and endpoints of one service
// behind them, all over real sockets.
type bed struct {
	t         testing.TB
	ctx       context.Context
	local     *keellocal.System
	endpoints []*keelstandin.Endpoint
	client    *http.Client

	mu    sync.Mutex
	sends []*sent
}

// send is one request of a caller.
type send struct {
	// at is the index of the instance that gets it.
	at           int
	method, path string
	// key makes it an at-most-once request.
	key     string
	body    string
	bytes   int64
	timeout time.Duration
	// upload is sent in place of body.
	upload io.Reader
}

// sent is a request and what its caller saw.
type sent struct {
	send
	token    string
	err      error
	status   int
	verdict  string
	reason   keel.Reason
	answered string // token that the answer belongs to
	checksum string
	data     []byte
}

func (s *sent) ok() bool { return s.err == nil && s.status == http.StatusOK }

// bedTimeout ends a test that makes no progress.
const bedTimeout = 5 * time.Minute

func newBed(t testing.TB, endpoints int) *bed {
	t.Helper()
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	places := []keellocal.Place{
		{Name: "i-1", Domain: "d", Region: "r", Voter: true},
		{Name: "i-2", Domain: "d", Region: "r"},
		{Name: "i-3", Domain: "d", Region: "r"},
	}
	local, err := keellocal.New(keellocal.Config{Places: places, Dir: t.TempDir(), Log: log})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), bedTimeout)
	// The client must not send a request twice on its own, as it does on
	// connections that were used before.
	b := &bed{t: t, ctx: ctx, local: local, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var announceTo []netip.AddrPort
	for _, in := range local.Instances {
		announceTo = append(announceTo, in.Addresses().Endpoint)
	}
	var group conc.WaitGroup
	local.Run(ctx, &group)
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		group.Wait()
	})
	is.NoErr(local.Declare(ctx, bedDeclarations(places)))
	for i := range endpoints {
		name := keel.EndpointName(fmt.Sprintf("e-%d", i+1))
		e, err := keelstandin.New(keelstandin.Config{Service: "pages", Name: name, Listen: loopback, AnnounceTo: announceTo, Log: log})
		is.NoErr(err)
		b.endpoints = append(b.endpoints, e)
		group.Go(func() { _ = e.Run(ctx) })
	}
	for i := range local.Instances {
		b.until("every endpoint is known", func() bool { return len(b.dump(i).Steering.Endpoints) == endpoints })
		b.until("the instance serves", func() bool { return b.do(send{at: i, method: http.MethodGet}).ok() })
		b.until("the instance claims", func() bool { return b.do(b.keyed(i, fmt.Sprintf("warm-%d", i))).ok() })
	}
	return b
}

// bedDeclarations let POST requests run at most once.
func bedDeclarations(places []keellocal.Place) *keel.Declarations {
	shift := keel.ShiftCap{Percent: 100, Window: keel.Duration(time.Second)}
	d := &keel.Declarations{
		Regions:  []keel.Region{{Name: "r"}},
		Domains:  []keel.FailureDomain{{Name: "d", Region: "r"}},
		Services: []keel.Service{{Name: "pages", AnnounceFrom: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}},
		Selectors: []keel.Selector{
			{Name: "paid", Service: "pages", Methods: []string{http.MethodPost}, Class: keel.ClassAtMostOnce, Cap: shift, Deadline: keel.Duration(10 * time.Second)},
			{Name: "read", Service: "pages", Class: keel.ClassLive, Cap: shift, Deadline: keel.Duration(10 * time.Second)},
		},
	}
	for _, p := range places {
		d.Instances = append(d.Instances, keel.RegisteredInstance{Name: p.Name, Domain: p.Domain})
	}
	return d
}

// until waits for a state.
func (b *bed) until(what string, reached func() bool) {
	b.t.Helper()
	for !reached() {
		if !keellocal.Pause(b.ctx) {
			b.t.Fatalf("never came true: %s", what)
		}
	}
}

func (b *bed) dump(i int) *keelinstance.Dump {
	d, err := b.local.Dump(b.ctx, i)
	if err != nil {
		return &keelinstance.Dump{}
	}
	return d
}

// keyed returns an at-most-once request.
func (b *bed) keyed(at int, key string) send {
	return send{at: at, method: http.MethodPost, key: key, body: "body of " + key, bytes: 2000}
}

// behave sets the behaviour of every endpoint.
func (b *bed) behave(v keelstandin.Behaviour) {
	for _, e := range b.endpoints {
		e.SetBehaviour(v)
	}
}

// do sends a request and reads its answer.
func (b *bed) do(s send) *sent {
	x := &sent{send: s}
	b.mu.Lock()
	x.token = fmt.Sprintf("t%d", len(b.sends))
	b.sends = append(b.sends, x)
	b.mu.Unlock()
	req, err := b.request(x)
	if err != nil {
		x.err = err
		return x
	}
	resp, err := b.client.Do(req)
	if err != nil {
		x.err = err
		return x
	}
	defer func() { _ = resp.Body.Close() }()
	x.status, x.verdict = resp.StatusCode, resp.Header.Get(keelproxy.HeaderVerdict)
	x.answered, x.checksum = resp.Header.Get(keelstandin.HeaderToken), resp.Header.Get(keelstandin.HeaderChecksum)
	if x.data, x.err = io.ReadAll(resp.Body); x.verdict != "" && x.err == nil {
		var refusal keel.Refusal
		x.err = json.Unmarshal(x.data, &refusal)
		x.reason = refusal.Reason
	}
	return x
}

func (b *bed) request(x *sent) (*http.Request, error) {
	path := x.path
	if path == "" {
		path = "/"
	}
	uri := fmt.Sprintf("http://%s%s?bytes=%d", b.local.Instances[x.at].Addresses().Caller, path, x.bytes)
	body := x.upload
	if body == nil {
		body = bytes.NewReader([]byte(x.body))
	}
	req, err := http.NewRequestWithContext(b.ctx, x.method, uri, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(keelproxy.HeaderService, "pages")
	req.Header.Set(keelstandin.HeaderToken, x.token)
	if x.key != "" {
		req.Header.Set(keelproxy.HeaderKey, x.key)
	}
	if x.timeout > 0 {
		req.Header.Set(keelproxy.HeaderTimeout, x.timeout.String())
	}
	return req, nil
}

// counts returns what all endpoints counted together.
func (b *bed) counts() keelstandin.Counts {
	sum := keelstandin.Counts{ByKey: map[string]int{}, ByToken: map[string]int{}, SeenByToken: map[string]int{}}
	for _, e := range b.endpoints {
		c := e.Runs()
		sum.Runs, sum.Crashes, sum.InFlight, sum.Broken = sum.Runs+c.Runs, sum.Crashes+c.Crashes, sum.InFlight+c.InFlight, sum.Broken+c.Broken
		for _, m := range []struct{ to, from map[string]int }{{sum.ByKey, c.ByKey}, {sum.ByToken, c.ByToken}, {sum.SeenByToken, c.SeenByToken}} {
			for k, n := range m.from {
				m.to[k] += n
			}
		}
	}
	return sum
}

// check compares what callers were told with what the endpoints counted.
func (b *bed) check() {
	b.t.Helper()
	is := is.New(b.t)
	c := b.counts()
	for key, n := range c.ByKey {
		if n > 1 {
			b.t.Errorf("key %s ran %d times", key, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := map[string][]string{}
	for _, x := range b.sends {
		tokens[x.key] = append(tokens[x.key], x.token)
	}
	for _, x := range b.sends {
		switch {
		case x.err != nil:
		case x.verdict == keel.NotRun.String():
			if n := c.SeenByToken[x.token]; n > 0 {
				b.t.Errorf("%s was refused as not run (%s), but an endpoint saw it %d times", x.token, x.reason, n)
			}
		case x.verdict == keel.Ran.String():
			is.Equal(c.ByKey[x.key], 1) // said to have run
		case x.ok():
			own := x.answered == x.token || x.key != "" && slices.Contains(tokens[x.key], x.answered)
			is.True(own)                                                                   // the answer is the request's own
			is.True(x.upload != nil || x.checksum == keelstandin.Checksum([]byte(x.body))) // of the request's own body
			is.NoErr(checkPrefix(x))
		}
	}
}

// checkPrefix reports an answer that is not the beginning of the request's own.
// An endpoint that names a wrong length has it cut.
func checkPrefix(x *sent) error {
	return keelstandin.CheckBody(bytes.NewReader(x.data), x.answered, int64(len(x.data)))
}

// serves checks that new requests are answered at every instance, and those
// that were given.
func (b *bed) serves(again ...send) {
	b.t.Helper()
	b.behave(keelstandin.Behaviour{})
	for i := range b.local.Instances {
		again = append(again, send{at: i, method: http.MethodGet, bytes: 1000}, b.keyed(i, fmt.Sprintf("after-%d", i)))
	}
	for _, s := range again {
		tries := 0
		b.until(fmt.Sprintf("%s %s %s is answered", s.method, s.path, s.key), func() bool {
			if s.key != "" {
				s.key = fmt.Sprintf("%s-%d-%d", s.key, len(b.sends), tries) // the one before may have run
				tries++
			}
			x := b.do(s)
			return x.ok() && int64(len(x.data)) == s.bytes
		})
	}
}
