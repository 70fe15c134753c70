package keelinstance_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// BenchmarkProxy compares a request through the instance that owns the endpoint
// with one through a minimal proxy and one sent directly to the endpoint. The
// variant lookup measures look-ups, which the instance answers itself. Callers,
// proxy and endpoint run in one process, so the processor time of a proxy is its
// cpu-us/op minus that of direct.
func BenchmarkProxy(b *testing.B) {
	endpoint := serveEndpoint(b)
	variants := []struct {
		name string
		addr netip.AddrPort
	}{
		{"direct", endpoint},
		{"bare", serveBareProxy(b, endpoint)},
		{"instance", serveInstance(b, endpoint)},
	}
	variants = append(variants, variants[len(variants)-1])
	variants[len(variants)-1].name = "lookup"
	for _, conns := range []int{1, 64, 700} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("%s/conns=%d", v.name, conns), func(b *testing.B) { benchmarkRequests(b, v.addr, variantPaths[v.name], conns) })
		}
	}
}

func serveHTTP(b *testing.B, h fasthttp.RequestHandler) netip.AddrPort {
	ln, err := net.Listen("tcp", loopback.String())
	if err != nil {
		b.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true}
	b.Cleanup(func() { _ = ln.Close() })
	go s.Serve(ln) //nolint:errcheck // ends with the listener
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func serveEndpoint(b *testing.B) netip.AddrPort {
	body := make([]byte, 1024)
	return serveHTTP(b, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(keelproxy.HeaderRequestID, ctx.Request.Header.Peek(keelproxy.HeaderRequestID))
		ctx.SetBody(body)
	})
}

func serveBareProxy(b *testing.B, endpoint netip.AddrPort) netip.AddrPort {
	c := &fasthttp.HostClient{Addr: endpoint.String(), MaxConns: 4096}
	return serveHTTP(b, func(ctx *fasthttp.RequestCtx) {
		if err := c.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	})
}

func serveInstance(b *testing.B, endpoint netip.AddrPort) netip.AddrPort {
	log := logrus.New()
	log.SetOutput(io.Discard)
	system, err := keellocal.New(keellocal.Config{
		Instances: []keellocal.InstanceConfig{{Name: "a-1", Domain: "a", Region: "r", Voter: true}}, Dir: b.TempDir(), Log: log,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	system.Run(ctx, &group)
	b.Cleanup(func() { cancel(); group.Wait() })
	declareOne(b, system, endpoint)
	return system.Instances[0].Addresses().Caller
}

// declareOne declares one service with one endpoint, and returns once the instance
// serves it.
func declareOne(b *testing.B, system *keellocal.System, endpoint netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := system.Declare(ctx, &keel.Declarations{
		Regions:   []keel.Region{{Name: "r"}},
		Domains:   []keel.FailureDomain{{Name: "a", Region: "r"}},
		Services:  []keel.Service{{Name: "s", AnnounceFrom: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}},
		Instances: []keel.RegisteredInstance{{Name: "a-1", Domain: "a"}},
		Selectors: []keel.Selector{{
			Name: "s", Service: "s", Class: keel.ClassLive, Deadline: keel.Duration(10 * time.Second),
			Cap: keel.ShiftCap{Percent: 10, Window: keel.Duration(10 * time.Second)},
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	in := system.Instances[0]
	body := fmt.Sprintf(`{"service":"s","name":"e","address":%q,"slots":2000,"incarnation":1,"state":"serving","ttl":"1m"}`, endpoint)
	announce := "http://" + in.Addresses().Endpoint.String() + "/v1/endpoints/announce"
	for ctx.Err() == nil {
		call(announce, "POST", body)
		if call("http://"+in.Addresses().Caller.String()+"/", "GET", "") == fasthttp.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the instance does not serve")
}

// call sends a request and returns the status, or 0 if it failed.
func call(uri, method, body string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(uri)
	req.Header.SetMethod(method)
	req.Header.Set(keelproxy.HeaderService, "s")
	req.SetBodyString(body)
	if fasthttp.DoTimeout(req, resp, time.Second) != nil {
		return 0
	}
	return resp.StatusCode()
}

// variantPaths holds the request targets of the variants that don't request "/".
var variantPaths = map[string]string{"lookup": keelproxy.LookupPath + "?service=s"}

func benchmarkRequests(b *testing.B, addr netip.AddrPort, path string, conns int) {
	c := &fasthttp.HostClient{Addr: addr.String(), MaxConns: conns}
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	hist := hdrhistogram.New(1, 60_000_000, 3)
	b.ResetTimer()
	before := cpuTime()
	for w := range conns {
		share := b.N / conns
		if w < b.N%conns {
			share++
		}
		wg.Go(func() {
			own := hdrhistogram.New(1, 60_000_000, 3)
			sendAll(b, c, path, share, own)
			mu.Lock()
			defer mu.Unlock()
			hist.Merge(own)
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-us")
}

func sendAll(b *testing.B, c *fasthttp.HostClient, path string, n int, hist *hdrhistogram.Histogram) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.Addr + "/" + strings.TrimPrefix(path, "/"))
	req.Header.Set(keelproxy.HeaderService, "s")
	for range n {
		start := time.Now()
		if err := c.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			b.Errorf("status %d, error %v, body %s", resp.StatusCode(), err, resp.Body())
			return
		}
		_ = hist.RecordValue(time.Since(start).Microseconds())
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
