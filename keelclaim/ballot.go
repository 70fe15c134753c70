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
	// replies holds the vote of each holder, or voteUnreachable.
	replies map[keel.InstanceName]ballotReply
	// fences holds, per holder, the lowest incarnation number whose votes count.
	fences map[keel.InstanceName]uint64
	// heldByOther says that another attempt has votes and may be running.
	heldByOther bool
	// conflict says that a request with another body has an outcome.
	conflict bool
	// unknown and ran say that a holder reported this outcome of the request.
	unknown bool
	ran     bool
	// answeredBy lists the holders that keep the recorded answer.
	answeredBy []keel.InstanceName
	// heldWait is the longest time until the deadline of another attempt,
	// barrierWait the longest time until the end of a holder's barrier.
	heldWait    time.Duration
	barrierWait time.Duration
}

type ballotReply struct {
	vote        VoteType
	incarnation uint64
	// otherBody says that the vote went to a request with another body.
	otherBody bool
}

// voteUnreachable marks a holder that did not reply in time.
const voteUnreachable VoteType = 0

func newBallot(sets []Set, bodyHash uint64) ballot {
	return ballot{
		sets:     sets,
		bodyHash: bodyHash,
		replies:  map[keel.InstanceName]ballotReply{},
		fences:   map[keel.InstanceName]uint64{},
	}
}

func (b *ballot) countVote(from keel.InstanceName, incarnation uint64, v Vote) {
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
		b.barrierWait = max(b.barrierWait, v.Wait.Std())
	}
}

func (b *ballot) countHeld(from keel.InstanceName, v Vote) {
	other := v.BodyHash != b.bodyHash && !v.MixedBodies
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
		b.replies[from] = ballotReply{vote: v.Type, otherBody: true}
	default:
		b.heldByOther = true
		b.heldWait = max(b.heldWait, v.Wait.Std())
	}
}

func (b *ballot) markUnreachable(from keel.InstanceName) {
	if _, known := b.replies[from]; !known {
		b.replies[from] = ballotReply{vote: voteUnreachable}
	}
}

func (b *ballot) markRestUnreachable() {
	for _, name := range allHolders(b.sets) {
		b.markUnreachable(name)
	}
}

// voteCounts reports whether the holder granted its vote and has not restarted
// since, according to the fences that the other holders reported.
func (b *ballot) voteCounts(name keel.InstanceName) bool {
	r, ok := b.replies[name]
	return ok && r.vote == VoteGranted && r.incarnation >= b.fences[name]
}

func (b *ballot) pending(name keel.InstanceName) bool {
	_, known := b.replies[name]
	return !known
}

func (b *ballot) countHolders(s Set, f func(keel.InstanceName) bool) int {
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
		return b.countHolders(s, b.voteCounts) < s.Majority()
	})
}

// canWin reports whether the outstanding votes can still give a majority.
func (b *ballot) canWin() bool {
	return !slices.ContainsFunc(b.sets, func(s Set) bool {
		return b.countHolders(s, b.voteCounts)+b.countHolders(s, b.pending) < s.Majority()
	})
}

// anyPending reports whether a holder has not replied.
func (b *ballot) anyPending() bool { return slices.ContainsFunc(allHolders(b.sets), b.pending) }

// anyUnreachable reports whether a holder could not be reached in time.
func (b *ballot) anyUnreachable() bool {
	return slices.ContainsFunc(allHolders(b.sets), func(name keel.InstanceName) bool {
		r, known := b.replies[name]
		return known && r.vote == voteUnreachable
	})
}

// otherMayHaveRun reports whether another attempt for the key may have
// dispatched.
func (b *ballot) otherMayHaveRun() bool {
	return b.heldByOther || b.unknown || b.ran || len(b.answeredBy) > 0
}

// outcomeMayArrive reports whether a holder that has not replied may report the
// outcome of the attempt that holds the key.
func (b *ballot) outcomeMayArrive() bool {
	return b.anyPending() && (b.heldByOther || slices.ContainsFunc(allHolders(b.sets), b.votedForOtherBody))
}

func (b *ballot) votedForOtherBody(name keel.InstanceName) bool { return b.replies[name].otherBody }

// barrierRefusal returns the refusal if too many holders of a set refuse the key
// because of the claim barrier or an expired ticket. No further round would
// change that. Otherwise it returns nil.
func (b *ballot) barrierRefusal() *keel.Refusal {
	for _, s := range b.sets {
		spare := len(s.Holders) - s.Majority()
		if b.countHolders(s, b.repliedWith(VoteBarrier)) > spare {
			return keel.Refuse(keel.MayHaveRun, keel.ReasonClaimBarrier, b.barrierWait,
				"the key's home has lost its claims, and the key may be older than the loss")
		}
		if b.countHolders(s, b.repliedWith(VoteExpired)) > spare {
			return keel.Refuse(keel.MayHaveRun, keel.ReasonClaimBarrier, 0,
				"the ticket is older than the retention of claims")
		}
	}
	return nil
}

func (b *ballot) repliedWith(t VoteType) func(keel.InstanceName) bool {
	return func(name keel.InstanceName) bool {
		r, ok := b.replies[name]
		return ok && r.vote == t
	}
}

func conflictRefusal() *keel.Refusal {
	return keel.Refuse(keel.NotRun, keel.ReasonKeyConflict, 0,
		"the key was used for a request with another body; this request was not dispatched")
}

// refusal returns the refusal after the last round. It advises to retry after
// the pause that would precede the next round, or after the deadline of the
// running attempt.
func (b *ballot) refusal(pause time.Duration) *keel.Refusal {
	if b.heldByOther {
		return keel.Refuse(keel.MayHaveRun, keel.ReasonDuplicate, max(b.heldWait, pause),
			"a request with this key is running, or ran at an instance that was lost")
	}
	for _, s := range b.sets {
		spare := len(s.Holders) - s.Majority()
		if b.countHolders(s, b.votedForOtherBody) > spare {
			return conflictRefusal()
		}
		if b.countHolders(s, b.repliedWith(VoteFull)) > spare {
			return keel.Refuse(keel.NotRun, keel.ReasonOverload, pause, "the key's home has reached its limit of claims")
		}
	}
	return keel.Refuse(keel.NotRun, keel.ReasonClaimHome, pause,
		"no majority of the key's home could be asked; this request was not dispatched")
}
