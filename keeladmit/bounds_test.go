package keeladmit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeladmit"
	"github.com/greengagekeel/greengagekeel/keelroute"
)

func names(list ...keel.InstanceName) []keel.InstanceName { return list }

// TestCreditsStayWithinSpare exchanges wants and grants between a grantor and
// the wallets of three domains. Grants get lost, wants decrease and a domain
// changes its members; the credits held must never exceed the spare slots.
func TestCreditsStayWithinSpare(t *testing.T) {
	const spare = 7
	r := rand.New(rand.NewPCG(1, 1))
	g := keeladmit.NewGrantor(keeladmit.GrantorConfig{Self: "g"})
	g.SetSpare("payout", spare)
	members := map[keel.DomainName][]keel.InstanceName{"a": names("a1", "a2", "a3"), "b": names("b1", "b2"), "c": names("c1")}
	wallets := map[keel.InstanceName]*keeladmit.Wallet{}
	for _, list := range members {
		for _, m := range list {
			wallets[m] = keeladmit.NewWallet(m)
		}
	}
	most := 0
	for i := range 400 {
		now := epoch.Add(time.Duration(i) * 300 * time.Millisecond)
		if i == 200 {
			members["a"] = names("a2", "a3")
		}
		for _, d := range []keel.DomainName{"a", "b", "c"} {
			if r.IntN(3) > 0 {
				g.SetWant(now, keeladmit.Want{Domain: d, Service: "payout", Slots: r.IntN(9)}, members[d])
			}
		}
		for _, grant := range g.IssueGrants(now, "payout") {
			for _, m := range grant.Members {
				if r.IntN(4) > 0 {
					wallets[m].Receive(now, "g", grant)
				}
			}
		}
		left := 0
		for _, w := range wallets {
			left += w.Left(now, "g", "payout")
		}
		most = max(most, left)
		if left > spare || g.Granted(now, "payout") > spare {
			t.Fatalf("step %d: %d credits and %d granted of %d spare", i, left, g.Granted(now, "payout"), spare)
		}
	}
	is := is.New(t)
	is.True(most >= spare-1) // the grantor also grants what is spare
	for _, w := range wallets {
		is.Equal(w.Left(epoch.Add(time.Hour), "g", "payout"), 0) // all grants have expired
	}
}

func TestWalletSendsOnlyWithCredit(t *testing.T) {
	is := is.New(t)
	w := keeladmit.NewWallet("a1")
	_, ok := w.Take(epoch, "b", "payout")
	is.Equal(ok, false)
	w.Receive(epoch, "b", keeladmit.Grant{
		Grantor: "b1", Domain: "a", Service: "payout", Slots: 1,
		TTL: keel.Duration(time.Second), Members: names("a1"), Number: 2,
	})
	from, ok := w.Take(epoch, "b", "payout")
	is.True(ok)
	_, again := w.Take(epoch, "b", "payout")
	is.Equal(again, false)
	w.Release("b", "payout", from)
	is.Equal(w.Left(epoch, "b", "payout"), 1)
	is.Equal(w.Left(epoch.Add(time.Second), "b", "payout"), 0)
}

