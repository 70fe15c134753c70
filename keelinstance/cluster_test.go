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

// cluster is a failure domain of three instances with endpoints of one service.
// All of them communicate over real sockets.
type cluster struct {
	t         testing.TB
	ctx       context.Context
	local     *keellocal.System
	endpoints []*keelstandin.Endpoint
	client    *http.Client

	mu        sync.Mutex
	exchanges []*callerExchange
}

// callerRequest is a request that a test sends as a caller.
type callerRequest struct {
	// instance is the index of the instance that receives the request.
	instance     int
	method, path string
	// key makes it an at-most-once request.
	key     string
	body    string
	bytes   int64
	timeout time.Duration
	// upload is sent instead of body.
	upload io.Reader
}

// callerExchange is a request with the result that its caller received.
type callerExchange struct {
	callerRequest
	token       string
	err         error
	status      int
	verdict     string
	reason      keel.Reason
	answerToken string // token of the request that the answer was made for
	checksum    string
	data        []byte
}

func (s *callerExchange) ok() bool { return s.err == nil && s.status == http.StatusOK }

// clusterTimeout limits a whole test.
const clusterTimeout = 5 * time.Minute

func newCluster(t testing.TB, endpoints int) *cluster {
	t.Helper()
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	instances := []keellocal.InstanceConfig{
		{Name: "i-1", Domain: "d", Region: "r", Voter: true},
		{Name: "i-2", Domain: "d", Region: "r"},
		{Name: "i-3", Domain: "d", Region: "r"},
	}
	local, err := keellocal.New(keellocal.Config{Instances: instances, Dir: t.TempDir(), Log: log})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	// On reused connections, the client may resend a request on its own. The
	// tests count each send, so it uses a new connection for each request.
	b := &cluster{t: t, ctx: ctx, local: local, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
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
	is.NoErr(local.Declare(ctx, clusterDeclarations(instances)))
	for i := range endpoints {
		name := keel.EndpointName(fmt.Sprintf("e-%d", i+1))
		e, err := keelstandin.New(keelstandin.Config{Service: "pages", Name: name, Listen: loopback, AnnounceTo: announceTo, Log: log})
		is.NoErr(err)
		b.endpoints = append(b.endpoints, e)
		group.Go(func() { _ = e.Run(ctx) })
	}
	for i := range local.Instances {
		b.waitUntil("every endpoint is in the directory", func() bool { return len(b.dump(i).Steering.Endpoints) == endpoints })
		b.waitUntil("the instance serves", func() bool { return b.do(callerRequest{instance: i, method: http.MethodGet}).ok() })
		b.waitUntil("the instance claims", func() bool { return b.do(b.keyedRequest(i, fmt.Sprintf("warm-%d", i))).ok() })
	}
	return b
}

// clusterDeclarations returns declarations by which POST requests run at most
// once.
func clusterDeclarations(instances []keellocal.InstanceConfig) *keel.Declarations {
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
	for _, in := range instances {
		d.Instances = append(d.Instances, keel.RegisteredInstance{Name: in.Name, Domain: in.Domain})
	}
	return d
}

// waitUntil polls until reached returns true, and fails the test if ctx ends
// first.
func (b *cluster) waitUntil(what string, reached func() bool) {
	b.t.Helper()
	for !reached() {
		if !keellocal.Pause(b.ctx) {
			b.t.Fatalf("condition not reached: %s", what)
		}
	}
}

// dump returns the state of instance i, or an empty one if it can't be read.
func (b *cluster) dump(i int) *keelinstance.Dump {
	d, err := b.local.Dump(b.ctx, i)
	if err != nil {
		return &keelinstance.Dump{}
	}
	return d
}

// keyedRequest returns an at-most-once request with a body of its own.
func (b *cluster) keyedRequest(at int, key string) callerRequest {
	return callerRequest{instance: at, method: http.MethodPost, key: key, body: "body of " + key, bytes: 2000}
}

// setBehaviour sets the behaviour of every endpoint.
func (b *cluster) setBehaviour(v keelstandin.Behaviour) {
	for _, e := range b.endpoints {
		e.SetBehaviour(v)
	}
}

// do sends a request, reads its answer and records both.
func (b *cluster) do(s callerRequest) *callerExchange {
	x := &callerExchange{callerRequest: s}
	b.mu.Lock()
	x.token = fmt.Sprintf("t%d", len(b.exchanges))
	b.exchanges = append(b.exchanges, x)
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
	x.answerToken, x.checksum = resp.Header.Get(keelstandin.HeaderToken), resp.Header.Get(keelstandin.HeaderChecksum)
	if x.data, x.err = io.ReadAll(resp.Body); x.verdict != "" && x.err == nil {
		var refusal keel.Refusal
		x.err = json.Unmarshal(x.data, &refusal)
		x.reason = refusal.Reason
	}
	return x
}

func (b *cluster) request(x *callerExchange) (*http.Request, error) {
	path := x.path
	if path == "" {
		path = "/"
	}
	uri := fmt.Sprintf("http://%s%s?bytes=%d", b.local.Instances[x.instance].Addresses().Caller, path, x.bytes)
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

// counts returns the sums of the counts of all endpoints.
func (b *cluster) counts() keelstandin.Counts {
	sum := keelstandin.Counts{ByKey: map[string]int{}, ByToken: map[string]int{}, SeenByToken: map[string]int{}}
	for _, e := range b.endpoints {
		c := e.Counts()
		sum.Runs, sum.Crashes, sum.InFlight, sum.Broken = sum.Runs+c.Runs, sum.Crashes+c.Crashes, sum.InFlight+c.InFlight, sum.Broken+c.Broken
		for _, m := range []struct{ to, from map[string]int }{{sum.ByKey, c.ByKey}, {sum.ByToken, c.ByToken}, {sum.SeenByToken, c.SeenByToken}} {
			for k, n := range m.from {
				m.to[k] += n
			}
		}
	}
	return sum
}

// checkOutcomes compares the results that callers received with the counts of the
// endpoints.
func (b *cluster) checkOutcomes() {
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
	for _, x := range b.exchanges {
		tokens[x.key] = append(tokens[x.key], x.token)
	}
	for _, x := range b.exchanges {
		switch {
		case x.err != nil:
		case x.verdict == keel.NotRun.String():
			if n := c.SeenByToken[x.token]; n > 0 {
				b.t.Errorf("%s was refused as not run (%s), but endpoints received it %d times", x.token, x.reason, n)
			}
		case x.verdict == keel.Ran.String():
			is.Equal(c.ByKey[x.key], 1) // reported as run
		case x.ok():
			own := x.answerToken == x.token || x.key != "" && slices.Contains(tokens[x.key], x.answerToken)
			is.True(own)                                                                   // the answer belongs to the request
			is.True(x.upload != nil || x.checksum == keelstandin.Checksum([]byte(x.body))) // computed from the body that was sent
			is.NoErr(checkPrefix(x))
		}
	}
}

// checkPrefix returns an error if the answer is not a prefix of the expected one.
// An answer of an endpoint that declares a wrong length may be cut off.
func checkPrefix(x *callerExchange) error {
	return keelstandin.CheckBody(bytes.NewReader(x.data), x.answerToken, int64(len(x.data)))
}

// checkServing restores the default behaviour of the endpoints and checks that
// every instance answers new requests, and that the given requests are answered.
func (b *cluster) checkServing(again ...callerRequest) {
	b.t.Helper()
	b.setBehaviour(keelstandin.Behaviour{})
	for i := range b.local.Instances {
		again = append(again, callerRequest{instance: i, method: http.MethodGet, bytes: 1000}, b.keyedRequest(i, fmt.Sprintf("after-%d", i)))
	}
	for _, s := range again {
		tries := 0
		b.waitUntil(fmt.Sprintf("%s %s %s is answered", s.method, s.path, s.key), func() bool {
			if s.key != "" {
				s.key = fmt.Sprintf("%s-%d-%d", s.key, len(b.exchanges), tries) // the previous attempt may have run
				tries++
			}
			x := b.do(s)
			return x.ok() && int64(len(x.data)) == s.bytes
		})
	}
}
