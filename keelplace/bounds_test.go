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

// A side of a partition is some instances and how many of all they know.
type side struct{ instances, known int }

// partitions are what the instances of one deployment may know of each other:
// those that hear the majority of voters soon know only themselves, the others go
// on with what they knew.
var partitions = []struct {
	name  string
	sides []side
}{
	{"whole", []side{{18, 18}}},
	{"halves", []side{{9, 9}, {9, 18}}},
	{"few hear the majority", []side{{2, 2}, {16, 18}}},
	{"most hear the majority", []side{{16, 16}, {2, 18}}},
}

// boundsView is a view of one endpoint, cold for long, and some of 18 instances.
func boundsView(from, known int) *keelworld.View {
	s := keelworld.NewState()
	c := keelworld.Command{Endpoints: []keelworld.Endpoint{{
		ID: "e", Born: 1, Sequence: 1, State: keelworld.EndpointServing, Service: "s", Domain: "d0",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 100, Cold: time.Hour,
	}}}
	for i := range known {
		c.Nodes = append(c.Nodes, keelworld.Node{
			Name: boundsName(from + i), Started: 1, Domain: keel.DomainName(fmt.Sprintf("d%d", (from+i)%6)), Region: "r",
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

// boundsPools returns the pools of 18 instances that know each other.
func boundsPools(now time.Time) []*keelplace.Pool {
	v := boundsView(0, 18)
	var pools []*keelplace.Pool
	for i := range 18 {
		p := keelplace.NewPool(keelplace.Config{
			Self: boundsName(i), Place: keelplace.Place{Domain: keel.DomainName(fmt.Sprintf("d%d", i%6)), Region: "r"}, Region: regionR,
		}, "s")
		p.Update(now, v, nil)
		pools = append(pools, p)
	}
	return pools
}

// cut gives each instance the view of its side.
func cut(now time.Time, pools []*keelplace.Pool, sides []side) {
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

// most returns the highest number of times within any window of some length.
func most(times []time.Time, window time.Duration) int {
	best, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// All instances want to send each request once more. All together stay below
// the bound in any window, in a partition too.
func TestSecondTriesOfAllInstances(t *testing.T) {
	bound := keelplace.Budget{Ratio: 0.2, Slack: 116, Window: 10 * time.Second}
	for _, tt := range partitions {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			start := now
			pools := boundsPools(now)
			random := rand.New(rand.NewPCG(1, 1))
			var asked, spent []time.Time
			for step := range 600 { // ten requests a second; second tries only some time after a cut
				now = start.Add(time.Duration(step) * 100 * time.Millisecond)
				if step == 200 {
					cut(now, pools, tt.sides)
				}
				pools[random.IntN(len(pools))].Earn(now, bound, "x")
				asked = append(asked, now)
				for _, p := range pools {
					for step >= 320 && p.Spend(now, bound) {
						spent = append(spent, now)
					}
				}
			}
			is.True(most(spent, bound.Window) <= int(bound.Ratio*float64(most(asked, bound.Window))+bound.Slack))
			is.True(len(spent) > 0)
		})
	}
}

// Every instance has requests for a cold endpoint all the time. All together
// send it no more than it bears, with the bound's overshoot and slack, in a
// partition too.
func TestColdPaceOfAllInstances(t *testing.T) {
	const rate, overshoot, slack = 4.9, 1.5, 5
	for _, tt := range partitions {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			start := now
			pools := boundsPools(now)
			var sent []time.Time
			r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, Left: time.Second, AimLeft: time.Second}
			for step := range 800 {
				now = start.Add(time.Duration(step) * 10 * time.Millisecond)
				if step == 300 {
					cut(now, pools, tt.sides)
				}
				for _, p := range pools {
					if c, refused := p.Choose(now, r); refused == nil {
						p.Started(now, c)
						p.Ended(now, now, "x", c, keelplace.Outcome{Kind: keelplace.Answered, Took: time.Millisecond})
						sent = append(sent, now)
					}
				}
			}
			is.True(float64(most(sent, time.Second)) <= rate*overshoot+slack)
			is.True(len(sent) >= 20)
		})
	}
}
