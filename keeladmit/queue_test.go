package keeladmit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func zero() uint64 { return 0 }

func endpointID(name keel.EndpointName) keel.EndpointID {
	return keel.EndpointID{Service: "payout", Name: name}
}

func newQueue(slots int) *keeladmit.Queue {
	q := keeladmit.NewQueue(keeladmit.QueueConfig{Service: "payout", Picker: keelroute.PowerOfTwo{}, Random: zero})
	q.SetEndpoint(epoch, keeladmit.EndpointState{ID: endpointID("p1"), Slots: slots})
	return q
}

func item(id uint64, c keel.Class, limit time.Duration) keeladmit.Item {
	return keeladmit.Item{ID: id, Class: c, Deadline: epoch.Add(limit), Selector: keel.SelectorName(c)}
}

func TestQueueStartsUrgentWorkFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	is.Equal(q.Offer(epoch, item(1, keel.ClassLive, time.Second)).Action, keeladmit.ActionStart)
	is.Equal(q.Offer(epoch, item(2, keel.ClassPatient, time.Minute)).Action, keeladmit.ActionWait)
	is.Equal(q.Offer(epoch, item(3, keel.ClassLive, time.Second)).Action, keeladmit.ActionWait)
	is.Equal(q.Offer(epoch, item(4, keel.ClassAtMostOnce, time.Second)).Action, keeladmit.ActionWait)
	d := q.Offer(epoch, item(5, keel.ClassLive, time.Millisecond))
	is.Equal(d.Action, keeladmit.ActionRefuse)
	is.Equal(d.Refusal.Verdict, keel.NotRun)
	var order []uint64
	for range 3 {
		q.Done(epoch, endpointID("p1"), keeladmit.OutcomeOK, 50*time.Millisecond)
		s, ok := q.StartNext(epoch)
		is.True(ok)
		order = append(order, s.ID)
	}
	is.Equal(order, []uint64{4, 3, 2})
}
