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

// settleTime is how long after the start an instance counts every registered one
// that it hasn't heard yet as live. Those still unheard then can't be reached.
const settleTime = 5 * time.Second

// maxRecalls bounds the instances that are asked at once which permissions they
// use.
const maxRecalls = 16

// recalled is what a home has learnt about permissions that it does not
// remember: its own from before a restart, and those of homes that are lost.
type recalled struct {
	// told holds the instances that have told which permissions they use since
	// this one started.
	told map[keel.InstanceName]bool
	// lost holds the homes that are not live and that the live instances have
	// told their permissions of.
	lost map[keel.InstanceName]bool
}

// ranked returns the possible homes of a fingerprint, the first one first. The
// first one that is live is the home.
func (s *Service) ranked(fp ID) []keel.InstanceName {
	homes := slices.Clone(s.cfg.Homes())
	weight := func(n keel.InstanceName) uint64 { return xxh3.HashStringSeed(string(n), uint64(fp)) }
	slices.SortFunc(homes, func(a, b keel.InstanceName) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return homes
}

// home returns the instance that gives the permissions for a fingerprint.
func (s *Service) home(fp ID) (keel.InstanceName, bool) {
	live := s.live()
	for _, h := range s.ranked(fp) {
		if live(h) {
			return h, true
		}
	}
	return "", false
}

// live returns a function that tells which homes are live now.
func (s *Service) live() func(keel.InstanceName) bool {
	if s.cfg.Live == nil {
		return func(keel.InstanceName) bool { return true }
	}
	others := s.cfg.Live()
	return func(n keel.InstanceName) bool { return n == s.cfg.Self.Name || others[n] }
}

// isHome reports whether this instance may give permissions for a fingerprint:
// every home before it is lost, and the permissions which those gave are known.
// The caller holds mu.
func (s *Service) isHome(fp ID) bool {
	live := s.live()
	for _, h := range s.ranked(fp) {
		if h == s.cfg.Self.Name {
			return true
		}
		if live(h) {
			return false
		}
		if !s.recalled.lost[h] {
			s.wanted = true
			return false
		}
	}
	return false
}

// recallIfWanted asks other instances only if a permission was refused for want
// of what they know, so that instances which have no suspects need no
// connections to all others.
func (s *Service) recallIfWanted(ctx context.Context) {
	s.mu.Lock()
	wanted := s.wanted
	s.wanted = false
	s.mu.Unlock()
	if wanted {
		s.Recall(ctx)
	}
}

// Recall asks other instances which permissions they use: every registered one
// after the start, and the live ones after the loss of a home. Until the live
// ones have told, this instance gives none.
func (s *Service) Recall(ctx context.Context) {
	homes, isLive := s.cfg.Homes(), s.live()
	live := slices.DeleteFunc(slices.Clone(homes), func(n keel.InstanceName) bool { return !isLive(n) })
	lost := slices.DeleteFunc(slices.Clone(homes), isLive)
	ask := s.untold(homes)
	all := s.forgetReturned(lost)
	if all {
		ask = live
	}
	told := s.askInUse(ctx, ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range told {
		s.recalled.told[name] = true
	}
	if s.settled() && len(homes) > 0 && s.toldBy(live) {
		s.poison.Recalled()
	}
	if all && !slices.ContainsFunc(live, func(n keel.InstanceName) bool { return !slices.Contains(told, n) }) {
		for _, name := range lost {
			s.recalled.lost[name] = true
		}
	}
}

// untold returns the instances that have not told their permissions since the
// start, as long as that matters.
func (s *Service) untold(homes []keel.InstanceName) []keel.InstanceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poison.remembers(s.cfg.Clock.Now()) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(homes), func(n keel.InstanceName) bool { return s.recalled.told[n] })
}

// settled reports whether this instance has run for long enough to have heard
// every instance that it can reach.
func (s *Service) settled() bool {
	return s.cfg.Clock.Since(s.cfg.Poison.Started) >= settleTime
}

func (s *Service) toldBy(homes []keel.InstanceName) bool {
	return !slices.ContainsFunc(homes, func(n keel.InstanceName) bool { return !s.recalled.told[n] })
}

// forgetReturned drops the homes that are live again, and reports whether one is
// lost that was live before.
func (s *Service) forgetReturned(lost []keel.InstanceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.recalled.lost, func(n keel.InstanceName, _ bool) bool { return !slices.Contains(lost, n) })
	return len(s.recalled.lost) < len(lost)
}

// askInUse asks instances which permissions they use, and returns those that
// have answered.
func (s *Service) askInUse(ctx context.Context, names []keel.InstanceName) []keel.InstanceName {
	r := &recall{service: s, ctx: ctx}
	p := pool.New().WithMaxGoroutines(maxRecalls)
	for _, name := range names {
		p.Go(func() { r.run(name) })
	}
	p.Wait()
	return r.told
}

// recall is one round of questions.
type recall struct {
	service *Service
	ctx     context.Context
	mu      sync.Mutex
	told    []keel.InstanceName
}

func (r *recall) run(from keel.InstanceName) {
	s := r.service
	// The own instance is asked too: it may use what a lost home gave.
	reply, err := s.exchange(r.ctx, from, Message{AskInUse: true})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("instance", from).Debug("permissions in use are not known")
		return
	}
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	// The evidence comes first, since evidence that is new ends a permission.
	s.poison.Merge(now, reply.Evidence)
	for _, fp := range reply.InUse {
		s.poison.Used(now, fp)
		s.given[fp] = from
	}
	s.mu.Unlock()
	r.add(from)
}

func (r *recall) add(name keel.InstanceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, name)
}

// inUse returns the fingerprints with a permission that is used or asked for
// here, and the evidence against them and those in about. The caller holds mu.
func (s *Service) inUse(now time.Time, about []ID) ([]ID, []Evidence) {
	all := make(map[ID]bool, len(s.permits)+len(s.asking))
	for fp := range s.permits {
		all[fp] = true
	}
	for fp := range s.asking {
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
