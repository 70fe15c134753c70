package keelplace_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// partitionSide is one side of a network partition: the number of instances in it
// and the number of instances in their view.
type partitionSide struct{ instances, known int }

// partitions holds ways in which 18 instances may be divided. The view of those that
// reach the majority of voters soon lists only themselves. The others keep the view
// that they had.
var partitions = []struct {
	name  string
	sides []partitionSide
}{
	{"whole", []partitionSide{{18, 18}}},
	{"halves", []partitionSide{{9, 9}, {9, 18}}},
	{"few reach the majority", []partitionSide{{2, 2}, {16, 18}}},
	{"most reach the majority", []partitionSide{{16, 16}, {2, 18}}},
}

// boundsView returns a view of one endpoint that stays cold during the test, and of
// known instances, starting with number from.
func boundsView(from, known int) *keelworld.View {
	s := keelworld.NewState()
	c := keelworld.Command{Endpoints: []keelworld.Endpoint{{
		ID: "e", Incarnation: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "s", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 100, Cold: time.Hour,
	}}}
	for i := range known {
		c.Nodes = append(c.Nodes, keelworld.Node{
			Name: boundsName(from + i), Incarnation: 1, Domain: keel.DomainName(fmt.Sprintf("d%d", (from+i)%6)), Region: "r",
			Caller: netip.MustParseAddrPort("10.0.1.1:80"), Up: true,
		})
	}
	s.Apply(1, &c)
	s.Apply(2, &keelworld.Command{Patch: &keelworld.Patch{Items: []keelworld.Item{{
		ItemKey: keelworld.ItemKey{Kind: keelworld.ItemService, Name: "s"}, Version: 1,
		Service: &keelworld.Service{ColdRate: 4.9, ColdTime: 3 * time.Second},
	}}}})
	return s.View()
}

func boundsName(i int) keel.InstanceName { return keel.InstanceName(fmt.Sprintf("10.0.2.%d", i)) }

// boundsPools returns the pools of 18 instances with the same full view.
func boundsPools(now time.Time) []*keelplace.Pool {
	v := boundsView(0, 18)
	var pools []*keelplace.Pool
	for i := range 18 {
		p := keelplace.NewPool(keelplace.Config{
			Self: boundsName(i), Location: keelplace.Location{Domain: keel.DomainName(fmt.Sprintf("d%d", i%6)), Region: "r"}, Region: regionR,
		}, "s")
		p.Update(now, v, nil)
		pools = append(pools, p)
	}
	return pools
}

// applyPartition updates each instance to the view of its side.
func applyPartition(now time.Time, pools []*keelplace.Pool, sides []partitionSide) {
	i := 0
	for _, sd := range sides {
		from := i
		if sd.known == len(pools) {
			from = 0
		}
		v := boundsView(from, sd.known)
		for range sd.instances {
			pools[i].Update(now, v, nil)
			i++
		}
	}
}

// maxInWindow returns the largest number of the given times, which are sorted, that
// lie within one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	best, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// The retry budget of a deployment must hold for all instances together, although
// each uses its share on its own and a partition changes the number of instances
// that each counts. Here all instances retry as often as they may.
func TestRetryBudgetOfAllInstances(t *testing.T) {
	budget := keelplace.RetryBudget{Ratio: 0.2, Slack: 116, Window: 10 * time.Second}
	for _, tt := range partitions {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			start := now
			pools := boundsPools(now)
			random := rand.New(rand.NewPCG(1, 1))
			var requests, retries []time.Time
			for step := range 600 { // ten requests per second; retries start 12 s after the partition
				now = start.Add(time.Duration(step) * 100 * time.Millisecond)
				if step == 200 {
					applyPartition(now, pools, tt.sides)
				}
				pools[random.IntN(len(pools))].Arrived(now, budget, "x")
				requests = append(requests, now)
				for _, p := range pools {
					for step >= 320 && p.AllowRetry(now, budget) {
						retries = append(retries, now)
					}
				}
			}
			is.True(maxInWindow(retries, budget.Window) <= int(budget.Ratio*float64(maxInWindow(requests, budget.Window))+budget.Slack))
			is.True(len(retries) > 0)
		})
	}
}

