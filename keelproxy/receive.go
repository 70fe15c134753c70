package keelproxy

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/sirupsen/logrus"
)

// Receiver runs requests that other instances forward. It implements
// [keel.StreamHandler] for streams of kind [keel.KindForward].
type Receiver struct {
	// Runner runs the requests.
	Runner Runner
	Log    *logrus.Entry
}

// HandleStream runs the request of one stream.
func (rc *Receiver) HandleStream(ctx context.Context, e keel.Envelope, s keel.Stream) {
	r := &Request{}
	if err := keel.DecodeCBOR(e.Body, r); err != nil {
		rc.refuse(s, keel.Refuse(keel.NotRun, keel.ReasonBadRequest, 0, "forwarded request: %v", err))
		return
	}
	r.Deadline = time.Now().Add(r.Timeout)
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
