package keelguard

import (
	"context"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// reclaimAfter is the age at which a home checks whether a permit is still
	// used. It exceeds the time that an instance waits for a permit.
	reclaimAfter = 2 * permitTimeout
	// maxReclaims limits the number of permits in one message, so that the
	// evidence against them fits into the reply.
	maxReclaims = maxEvidence / maxCrashes
)

// grantPermit decides whether the asking instance gets a permit. The caller
// holds mu.
func (s *Service) grantPermit(now time.Time, asker keel.InstanceName, fp ID) bool {
	if !s.isHome(fp) {
		return false
	}
	s.recallNeeded = s.recallNeeded || !s.poison.knowsPermits(now)
	if !s.poison.Permit(now, fp) {
		return false
	}
	s.permitUsers[fp] = asker
	return true
}

// Reclaim asks the users of aged permits whether they still use them. A permit
// that is not used ends: the reply that granted it, or its return, was lost.
func (s *Service) Reclaim(ctx context.Context) {
	for user, ids := range s.agedPermits() {
		if ctx.Err() != nil {
			return
		}
		for batch := range slices.Chunk(ids, maxReclaims) {
			s.reclaim(ctx, user, batch)
		}
	}
}

// agedPermits returns the permits older than reclaimAfter, grouped by the
// instances that use them.
func (s *Service) agedPermits() map[keel.InstanceName][]ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	byUser := make(map[keel.InstanceName][]ID)
	users := make(map[ID]keel.InstanceName)
	for _, fp := range s.poison.PermitsOlderThan(now, 0) {
		users[fp] = s.permitUsers[fp]
	}
	s.permitUsers = users // permits that ended are dropped
	for _, fp := range s.poison.PermitsOlderThan(now, reclaimAfter) {
		byUser[users[fp]] = append(byUser[users[fp]], fp)
	}
	return byUser
}

func (s *Service) reclaim(ctx context.Context, user keel.InstanceName, ids []ID) {
	reply, err := s.exchange(ctx, user, Message{AskInUse: true, About: ids})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("instance", user).Debug("permits in use were not reported")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	// A crash under the permit must count before the permit ends.
	s.poison.Merge(now, reply.Evidence)
	// A permit that was given again while the call was under way is younger
	// than reclaimAfter.
	aged := s.poison.PermitsOlderThan(now, reclaimAfter)
	for _, fp := range ids {
		if slices.Contains(aged, fp) && !slices.Contains(reply.InUse, fp) {
			s.poison.ReturnPermit(fp)
			delete(s.permitUsers, fp)
		}
	}
}

// returnPermit returns a permit, together with the evidence against its
// request, to the home that gave it and to the one that has taken over since.
func (s *Service) returnPermit(fp ID) {
	s.mu.Lock()
	grantor, used := s.usedPermits[fp]
	if !used {
		s.mu.Unlock()
		return
	}
	delete(s.usedPermits, fp)
	m := Message{Evidence: s.poison.EvidenceOf(s.cfg.Clock.Now(), fp), Return: &fp}
	s.mu.Unlock()
	s.sendReturn(grantor, fp, m)
	if home, ok := s.home(fp); ok && home != grantor {
		s.sendReturn(home, fp, m)
	}
}

func (s *Service) sendReturn(home keel.InstanceName, fp ID, m Message) {
	if _, err := s.exchange(context.Background(), home, m); err != nil {
		s.cfg.Log.WithError(err).WithField("fingerprint", fp).Warn("permit was not returned")
	}
}
