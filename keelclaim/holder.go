package keelclaim

import (
	"sort"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// HolderConfig configures a [Holder].
type HolderConfig struct {
	Self        keel.InstanceName
	Incarnation uint64
	// Started is when the process started. Ages are measured from it by the
	// monotonic clock, so that setting the clock does not change the age of a
	// claim.
	Started time.Time
	// Retention is how long a claim is kept after its last use.
	Retention time.Duration
	// ClockSlack is the largest difference between the clocks of two instances.
	ClockSlack time.Duration
	// MaxAnswerBytes limits the size of one recorded answer.
	MaxAnswerBytes int
	// MaxTotalBytes limits the size of all claims and recorded answers. Answers
	// are evicted before new claims are refused; a claim is never evicted
	// before it expires.
	MaxTotalBytes int
}

// Holder keeps one instance's votes. It is not safe for concurrent use.
type Holder struct {
	cfg HolderConfig
	// declared holds the sets from the declarations, reported the former sets
	// that only other holders reported, and sets the union of both.
	declared, reported []Set
	sets               []holderSet
	records            map[KeyID]*record
	// useOrder holds the keys in the order of their last use. An entry is stale
	// if its seq differs from that of the key's record.
	useOrder []useEntry
	seq      uint64
	// answered holds the keys with a recorded answer, oldest first.
	answered      []KeyID
	answerBytes   int
	released      map[Attempt]time.Time
	releaseOrder  []releasedEntry
	fences        map[keel.InstanceName]fence
	peers         map[keel.InstanceName]*refillPeer
	barrierLifted bool
	leaving       bool
	stats         HolderStats
}

type useEntry struct {
	seq uint64
	key KeyID
}

type releasedEntry struct {
	attempt Attempt
	at      time.Time
}

// HolderStats counts the operations of a holder. The counters from Granted to
// Expired count the answers to vote requests, one for each [VoteType].
type HolderStats struct {
	Granted        uint64 `json:"granted"`
	Held           uint64 `json:"held"`
	Abstained      uint64 `json:"abstained"`
	Barred         uint64 `json:"barred"`
	Full           uint64 `json:"full"`
	Expired        uint64 `json:"expired"`
	Settled        uint64 `json:"settled"`
	Released       uint64 `json:"released"`
	AnswersDropped uint64 `json:"answers_dropped"`
	// Conflicts counts outcomes of two attempts for the same key. It stays 0
	// unless a key ran twice.
	Conflicts uint64 `json:"conflicts"`
}

// releaseRetention is how long a released attempt is remembered, so that a
// delayed vote request for it does not create the claim again.
const releaseRetention = 2 * time.Minute

// maxReleased limits the number of remembered releases.
const maxReleased = 65_536

// NewHolder returns a holder without votes. It is in [PhaseRecovering] until it
// is certain that no vote is lost.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{
		cfg:      cfg,
		records:  map[KeyID]*record{},
		released: map[Attempt]time.Time{},
		fences:   map[keel.InstanceName]fence{},
		peers:    map[keel.InstanceName]*refillPeer{},
	}
}

// Stats returns the holder's counters.
func (h *Holder) Stats() HolderStats { return h.stats }

// Claims returns the number of claims that the holder keeps.
func (h *Holder) Claims() int { return len(h.records) }

// Bytes returns the size of the claims and recorded answers, as counted against
// MaxTotalBytes.
func (h *Holder) Bytes() int { return len(h.records)*recordBytes + h.answerBytes }

// wallTime returns the time of day, extrapolated from the start by the
// monotonic clock, so that later settings of the clock have no effect.
func (h *Holder) wallTime(now time.Time) time.Time {
	return h.cfg.Started.Add(now.Sub(h.cfg.Started))
}

// Handle handles a message of another instance and returns the reply.
func (h *Holder) Handle(now time.Time, from keel.InstanceName, m Message) Reply {
	reply := Reply{Incarnation: h.cfg.Incarnation, Phase: h.Phase(now)}
	switch {
	case m.VoteRequest != nil:
		vote := h.Vote(now, *m.VoteRequest)
		reply.Vote = &vote
	case m.Settle != nil:
		h.Settle(now, *m.Settle)
	case m.Release != nil:
		h.Release(now, *m.Release)
	case m.Fetch != nil:
		reply.Answer, _ = h.Fetch(now, *m.Fetch)
	case m.Refill != nil:
		page := h.Refill(now, from, *m.Refill)
		reply.Page = &page
	case m.Push != nil:
		h.Push(now, *m.Push)
	}
	return reply
}

