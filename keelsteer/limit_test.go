package keelsteer_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// The only endpoint of an owner names the rate that it accepts, while more requests arrive. It gets no
// more than one and a half times that, and 5 requests, within 4 s; the others are refused as not run. Once
// it names no limit any more it gets them all again.
func TestOwnerKeepsRateLimit(t *testing.T) {
	const limit, window = 4.0, 4 * time.Second
	is := is.New(t)
	var mu sync.Mutex
	var arrivals []time.Time
	limited := true
	e := engineOfOnlyEndpoint(t, func(w http.ResponseWriter) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		if limited {
			w.Header().Set(keelproxy.HeaderRateLimit, fmt.Sprint(limit))
		}
	})
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(arrivals)
	}
	i := 0
	run := func() {
		i++
		if err := runAtOnlyEndpointWithin(t.Context(), e, fmt.Sprint("r", i), 100*time.Millisecond); err != nil {
			is.Equal(keel.VerdictOf(err), keel.NotRun)
		}
	}
	for count() == 0 { // refused until the engine runs
		run()
	}
	for start := time.Now(); time.Since(start) < window; {
		run()
	}
	most := 0
	mu.Lock()
	for k := range arrivals {
		n := 0
		for _, at := range arrivals[k:] {
			if at.Sub(arrivals[k]) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	limited = false
	mu.Unlock()
	is.True(float64(most) <= 1.5*limit*window.Seconds()+5)
	is.True(float64(count()) >= 0.8*limit*window.Seconds())
	for before := count(); count() == before; {
		run()
	}
	for n, before := 0, count(); n < 50; n++ {
		run()
		is.Equal(count(), before+n+1)
	}
}
