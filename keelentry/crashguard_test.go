package keelentry_test

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelentry"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// Connections to many endpoints break at once. Some of these accept no new connection and don't refuse
// it either, so that their probes take long. The others must not count as crashed for that: an innocent
// request would be blocked.
func TestSlowProbesOfOtherEndpoints(t *testing.T) {
	const hanging, alive = 30, 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var targets []keelproxy.Target
		for i := range hanging {
			targets = append(targets, keelproxy.Target{ID: keel.EndpointID{Name: keel.EndpointName(fmt.Sprint("hanging-", i))}})
		}
		for i := range alive {
			targets = append(targets, keelproxy.Target{ID: keel.EndpointID{Name: keel.EndpointName(fmt.Sprint("alive-", i))}})
		}
		probe := func(ctx context.Context, t keelproxy.Target) error {
			if strings.HasPrefix(string(t.ID.Name), "hanging") {
				<-ctx.Done()
			}
			return ctx.Err()
		}
		crashed := keelentry.CrashedEndpoints(t.Context(), probe, true, targets)
		is.Equal(len(crashed), hanging)
		for id := range crashed {
			is.True(strings.HasPrefix(id, "hanging"))
		}
	})
}

// An instance loses its links to all endpoints, and its connections break. No endpoint has crashed, and
// the requests that were in flight must not be blocked. If it reaches others, they have.
func TestBrokenLinksAreNoCrashes(t *testing.T) {
	is := is.New(t)
	var targets []keelproxy.Target
	for i := range 5 {
		targets = append(targets, keelproxy.Target{ID: keel.EndpointID{Name: keel.EndpointName(fmt.Sprint(i))}})
	}
	refused := func(context.Context, keelproxy.Target) error { return syscall.ECONNREFUSED }
	is.Equal(len(keelentry.CrashedEndpoints(t.Context(), refused, false, targets)), 0)
	is.Equal(len(keelentry.CrashedEndpoints(t.Context(), refused, true, targets)), 5)
	one := func(_ context.Context, t keelproxy.Target) error {
		if t.ID.Name == "0" {
			return nil
		}
		return syscall.ECONNREFUSED
	}
	is.Equal(len(keelentry.CrashedEndpoints(t.Context(), one, false, targets)), 4)
}
