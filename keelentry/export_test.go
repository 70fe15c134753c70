package keelentry

import (
	"context"
	"time"

	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// CrashedEndpoints returns the endpoints that count as crashed after the connection of a request to
// each target has broken. reaches is whether the instance reaches other endpoints.
func CrashedEndpoints(ctx context.Context, probe func(context.Context, keelproxy.Target) error, reaches bool, targets []keelproxy.Target) map[string]bool {
	g := newCrashGuard(probe, func(context.Context, map[string]bool) bool { return reaches })
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

// LoseContact makes the runner find that it reaches no endpoint.
func LoseContact(rn *Runner) { rn.contact.confirm(false) }
