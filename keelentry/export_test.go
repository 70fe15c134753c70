package keelentry

import (
	"context"
	"time"

	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// CrashedEndpoints returns the endpoints that count as crashed after the connection of a request to
// each target has broken.
func CrashedEndpoints(ctx context.Context, probe func(context.Context, keelproxy.Target) error, targets []keelproxy.Target) map[string]bool {
	g := newCrashGuard(probe)
	var broken []brokenRun
	for i, t := range targets {
		broken = append(broken, brokenRun{keelworld.Crash{Request: uint64(i), Endpoint: string(t.ID.Name), Incarnation: 1}, t})
	}
	g.connectionsBroke(broken)
	g.probeBroken(ctx)
	crashed := map[string]bool{}
	_, crashes := g.observed(time.Now(), &keelworld.View{})
	for _, c := range crashes {
		crashed[c.Endpoint] = true
	}
	return crashed
}
