package keelentry_test

import (
	"context"
	"fmt"
	"strings"
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
		crashed := keelentry.CrashedEndpoints(t.Context(), probe, targets)
		is.Equal(len(crashed), hanging)
		for id := range crashed {
			is.True(strings.HasPrefix(id, "hanging"))
		}
	})
}
