package keelsync

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// lateAnswerTimeout is how long the answer to a poll is still awaited while other
	// voters are polled.
	lateAnswerTimeout = 2 * time.Second
	// maxPendingPolls limits the polls whose answers are awaited at the same time.
	maxPendingPolls = 3
)

// pendingPoll is one poll of a voter. On a congested link it stays pending after its
// time limit, while other voters are polled, and the first answer counts.
type pendingPoll struct {
	f       *Follower
	ctx     context.Context
	cancel  context.CancelFunc
	voter   keel.InstanceName
	to      netip.AddrPort
	request feedRequest
	sentAt  time.Time
	limit   time.Duration

	// answer and err are set when the poll ends.
	answer feedAnswer
	err    error
}

// run sends the poll and reports its end to the goroutine of [Follower.Run].
func (p *pendingPoll) run() {
	p.err = p.call()
	select {
	case p.f.polled <- p:
	case <-p.ctx.Done():
	}
}

func (p *pendingPoll) call() error {
	body, err := keel.EncodeCBOR(&p.request)
	if err != nil {
		return err
	}
	e, err := p.f.cfg.Network.Call(p.ctx, p.to, keel.Envelope{Kind: keel.KindFeed, Body: body})
	if err != nil {
		return err
	}
	return keel.DecodeCBOR(e.Body, &p.answer)
}

// confirmedAt returns the earliest time at which the voter can have found that the
// answer is current: the request took no time to arrive then.
func (p *pendingPoll) confirmedAt() time.Time { return p.sentAt.Add(p.answer.Held) }

// Run polls the voters until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer f.calls.Wait()
	defer f.cancelPending()
	for ctx.Err() == nil {
		err := f.poll(ctx)
		f.logContact(err)
		if err != nil && ctx.Err() == nil {
			f.cfg.Log.WithError(err).Debug("poll of a voter failed")
			f.failures++
			select {
			case <-ctx.Done():
			case <-time.After(f.retryDelay()):
			}
		}
	}
	return nil
}

// poll requests updates from one voter, waits for its answer or that to an earlier
// poll, and applies it.
func (f *Follower) poll(ctx context.Context) error {
	p, err := f.startPoll(ctx)
	if err != nil {
		return err
	}
	timer := time.NewTimer(p.limit)
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done(): // ctx ended, or self has changed
			return errors.Wrapf(p.ctx.Err(), "poll voter %s", p.voter)
		case <-timer.C:
			return f.failPoll(p, context.DeadlineExceeded)
		case ended := <-f.polled:
			switch {
			case !slices.Contains(f.pending, ended):
			case ended.err == nil:
				f.download.arrived(ended.request.PartBytes)
				f.contact.answerTook = time.Since(ended.sentAt)
				f.cancelPending()
				return f.applyAnswer(ended)
			case ended == p:
				p.cancel()
				return f.failPoll(p, p.err)
			}
		}
	}
}

// startPoll sends a poll to the voter that is due. If too many are pending, the
// oldest one is given up.
func (f *Follower) startPoll(ctx context.Context) (*pendingPoll, error) {
	wait, limit := f.pollTimes()
	p := &pendingPoll{f: f, sentAt: time.Now(), limit: limit}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.voter = f.download.from
	if p.voter == "" {
		p.voter = f.chooseVoter(p.sentAt)
	}
	to, ok := PeerAddress(p.voter, f.cfg.PeerPort)
	if !ok {
		f.failedAt[p.voter] = p.sentAt
		return nil, errors.Errorf("name of voter %q is not an IP address", p.voter)
	}
	p.to = to
	p.request = feedRequest{
		Node: f.self, After: f.state.Index(), Wait: wait,
		PartBytes: f.download.partBytes, Blob: f.download.blob.id, Offset: len(f.download.blob.data),
	}
	if f.cfg.Observed != nil {
		p.request.Answered, p.request.Crashes = f.cfg.Observed(f.view.Load())
	}
	if f.cfg.RateLimits != nil {
		p.request.RateLimits = f.cfg.RateLimits(f.view.Load())
	}
	p.ctx, p.cancel = context.WithTimeout(ctx, limit+lateAnswerTimeout)
	f.cancelPoll = p.cancel
	if len(f.pending) == maxPendingPolls {
		f.pending[0].cancel()
		f.pending = f.pending[1:]
	}
	f.pending = append(f.pending, p)
	f.calls.Go(p.run)
	return p, nil
}

// failPoll records that the answer to a poll did not arrive in time, or that it
// failed.
func (f *Follower) failPoll(p *pendingPoll, err error) error {
	f.markFailed(p.voter)
	f.download.fail()
	return errors.Wrapf(err, "poll voter %s", p.voter)
}

// cancelPending gives up all pending polls.
func (f *Follower) cancelPending() {
	for _, p := range f.pending {
		p.cancel()
	}
	f.pending = nil
}

// pollTimes returns how long a voter may hold the next poll, and its time limit.
func (f *Follower) pollTimes() (wait, limit time.Duration) {
	shift := f.download.limitShift()
	switch {
	case f.download.active():
		return 0, partAnswerTimeout << min(shift, 1)
	case f.state.Index() == 0:
		return firstFeedWait, firstFeedWait + firstAnswerTimeout<<shift
	case f.download.failed > 0:
		return 0, min(feedAnswerTimeout<<(shift-1), maxAnswerTimeout)
	default:
		return feedWait, feedWait + feedAnswerTimeout
	}
}
