package keelclaim

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// formerHomes is a set of failure domains that could be homes until a time.
type formerHomes struct {
	domains []keel.DomainName
	until   time.Time
}

// eligible returns the declared failure domains with registered instances. The
// others can't be homes.
func (s *Service) eligible() []keel.DomainName {
	return slices.DeleteFunc(slices.Clone(s.cfg.Domains()), func(d keel.DomainName) bool {
		return !slices.ContainsFunc(s.cfg.Holders(d), func(set Set) bool {
			return set.Until.IsZero() && len(set.Holders) > 0
		})
	})
}

// noteHomes remembers the set of possible homes when it changes, since keys of
// before may be claimed at their former home.
func (s *Service) noteHomes(now time.Time) {
	domains := s.eligible()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(domains, s.homeDomains) && len(s.homeDomains) > 0 {
		s.formerHomes = append(s.formerHomes, formerHomes{domains: s.homeDomains, until: now})
	}
	s.homeDomains = domains
	s.formerHomes = slices.DeleteFunc(s.formerHomes, func(f formerHomes) bool {
		return now.Sub(f.until) > s.memory()
	})
}

// homeSets returns the sets of possible homes: the present one and the
// former ones within the retention.
func (s *Service) homeSets(now time.Time) [][]keel.DomainName {
	s.noteHomes(now)
	var sets [][]keel.DomainName
	if s.cfg.FormerDomains != nil {
		sets = append(sets, s.cfg.FormerDomains()...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sets = append(sets, s.homeDomains)
	for _, f := range s.formerHomes {
		sets = append(sets, f.domains)
	}
	return sets
}

// formerSets returns the holders of the homes that a key had within the
// retention. Holders pass them on with their votes, since a claimant that
// restarted knows only the present home. The caller holds s.mu.
func (s *Service) formerSets(now time.Time, key KeyID) []FormerSet {
	present, _ := HomeOf(key, s.homeDomains)
	var out []FormerSet
	for _, f := range s.formerHomes {
		home, ok := HomeOf(key, f.domains)
		if !ok || home == present {
			continue
		}
		for _, set := range s.cfg.Holders(home) {
			if len(set.Holders) > 0 {
				out = append(out, FormerSet{Holders: set.Holders, Age: keel.Duration(max(0, now.Sub(f.until)))})
			}
		}
	}
	return out
}

// ticketHome returns the home of a new key.
func (s *Service) ticketHome(now time.Time) keel.DomainName {
	for _, d := range append([]keel.DomainName{s.cfg.Self.Domain}, s.eligible()...) {
		if s.claimable(now, d) {
			return d
		}
	}
	return s.cfg.Self.Domain
}

// claimable reports whether keys can be claimed at a home, as far as is known
// here.
func (s *Service) claimable(now time.Time, home keel.DomainName) bool {
	return s.cfg.Live == nil || majorities(InForce(s.cfg.Holders(home), now, s.memory()), s.cfg.Live())
}
