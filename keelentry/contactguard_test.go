package keelentry_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelentry"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// While an instance reports that it has lost contact, a connection to an endpoint opens. What the voters
// are told last is how it is: otherwise callers would be kept from the instance for good.
func TestLastContactReport(t *testing.T) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var reported atomic.Bool
	var group conc.WaitGroup
	var rn *keelentry.Runner
	rn = keelentry.NewRunner(keelentry.Config{
		View: func() *keelworld.View { return &keelworld.View{} }, Log: logrus.NewEntry(logger),
		Isolated: func(isolated bool) {
			if isolated {
				group.Go(func() { rn.Connected() })
				time.Sleep(10 * time.Millisecond) // the other report must not overtake this one
			}
			reported.Store(isolated)
		},
	})
	keelentry.LoseContact(rn)
	group.Wait()
	is.True(!rn.Isolated())
	is.True(!reported.Load())
}
