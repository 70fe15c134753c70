package keelclaim

import (
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// formerHomes is a set of failure domains that were possible homes until some
// time.
type formerHomes struct {
	domains []keel.DomainName
	until   time.Time
}

// possibleHomes returns the declared failure domains with registered instances.
// A domain without any can't be a home.
func (s *Service) possibleHomes() []keel.DomainName {
	return slices.DeleteFunc(slices.Clone(s.cfg.Domains()), func(d keel.DomainName) bool {
		return !slices.ContainsFunc(s.cfg.Holders(d), func(set Set) bool {
			return set.Until.IsZero() && len(set.Holders) > 0
		})
	})
}

// updateHomes records the former set of possible homes when the set changes,
// since earlier keys may have been claimed at their former home.
func (s *Service) updateHomes(now time.Time) {
	domains := s.possibleHomes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(domains, s.homeDomains) && len(s.homeDomains) > 0 {
		s.formerHomes = append(s.formerHomes, formerHomes{domains: s.homeDomains, until: now})
	}
	s.homeDomains = domains
	s.formerHomes = slices.DeleteFunc(s.formerHomes, func(f formerHomes) bool {
		return now.Sub(f.until) > s.maxRetention()
	})
}

// homeSets returns the sets of possible homes: the current one and the former
// ones within the retention.
func (s *Service) homeSets(now time.Time) [][]keel.DomainName {
	s.updateHomes(now)
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
// retention. Holders report them with their votes, since a claimant that
// restarted has only the current home. The caller holds s.mu.
func (s *Service) formerSets(now time.Time, key KeyID) []FormerSet {
	current, _ := HomeOf(key, s.homeDomains)
	var out []FormerSet
	for _, f := range s.formerHomes {
		home, ok := HomeOf(key, f.domains)
		if !ok || home == current {
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

// ticketHome returns the home of a new ticket.
func (s *Service) ticketHome(now time.Time) keel.DomainName {
	for _, d := range append([]keel.DomainName{s.cfg.Self.Domain}, s.possibleHomes()...) {
		if s.claimable(now, d) {
			return d
		}
	}
	return s.cfg.Self.Domain
}

// claimable reports whether a majority of the home's holders is live as far as
// this instance can tell, so that keys can be claimed there.
func (s *Service) claimable(now time.Time, home keel.DomainName) bool {
	return s.cfg.Live == nil || haveLiveMajorities(InForce(s.cfg.Holders(home), now, s.maxRetention()), s.cfg.Live())
}
