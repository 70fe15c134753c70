package keelguard

import (
	"context"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

const (
	// reclaimAfter is the age at which a home asks whether a permission is still
	// used. It is longer than an instance waits for a permission.
	reclaimAfter = 2 * permitTimeout
	// maxReclaims bounds the permissions that are asked about in one message.
	maxReclaims = maxEvidence / maxPieces
)

// permit decides about the permission that an instance asks for. The caller
// holds mu.
func (s *Service) permit(now time.Time, asker keel.InstanceName, fp ID) bool {
	if !s.isHome(fp) {
		return false
	}
	s.wanted = s.wanted || !s.poison.remembers(now)
	if !s.poison.Permit(now, fp) {
		return false
	}
	s.given[fp] = asker
	return true
}

// Reclaim asks the users of old permissions whether they still use them. One
// that is not used ends: the answer that gave it, or its return, was lost.
func (s *Service) Reclaim(ctx context.Context) {
	for user, ids := range s.old() {
		if ctx.Err() != nil {
			return
		}
		for batch := range slices.Chunk(ids, maxReclaims) {
			s.reclaim(ctx, user, batch)
		}
	}
}

// old returns the permissions of some age by the instances that use them.
func (s *Service) old() map[keel.InstanceName][]ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	byUser := make(map[keel.InstanceName][]ID)
	given := make(map[ID]keel.InstanceName)
	for _, fp := range s.poison.Permitted(now, 0) {
		given[fp] = s.given[fp]
	}
	s.given = given // what has ended is forgotten
	for _, fp := range s.poison.Permitted(now, reclaimAfter) {
		byUser[given[fp]] = append(byUser[given[fp]], fp)
	}
	return byUser
}

func (s *Service) reclaim(ctx context.Context, user keel.InstanceName, ids []ID) {
	reply, err := s.exchange(ctx, user, Message{AskInUse: true, About: ids})
	if err != nil {
		s.cfg.Log.WithError(err).WithField("instance", user).Debug("permissions in use are not known")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	// A crash that the permission led to counts before the permission ends.
	s.poison.Merge(now, reply.Evidence)
	// One that was given anew while the question was under way is younger.
	old := s.poison.Permitted(now, reclaimAfter)
	for _, fp := range ids {
		if slices.Contains(old, fp) && !slices.Contains(reply.InUse, fp) {
			s.poison.Return(fp)
			delete(s.given, fp)
		}
	}
}

// giveBack returns a permission, together with what was learnt by using it, to
// the home that gave it and to the one that has taken its place meanwhile.
func (s *Service) giveBack(fp ID) {
	s.mu.Lock()
	giver, used := s.permits[fp]
	if !used {
		s.mu.Unlock()
		return
	}
	delete(s.permits, fp)
	m := Message{Evidence: s.poison.EvidenceOf(s.cfg.Clock.Now(), fp), Return: &fp}
	s.mu.Unlock()
	s.giveBackTo(giver, fp, m)
	if home, ok := s.home(fp); ok && home != giver {
		s.giveBackTo(home, fp, m)
	}
}

func (s *Service) giveBackTo(home keel.InstanceName, fp ID, m Message) {
	if _, err := s.exchange(context.Background(), home, m); err != nil {
		s.cfg.Log.WithError(err).WithField("fingerprint", fp).Warn("permission was not given back")
	}
}
