package keelguard

import (
	"slices"
	"time"
)

// Permit decides, at the home of a fingerprint, whether one more endpoint may
// be risked. A permit ends with new evidence, when the request is cleared, or
// by [PoisonDetector.ReturnPermit]. Until then, at most for the retention, no
// other permit is given.
func (p *PoisonDetector) Permit(now time.Time, fp ID) bool {
	if !p.knowsPermits(now) {
		return false
	}
	e := p.entry(now, fp)
	permitted := !e.permittedAt.IsZero() && now.Sub(e.permittedAt) <= p.cfg.Retention
	if permitted || len(p.countingCrashes(now, e)) >= refusalCrashes {
		return false
	}
	e.permittedAt = now
	return true
}

// knowsPermits reports whether every permit from before the start is known here
// or has expired.
func (p *PoisonDetector) knowsPermits(now time.Time) bool {
	return p.permitsKnown || now.Sub(p.cfg.Started) >= p.cfg.PermitTime
}

// MarkPermitsKnown records that every permit from before the start was passed
// to [PoisonDetector.AddPermit].
func (p *PoisonDetector) MarkPermitsKnown() { p.permitsKnown = true }

// AddPermit records a permit that another instance uses and that this one has
// no record of. It ends like one that was given here, but after at most the
// PermitTime.
func (p *PoisonDetector) AddPermit(now time.Time, fp ID) {
	if e := p.entry(now, fp); e.permittedAt.IsZero() {
		e.permittedAt = now.Add(p.cfg.PermitTime - p.cfg.Retention)
	}
}

// PermitsOlderThan returns the fingerprints with a permit that was recorded at
// least that long ago and has not ended.
func (p *PoisonDetector) PermitsOlderThan(now time.Time, age time.Duration) []ID {
	var out []ID
	for fp, e := range p.entries {
		if !e.permittedAt.IsZero() && now.Sub(e.permittedAt) >= age {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

// ReturnPermit ends a permit whose request met no crash.
func (p *PoisonDetector) ReturnPermit(fp ID) {
	if e, ok := p.entries[fp]; ok {
		e.permittedAt = time.Time{}
	}
}
