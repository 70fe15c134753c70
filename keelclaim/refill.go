package keelclaim

import (
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Phase says whether a holder has every claim that may have been acted on. A
// holder that has is called whole.
type Phase uint8

// Phases of a holder.
const (
	// PhaseRecovering means that the holder is reading the claims that it may
	// have lost from the other holders.
	PhaseRecovering Phase = iota
	// PhaseWhole means that the holder has lost nothing, or has recovered it.
	PhaseWhole
	// PhaseBarrier means that the holder can't recover the claims that it lost,
	// since too many other holders have lost theirs as well.
	PhaseBarrier
	// PhaseLeaving means that the holder gives no more votes.
	PhaseLeaving
)

var phaseTexts = [...]string{
	PhaseRecovering: "recovering", PhaseWhole: "whole", PhaseBarrier: "barrier", PhaseLeaving: "leaving",
}

// String returns the phase as it is written in dumps.
func (p Phase) String() string { return phaseTexts[p] }

// MarshalText implements [encoding.TextMarshaler].
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// refillPeer is the progress of a holder's refill from one other holder.
type refillPeer struct {
	incarnation uint64
	phase       Phase
	replied     bool
	// cursor is the position in the peer's list up to which its claims were read.
	cursor uint64
	// readSets lists the sets whose claims were all read: the peer had every
	// claim of the set, and its list was read to the end.
	readSets []SetTag
}

func (p *refillPeer) hasRead(t SetTag) bool { return p != nil && slices.Contains(p.readSets, t) }

// fence is the latest incarnation number with which a holder asked for a
// refill.
type fence struct {
	incarnation uint64
	at          time.Time
}

// holderSet is a set together with the completeness of the holder's own claims.
type holderSet struct {
	Set
	tag SetTag
	// whole says that the holder has every claim of the set that may have been
	// acted on. It stays true until the holder restarts.
	whole bool
}

// SetHolders sets the sets of the holder's failure domain that are in force,
// current and former ones.
func (h *Holder) SetHolders(now time.Time, declared []Set) {
	h.declared = declared
	sets, previous := h.knownSets(now), h.sets
	h.sets = make([]holderSet, len(sets))
	for i, s := range sets {
		tag := s.Tag()
		whole := slices.ContainsFunc(previous, func(k holderSet) bool { return k.tag == tag && k.whole })
		h.sets[i] = holderSet{Set: s, tag: tag, whole: whole}
	}
}

// Sets returns the sets in force, including former ones that other holders
// reported.
func (h *Holder) Sets() []Set {
	sets := make([]Set, len(h.sets))
	for i, s := range h.sets {
		sets[i] = s.Set
	}
	return sets
}

// LiftBarrier sets whether an operator asserts that no key from before the loss
// is sent again.
func (h *Holder) LiftBarrier(lifted bool) { h.barrierLifted = lifted }

// Leave stops the holder from voting.
func (h *Holder) Leave() { h.leaving = true }

func (h *Holder) registered() bool {
	return slices.ContainsFunc(h.sets, func(s holderSet) bool { return s.contains(h.cfg.Self) })
}

// barrierEnd is when every vote that may have been lost would have expired.
func (h *Holder) barrierEnd() time.Time {
	return h.cfg.Started.Add(h.cfg.Retention + h.cfg.ClockSlack)
}

// Phase returns the holder's phase.
func (h *Holder) Phase(now time.Time) Phase {
	phase := h.recoveryPhase(now)
	if h.leaving && phase == PhaseWhole {
		return PhaseLeaving
	}
	return phase
}

// lossIrrelevant reports whether lost votes no longer matter, because they have
// expired or an operator lifted the barrier.
func (h *Holder) lossIrrelevant(now time.Time) bool {
	return h.barrierLifted || now.After(h.barrierEnd())
}

// recoveryPhase returns the phase of a holder that does not leave. Without its
// sets a holder can't tell whether it lost anything, and counts as recovering.
func (h *Holder) recoveryPhase(now time.Time) Phase {
	if h.lossIrrelevant(now) {
		return PhaseWhole
	}
	if !h.registered() {
		return PhaseRecovering
	}
	phase := PhaseWhole
	for i := range h.sets {
		if h.sets[i].contains(h.cfg.Self) {
			phase = worsePhase(phase, h.phaseIn(&h.sets[i]))
		}
	}
	return phase
}

// wholeIn returns the sets of which the holder has every claim.
func (h *Holder) wholeIn(now time.Time) []SetTag {
	var tags []SetTag
	for i := range h.sets {
		s := &h.sets[i]
		if s.contains(h.cfg.Self) && (h.lossIrrelevant(now) || h.phaseIn(s) == PhaseWhole) {
			tags = append(tags, s.tag)
		}
	}
	return tags
}

func worsePhase(a, b Phase) Phase {
	if a == PhaseBarrier || b == PhaseBarrier {
		return PhaseBarrier
	}
	return min(a, b)
}

// phaseIn returns the phase with regard to the claims of one set.
func (h *Holder) phaseIn(s *holderSet) Phase {
	if s.whole || s.ObservedFromStart {
		s.whole = true
		return PhaseWhole
	}
	read, lost := 0, 0
	for _, name := range s.others(h.cfg.Self) {
		p := h.peers[name]
		switch {
		case p.hasRead(s.tag):
			read++
		case h.cannotRefill(name, p):
			lost++
		}
	}
	switch {
	case read >= s.refillQuorum():
		s.whole = true
		return PhaseWhole
	case len(s.Holders)-1-lost < s.refillQuorum():
		return PhaseBarrier
	default:
		return PhaseRecovering
	}
}

// cannotRefill reports whether a holder is no source for a refill: it has lost
// its own votes, or it is no longer registered.
func (h *Holder) cannotRefill(name keel.InstanceName, p *refillPeer) bool {
	if p != nil && p.replied && (p.phase == PhaseRecovering || p.phase == PhaseBarrier) {
		return true
	}
	return !slices.ContainsFunc(h.sets, func(s holderSet) bool { return s.Until.IsZero() && s.contains(name) })
}

// Refills returns the next message for each holder that is not read completely.
// It is empty once the holder is whole.
func (h *Holder) Refills(now time.Time) map[keel.InstanceName]Refill {
	if p := h.Phase(now); p == PhaseWhole || p == PhaseLeaving {
		return nil
	}
	out := map[keel.InstanceName]Refill{}
	for _, s := range h.sets {
		if !s.contains(h.cfg.Self) || s.whole {
			continue
		}
		for _, name := range s.others(h.cfg.Self) {
			if p := h.peer(name); !p.hasRead(s.tag) {
				out[name] = Refill{Incarnation: h.cfg.Incarnation, After: p.cursor}
			}
		}
	}
	return out
}

func (h *Holder) peer(name keel.InstanceName) *refillPeer {
	p, ok := h.peers[name]
	if !ok {
		p = &refillPeer{}
		h.peers[name] = p
	}
	return p
}

// Refilled handles the reply of another holder to a [Refill] that asked for the
// claims after the given position.
func (h *Holder) Refilled(now time.Time, from keel.InstanceName, after uint64, reply Reply) {
	p := h.peer(from)
	if reply.Page == nil || reply.Incarnation < p.incarnation {
		return
	}
	if reply.Incarnation > p.incarnation {
		*p = refillPeer{incarnation: reply.Incarnation, readSets: p.readSets}
	}
	p.replied, p.phase = true, reply.Phase
	for _, f := range reply.Page.Fences {
		h.raiseFence(now, f)
	}
	h.addReportedSets(now, reply.Page.Former)
	h.Push(now, Push{Records: reply.Page.Records})
	if after != p.cursor {
		return
	}
	p.cursor = reply.Page.Next
	if !reply.Page.Last {
		return
	}
	for _, tag := range reply.Page.WholeIn {
		if !p.hasRead(tag) {
			p.readSets = append(p.readSets, tag)
		}
	}
}

// Refill answers another holder that restarted. From now on every vote of this
// holder carries a fence that voids the votes of the other one's earlier
// incarnations. The other holder reads all claims that this one voted for
// before; claimants that get later votes must ask it again.
func (h *Holder) Refill(now time.Time, from keel.InstanceName, m Refill) Page {
	h.Expire(now)
	h.raiseFence(now, Fence{Holder: from, Incarnation: m.Incarnation})
	return h.page(now, m.After)
}

// page returns the claims after a position in useOrder.
func (h *Holder) page(now time.Time, after uint64) Page {
	page := Page{Next: after, Fences: h.recentFences(now), WholeIn: h.wholeIn(now), Former: h.formerSets(now)}
	i := h.indexAfter(after)
	for ; i < len(h.useOrder) && len(page.Records) < pageRecords; i++ {
		e := h.useOrder[i]
		page.Next = e.seq
		if r, ok := h.records[e.key]; ok && r.seq == e.seq {
			page.Records = append(page.Records, pageRecord(now, e.key, r))
		}
	}
	page.Last = i == len(h.useOrder)
	return page
}

func pageRecord(now time.Time, key KeyID, r *record) PageRecord {
	return PageRecord{
		Key:         key,
		Attempts:    r.attempts(),
		BodyHash:    r.bodyHash,
		MixedBodies: r.mixedBodies,
		State:       r.state,
		Age:         keel.Duration(max(0, now.Sub(r.touched))),
	}
}

func (h *Holder) raiseFence(now time.Time, f Fence) {
	if f.Holder != h.cfg.Self && f.Incarnation > h.fences[f.Holder].incarnation {
		h.fences[f.Holder] = fence{incarnation: f.Incarnation, at: now}
	}
}

// recentFences returns the fences that a running attempt may still depend on.
func (h *Holder) recentFences(now time.Time) []Fence {
	var out []Fence
	for name, f := range h.fences {
		if now.Sub(f.at) <= h.cfg.Retention {
			out = append(out, Fence{Holder: name, Incarnation: f.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Fence) int { return strings.Compare(string(a.Holder), string(b.Holder)) })
	return out
}

// Push merges claims that another holder reported.
func (h *Holder) Push(now time.Time, m Push) {
	h.Expire(now)
	for _, rec := range m.Records {
		h.mergeRecord(now, rec)
	}
}

func (h *Holder) mergeRecord(now time.Time, rec PageRecord) {
	live := slices.DeleteFunc(slices.Clone(rec.Attempts), func(a Attempt) bool {
		_, gone := h.released[a]
		return gone
	})
	if len(live) == 0 || rec.Age.Std() > h.cfg.Retention {
		return
	}
	if settled(rec.State) {
		h.mergeOutcome(now, rec)
		return
	}
	r, ok := h.records[rec.Key]
	if !ok {
		r = &record{attempt: live[0], bodyHash: rec.BodyHash, mixedBodies: rec.MixedBodies, state: StateFree}
		r.fire(eventHear)
		h.addWithAge(now, rec, r)
	}
	if settled(r.state) {
		return
	}
	added := false
	for _, a := range live {
		added = r.addAttempt(a) || added
	}
	if added {
		r.mixedBodies = r.mixedBodies || rec.MixedBodies || r.bodyHash != rec.BodyHash
		h.moveToEnd(rec.Key, r)
	}
}

// mergeOutcome merges the outcome of a claim. Recorded answers are not
// transferred.
func (h *Holder) mergeOutcome(now time.Time, rec PageRecord) {
	r, ok := h.records[rec.Key]
	if !ok {
		r = &record{state: StateFree}
	}
	if settled(r.state) && r.attempt != rec.Attempts[0] {
		h.stats.Conflicts++
		return
	}
	if !settled(r.state) {
		r.settle(rec.Attempts[0], rec.BodyHash)
	}
	if rec.State == StateUnknown {
		r.fire(eventSettleUnknown)
	} else {
		r.fire(eventSettleRan)
	}
	if !ok {
		h.addWithAge(now, rec, r)
		return
	}
	h.moveToEnd(rec.Key, r)
}

// addWithAge adds a record that was last used at the other holder.
func (h *Holder) addWithAge(now time.Time, rec PageRecord, r *record) {
	h.add(now, rec.Key, r)
	r.touched = now.Add(-rec.Age.Std())
}
