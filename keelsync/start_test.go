package keelsync_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// callCounter counts the calls of all followers, by the voter that is called.
type callCounter struct {
	mu    sync.Mutex
	calls map[netip.AddrPort]int
}

func (c *callCounter) add(to netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[to]++
}

// take returns the numbers of calls since the last one.
func (c *callCounter) take() map[netip.AddrPort]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	c.calls = map[netip.AddrPort]int{}
	return calls
}

// countedCalls is the network of one follower, whose calls are counted.
type countedCalls struct {
	keel.CallTransport
	counter *callCounter
}

func (c countedCalls) Call(ctx context.Context, to netip.AddrPort, e keel.Envelope) (keel.Envelope, error) {
	c.counter.add(to)
	return c.CallTransport.Call(ctx, to, e)
}

// Hundreds of followers start together with three voters, one of which is slow. As long as it
// has not voted there is no leader, and the followers poll seldom enough that the voters have
// time for the election. Once there is a leader they have its state within a second, and all
// voters have a part of the followers.
func TestManyFollowersStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers, slowStart = 270, 4 * time.Second
		is := is.New(t)
		voters := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		w := newCluster(t, voters...)
		counter := &callCounter{calls: map[netip.AddrPort]int{}}
		var all []*keelsync.Follower
		for i := range followers {
			name := fmt.Sprintf("10.0.1.%d", i)
			if i > 255 {
				name = fmt.Sprintf("10.0.2.%d", i-255)
			}
			network := w.hub.Join(keel.InstanceName(name), addrOf(name))
			f := keelsync.NewFollower(keelsync.FollowerConfig{
				Self:    keelworld.Node{Name: keel.InstanceName(name), Domain: "d", Region: "r", Caller: addrOf(name), Incarnation: 1, Up: true},
				Network: countedCalls{network, counter}, PeerPort: peerPort, Seeds: w.seeds, Log: w.log,
			})
			w.run(name, network, f.Run)
			all = append(all, f)
		}
		first := w.voter(voters[0], "d", true)
		w.voter(voters[1], "d", true)

		time.Sleep(slowStart - time.Second)
		counter.take()
		time.Sleep(time.Second)
		sum := 0
		for _, n := range counter.take() {
			sum += n
		}
		is.True(first.Status().Leader == "")
		is.True(sum <= 4*followers)

		w.voter(voters[2], "d", true)
		w.waitFor("there is a leader", func() bool { return first.Status().Leader != "" })
		w.submit(first, &keelworld.Command{Drain: &keelworld.Drain{Domain: "x", On: true}})
		time.Sleep(time.Second)
		for _, f := range all {
			is.True(f.View().Index > 0)
		}
		time.Sleep(time.Second)
		counter.take()
		time.Sleep(time.Second)
		for to, n := range counter.take() {
			t.Logf("voter %s: %d polls a second", to, n)
			is.True(n <= 2*3*followers/len(voters)) // not more than twice an even part of three polls a second each
		}
	})
}
