package keelclaim

import (
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Phase says whether a holder knows every claim that may have been acted on.
type Phase uint8

// Phases of a holder.
const (
	// PhaseRecovering holders are reading from the others what they lost.
	PhaseRecovering Phase = iota
	// PhaseWhole holders have lost nothing, or have read it again.
	PhaseWhole
	// PhaseBarrier holders can't read what they lost, since too many others
	// have lost it as well.
	PhaseBarrier
	// PhaseLeaving holders give no more votes.
	PhaseLeaving
)

var phaseTexts = [...]string{
	PhaseRecovering: "recovering", PhaseWhole: "whole", PhaseBarrier: "barrier", PhaseLeaving: "leaving",
}

// String returns the phase as it stands in dumps.
func (p Phase) String() string { return phaseTexts[p] }

// MarshalText implements [encoding.TextMarshaler].
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// refillPeer is what a holder knows about another one.
type refillPeer struct {
	incarnation uint64
	phase       Phase
	heard       bool
	cursor      uint64
	// read lists the sets of which all claims of the peer were read while it
	// knew every one.
	read []SetTag
}

func (p *refillPeer) hasRead(t SetTag) bool { return p != nil && slices.Contains(p.read, t) }

// fence is the latest start of a holder that has asked for a refill.
type fence struct {
	incarnation uint64
	at          time.Time
}

// holderSet is a set together with what the holder knows about its own votes.
type holderSet struct {
	Set
	tag SetTag
	// whole says that the holder knows every claim of the set that may have
	// been acted on. It stays so until the holder restarts.
	whole bool
}

// SetHolders tells the sets of the holder's failure domain that are in force,
// current and former ones.
func (h *Holder) SetHolders(now time.Time, told []Set) {
	h.told = told
	sets, known := h.withLearnt(now), h.sets
	h.sets = make([]holderSet, len(sets))
	for i, s := range sets {
		tag := s.Tag()
		whole := slices.ContainsFunc(known, func(k holderSet) bool { return k.tag == tag && k.whole })
		h.sets[i] = holderSet{Set: s, tag: tag, whole: whole}
	}
}

// Sets returns the sets that the holder was told of.
func (h *Holder) Sets() []Set {
	sets := make([]Set, len(h.sets))
	for i, s := range h.sets {
		sets[i] = s.Set
	}
	return sets
}

// LiftBarrier sets whether operators assert that no key from before the loss is
// sent again.
func (h *Holder) LiftBarrier(lifted bool) { h.lifted = lifted }

// Leave stops the holder from voting.
func (h *Holder) Leave() { h.leaving = true }

func (h *Holder) registered() bool {
	return slices.ContainsFunc(h.sets, func(s holderSet) bool { return s.has(h.cfg.Self) })
}

// memoryEnd is when every vote that was lost would have been forgotten.
func (h *Holder) memoryEnd() time.Time {
	return h.cfg.Started.Add(h.cfg.Retention + h.cfg.ClockSlack)
}

// Phase returns the holder's phase.
func (h *Holder) Phase(now time.Time) Phase {
	phase := h.memory(now)
	if h.leaving && phase == PhaseWhole {
		return PhaseLeaving
	}
	return phase
}

// forgotten reports whether no lost vote can matter any more.
func (h *Holder) forgotten(now time.Time) bool { return h.lifted || now.After(h.memoryEnd()) }

// memory returns the phase of a holder that does not leave. A holder that has
// not heard of its sets yet can't know whether it lost anything.
func (h *Holder) memory(now time.Time) Phase {
	if h.forgotten(now) {
		return PhaseWhole
	}
	if !h.registered() {
		return PhaseRecovering
	}
	phase := PhaseWhole
	for i := range h.sets {
		if h.sets[i].has(h.cfg.Self) {
			phase = worse(phase, h.phaseIn(&h.sets[i]))
		}
	}
	return phase
}

// wholeIn returns the sets of which the holder knows every claim.
func (h *Holder) wholeIn(now time.Time) []SetTag {
	var tags []SetTag
	for i := range h.sets {
		s := &h.sets[i]
		if s.has(h.cfg.Self) && (h.forgotten(now) || h.phaseIn(s) == PhaseWhole) {
			tags = append(tags, s.tag)
		}
	}
	return tags
}

func worse(a, b Phase) Phase {
	if a == PhaseBarrier || b == PhaseBarrier {
		return PhaseBarrier
	}
	return min(a, b)
}

// phaseIn returns the phase with regard to the votes of one set.
func (h *Holder) phaseIn(s *holderSet) Phase {
	if s.whole || s.SeenNew {
		s.whole = true
		return PhaseWhole
	}
	read, lost := 0, 0
	for _, name := range s.others(h.cfg.Self) {
		p := h.peers[name]
		switch {
		case p.hasRead(s.tag):
			read++
		case h.isLost(name, p):
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

// isLost reports whether a holder can't help: it has lost its own votes, or it
// was struck off the registered instances.
func (h *Holder) isLost(name keel.InstanceName, p *refillPeer) bool {
	if p != nil && p.heard && (p.phase == PhaseRecovering || p.phase == PhaseBarrier) {
		return true
	}
	return !slices.ContainsFunc(h.sets, func(s holderSet) bool { return s.Until.IsZero() && s.has(name) })
}

// Refills returns the next message for each holder that is still to be read. It
// is empty once the holder is whole.
func (h *Holder) Refills(now time.Time) map[keel.InstanceName]Refill {
	if p := h.Phase(now); p == PhaseWhole || p == PhaseLeaving {
		return nil
	}
	out := map[keel.InstanceName]Refill{}
	for _, s := range h.sets {
		if !s.has(h.cfg.Self) || s.whole {
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

// Refilled takes the reply of another holder to a [Refill] that asked for the
// claims after the position after.
func (h *Holder) Refilled(now time.Time, from keel.InstanceName, after uint64, reply Reply) {
	p := h.peer(from)
	if reply.Page == nil || reply.Incarnation < p.incarnation {
		return
	}
	if reply.Incarnation > p.incarnation {
		*p = refillPeer{incarnation: reply.Incarnation, read: p.read}
	}
	p.heard, p.phase = true, reply.Phase
	for _, f := range reply.Page.Fences {
		h.raiseFence(now, f)
	}
	h.hearFormer(now, reply.Page.Former)
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
			p.read = append(p.read, tag)
		}
	}
}

// Refill answers another holder that restarted. From now on every vote of this
// holder tells the claimant that the other one's earlier votes are void: the
// other one learns of all claims that were voted for before, and claimants of
// later ones ask it again.
func (h *Holder) Refill(now time.Time, from keel.InstanceName, m Refill) Page {
	h.Expire(now)
	h.raiseFence(now, Fence{Holder: from, Incarnation: m.Incarnation})
	return h.page(now, m.After)
}

// page returns the claims after a position in the list.
func (h *Holder) page(now time.Time, after uint64) Page {
	page := Page{Next: after, Fences: h.recentFences(now), WholeIn: h.wholeIn(now), Former: h.former(now)}
	i := h.after(after)
	for ; i < len(h.list) && len(page.Records) < pageRecords; i++ {
		e := h.list[i]
		page.Next = e.seq
		if r, ok := h.records[e.key]; ok && r.seq == e.seq {
			page.Records = append(page.Records, pageRecord(now, e.key, r))
		}
	}
	page.Last = i == len(h.list)
	return page
}

func pageRecord(now time.Time, key KeyID, r *record) PageRecord {
	return PageRecord{
		Key:      key,
		Attempts: r.attempts(),
		BodyHash: r.bodyHash,
		Mixed:    r.mixed,
		State:    r.state,
		Age:      keel.Duration(max(0, now.Sub(r.touched))),
	}
}

func (h *Holder) raiseFence(now time.Time, f Fence) {
	if f.Holder != h.cfg.Self && f.Incarnation > h.fences[f.Holder].incarnation {
		h.fences[f.Holder] = fence{incarnation: f.Incarnation, at: now}
	}
}

// recentFences returns the fences that a running attempt could still need.
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

// Push takes claims that another holder knows of.
func (h *Holder) Push(now time.Time, m Push) {
	h.Expire(now)
	for _, rec := range m.Records {
		h.hear(now, rec)
	}
}

func (h *Holder) hear(now time.Time, rec PageRecord) {
	live := slices.DeleteFunc(slices.Clone(rec.Attempts), func(a Attempt) bool {
		_, gone := h.released[a]
		return gone
	})
	if len(live) == 0 || rec.Age.Std() > h.cfg.Retention {
		return
	}
	if settled(rec.State) {
		h.hearOutcome(now, rec)
		return
	}
	r, ok := h.records[rec.Key]
	if !ok {
		r = &record{attempt: live[0], bodyHash: rec.BodyHash, mixed: rec.Mixed, state: StateFree}
		r.fire(eventHear)
		h.addAged(now, rec, r)
	}
	if settled(r.state) {
		return
	}
	news := false
	for _, a := range live {
		news = r.hear(a) || news
	}
	if news {
		r.mixed = r.mixed || rec.Mixed || r.bodyHash != rec.BodyHash
		h.relist(rec.Key, r)
	}
}

// hearOutcome takes the outcome of a claim. The recorded answer stays where it
// is.
func (h *Holder) hearOutcome(now time.Time, rec PageRecord) {
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
		h.addAged(now, rec, r)
		return
	}
	h.relist(rec.Key, r)
}

// addAged adds a record whose age counts from its use at the other holder.
func (h *Holder) addAged(now time.Time, rec PageRecord, r *record) {
	h.add(now, rec.Key, r)
	r.touched = now.Add(-rec.Age.Std())
}
