package keelproxy_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// Requests that other instances forward are charged at their real size. Those for which there is
// no room are refused as not run, and all that is charged is returned.
func TestForwardedRequestsAreCharged(t *testing.T) {
	is := is.New(t)
	budget := keelbudget.New(keelbudget.Config{Bytes: 4 << 20, Connections: 1})
	release := make(chan struct{})
	waiting := runnerFunc(func(ctx context.Context, _ *keelproxy.Request) (*keelproxy.Answer, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return textAnswer("ok"), nil
	})
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	hub := keelpeer.NewMemoryHub(keelpeer.HubConfig{})
	from, to := hub.Join("a", a), hub.Join("b", b)
	to.SetStreams(&keelproxy.Receiver{Runner: waiting, Budget: budget, Log: logrus.NewEntry(logrus.New())})
	forwarder := keelproxy.Forwarder{Transport: from}
	r := &keelproxy.Request{ID: "r", Service: "s", Method: "GET", URI: "/", Host: "s", Timeout: time.Minute, Deadline: time.Now().Add(time.Minute)}
	for range 4000 {
		r.Header = append(r.Header, keelproxy.Field{Name: "a"})
	}
	const requests = 8
	outcomes := make(chan error, requests)
	for range requests {
		go func() {
			answer, err := forwarder.Forward(t.Context(), b, r)
			if err == nil {
				err = answer.Body.Close()
			}
			outcomes <- err
		}()
	}
	refused := 0
	for budget.Usage().Refused == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(budget.Usage().Held <= 4<<20)
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	for range requests {
		if err := <-outcomes; err != nil {
			refused++
			is.Equal(keel.VerdictOf(err), keel.NotRun)
		}
	}
	is.True(refused > 0)
	is.True(refused < requests)
	for budget.Usage().Held > 0 {
		time.Sleep(time.Millisecond)
	}
}
