package keelguard

import (
	"maps"
	"slices"

	keel "github.com/greengagekeel/greengagekeel"
)

// Dump is the state of a [Service] for operators.
type Dump struct {
	// Fingerprints counts the requests with evidence.
	Fingerprints int `json:"fingerprints"`
	// Refused lists the fingerprints that are refused now. An operator lifts
	// one by the label [keel.LabelPoisonLift].
	Refused []ID `json:"refused"`
	// Suspects lists the fingerprints with one crash.
	Suspects []ID `json:"suspects"`
	// Refusals counts the refused requests.
	Refusals uint64     `json:"refusals"`
	Evidence []Evidence `json:"evidence"`
	// GivesPermissions says that this instance may give permits: the others have
	// reported every permit from before its start, or these have expired.
	GivesPermissions bool `json:"gives_permissions"`
	// Reported lists the instances that have reported their permits in use
	// since this one started, and LostHomes the lost homes whose fingerprints
	// the next home has taken over.
	Reported  []keel.InstanceName `json:"told"`
	LostHomes []keel.InstanceName `json:"lost_homes"`
}

// Dump returns the state of the service, a [Dump].
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	d := Dump{Fingerprints: len(s.poison.entries), Refusals: s.refusals, Evidence: s.poison.Evidence(now)}
	d.GivesPermissions = s.poison.knowsPermits(now)
	d.Reported = slices.Sorted(maps.Keys(s.permitReports.reported))
	d.LostHomes = slices.Sorted(maps.Keys(s.permitReports.lost))
	for fp, e := range s.poison.entries {
		switch crashes := len(s.poison.countingCrashes(now, e)); {
		case crashes >= refusalCrashes:
			d.Refused = append(d.Refused, fp)
		case crashes > 0:
			d.Suspects = append(d.Suspects, fp)
		}
	}
	return d
}
