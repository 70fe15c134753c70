package keelsync

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
)

// loopReconcile calls reconcile periodically until ctx ends.
func (v *Voter) loopReconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			v.reconcile(ctx, time.Now())
		}
	}
}

// reconcile sends a liveness report to the leader, which includes a request to
// join if this instance is not a voter. On the leader it detects silent
// endpoints, instances and voters instead.
func (v *Voter) reconcile(ctx context.Context, now time.Time) {
	st := v.node.Status()
	v.sent.report(now, v.cfg.Log)
	m := v.seen.take()
	member, voting := v.membership(&st)
	if st.Leader != "" {
		v.leaderSeenAt = now
	}
	// A voter that was removed while it was partitioned receives no message about
	// it, so it requests to join once it has had no leader for some time.
	m.Join = !voting || now.Sub(v.leaderSeenAt) > voterSilenceTimeout
	if member {
		v.recordNode(v.cfg.Self, math.MaxUint64)
	}
	if st.Role == string(keelquorum.RoleLeader) {
		v.detectSilent(ctx, now, &st, m)
		return
	}
	v.leaderSince = time.Time{}
	v.report(ctx, &st, m)
}

// membership reports whether the voter set contains this instance with the
// incarnation of its disk, and whether it votes.
func (v *Voter) membership(st *keelquorum.Status) (member, voting bool) {
	for _, o := range st.Voters {
		if o.Name == v.cfg.Self.Name && (o.Incarnation == 0 || o.Incarnation == st.Incarnation) {
			return true, !o.Learner
		}
	}
	return false, false
}

// report sends a liveness report to the leader. If no leader is known, only a
// request to join is sent, to the seeds and to all voters.
func (v *Voter) report(ctx context.Context, st *keelquorum.Status, m livenessReport) {
	if len(m.Endpoints) == 0 && len(m.Nodes) == 0 && !m.Join {
		return
	}
	targets := []keel.InstanceName{st.Leader}
	if st.Leader == "" {
		if !m.Join {
			return
		}
		targets = targets[:0]
		for _, a := range *v.seeds.Load() {
			targets = append(targets, keel.InstanceName(a.String()))
		}
		for _, o := range st.Voters {
			targets = append(targets, o.Name)
		}
	}
	v.sendReport(ctx, targets, &m)
}

func (v *Voter) sendReport(ctx context.Context, targets []keel.InstanceName, m *livenessReport) {
	body, err := keel.EncodeCBOR(m)
	if err != nil {
		v.cfg.Log.WithError(err).Error("cannot encode liveness report")
		return
	}
	for _, name := range targets {
		to, ok := PeerAddress(name, v.cfg.PeerPort)
		if !ok || name == v.cfg.Self.Name {
			continue
		}
		if err := v.cfg.Network.Send(ctx, to, keel.Envelope{Kind: keel.KindLiveness, Body: body}); err != nil {
			v.cfg.Log.WithError(err).WithField("to", name).Debug("liveness report not sent")
		}
	}
}

// handleLivenessReport handles the liveness report or join request of another
// instance.
func (v *Voter) handleLivenessReport(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m livenessReport
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, err
	}
	for _, id := range m.Endpoints {
		v.seen.addEndpoint(id)
	}
	for _, name := range m.Nodes {
		v.seen.addNode(name)
	}
	if !m.Join {
		return keel.Envelope{}, nil
	}
	candidate := e.From
	if m.For != "" {
		candidate = m.For
	}
	return keel.Envelope{}, v.handleJoin(ctx, candidate, m.For != "")
}

// handleJoin adds an instance to the voters if this one leads. Otherwise it
// forwards the request to the leader, since the instance may know only seeds that
// do not lead. A request is forwarded only once.
func (v *Voter) handleJoin(ctx context.Context, name keel.InstanceName, forwarded bool) error {
	st := v.node.Status()
	if st.Role == string(keelquorum.RoleLeader) {
		return v.addVoter(ctx, &st, name)
	}
	if st.Leader != "" && st.Leader != name && !forwarded {
		v.sendReport(ctx, []keel.InstanceName{st.Leader}, &livenessReport{Join: true, For: name})
	}
	return nil
}

