package keelproxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/sirupsen/logrus"
)

// Receiver runs requests that other instances forward. It implements
// [keel.StreamHandler] for streams of kind [keel.KindForward].
type Receiver struct {
	// Runner runs the requests.
	Runner Runner
	// Budget is charged for what the requests hold; nil means no limit.
	Budget *keelbudget.Budget
	Log    *logrus.Entry
}

// HandleStream runs the request of one stream.
func (rc *Receiver) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	r := &Request{}
	if err := keel.DecodeCBOR(e.Body, r); err != nil {
		rc.refuse(s, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "forwarded request: %v", err))
		return
	}
	now := time.Now()
	account, err := rc.Budget.OpenRequest(now, r.size())
	if err != nil {
		rc.refuse(s, noRoom())
		return
	}
	defer account.Close()
	r.account = account
	r.Deadline = now.Add(r.Timeout)
	if r.ContentLength != 0 {
		r.Body = &chunkReader{r: keel.NewCBORReader(s)}
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	stop := context.AfterFunc(s.Context(), cancel)
	defer stop()
	answer, err := rc.Runner.RunRequest(ctx, r)
	if err != nil {
		rc.refuse(s, AsRefusal(err))
		return
	}
	rc.send(s, r, answer)
}

// size returns what a forwarded request holds, in bytes, without its body.
func (r *Request) size() int64 {
	h := headerSize{bytes: len(r.URI), lines: len(r.Header)}
	for _, f := range r.Header {
		h.bytes += len(f.Name) + len(f.Value)
	}
	n := int64(requestBytes) + h.cost()
	if r.ContentLength != 0 {
		n += streamBytes
	}
	return n
}

func (rc *Receiver) refuse(s keel.Stream, refusal *keel.Refusal) {
	if err := keel.NewCBORWriter(s).Write(&answerHead{Refusal: refusal}); err != nil {
		s.Cancel()
		return
	}
	_ = s.CloseWrite() // on failure the sender gets an error when it reads the head
}

func (rc *Receiver) send(s keel.Stream, r *Request, a *Answer) {
	defer func() { _ = a.Body.Close() }()
	head := answerHead{
		Status:        a.Status,
		Header:        a.Header,
		ContentLength: a.ContentLength,
		Domain:        a.Domain,
		NoBody:        r.Method == "HEAD",
	}
	err := keel.NewCBORWriter(s).Write(&head)
	if err == nil && !head.NoBody {
		err = sendBody(s, a.Body)
	}
	if err == nil && head.NoBody {
		err = s.CloseWrite()
	}
	if err != nil {
		s.Cancel()
		rc.Log.WithError(err).WithField("request_id", r.ID).Info("forwarded answer broke off")
	}
}

// AsRefusal returns the refusal that err wraps. Any other error is converted to a
// refusal with the verdict [keel.MayHaveRun].
func AsRefusal(err error) *keel.Refusal {
	var refusal *keel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return keel.Refuse(keel.MayHaveRun, keel.ReasonPeerFailed, 0, "%v", err)
}