// TestLinkLoansKeepTheSum lets four instances lend rates to each other, losing
// some loans, and send as much as their budgets allow. The rates must never add
// up to more than that of the link.
func TestLinkLoansKeepTheSum(t *testing.T) {
	link := keel.Link{From: "luzon", To: "visayas", MegabitsPerSecond: 8, ReservePercent: 10}
	const usable = 900_000.0
	r := rand.New(rand.NewPCG(2, 2))
	var budgets []*keeladmit.LinkBudget
	for range 4 {
		budgets = append(budgets, keeladmit.NewLinkBudget(keeladmit.LinkConfig{Link: link, Instances: 4}))
	}
	budgets[0].SetShare("upload", 50)
	sent, uploads := 0.0, 0.0
	const steps, step = 2000, 10 * time.Millisecond
	for i := range steps {
		now := epoch.Add(time.Duration(i) * step)
		if r.IntN(20) == 0 {
			from, to := r.IntN(4), r.IntN(4)
			loan := budgets[from].Lend(now, "i", r.Float64()*usable, time.Second)
			if from != to && r.IntN(3) > 0 {
				budgets[to].Borrow(now, loan)
			}
		}
		sum := 0.0
		for j, b := range budgets {
			sum += b.Rate(now)
			if j == 0 {
				n, _ := b.TakeFor(now, "upload", 1<<20)
				uploads += float64(n)
				sent += float64(n)
			}
			n, _ := b.Take(now, 1<<20)
			sent += float64(n)
		}
		if sum > usable+1 {
			t.Fatalf("step %d: rates add up to %.0f of %.0f", i, sum, usable)
		}
	}
	is := is.New(t)
	is.True(sent <= usable*(steps*step).Seconds())
	is.True(uploads > 0 && uploads < sent/2)
}

// TestOwnersNeverShareSlots partitions a domain of three instances in several
// ways and heals the partition. Each side has only its own members as live;
// together the owners must never use more than an endpoint's slots.
func TestOwnersNeverShareSlots(t *testing.T) {
	all := names("i1", "i2", "i3")
	splits := [][][]keel.InstanceName{
		{names("i1"), names("i2", "i3")},
		{names("i2"), names("i1", "i3")},
		{names("i1"), names("i2"), names("i3")},
	}
	for i, sides := range splits {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			views := map[keel.InstanceName]*keeladmit.Owners{}
			for _, n := range all {
				views[n] = keeladmit.NewOwners(keeladmit.OwnersConfig{Self: n})
				views[n].Update(epoch, all, all)
				for e := range 20 {
					views[n].Track(epoch, endpointID(keel.EndpointName(fmt.Sprint("e", e))))
				}
			}
			served := 0
			for tick := range 400 {
				now := epoch.Add(time.Duration(tick) * 50 * time.Millisecond)
				for j, side := range sides {
					for k, n := range side {
						switch tick { // the instances detect it at different times
						case 80 + 5*j + 3*k:
							views[n].Update(now, side, all)
						case 240 + 5*j + 3*k:
							views[n].Update(now, all, all)
						}
					}
				}
				served += checkOwners(t, now, views)
			}
			is.New(t).True(served > 0)
		})
	}
}

func checkOwners(t *testing.T, now time.Time, views map[keel.InstanceName]*keeladmit.Owners) int {
	t.Helper()
	const slots = 3
	total := 0
	for e := range 20 {
		id := endpointID(keel.EndpointName(fmt.Sprint("e", e)))
		used := 0
		for n, v := range views {
			if owner, ready := v.Owner(now, id); owner == n && ready {
				used += v.SlotsOf(now, id, slots)
			}
		}
		total += used
		if used > slots {
			t.Fatalf("%s: %d of %d slots of %s are used", now.Sub(epoch), used, slots, id)
		}
	}
	return total
}

func TestOwnersHandOver(t *testing.T) {
	is := is.New(t)
	id := endpointID("e1")
	views := map[keel.InstanceName]*keeladmit.Owners{}
	for _, n := range names("i1", "i2") {
		views[n] = keeladmit.NewOwners(keeladmit.OwnersConfig{Self: n})
		views[n].Update(epoch, names("i1", "i2"), names("i1", "i2"))
		views[n].Track(epoch, id)
	}
	oldOwner, _ := views["i1"].Owner(epoch, id)
	newOwner := keel.InstanceName("i1")
	if oldOwner == newOwner {
		newOwner = "i2"
	}
	now := epoch.Add(time.Minute)
	is.Equal(views[oldOwner].Update(now, names(newOwner), names(newOwner)), []keel.EndpointID{id})
	is.Equal(len(views[newOwner].Update(now, names(newOwner), names(newOwner))), 0)
	_, ready := views[newOwner].Owner(now, id)
	is.Equal(ready, false)
	is.True(views[newOwner].AcceptHandOver(now, id, 2))
	_, ready = views[newOwner].Owner(now, id)
	is.True(ready)
	is.Equal(views[newOwner].SlotsOf(now.Add(time.Minute), id, 3), 1) // two requests of the old owner are still in flight
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := keeladmit.NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	is.Equal(retries, 100)
}

