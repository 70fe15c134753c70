package keelinstance_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelstandin"
)

// BenchmarkSilentRecovery gives the time from the start of a read, when all open
// connections to all endpoints have just gone silent and fresh ones work, until
// the read is answered.
func BenchmarkSilentRecovery(b *testing.B) {
	v := newBed(b, 3)
	var waits []time.Duration
	for i := 0; b.Loop(); i++ {
		for range 12 {
			v.do(send{at: i % 3, method: http.MethodGet, bytes: 1000}) // opens connections
		}
		v.behave(keelstandin.Behaviour{SilenceOpen: true})
		start := time.Now()
		if x := v.do(send{at: i % 3, method: http.MethodGet, bytes: 1000}); !x.ok() {
			b.Fatalf("read has status %d, verdict %q, error %v", x.status, x.verdict, x.err)
		}
		waits = append(waits, time.Since(start))
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(waits[len(waits)-1].Milliseconds()), "max-ms")
}