// Vote votes for the attempt if the key is free, and otherwise reports the
// claim that holds the key.
func (h *Holder) Vote(now time.Time, a VoteRequest) Vote {
	h.Expire(now)
	if v, known := h.voteOnKnown(now, a); known {
		return v
	}
	if v, refused := h.refuseVote(now, a); refused {
		return v
	}
	r := &record{attempt: a.Attempt, bodyHash: a.BodyHash, state: StateFree}
	r.deadline = now.Add(a.Remaining.Std())
	r.fire(eventVote)
	h.add(now, a.Key, r)
	return h.grantVote(now)
}

func (h *Holder) grantVote(now time.Time) Vote {
	h.stats.Granted++
	return Vote{Type: VoteGranted, Fences: h.recentFences(now), Former: h.formerSets(now)}
}

// voteOnKnown answers a vote request for a key or an attempt that the holder
// has a record of.
func (h *Holder) voteOnKnown(now time.Time, a VoteRequest) (Vote, bool) {
	if _, gone := h.released[a.Attempt]; gone {
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}, true
	}
	r, ok := h.records[a.Key]
	if !ok {
		return Vote{}, false
	}
	if r.state == StateVoted && r.attempt == a.Attempt {
		return h.grantVote(now), true
	}
	h.stats.Held++
	return Vote{
		Type:        VoteHeld,
		State:       r.state,
		BodyHash:    r.bodyHash,
		MixedBodies: r.mixedBodies,
		Wait:        keel.Duration(max(0, r.deadline.Sub(now))),
		Fences:      h.recentFences(now),
		Former:      h.formerSets(now),
	}, true
}

// refuseVote answers a vote request for a free key for which the holder must
// not vote.
func (h *Holder) refuseVote(now time.Time, a VoteRequest) (Vote, bool) {
	switch {
	case a.Ticket != nil && h.ticketExpired(now, a.Ticket.IssuedAt):
		h.stats.Expired++
		return Vote{Type: VoteExpired}, true
	case h.leaving || !h.registered():
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}, true
	case h.mayHaveLostVote(now, a):
		return h.voteAfterLoss(now), true
	case h.Bytes()-h.answerBytes+recordBytes > h.cfg.MaxTotalBytes:
		h.stats.Full++
		return Vote{Type: VoteFull}, true
	}
	return Vote{}, false
}

// ticketExpired reports whether a claim for the ticket may have expired
// already. An issue time in the future shows that the clocks don't agree; the
// age of such a ticket is unknown, and it counts as expired too.
func (h *Holder) ticketExpired(now, issued time.Time) bool {
	age := h.wallTime(now).Sub(issued)
	return age > h.cfg.Retention-2*h.cfg.ClockSlack || age < -2*h.cfg.ClockSlack
}

// mayHaveLostVote reports whether the previous incarnation of the holder may
// have voted for the key.
func (h *Holder) mayHaveLostVote(now time.Time, a VoteRequest) bool {
	if p := h.Phase(now); p == PhaseWhole {
		return false
	}
	return a.Ticket == nil || !(Ticket{Incarnations: a.Ticket.Incarnations}).NamesIncarnation(h.IncarnationTag())
}

func (h *Holder) voteAfterLoss(now time.Time) Vote {
	if h.Phase(now) != PhaseBarrier {
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}
	}
	h.stats.Barred++
	return Vote{Type: VoteBarrier, Wait: keel.Duration(max(0, h.barrierEnd().Sub(now)))}
}

// IncarnationTag returns the tag of the holder's present incarnation.
func (h *Holder) IncarnationTag() IncarnationTag {
	return IncarnationTagOf(h.cfg.Self, h.cfg.Incarnation)
}

// Settle records the outcome of an attempt that dispatched its request.
func (h *Holder) Settle(now time.Time, s Settle) {
	h.Expire(now)
	r, ok := h.records[s.Key]
	if !ok {
		r = &record{attempt: s.Attempt, bodyHash: s.BodyHash, state: StateFree}
		h.records[s.Key] = r
	}
	if r.attempt != s.Attempt && settled(r.state) {
		h.stats.Conflicts++
		return
	}
	r.settle(s.Attempt, s.BodyHash)
	h.settleRecord(s, r)
	h.touch(now, s.Key, r)
	h.stats.Settled++
}

func (h *Holder) settleRecord(s Settle, r *record) {
	switch {
	case s.Outcome == OutcomeUnknown:
		r.fire(eventSettleUnknown)
	case s.Answer != nil && r.answer == nil && h.evictAnswersFor(s.Answer.size()):
		r.fire(eventSettleAnswer)
		r.answer = s.Answer
		h.answerBytes += s.Answer.size()
		h.answered = append(h.answered, s.Key)
	default:
		r.fire(eventSettleRan)
	}
}