func TestQueueLimits(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	patient, live := 0, 0
	for i := range uint64(400) {
		q.Offer(epoch, item(2*i, keel.ClassLive, time.Hour))
		q.Offer(epoch, item(2*i+1, keel.ClassPatient, time.Hour))
	}
	for range 80 {
		q.Done(epoch, endpointID("p1"), keeladmit.OutcomeOK, 50*time.Millisecond)
		if s, _ := q.StartNext(epoch); s.ID%2 == 1 {
			patient++
		} else {
			live++
		}
	}
	is.Equal([]int{patient, live}, []int{10, 70}) // one start in eight is reserved for the patient class

	q.Drain(endpointID("p1"))
	q.Done(epoch, endpointID("p1"), keeladmit.OutcomeOK, time.Millisecond)
	_, ok := q.StartNext(epoch)
	is.Equal(ok, false) // a draining endpoint gets no new work
	d := q.Offer(epoch, item(9000, keel.ClassLive, time.Hour))
	is.Equal(d.Refusal.Reason, keel.ReasonNoEndpoint)
	is.True(q.Cancel(epoch, 799))
	is.Equal(q.Cancel(epoch, 799), false)
	refused := q.Expire(epoch.Add(2 * time.Hour))
	is.Equal(len(refused)+80+1+1, 800) // 80 started by StartNext, one cancelled, one started by Offer
	for _, r := range refused {
		is.Equal(r.Refusal.Verdict, keel.NotRun)
	}
	is.Equal(q.Waiting(keel.ClassLive)+q.Waiting(keel.ClassPatient), 0)
}

func FuzzDecode(f *testing.F) {
	for _, v := range []any{
		keeladmit.Grant{Grantor: "g", Domain: "a", Service: "s", Slots: 5, TTL: 1, Members: names("x", "y")},
		keeladmit.Want{Domain: "a", Service: "s", Slots: 1},
		keeladmit.Loan{From: "x", Link: "a/b", BytesPerSecond: 1, TTL: 1},
	} {
		b, _ := keel.EncodeCBOR(v)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var g keeladmit.Grant
		if keel.DecodeCBOR(data, &g) == nil {
			sum := 0
			for _, m := range g.Members {
				sum += keeladmit.SplitCredit(g, m)
			}
			if sum != g.Slots {
				t.Fatalf("shares add up to %d of %d", sum, g.Slots)
			}
		}
		var l keeladmit.Loan
		if keel.DecodeCBOR(data, &l) == nil {
			b := keeladmit.NewLinkBudget(keeladmit.LinkConfig{Link: keel.Link{From: "a", To: "b", MegabitsPerSecond: 8}})
			b.Borrow(epoch, l)
			b.Take(epoch.Add(time.Second), 100)
		}
		_ = keel.DecodeCBOR(data, &keeladmit.Want{})
	})
}

func BenchmarkQueueOfferDone(b *testing.B) {
	q := keeladmit.NewQueue(keeladmit.QueueConfig{Service: "payout", Picker: keelroute.PowerOfTwo{}, Random: rand.New(rand.NewPCG(1, 1)).Uint64})
	for i := range 14 {
		q.SetEndpoint(epoch, keeladmit.EndpointState{ID: endpointID(keel.EndpointName(fmt.Sprint("e", i))), Slots: 6})
	}
	it := item(1, keel.ClassLive, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		d := q.Offer(epoch, it)
		q.Done(epoch, d.Endpoint, keeladmit.OutcomeOK, time.Millisecond)
	}
}
