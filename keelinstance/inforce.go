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
	// maxAskedDomains bounds the domains of a question.
	maxAskedDomains = 256
	// holdAnswer is how long a voter waits for the version to be in force
	// everywhere before it answers that it is not, and holdStep the time
	// between two looks.
	holdAnswer = 500 * time.Millisecond
	holdStep   = 20 * time.Millisecond
)

// inForceQuestion asks a voter where a version is in force, and carries what it
// knows back. Failure domains report to voters only, so that others know of
// distant ones by digests that may be half a minute old.
type inForceQuestion struct {
	Version keel.Version `cbor:"1,keyasint"`
	// Domains are those that the asking instance knows. The answer is about
	// these and all that the voter knows.
	Domains []keel.DomainName    `cbor:"2,keyasint,omitempty"`
	Answer  *keeloperate.InForce `cbor:"3,keyasint,omitempty"`
}

// Check reports malformed names and too many domains.
func (q *inForceQuestion) Check() keel.Faults {
	var fs keel.Faults
	if len(q.Domains) > maxAskedDomains {
		fs.Add("domains", "has %d entries, the limit is %d", len(q.Domains), maxAskedDomains)
	}
	for _, d := range q.Domains {
		fs = append(fs, keel.CheckName("domains", d)...)
	}
	return fs
}

// InForce implements [keeloperate.Control].
func (c *control) InForce(ctx context.Context, v keel.Version) keeloperate.InForce {
	known := knownDomains(c.in.members.View())
	best := c.in.inForce(v, known)
	if best.Everywhere || c.node != nil {
		return best
	}
	asked := c.askVoters(ctx, inForceQuestion{Version: v, Domains: known})
	for i := range asked {
		if i == 0 || lacking(&asked[i]) < lacking(&best) {
			best = asked[i]
		}
	}
	return best
}

// lacking counts what stands against a version being in force everywhere.
func lacking(f *keeloperate.InForce) int { return len(f.Lagging) + len(f.Unheard) }

// askVoters returns the answers of the voters that answer before ctx ends, or
// before one knows the version to be in force everywhere.
func (c *control) askVoters(ctx context.Context, q inForceQuestion) []keeloperate.InForce {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := voterAnswers{control: c, question: q, enough: cancel}
	var group conc.WaitGroup
	for _, peer := range c.in.voters() {
		group.Go(func() { a.run(ctx, peer) })
	}
	group.Wait()
	return a.list
}

// voterAnswers collects the answers to one question.
type voterAnswers struct {
	control  *control
	question inForceQuestion
	enough   context.CancelFunc

	mu   sync.Mutex
	list []keeloperate.InForce
}

func (a *voterAnswers) run(ctx context.Context, peer netip.AddrPort) {
	f, err := a.control.askVoter(ctx, peer, a.question)
	if err != nil {
		a.control.in.log.WithError(err).Debug("voter did not say where a version is in force")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, *f)
	if f.Everywhere {
		a.enough()
	}
}

func (c *control) askVoter(ctx context.Context, peer netip.AddrPort, q inForceQuestion) (*keeloperate.InForce, error) {
	body, err := keel.EncodeCBOR(&q)
	if err != nil {
		return nil, err
	}
	e, err := c.in.peer.Call(ctx, peer, keel.Envelope{Kind: keel.KindInForce, Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "ask voter at %s", peer)
	}
	var answer inForceQuestion
	if err := keel.DecodeCBOR(e.Body, &answer); err != nil {
		return nil, errors.Wrapf(err, "answer of voter at %s", peer)
	}
	if answer.Answer == nil || answer.Version != q.Version {
		return nil, errors.Errorf("voter at %s gave no answer on version %d", peer, q.Version)
	}
	return answer.Answer, nil
}

// inForceHandler answers questions of other instances.
type inForceHandler struct{ in *Instance }

// HandleMessage takes [keel.KindInForce]. A negative answer is held back a
// little, so that the news need not wait for the next question.
func (h inForceHandler) HandleMessage(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var q inForceQuestion
	if err := keel.DecodeCBOR(e.Body, &q); err != nil {
		return keel.Envelope{}, err
	}
	f := h.in.awaitInForce(ctx, &q)
	body, err := keel.EncodeCBOR(&inForceQuestion{Version: q.Version, Answer: &f})
	return keel.Envelope{Kind: keel.KindInForce, Body: body}, err
}

// awaitInForce looks until the version is in force everywhere, or holdAnswer has
// passed.
func (in *Instance) awaitInForce(ctx context.Context, q *inForceQuestion) keeloperate.InForce {
	ctx, cancel := context.WithTimeout(ctx, holdAnswer)
	defer cancel()
	ticker := time.NewTicker(holdStep)
	defer ticker.Stop()
	for {
		domains := append(knownDomains(in.members.View()), q.Domains...)
		slices.Sort(domains)
		f := in.inForce(q.Version, slices.Compact(domains))
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

// inForce says what this instance knows by itself.
func (in *Instance) inForce(v keel.Version, domains []keel.DomainName) keeloperate.InForce {
	confirmed := in.members.View().Confirm(v, domains)
	f := keeloperate.InForce{Version: v, Everywhere: confirmed.InForce, Unheard: confirmed.Unheard}
	for _, m := range confirmed.Lags {
		f.Lagging = append(f.Lagging, m.Name)
	}
	return f
}

// knownDomains returns the failure domains of a view, the own one among them.
func knownDomains(v *keelmember.View) []keel.DomainName {
	out := []keel.DomainName{v.Self.Domain}
	for _, d := range v.Domains() {
		out = append(out, d.Domain)
	}
	return out
}
