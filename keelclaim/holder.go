package keelclaim

import (
	"sort"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// HolderConfig sets up a [Holder].
type HolderConfig struct {
	Self        keel.InstanceName
	Incarnation uint64
	// Started is when the process started. All ages are counted from it by the
	// monotonic clock, so that a set clock neither ages nor rejuvenates a claim.
	Started time.Time
	// Retention is how long a claim is kept after its last use.
	Retention time.Duration
	// ClockSlack is how far the clocks of two instances may be apart.
	ClockSlack time.Duration
	// MaxAnswerBytes bounds one recorded answer.
	MaxAnswerBytes int
	// MaxTotalBytes bounds all claims and recorded answers. Answers are dropped
	// before claims are refused; a claim is never dropped before its time.
	MaxTotalBytes int
}

// Holder keeps one instance's votes. It is not safe for use by several
// goroutines.
type Holder struct {
	cfg HolderConfig
	// told holds the sets from the declarations, learnt the former ones that
	// only other holders knew of, sets both.
	told, learnt []Set
	sets         []holderSet
	records      map[KeyID]*record
	// list holds the keys in the order of their last use. An entry whose seq
	// is not that of its record is out of date.
	list []listEntry
	seq  uint64
	// answered holds the keys with a recorded answer, the oldest first.
	answered    []KeyID
	answerBytes int
	released    map[Attempt]time.Time
	releasedSeq []releasedEntry
	fences      map[keel.InstanceName]fence
	peers       map[keel.InstanceName]*refillPeer
	lifted      bool
	leaving     bool
	stats       HolderStats
}

type listEntry struct {
	seq uint64
	key KeyID
}

type releasedEntry struct {
	attempt Attempt
	at      time.Time
}

// HolderStats counts what a holder did.
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

// releaseMemory is how long a released attempt is remembered, so that an ask
// which was delayed on its way does not bring it back.
const releaseMemory = 2 * time.Minute

// maxReleased bounds the remembered releases.
const maxReleased = 65_536

// NewHolder returns a holder without votes, which is not whole yet.
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

// Claims returns how many claims the holder keeps.
func (h *Holder) Claims() int { return len(h.records) }

// Bytes returns what the claims and recorded answers count against
// MaxTotalBytes.
func (h *Holder) Bytes() int { return len(h.records)*recordBytes + h.answerBytes }

// wall returns the time of day by the clock as it was at the start, so that
// later settings of the clock have no effect.
func (h *Holder) wall(now time.Time) time.Time {
	return h.cfg.Started.Add(now.Sub(h.cfg.Started))
}

// Handle answers a message of an instance.
func (h *Holder) Handle(now time.Time, from keel.InstanceName, m Message) Reply {
	reply := Reply{Incarnation: h.cfg.Incarnation, Phase: h.Phase(now)}
	switch {
	case m.Ask != nil:
		vote := h.Ask(now, *m.Ask)
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

// Ask votes for the attempt if the key is free, else says what is known of it.
func (h *Holder) Ask(now time.Time, a Ask) Vote {
	h.Expire(now)
	if v, known := h.askKnown(now, a); known {
		return v
	}
	if v, refused := h.askRefused(now, a); refused {
		return v
	}
	r := &record{attempt: a.Attempt, bodyHash: a.BodyHash, state: StateFree}
	r.deadline = now.Add(a.Remaining.Std())
	r.fire(eventVote)
	h.add(now, a.Key, r)
	return h.grant(now)
}

func (h *Holder) grant(now time.Time) Vote {
	h.stats.Granted++
	return Vote{Type: VoteGranted, Fences: h.recentFences(now), Former: h.former(now)}
}

// askKnown answers an ask for a key or an attempt that the holder knows.
func (h *Holder) askKnown(now time.Time, a Ask) (Vote, bool) {
	if _, gone := h.released[a.Attempt]; gone {
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}, true
	}
	r, ok := h.records[a.Key]
	if !ok {
		return Vote{}, false
	}
	if r.state == StateVoted && r.attempt == a.Attempt {
		return h.grant(now), true
	}
	h.stats.Held++
	return Vote{
		Type:     VoteHeld,
		State:    r.state,
		BodyHash: r.bodyHash,
		Mixed:    r.mixed,
		Wait:     keel.Duration(max(0, r.deadline.Sub(now))),
		Fences:   h.recentFences(now),
		Former:   h.former(now),
	}, true
}

// askRefused answers an ask for a free key for which the holder must not vote.
func (h *Holder) askRefused(now time.Time, a Ask) (Vote, bool) {
	switch {
	case a.Ticket != nil && h.ticketExpired(now, a.Ticket.IssuedAt):
		h.stats.Expired++
		return Vote{Type: VoteExpired}, true
	case h.leaving || !h.registered():
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}, true
	case h.mayHaveLost(now, a):
		return h.refuseLost(now), true
	case h.Bytes()-h.answerBytes+recordBytes > h.cfg.MaxTotalBytes:
		h.stats.Full++
		return Vote{Type: VoteFull}, true
	}
	return Vote{}, false
}

// ticketExpired reports whether a claim for the ticket may have been forgotten
// already. A ticket from the future shows that the clocks don't agree, so that
// its age can't be told.
func (h *Holder) ticketExpired(now, issued time.Time) bool {
	age := h.wall(now).Sub(issued)
	return age > h.cfg.Retention-2*h.cfg.ClockSlack || age < -2*h.cfg.ClockSlack
}

// mayHaveLost reports whether a vote for the key may have been lost when the
// holder last stopped.
func (h *Holder) mayHaveLost(now time.Time, a Ask) bool {
	if p := h.Phase(now); p == PhaseWhole {
		return false
	}
	return a.Ticket == nil || !(Ticket{Starts: a.Ticket.Starts}).Names(h.Tag())
}

func (h *Holder) refuseLost(now time.Time) Vote {
	if h.Phase(now) != PhaseBarrier {
		h.stats.Abstained++
		return Vote{Type: VoteAbstain}
	}
	h.stats.Barred++
	return Vote{Type: VoteBarrier, Wait: keel.Duration(max(0, h.memoryEnd().Sub(now)))}
}

// Tag returns the tag of this start of the holder.
func (h *Holder) Tag() StartTag { return TagOf(h.cfg.Self, h.cfg.Incarnation) }

// Settle records the outcome of an attempt that dispatched.
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
	case s.Answer != nil && r.answer == nil && h.makeRoom(s.Answer.size()):
		r.fire(eventSettleAnswer)
		r.answer = s.Answer
		h.answerBytes += s.Answer.size()
		h.answered = append(h.answered, s.Key)
	default:
		r.fire(eventSettleRan)
	}
}

