package keelsync

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// leaderlessWindow is how long it counts that a voter had no leader. It is about the
	// time in which a follower polls six voters without a leader.
	leaderlessWindow = 2 * time.Second
	// maxOrderGap is the longest time between two findings that the view lacks no order.
	// It is less than an operator takes to start and end a drain, and allows for a restart
	// of all voters.
	maxOrderGap = 3 * time.Second
)

// noteLeader records whether a voter had a leader when it answered a poll that was sent at a
// time. If a majority of the voters have none, no order can be accepted: those that are not
// heard of are too few to elect a leader.
func (f *Follower) noteLeader(sentAt time.Time, voter keel.InstanceName, noLeader bool, voters []keelworld.Node) {
	if !noLeader {
		delete(f.noLeaderAt, voter)
		return
	}
	f.noLeaderAt[voter] = sentAt
	n := 0
	for i := range voters {
		if at, ok := f.noLeaderAt[voters[i].Name]; ok && sentAt.Sub(at) <= leaderlessWindow {
			n++
		}
	}
	// Without a longer gap since the view was current it still holds every order.
	if n > len(voters)/2 && f.OrderAge(sentAt) <= maxOrderGap {
		f.leaderlessAt.Store(int64(sentAt.Sub(f.start)))
	}
}

// OrderAge returns the time for which the view may lack an accepted order: the time since it was
// last confirmed to be current, or since it was found that there is no leader to accept any.
func (f *Follower) OrderAge(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(max(f.freshAt.Load(), f.leaderlessAt.Load()))
}