// evictAnswersFor evicts the oldest answers until n more bytes fit. It reports
// whether they do.
func (h *Holder) evictAnswersFor(n int) bool {
	if n > h.cfg.MaxAnswerBytes {
		return false
	}
	for len(h.answered) > 0 && h.Bytes()+n > h.cfg.MaxTotalBytes {
		h.evictOldestAnswer()
	}
	return h.Bytes()+n <= h.cfg.MaxTotalBytes
}

func (h *Holder) evictOldestAnswer() {
	key := h.answered[0]
	h.answered = h.answered[1:]
	r, ok := h.records[key]
	if !ok || r.answer == nil {
		return
	}
	h.answerBytes -= r.answer.size()
	r.answer = nil
	r.fire(eventDropAnswer)
	h.stats.AnswersDropped++
}

// Release withdraws the vote for an attempt that never dispatches.
func (h *Holder) Release(now time.Time, m Release) {
	h.Expire(now)
	h.recordRelease(now, m.Attempt)
	r, ok := h.records[m.Key]
	if !ok || settled(r.state) {
		return
	}
	first := r.attempt
	if r.removeAttempt(m.Attempt) {
		r.fire(eventRelease)
		h.remove(m.Key, r)
		h.stats.Released++
		return
	}
	if r.attempt != first {
		// The holder voted for none of the remaining attempts: other holders
		// reported them.
		r.fire(eventRelease)
		r.fire(eventHear)
	}
}

func (h *Holder) recordRelease(now time.Time, a Attempt) {
	if _, known := h.released[a]; known {
		return
	}
	if len(h.releaseOrder) >= maxReleased {
		h.dropOldestRelease()
	}
	h.released[a] = now
	h.releaseOrder = append(h.releaseOrder, releasedEntry{attempt: a, at: now})
}

func (h *Holder) dropOldestRelease() {
	delete(h.released, h.releaseOrder[0].attempt)
	h.releaseOrder = h.releaseOrder[1:]
}

// Fetch returns the recorded answer of a key, if there is one.
func (h *Holder) Fetch(now time.Time, f Fetch) (*Answer, bool) {
	h.Expire(now)
	r, ok := h.records[f.Key]
	if !ok || r.answer == nil || r.bodyHash != f.BodyHash {
		return nil, false
	}
	return r.answer, true
}

func (h *Holder) add(now time.Time, key KeyID, r *record) {
	h.records[key] = r
	h.touch(now, key, r)
}

// touch sets the time of the record's last use.
func (h *Holder) touch(now time.Time, key KeyID, r *record) {
	r.touched = now
	h.moveToEnd(key, r)
}

// moveToEnd moves a changed record to the end of useOrder, so that a holder
// which pages through it reads the record again.
func (h *Holder) moveToEnd(key KeyID, r *record) {
	h.seq++
	r.seq = h.seq
	h.useOrder = append(h.useOrder, useEntry{seq: h.seq, key: key})
	if len(h.useOrder) > 2*len(h.records)+pageRecords {
		h.compactUseOrder()
	}
}

func (h *Holder) compactUseOrder() {
	kept := make([]useEntry, 0, len(h.records))
	for _, e := range h.useOrder {
		if r, ok := h.records[e.key]; ok && r.seq == e.seq {
			kept = append(kept, e)
		}
	}
	h.useOrder = kept
}

func (h *Holder) remove(key KeyID, r *record) {
	if r.answer != nil {
		h.answerBytes -= r.answer.size()
	}
	delete(h.records, key)
}

// Expire removes the claims and releases whose retention has passed.
func (h *Holder) Expire(now time.Time) {
	for len(h.useOrder) > 0 {
		e := h.useOrder[0]
		r, ok := h.records[e.key]
		if ok && r.seq == e.seq {
			if now.Sub(r.touched) <= h.cfg.Retention+h.cfg.ClockSlack {
				break
			}
			r.fire(eventExpire)
			h.remove(e.key, r)
		}
		h.useOrder = h.useOrder[1:]
	}
	for len(h.releaseOrder) > 0 && now.Sub(h.releaseOrder[0].at) > releaseRetention {
		h.dropOldestRelease()
	}
	h.trimAnswered()
}

// trimAnswered removes the entries of claims that expired.
func (h *Holder) trimAnswered() {
	for len(h.answered) > 0 {
		if r, ok := h.records[h.answered[0]]; ok && r.answer != nil {
			return
		}
		h.answered = h.answered[1:]
	}
}

// indexAfter returns the index in useOrder of the first entry with a sequence
// number above seq.
func (h *Holder) indexAfter(seq uint64) int {
	return sort.Search(len(h.useOrder), func(i int) bool { return h.useOrder[i].seq > seq })
}