// makeRoom drops the oldest answers until n more bytes fit. It reports whether
// they do.
func (h *Holder) makeRoom(n int) bool {
	if n > h.cfg.MaxAnswerBytes {
		return false
	}
	for len(h.answered) > 0 && h.Bytes()+n > h.cfg.MaxTotalBytes {
		h.dropOldestAnswer()
	}
	return h.Bytes()+n <= h.cfg.MaxTotalBytes
}

func (h *Holder) dropOldestAnswer() {
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

// Release takes back the vote for an attempt that never dispatches.
func (h *Holder) Release(now time.Time, m Release) {
	h.Expire(now)
	h.rememberRelease(now, m.Attempt)
	r, ok := h.records[m.Key]
	if !ok || settled(r.state) {
		return
	}
	first := r.attempt
	if r.forget(m.Attempt) {
		r.fire(eventRelease)
		h.remove(m.Key, r)
		h.stats.Released++
		return
	}
	if r.attempt != first {
		// The attempts that are left were only heard of.
		r.fire(eventRelease)
		r.fire(eventHear)
	}
}

func (h *Holder) rememberRelease(now time.Time, a Attempt) {
	if _, known := h.released[a]; known {
		return
	}
	if len(h.releasedSeq) >= maxReleased {
		h.dropOldestRelease()
	}
	h.released[a] = now
	h.releasedSeq = append(h.releasedSeq, releasedEntry{attempt: a, at: now})
}

func (h *Holder) dropOldestRelease() {
	delete(h.released, h.releasedSeq[0].attempt)
	h.releasedSeq = h.releasedSeq[1:]
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

// touch notes the use of the record.
func (h *Holder) touch(now time.Time, key KeyID, r *record) {
	r.touched = now
	h.relist(key, r)
}

// relist moves a changed record to the end of the list, so that a holder which
// reads the list meets it once more.
func (h *Holder) relist(key KeyID, r *record) {
	h.seq++
	r.seq = h.seq
	h.list = append(h.list, listEntry{seq: h.seq, key: key})
	if len(h.list) > 2*len(h.records)+pageRecords {
		h.compact()
	}
}

func (h *Holder) compact() {
	kept := make([]listEntry, 0, len(h.records))
	for _, e := range h.list {
		if r, ok := h.records[e.key]; ok && r.seq == e.seq {
			kept = append(kept, e)
		}
	}
	h.list = kept
}

func (h *Holder) remove(key KeyID, r *record) {
	if r.answer != nil {
		h.answerBytes -= r.answer.size()
	}
	delete(h.records, key)
}

// Expire forgets the claims and releases whose time has passed.
func (h *Holder) Expire(now time.Time) {
	for len(h.list) > 0 {
		e := h.list[0]
		r, ok := h.records[e.key]
		if ok && r.seq == e.seq {
			if now.Sub(r.touched) <= h.cfg.Retention+h.cfg.ClockSlack {
				break
			}
			r.fire(eventExpire)
			h.remove(e.key, r)
		}
		h.list = h.list[1:]
	}
	for len(h.releasedSeq) > 0 && now.Sub(h.releasedSeq[0].at) > releaseMemory {
		h.dropOldestRelease()
	}
	h.trimAnswered()
}

// trimAnswered drops entries of claims that expired.
func (h *Holder) trimAnswered() {
	for len(h.answered) > 0 {
		if r, ok := h.records[h.answered[0]]; ok && r.answer != nil {
			return
		}
		h.answered = h.answered[1:]
	}
}

// after returns the place in the list of the first entry after seq.
func (h *Holder) after(seq uint64) int {
	return sort.Search(len(h.list), func(i int) bool { return h.list[i].seq > seq })
}