// addVoter adds an instance to the voter set and waits until it votes.
func (v *Voter) addVoter(ctx context.Context, st *keelquorum.Status, name keel.InstanceName) error {
	if slices.ContainsFunc(st.Voters, func(o keel.Voter) bool { return o.Name == name && !o.Learner }) {
		return nil
	}
	if _, err := netip.ParseAddr(string(name)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := v.node.AddVoter(ctx, name); err != nil {
		v.cfg.Log.WithError(err).WithField("instance", name).Debug("instance not added to the voters yet")
		return nil
	}
	v.cfg.Log.WithField("instance", name).Info("instance is a voter")
	return nil
}

// detectSilent records m as contacts, marks silent endpoints and instances in the
// next batch, and removes a silent voter. Only the leader calls it.
func (v *Voter) detectSilent(ctx context.Context, now time.Time, st *keelquorum.Status, m livenessReport) {
	if v.leaderSince.IsZero() {
		v.leaderSince = now
		clear(v.lastSeen)
	}
	for _, id := range m.Endpoints {
		v.lastSeen["e"+id] = now
	}
	for _, name := range m.Nodes {
		v.lastSeen["n"+string(name)] = now
	}
	if !st.LeaseValid {
		// Without a lease, reports may not arrive: silence is measured anew.
		v.leaderSince = now
		return
	}
	v.machine.withState(func(s *keelworld.State) {
		for e := range s.Endpoints() {
			serving := e.State == keelworld.EndpointServing || e.State == keelworld.EndpointDraining
			if serving && v.isSilent("e"+e.ID, v.machine.endpointAppliedAt[e.ID], now, v.cfg.EndpointSilence) {
				e.State = keelworld.EndpointSilent
				v.batcher.addEndpoint(&e)
			}
		}
		for n := range s.Nodes() {
			if n.Up && v.isSilent("n"+string(n.Name), v.machine.nodeAppliedAt[n.Name], now, nodeSilenceTimeout) {
				n.Up = false
				v.batcher.addNode(n)
			}
		}
	})
	v.expireSuspects(now)
	v.removeSilentVoter(ctx, now, st)
}

// isSilent reports whether the endpoint or instance of key has had no contact
// for longer than limit. Silence is measured from when its last record was applied
// at the earliest, since the first liveness report follows later, and from when
// this instance became the leader.
func (v *Voter) isSilent(key string, appliedAt, now time.Time, limit time.Duration) bool {
	last := v.lastSeen[key]
	if last.Before(appliedAt) {
		last = appliedAt
	}
	if last.Before(v.leaderSince) {
		last = v.leaderSince
	}
	return now.Sub(last) > limit
}

// removeSilentVoter removes the voter that [VoterToRemove] returns.
func (v *Voter) removeSilentVoter(ctx context.Context, now time.Time, st *keelquorum.Status) {
	var members []Member
	v.machine.withState(func(s *keelworld.State) {
		for _, o := range st.Voters {
			m := Member{Name: o.Name, Learner: o.Learner}
			if n, ok := s.Node(o.Name); ok {
				m.Domain = n.Domain
			}
			m.SilentFor, m.Seen = st.SilentFor[o.Name]
			members = append(members, m)
		}
	})
	m, ok := VoterToRemove(st.Self, members, now.Sub(v.leaderSince))
	if !ok {
		return
	}
	if err := v.node.RemoveVoter(ctx, m.Name); err != nil {
		v.cfg.Log.WithError(err).WithField("instance", m.Name).Debug("silent voter not removed yet")
		return
	}
	v.cfg.Log.WithFields(logrus.Fields{"instance": m.Name, "heard": m.Seen, "silent_ms": m.SilentFor.Milliseconds(), "domain": m.Domain}).
		Info("silent voter removed, its failure domain has another one")
}
