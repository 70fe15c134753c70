package keelguard

import (
	"slices"
	"time"
)

// Permit decides, at the home of a fingerprint, whether one more endpoint may
// be risked. A permission that does not end in evidence, in a cleared request
// or in [Poison.Return] counts like a crash until the retention has passed.
func (p *Poison) Permit(now time.Time, fp ID) bool {
	if !p.remembers(now) {
		return false
	}
	e := p.entry(now, fp)
	permitted := !e.permit.IsZero() && now.Sub(e.permit) <= p.cfg.Retention
	if permitted || len(p.live(now, e)) >= refusedAt {
		return false
	}
	e.permit = now
	return true
}

// remembers reports whether no permission from before the start can be in use
// without being known.
func (p *Poison) remembers(now time.Time) bool {
	return p.recalled || now.Sub(p.cfg.Started) >= p.cfg.PermitTime
}

// Recalled notes that every permission from before the start was told to
// [Poison.Used].
func (p *Poison) Recalled() { p.recalled = true }

// Used notes that another instance uses a permission which this one does not
// remember. It counts until it ends like one that was given here, but at most
// for the PermitTime.
func (p *Poison) Used(now time.Time, fp ID) {
	if e := p.entry(now, fp); e.permit.IsZero() {
		e.permit = now.Add(p.cfg.PermitTime - p.cfg.Retention)
	}
}

// Permitted returns the fingerprints with a permission that was given, or was
// heard of, that long ago and has not ended.
func (p *Poison) Permitted(now time.Time, age time.Duration) []ID {
	var out []ID
	for fp, e := range p.entries {
		if !e.permit.IsZero() && now.Sub(e.permit) >= age {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

// Return takes a permission back whose request met no crash.
func (p *Poison) Return(fp ID) {
	if e, ok := p.entries[fp]; ok {
		e.permit = time.Time{}
	}
}
