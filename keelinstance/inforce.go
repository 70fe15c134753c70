package keelinstance

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/sourcegraph/conc"
)

const (
	// maxQueryDomains limits the number of domains in a query.
	maxQueryDomains = 256
	// inForceWait is how long a voter waits for the version to be in force
	// everywhere before it sends a negative answer, and inForcePoll is the
	// interval between its checks.
	inForceWait = 500 * time.Millisecond
	inForcePoll = 20 * time.Millisecond
)

// inForceQuery is the message that asks a voter where a version is in force, and
// the voter's answer. Failure domains report their versions directly to voters
// only: other instances have digests of remote domains that may be 30 s old.
type inForceQuery struct {
	Version keel.Version `cbor:"1,keyasint"`
	// Domains are the failure domains in the view of the querying instance. The
	// answer covers these and those in the view of the voter.
	Domains []keel.DomainName    `cbor:"2,keyasint,omitempty"`
	Answer  *keeloperate.InForce `cbor:"3,keyasint,omitempty"`
}

// Check reports malformed domain names and too many domains.
func (q *inForceQuery) Check() keel.Faults {
	var fs keel.Faults
	if len(q.Domains) > maxQueryDomains {
		fs.Add("domains", "has %d entries, the limit is %d", len(q.Domains), maxQueryDomains)
	}
	for _, d := range q.Domains {
		fs = append(fs, keel.CheckName("domains", d)...)
	}
	return fs
}

// InForce implements [keeloperate.Control].
func (c *control) InForce(ctx context.Context, v keel.Version) keeloperate.InForce {
	known := knownDomains(c.in.members.View())
	best := c.in.localInForce(v, known)
	if best.Everywhere || c.node != nil {
		return best
	}
	answers := c.queryVoters(ctx, inForceQuery{Version: v, Domains: known})
	// The first answer of a voter replaces the local result even if it confirms
	// less, since failure domains report their versions directly to voters.
	for i := range answers {
		if i == 0 || unconfirmedCount(&answers[i]) < unconfirmedCount(&best) {
			best = answers[i]
		}
	}
	return best
}

// unconfirmedCount returns how many instances and domains have not confirmed the
// version.
func unconfirmedCount(f *keeloperate.InForce) int { return len(f.Lagging) + len(f.Unreported) }

// queryVoters returns the answers received until ctx ends, every voter has been
// queried, or one answers that the version is in force everywhere.
func (c *control) queryVoters(ctx context.Context, q inForceQuery) []keeloperate.InForce {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := voterAnswers{control: c, query: q, cancel: cancel}
	var group conc.WaitGroup
	for _, peer := range c.in.voterAddrs() {
		group.Go(func() { a.collect(ctx, peer) })
	}
	group.Wait()
	return a.answers
}

// voterAnswers collects the answers of the voters to one query.
type voterAnswers struct {
	control *control
	query   inForceQuery
	cancel  context.CancelFunc

	mu      sync.Mutex
	answers []keeloperate.InForce
}

func (a *voterAnswers) collect(ctx context.Context, peer netip.AddrPort) {
	f, err := a.control.queryVoter(ctx, peer, a.query)
	if err != nil {
		a.control.in.log.WithError(err).Debug("in-force query to a voter failed")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, *f)
	if f.Everywhere {
		a.cancel()
	}
}

func (c *control) queryVoter(ctx context.Context, peer netip.AddrPort, q inForceQuery) (*keeloperate.InForce, error) {
	body, err := keel.EncodeCBOR(&q)
	if err != nil {
		return nil, err
	}
	e, err := c.in.peer.Call(ctx, peer, keel.Envelope{Kind: keel.KindInForce, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "query voter at %s", peer)
	}
	var answer inForceQuery
	if err := keel.DecodeCBOR(e.Body, &answer); err != nil {
		return nil, errors.Wrapf(err, "decode answer of voter at %s", peer)
	}
	if answer.Answer == nil || answer.Version != q.Version {
		return nil, errors.Errorf("voter at %s sent no answer about version %d", peer, q.Version)
	}
	return answer.Answer, nil
}

// inForceHandler answers queries of other instances.
type inForceHandler struct{ in *Instance }

// HandleMessage handles [keel.KindInForce]. It delays a negative answer by up to
// inForceWait, so that a version that comes into force meanwhile is reported
// without another query.
func (h inForceHandler) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var q inForceQuery
	if err := keel.DecodeCBOR(e.Body, &q); err != nil {
		return keel.Envelope{}, err
	}
	f := h.in.awaitInForce(ctx, &q)
	body, err := keel.EncodeCBOR(&inForceQuery{Version: q.Version, Answer: &f})
	return keel.Envelope{Kind: keel.KindInForce, Body: body}, err
}

// awaitInForce polls until the version is in force everywhere, inForceWait has
// passed or ctx has ended, and returns the last result.
func (in *Instance) awaitInForce(ctx context.Context, q *inForceQuery) keeloperate.InForce {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	for {
		domains := append(knownDomains(in.members.View()), q.Domains...)
		slices.Sort(domains)
		f := in.localInForce(q.Version, slices.Compact(domains))
		if f.Everywhere {
			return f
		}
		select {
		case <-ctx.Done():
			return f
		case <-ticker.C:
		}
	}
}

// localInForce returns where the version is in force according to the membership
// view of this instance.
func (in *Instance) localInForce(v keel.Version, domains []keel.DomainName) keeloperate.InForce {
	confirmed := in.members.View().Confirm(v, domains)
	f := keeloperate.InForce{Version: v, Everywhere: confirmed.InForce, Unreported: confirmed.Unreported}
	for _, m := range confirmed.Lags {
		f.Lagging = append(f.Lagging, m.Name)
	}
	return f
}

// knownDomains returns the failure domains of a view, including the own one.
func knownDomains(v *keelmember.View) []keel.DomainName {
	out := []keel.DomainName{v.Self.Domain}
	for _, d := range v.Domains() {
		out = append(out, d.Domain)
	}
	return out
}
