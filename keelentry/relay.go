package keelentry

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// maxRelays is the number of instances to which a request is relayed, one after the
	// other, until one takes it.
	maxRelays = 3
	// maxRefusalBytes limits the body of a refusal of another instance.
	maxRefusalBytes = 4 << 10
)

// mayRelay reports whether the request can be relayed: no instance has relayed it here, and no
// endpoint may have run it.
func (t *task) mayRelay(last *keel.Refusal) bool {
	return !t.request.Relayed && (last == nil || last.Verdict == keel.NotRun && !t.streamed)
}

// relay sends the request to other instances, at their caller ports, until one takes it. It
// returns false if none does, in which case the request has not run. A streamed body can be
// sent only once.
func (t *task) relay(ctx context.Context) (a *keelproxy.Answer, refusal *keel.Refusal, taken bool) {
	t.relayed = true
	for _, peer := range t.relayPeers() {
		if ctx.Err() != nil || !t.streamed && t.request.CallerLeft() {
			break
		}
		if gone := t.refresh(); gone != nil {
			return nil, gone, true
		}
		if !t.mayRelayTo(peer) {
			continue // it has left, or the route has other homes now
		}
		t.attempted = append(t.attempted, peer.String())
		a, refusal, taken = t.relayTo(ctx, peer)
		t.outcomes = append(t.outcomes, relayOutcome(taken))
		if taken || t.streamed {
			return a, refusal, true
		}
	}
	return nil, refusal, false
}

func relayOutcome(taken bool) string {
	if taken {
		return "relayed"
	}
	return "not_relayed"
}

// relayPeers returns the caller ports of instances that reach endpoints, as a look-up would name
// them. Requests with home regions stay in these: the caller may have come from another region
// than that of this instance.
func (t *task) relayPeers() []netip.AddrPort {
	cfg := &t.runner.cfg.Pool
	peers := keelplace.Nearest(t.relayNodes(), cfg.Location.Domain, cfg.Location.Region, rand.Int())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxRelays)]
}

// relayNodes returns the instances to which the request may be relayed by the current view.
func (t *task) relayNodes() []keelworld.Node {
	homes := t.spec.HomeRegions
	return slices.DeleteFunc(slices.Clone(t.view.Nodes), func(n keelworld.Node) bool {
		return n.Name == t.runner.cfg.Pool.Self || n.Isolated ||
			len(homes) > 0 && !slices.Contains(homes, n.Region)
	})
}

// mayRelayTo reports whether the request may be relayed to an instance by the current view.
func (t *task) mayRelayTo(peer netip.AddrPort) bool {
	return slices.ContainsFunc(t.relayNodes(), func(n keelworld.Node) bool { return n.Caller == peer })
}

// relayTo sends the request to one instance. taken is false if that did not send it to an
// endpoint for a reason that another instance may not have.
func (t *task) relayTo(ctx context.Context, peer netip.AddrPort) (a *keelproxy.Answer, refusal *keel.Refusal, taken bool) {
	r := t.request
	if t.body != nil {
		r.Body = bytes.NewReader(t.body)
		r.ContentLength = int64(len(t.body))
	}
	a, err := t.runner.cfg.Client.Dispatch(ctx, keelproxy.Target{Address: peer, Relays: true}, r)
	if err != nil {
		refusal = keelproxy.AsRefusal(err)
		if refusal.Reason == keel.ReasonEndpointFailed {
			refusal = keel.Refuse(refusal.Verdict, keel.ReasonPeerFailed, 0, "relay to instance %s: %s", peer, refusal.Detail)
		}
		return nil, refusal, refusal.Verdict != keel.NotRun || ctx.Err() != nil
	}
	genuine := t.runner.cfg.ReadFacts(a).Genuine
	if !genuine && a.Status == http.StatusServiceUnavailable {
		refusal = readRefusal(a)
		return nil, refusal, refusal.Reason != keel.ReasonLeaving && refusal.Reason != keel.ReasonNoEndpoint
	}
	if err := bufferAnswer(a); err != nil {
		keelproxy.Discard(a.Body)
		return nil, keel.Refuse(keel.MayHaveRun, keel.ReasonPeerFailed, 0, "instance %s: %v", peer, err), true
	}
	return a, nil, true
}

// readRefusal returns the refusal of another instance, whose status says that the request has not
// run.
func readRefusal(a *keelproxy.Answer) *keel.Refusal {
	data, err := io.ReadAll(io.LimitReader(a.Body, maxRefusalBytes))
	_ = a.Body.Close() // the connection is not reused after a failed close
	refusal := &keel.Refusal{}
	if err == nil {
		err = keel.DecodeJSON(data, refusal)
	}
	if err != nil {
		refusal = keel.Refuse(keel.NotRun, keel.ReasonOverload, unconfirmedRetryAfter, "refused by another instance")
	}
	refusal.Verdict = keel.NotRun
	return refusal
}
