package keelinstance_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelstandin"
)

// BenchmarkSilentRecovery measures the time until a read is answered that starts
// just after all open connections to the endpoints have gone silent. New
// connections work.
func BenchmarkSilentRecovery(b *testing.B) {
	c := newCluster(b, 3)
	var waits []time.Duration
	for i := 0; b.Loop(); i++ {
		for range 12 {
			c.do(callerRequest{instance: i % 3, method: http.MethodGet, bytes: 1000}) // opens connections
		}
		c.setBehaviour(keelstandin.Behaviour{SilenceOpen: true})
		start := time.Now()
		if x := c.do(callerRequest{instance: i % 3, method: http.MethodGet, bytes: 1000}); !x.ok() {
			b.Fatalf("read has status %d, verdict %q, error %v", x.status, x.verdict, x.err)
		}
		waits = append(waits, time.Since(start))
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(waits[len(waits)-1].Milliseconds()), "max-ms")
}
