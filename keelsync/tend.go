package keelsync

import (
	"context"
	"net/netip"
	"slices"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
)

// loopTend reports whom this voter has heard to the leader, or as the leader
// looks for those that have gone, and keeps this instance among the voters.
func (v *Voter) loopTend(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			v.tend(ctx, time.Now())
		}
	}
}

func (v *Voter) tend(ctx context.Context, now time.Time) {
	st := v.node.Status()
	m := v.heard.take()
	member, voting := v.membership(&st)
	if st.Leader != "" {
		v.ledAt = now
	}
	// A voter that was replaced while it was cut off is told so by nobody.
	m.Join = !voting || now.Sub(v.ledAt) > voterSilence
	if member {
		v.noteNode(v.cfg.Self)
	}
	if st.Role == string(keelquorum.RoleLeader) {
		v.lead(ctx, now, &st, m)
		return
	}
	v.leading = time.Time{}
	v.report(ctx, &st, m)
}

// membership reports whether this disk is in the voter set, and whether it
// votes.
func (v *Voter) membership(st *keelquorum.Status) (member, voting bool) {
	for _, o := range st.Voters {
		if o.Name == v.cfg.Self.Name && (o.Incarnation == 0 || o.Incarnation == st.Incarnation) {
			return true, !o.Learner
		}
	}
	return false, false
}

// report sends what was heard to the leader, or if none is known and this
// instance is to join, to all that may know one.
func (v *Voter) report(ctx context.Context, st *keelquorum.Status, m heardMessage) {
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
	v.sendHeard(ctx, targets, &m)
}

func (v *Voter) sendHeard(ctx context.Context, targets []keel.InstanceName, m *heardMessage) {
	body, err := keel.EncodeCBOR(m)
	if err != nil {
		v.cfg.Log.WithError(err).Error("report to the leader not encoded")
		return
	}
	for _, name := range targets {
		to, ok := PeerAddress(name, v.cfg.PeerPort)
		if !ok || name == v.cfg.Self.Name {
			continue
		}
		if err := v.cfg.Network.Send(ctx, to, keel.Envelope{Kind: keel.KindHeard, Body: body}); err != nil {
			v.cfg.Log.WithError(err).WithField("to", name).Debug("report not sent")
		}
	}
}

// handleHeard takes the report of another voter, or its wish to join.
func (v *Voter) handleHeard(ctx context.Context, e keel.Envelope) (keel.Envelope, error) {
	var m heardMessage
	if err := keel.DecodeCBOR(e.Body, &m); err != nil {
		return keel.Envelope{}, err
	}
	for _, id := range m.Endpoints {
		v.heard.endpoint(id)
	}
	for _, name := range m.Nodes {
		v.heard.node(name)
	}
	if !m.Join {
		return keel.Envelope{}, nil
	}
	joining := e.From
	if m.For != "" {
		joining = m.For
	}
	return keel.Envelope{}, v.join(ctx, joining, m.For != "")
}

// join lets an instance join the voters if this one leads, and else tells the
// leader, whom the instance may not know: its seeds need not lead. What was
// passed on already is not passed on again.
func (v *Voter) join(ctx context.Context, name keel.InstanceName, passedOn bool) error {
	st := v.node.Status()
	if st.Role == string(keelquorum.RoleLeader) {
		return v.admit(ctx, &st, name)
	}
	if st.Leader != "" && st.Leader != name && !passedOn {
		v.sendHeard(ctx, []keel.InstanceName{st.Leader}, &heardMessage{Join: true, For: name})
	}
	return nil
}

// admit lets an instance join the voters.
func (v *Voter) admit(ctx context.Context, st *keelquorum.Status, name keel.InstanceName) error {
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

// lead looks for endpoints, entry instances and voters that have gone.
func (v *Voter) lead(ctx context.Context, now time.Time, st *keelquorum.Status, m heardMessage) {
	if v.leading.IsZero() {
		v.leading = now
		clear(v.silence)
	}
	for _, id := range m.Endpoints {
		v.silence["e"+id] = now
	}
	for _, name := range m.Nodes {
		v.silence["n"+string(name)] = now
	}
	if !st.LeaseValid {
		// Reports may not arrive, so that silence says nothing.
		v.leading = now
		return
	}
	v.machine.with(func(s *keelworld.State) {
		for e := range s.Endpoints() {
			live := e.State == keelworld.EndpointServing || e.State == keelworld.EndpointDraining
			if live && v.gone("e"+e.ID, v.machine.noted[e.ID], now, v.cfg.EndpointSilence) {
				e.State = keelworld.EndpointSilent
				v.batch.addEndpoint(&e)
			}
		}
		for n := range s.Nodes() {
			if n.Up && v.gone("n"+string(n.Name), v.machine.notedNodes[n.Name], now, nodeSilence) {
				n.Up = false
				v.batch.addNode(n)
			}
		}
	})
	v.strike(ctx, now, st)
}

// gone reports whether nobody has heard something for a time, since this
// instance leads and since the last news of it were applied at noted: reports of
// who was heard come after the news.
func (v *Voter) gone(key string, noted, now time.Time, limit time.Duration) bool {
	last := v.silence[key]
	if last.Before(noted) {
		last = noted
	}
	if last.Before(v.leading) {
		last = v.leading
	}
	return now.Sub(last) > limit
}

// strike removes a voter that another one in its failure domain has replaced.
func (v *Voter) strike(ctx context.Context, now time.Time, st *keelquorum.Status) {
	var members []Member
	v.machine.with(func(s *keelworld.State) {
		for _, o := range st.Voters {
			m := Member{Name: o.Name, Learner: o.Learner}
			if n, ok := s.Node(o.Name); ok {
				m.Domain = n.Domain
			}
			m.Silent, m.Heard = st.Silent[o.Name]
			members = append(members, m)
		}
	})
	m, ok := Replaced(st.Self, members, now.Sub(v.leading))
	if !ok {
		return
	}
	if err := v.node.RemoveVoter(ctx, m.Name); err != nil {
		v.cfg.Log.WithError(err).WithField("instance", m.Name).Debug("silent voter not removed yet")
		return
	}
	v.cfg.Log.WithFields(logrus.Fields{"instance": m.Name, "heard": m.Heard, "silent_ms": m.Silent.Milliseconds(), "domain": m.Domain}).
		Info("silent voter removed, its failure domain has another one")
}
