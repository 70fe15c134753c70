package keelmember_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
)

// messageOverheadBytes is the size of a message on the wire besides its body:
// the envelope, the headers of QUIC, UDP and IP, and the message's share of an
// acknowledgement.
const messageOverheadBytes = 100

// BenchmarkIdle measures the cost of membership per instance without changes,
// with the capacity of four services. Each iteration is 30 s of simulated time.
// cpu-us is the time spent in cores and the codec per instance and simulated
// second.
func BenchmarkIdle(b *testing.B) {
	const simulated = 30 * second
	sizes := []struct{ domains, size int }{
		{6, 3}, {6, 9}, {6, 18}, {6, 35}, {12, 3}, {23, 3}, {46, 3}, {46, 9},
	}
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("domains=%d/size=%d", sz.domains, sz.size), func(b *testing.B) {
			s := newSim(1, sz.domains, sz.size)
			for _, n := range s.nodes {
				n.local = keelmember.Local{Version: 8500, Capacity: fourServices, QuorumBacked: n.inst.Voter}
			}
			s.run(60 * second)
			for _, n := range s.nodes {
				n.sent, n.bytes, n.received, n.bytesIn = 0, 0, 0, 0
			}
			b.ResetTimer()
			for b.Loop() {
				s.run(simulated)
			}
			seconds := float64(b.N) * simulated.Seconds()
			var most, sum float64
			var messages int
			for _, n := range s.nodes {
				bytes := float64(n.bytes+n.bytesIn+(n.sent+n.received)*messageOverheadBytes) / seconds
				most, sum = max(most, bytes), sum+bytes
				messages = max(messages, n.sent+n.received)
			}
			b.ReportMetric(sum/float64(len(s.nodes)), "mean-B/s")
			b.ReportMetric(most, "most-B/s")
			b.ReportMetric(float64(messages)/seconds, "most-msg/s")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/seconds/float64(len(s.nodes)), "cpu-us")
			b.ReportMetric(0, "ns/op")
		})
	}
}

var fourServices = []keelmember.ServiceCapacity{
	{Service: "archives", Slots: 12, Free: 7, QueueDelay: keel.Duration(3 * time.Millisecond)},
	{Service: "fees", Slots: 12, Free: 9},
	{Service: "gallery", Slots: 24, Free: 11},
	{Service: "scores", Slots: 12, Free: 12},
}
