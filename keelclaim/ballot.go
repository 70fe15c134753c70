package keelclaim

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// ballot counts the votes of one round.
type ballot struct {
	sets     []Set
	bodyHash uint64
	// replies holds the last word of each holder: its vote, or a missing one.
	replies map[keel.InstanceName]ballotReply
	fences  map[keel.InstanceName]uint64
	// held says that another attempt has votes and may be running.
	held bool
	// conflict says that a request with another body has an outcome.
	conflict   bool
	unknown    bool
	ran        bool
	answeredBy []keel.InstanceName
	heldWait   time.Duration
	barWait    time.Duration
}

type ballotReply struct {
	vote        VoteType
	incarnation uint64
	// rival says that the vote went to a request with another body.
	rival bool
}

// voteMissing stands for a holder that could not be reached in time.
const voteMissing VoteType = 0

func newBallot(sets []Set, bodyHash uint64) ballot {
	return ballot{
		sets:     sets,
		bodyHash: bodyHash,
		replies:  map[keel.InstanceName]ballotReply{},
		fences:   map[keel.InstanceName]uint64{},
	}
}

func (b *ballot) count(from keel.InstanceName, incarnation uint64, v Vote) {
	if _, known := b.replies[from]; known {
		return
	}
	b.replies[from] = ballotReply{vote: v.Type, incarnation: incarnation}
	for _, f := range v.Fences {
		b.fences[f.Holder] = max(b.fences[f.Holder], f.Incarnation)
	}
	switch v.Type {
	case VoteHeld:
		b.countHeld(from, v)
	case VoteBarrier:
		b.barWait = max(b.barWait, v.Wait.Std())
	}
}

func (b *ballot) countHeld(from keel.InstanceName, v Vote) {
	other := v.BodyHash != b.bodyHash && !v.Mixed
	switch {
	case settled(v.State) && other:
		b.conflict = true
	case v.State == StateAnswered:
		b.answeredBy = append(b.answeredBy, from)
	case v.State == StateRan:
		b.ran = true
	case v.State == StateUnknown:
		b.unknown = true
	case other:
		b.replies[from] = ballotReply{vote: v.Type, rival: true}
	default:
		b.held = true
		b.heldWait = max(b.heldWait, v.Wait.Std())
	}
}

func (b *ballot) miss(from keel.InstanceName) {
	if _, known := b.replies[from]; !known {
		b.replies[from] = ballotReply{vote: voteMissing}
	}
}

func (b *ballot) missRest() {
	for _, name := range members(b.sets) {
		b.miss(name)
	}
}

// granted reports whether the holder's vote counts: it was given, and the
// holder has not restarted since, as far as any other holder knows.
func (b *ballot) granted(name keel.InstanceName) bool {
	r, ok := b.replies[name]
	return ok && r.vote == VoteGranted && r.incarnation >= b.fences[name]
}

func (b *ballot) pending(name keel.InstanceName) bool {
	_, known := b.replies[name]
	return !known
}

func (b *ballot) countIn(s Set, f func(keel.InstanceName) bool) int {
	n := 0
	for _, name := range s.Holders {
		if f(name) {
			n++
		}
	}
	return n
}

// won reports whether every set has given a majority.
func (b *ballot) won() bool {
	return len(b.sets) > 0 && !slices.ContainsFunc(b.sets, func(s Set) bool {
		return b.countIn(s, b.granted) < s.Majority()
	})
}

// canWin reports whether the outstanding votes can still give a majority.
func (b *ballot) canWin() bool {
	return !slices.ContainsFunc(b.sets, func(s Set) bool {
		return b.countIn(s, b.granted)+b.countIn(s, b.pending) < s.Majority()
	})
}

// open reports whether a holder has not replied.
func (b *ballot) open() bool { return slices.ContainsFunc(members(b.sets), b.pending) }

// missed reports whether a holder could not be reached in time.
func (b *ballot) missed() bool {
	return slices.ContainsFunc(members(b.sets), func(name keel.InstanceName) bool {
		r, known := b.replies[name]
		return known && r.vote == voteMissing
	})
}

// otherMayRun reports whether another attempt for the key may have dispatched.
func (b *ballot) otherMayRun() bool {
	return b.held || b.unknown || b.ran || len(b.answeredBy) > 0
}

// mayTell reports whether a holder that has not replied may know the outcome of
// the attempt that holds the key.
func (b *ballot) mayTell() bool {
	return b.open() && (b.held || slices.ContainsFunc(members(b.sets), b.rivals))
}

func (b *ballot) rivals(name keel.InstanceName) bool { return b.replies[name].rival }

// barred returns the refusal for a key that a home will refuse for long, or nil
// if another round may win.
func (b *ballot) barred() *keel.Refusal {
	for _, s := range b.sets {
		spare := len(s.Holders) - s.Majority()
		if b.countIn(s, b.said(VoteBarrier)) > spare {
			return keel.Refuse(keel.MayHaveRun, keel.ReasonClaimBarrier, b.barWait,
				"the key's home has lost its claims, and the key may be older than the loss")
		}
		if b.countIn(s, b.said(VoteExpired)) > spare {
			return keel.Refuse(keel.MayHaveRun, keel.ReasonClaimBarrier, 0,
				"the ticket is older than the time for which keys are remembered")
		}
	}
	return nil
}

func (b *ballot) said(t VoteType) func(keel.InstanceName) bool {
	return func(name keel.InstanceName) bool {
		r, ok := b.replies[name]
		return ok && r.vote == t
	}
}

func conflictRefusal() *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonKeyConflict, 0,
		"the key was used for a request with another body; this request was not dispatched")
}

// refusal returns the refusal for a round that was the last one. The caller may
// try again after the pause that the next round would have waited, or once the
// running attempt must have ended.
func (b *ballot) refusal(pause time.Duration) *keel.Refusal {
	if b.held {
		return keel.Refuse(keel.MayHaveRun, keel.ReasonDuplicate, max(b.heldWait, pause),
			"a request with this key is running, or ran at an instance that was lost")
	}
	for _, s := range b.sets {
		spare := len(s.Holders) - s.Majority()
		if b.countIn(s, b.rivals) > spare {
			return conflictRefusal()
		}
		if b.countIn(s, b.said(VoteFull)) > spare {
			return keel.Refuse(keel.NotRun, keel.ReasonOverload, pause, "the key's home has no room for another claim")
		}
	}
	return keel.Refuse(keel.NotRun, keel.ReasonClaimHome, pause,
		"no majority of the key's home could be asked; this request was not dispatched")
}
