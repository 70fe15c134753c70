package keelpeer_test

import (
	"context"
	"io"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// newMesh returns n transports that run until the benchmark ends.
func newMesh(b *testing.B, n int) []*keelpeer.Transport {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	names := make([]keel.InstanceName, n)
	for i := range names {
		names[i] = keel.InstanceName("m" + strconv.Itoa(i))
	}
	keys, err := keelkey.Ephemeral(names...)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	b.Cleanup(func() {
		cancel()
		group.Wait()
	})
	members := make([]*keelpeer.Transport, n)
	for i, name := range names {
		m, err := keelpeer.New(keelpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys[name], Log: log})
		if err != nil {
			b.Fatal(err)
		}
		(&fixture{notes: make(chan keel.Envelope, 1)}).register(m)
		m.Register(kindNote, handlerFunc(func(context.Context, keel.Envelope) (keel.Envelope, error) {
			return keel.Envelope{}, nil
		}))
		group.Go(func() { _ = m.Run(ctx) })
		members[i] = m
	}
	return members
}

// BenchmarkIdle measures the cost of the connections of a failure domain, with
// a heartbeat of 100 bytes each second from every member to every other one,
// and without heartbeats. KEEL_IDLE sets the duration in seconds.
func BenchmarkIdle(b *testing.B) {
	seconds, err := strconv.Atoi(os.Getenv("KEEL_IDLE"))
	if err != nil {
		b.Skip("KEEL_IDLE is not set")
	}
	for _, n := range []int{5, 10, 20, 35} {
		for _, heartbeats := range []bool{false, true} {
			b.Run(strconv.Itoa(n)+"/heartbeats="+strconv.FormatBool(heartbeats), func(b *testing.B) {
				measureIdle(b, newMesh(b, n), time.Duration(seconds)*time.Second, heartbeats)
			})
		}
	}
}

// settleTime is how long connections are left idle before the measurement.
const settleTime = 8 * time.Second

func measureIdle(b *testing.B, members []*keelpeer.Transport, length time.Duration, heartbeats bool) {
	ctx := context.Background()
	for i, m := range members {
		for _, other := range members[:i] {
			if _, err := m.Call(ctx, other.Addr(), keel.Envelope{Kind: kindEcho}); err != nil {
				b.Fatal(err)
			}
		}
	}
	time.Sleep(settleTime) // path MTU discovery runs first
	before, cpu := wireBytes(members), processTime(b)
	body := make([]byte, 100)
	for range int(length / time.Second) {
		for _, m := range members {
			for _, other := range members {
				if heartbeats && m != other {
					_ = m.Send(ctx, other.Addr(), keel.Envelope{Kind: kindNote, Body: body})
				}
			}
		}
		time.Sleep(time.Second)
	}
	node := length.Seconds() * float64(len(members))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(wireBytes(members)-before)/node, "bytes/s/node")
	b.ReportMetric(100*(processTime(b)-cpu).Seconds()/node, "%core/node")
}

// processTime returns the CPU time of the process.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// udpHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const udpHeaderBytes = 28

// wireBytes returns the bytes that all members have sent, including UDP and IP
// headers.
func wireBytes(members []*keelpeer.Transport) uint64 {
	var total uint64
	for _, m := range members {
		for _, l := range m.Connections() {
			total += l.BytesSent + l.PacketsSent*udpHeaderBytes
		}
	}
	return total
}

// BenchmarkCall measures sequential calls over loopback.
func BenchmarkCall(b *testing.B) {
	members := newMesh(b, 2)
	ctx := context.Background()
	for b.Loop() {
		if _, err := members[0].Call(ctx, members[1].Addr(), keel.Envelope{Kind: kindEcho, Body: make([]byte, 100)}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream measures a stream with a short request and answer.
func BenchmarkStream(b *testing.B) {
	members := newMesh(b, 2)
	ctx := context.Background()
	for b.Loop() {
		s, err := members[0].Open(ctx, members[1].Addr(), keel.Envelope{Kind: kindEcho})
		if err != nil {
			b.Fatal(err)
		}
		_ = s.CloseWrite()
		if _, err := io.ReadAll(s); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUpload measures the throughput of one stream.
func BenchmarkUpload(b *testing.B) {
	members := newMesh(b, 2)
	s, err := members[0].Open(context.Background(), members[1].Addr(), keel.Envelope{Kind: kindEcho})
	if err != nil {
		b.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() { _, _ = io.Copy(io.Discard, s) })
	chunk := make([]byte, 64<<10)
	b.SetBytes(int64(len(chunk)))
	for b.Loop() {
		if _, err := s.Write(chunk); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.CloseWrite()
	group.Wait()
}
