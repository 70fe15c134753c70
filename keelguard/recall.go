package keelguard

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// discoveryTime is how long after its start an instance may need to find every
// live instance that it can reach. Those that [Config.Live] lacks after that
// count as unreachable.
const discoveryTime = 5 * time.Second

// maxRecalls limits the number of instances that are asked at the same time for
// their permits in use.
const maxRecalls = 16

// permitReports records which instances have reported their permits in use. The
// reports replace the records that this instance lacks: those of the permits that
// it gave before a restart, and those of lost homes.
type permitReports struct {
	// reported holds the instances that have reported their permits in use
	// since this one started.
	reported map[keel.InstanceName]bool
	// lost holds the homes that are not live, and whose permits all live
	// instances have reported.
	lost map[keel.InstanceName]bool
}

// rankedHomes returns the possible homes of a fingerprint in the order of
// preference. The first live one is the home.
func (s *Service) rankedHomes(fp ID) []keel.InstanceName {
	homes := slices.Clone(s.cfg.Homes())
	weight := func(n keel.InstanceName) uint64 { return xxh3.HashStringSeed(string(n), uint64(fp)) }
	slices.SortFunc(homes, func(a, b keel.InstanceName) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return homes
}

// home returns the instance that gives the permits for a fingerprint.
func (s *Service) home(fp ID) (keel.InstanceName, bool) {
	live := s.livePredicate()
	for _, h := range s.rankedHomes(fp) {
		if live(h) {
			return h, true
		}
	}
	return "", false
}

// livePredicate returns a function that reports which homes are live now.
func (s *Service) livePredicate() func(keel.InstanceName) bool {
	if s.cfg.Live == nil {
		return func(keel.InstanceName) bool { return true }
	}
	others := s.cfg.Live()
	return func(n keel.InstanceName) bool { return n == s.cfg.Self.Name || others[n] }
}

// isHome reports whether this instance may give permits for a fingerprint:
// every preferred home is lost, and the permits that those homes gave have been
// reported. The caller holds mu.
func (s *Service) isHome(fp ID) bool {
	live := s.livePredicate()
	for _, h := range s.rankedHomes(fp) {
		if h == s.cfg.Self.Name {
			return true
		}
		if live(h) {
			return false
		}
		if !s.permitReports.lost[h] {
			s.recallNeeded = true
			return false
		}
	}
	return false
}

// recallIfNeeded calls Recall only if a permit was refused because reports are
// missing, so that instances without suspects need no connections to all
// others.
func (s *Service) recallIfNeeded(ctx context.Context) {
	s.mu.Lock()
	needed := s.recallNeeded
	s.recallNeeded = false
	s.mu.Unlock()
	if needed {
		s.Recall(ctx)
	}
}

// Recall asks other instances for their permits in use: every registered one
// after the start, and the live ones after the loss of a home. Until the live
// ones have replied, this instance gives no permits.
func (s *Service) Recall(ctx context.Context) {
	homes, isLive := s.cfg.Homes(), s.livePredicate()
	live := slices.DeleteFunc(slices.Clone(homes), func(n keel.InstanceName) bool { return !isLive(n) })
	lost := slices.DeleteFunc(slices.Clone(homes), isLive)
	ask := s.notReported(homes)
	newlyLost := s.dropReturnedHomes(lost)
	if newlyLost {
		ask = live
	}
	replied := s.askInUse(ctx, ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range replied {
		s.permitReports.reported[name] = true
	}
	if s.discoveryDone() && len(homes) > 0 && s.allReported(live) {
		s.poison.MarkPermitsKnown()
	}
	if newlyLost && !slices.ContainsFunc(live, func(n keel.InstanceName) bool { return !slices.Contains(replied, n) }) {
		for _, name := range lost {
			s.permitReports.lost[name] = true
		}
	}
}

// notReported returns the instances that have not reported their permits in use
// since the start. It is empty once permits from before the start no longer
// matter.
func (s *Service) notReported(homes []keel.InstanceName) []keel.InstanceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poison.knowsPermits(s.cfg.Clock.Now()) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(homes), func(n keel.InstanceName) bool { return s.permitReports.reported[n] })
}

// discoveryDone reports whether this instance has run for long enough to have
// found every live instance that it can reach.
func (s *Service) discoveryDone() bool {
	return s.cfg.Clock.Since(s.cfg.Poison.Started) >= discoveryTime
}

func (s *Service) allReported(homes []keel.InstanceName) bool {
	return !slices.ContainsFunc(homes, func(n keel.InstanceName) bool { return !s.permitReports.reported[n] })
}

// dropReturnedHomes removes the homes that are live again from the recorded
// ones. It reports whether there is a lost home whose permits have not been
// reported by all live instances.
func (s *Service) dropReturnedHomes(lost []keel.InstanceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.permitReports.lost, func(n keel.InstanceName, _ bool) bool { return !slices.Contains(lost, n) })
	return len(s.permitReports.lost) < len(lost)
}

// askInUse asks instances for their permits in use, and returns those that have
// replied.
func (s *Service) askInUse(ctx context.Context, names []keel.InstanceName) []keel.InstanceName {
	r := &recallRound{service: s, ctx: ctx}
	p := pool.New().WithMaxGoroutines(maxRecalls)
	for _, name := range names {
		p.Go(func() { r.run(name) })
	}
	p.Wait()
	return r.replied
}

// recallRound asks several instances concurrently and collects those that
// replied.
type recallRound struct {
	service *Service
	ctx     context.Context
	mu      sync.Mutex
	replied []keel.InstanceName
}

func (r *recallRound) run(from keel.InstanceName) {
	s := r.service
	// This instance may be among names: it may use a permit of a lost home.
	reply, err := s.exchange(r.ctx, from, Message{AskInUse: true})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("instance", from).Debug("permits in use were not reported")
		return
	}
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	// The evidence is merged first, since new evidence ends a permit.
	s.poison.Merge(now, reply.Evidence)
	for _, fp := range reply.InUse {
		s.poison.AddPermit(now, fp)
		s.permitUsers[fp] = from
	}
	s.mu.Unlock()
	r.add(from)
}

func (r *recallRound) add(name keel.InstanceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replied = append(r.replied, name)
}

// inUse returns the fingerprints with a permit that is used or requested here,
// and the evidence against them and those in about. The caller holds mu.
func (s *Service) inUse(now time.Time, about []ID) ([]ID, []Evidence) {
	all := make(map[ID]bool, len(s.usedPermits)+len(s.pendingPermits))
	for fp := range s.usedPermits {
		all[fp] = true
	}
	for fp := range s.pendingPermits {
		all[fp] = true
	}
	ids := slices.Sorted(maps.Keys(all))
	var evidence []Evidence
	for _, fp := range about {
		evidence = append(evidence, s.poison.EvidenceOf(now, fp)...)
	}
	for _, fp := range ids {
		evidence = append(evidence, s.poison.EvidenceOf(now, fp)...)
	}
	return ids, evidence[:min(len(evidence), maxEvidence)]
}