// A cold endpoint must not get more requests than its cold rate, with the overshoot
// and slack of the stated bound, although all instances have requests for it at any
// time and a partition changes which instances may send to it.
func TestColdRateOfAllInstances(t *testing.T) {
	const rate, overshoot, slack = 4.9, 1.5, 5
	for _, tt := range partitions {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			start := now
			pools := boundsPools(now)
			var sent []time.Time
			r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
			for step := range 800 {
				now = start.Add(time.Duration(step) * 10 * time.Millisecond)
				if step == 300 {
					applyPartition(now, pools, tt.sides)
				}
				for _, p := range pools {
					if c, refused := p.Choose(now, r); refused == nil {
						p.Started(now, c)
						p.Ended(now, now, "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: time.Millisecond})
						sent = append(sent, now)
					}
				}
			}
			is.True(float64(maxInWindow(sent, time.Second)) <= rate*overshoot+slack)
			is.True(len(sent) >= 20)
		})
	}
}

// Instances that are cut off from the voters get to know neither a drain nor that an endpoint is
// cold after it. All of them together must not send it more than a cold one tolerates, whatever
// number is cut off, and neither beside the others, which know that it is cold.
func TestColdRateOfUnconfirmedInstances(t *testing.T) {
	const rate, overshoot, slack = 4.9, 1.5, 5
	tests := []struct {
		name         string
		cutOff, know int // instances
	}{
		{"all", 18, 0},
		{"those of a failure domain", 3, 0},
		{"one beside the others", 1, 17},
		{"none", 0, 18},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			start := now
			var pools []*keelplace.Pool
			for i := range tt.cutOff + tt.know {
				number := i
				if tt.cutOff == 3 {
					number = 6 * i // the domain of the endpoint
				}
				v := boundsView(0, 18)
				cutOff := i < tt.cutOff
				if cutOff {
					v.Endpoints["s"][0].Cold = 0
				}
				p := keelplace.NewPool(keelplace.Config{
					Self: boundsName(number), Location: keelplace.Location{Domain: keel.DomainName(fmt.Sprintf("d%d", number%6)), Region: "r"}, Region: regionR,
				}, "s")
				p.Update(now, v, nil)
				p.SetConfirmed(!cutOff)
				pools = append(pools, p)
			}
			var sent []time.Time
			r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
			for step := range 800 {
				now = start.Add(time.Duration(step) * 10 * time.Millisecond)
				for _, p := range pools {
					if c, refused := p.Choose(now, r); refused == nil {
						p.Started(now, c)
						p.Ended(now, now, "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: time.Millisecond})
						sent = append(sent, now)
					}
				}
			}
			is.True(float64(maxInWindow(sent, time.Second)) <= rate*overshoot+slack)
			is.True(len(sent) >= 20)
		})
	}
}

// The cold rate of a service is changed while the view is unconfirmed. The share of the rate
// before would be too much, or too little, until an instance comes or goes.
func TestShareFollowsColdRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := boundsPools(now)[0]
	p.SetConfirmed(false)
	r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
	sequence := int64(1)
	perSecond := func(rate float64) (n int) {
		v := boundsView(0, 18)
		sequence++
		v.Endpoints["s"][0].Cold, v.Endpoints["s"][0].Sequence = 0, sequence
		now = now.Add(time.Minute)
		v.Services["s"] = &keelworld.Service{ColdRate: rate, ColdTime: 3 * time.Second}
		p.Update(now, v, nil)
		for {
			c, refused := p.Choose(now, r)
			if refused != nil {
				return n
			}
			p.Started(now, c)
			p.Ended(now, now, "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: time.Millisecond})
			n++
		}
	}
	low := perSecond(4.9)
	is.True(perSecond(100) > low)
	is.Equal(perSecond(4.9), low)
}
