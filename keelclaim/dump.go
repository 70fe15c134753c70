package keelclaim

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Dump is the state of a [Service] for operators.
type Dump struct {
	Phase      Phase         `json:"phase"`
	Sets       []Set         `json:"sets"`
	Claims     int           `json:"claims"`
	Bytes      int           `json:"bytes"`
	Limit      int           `json:"limit_bytes"`
	Retention  keel.Duration `json:"retention"`
	BarrierEnd time.Time     `json:"barrier_end,omitzero"`
	// Undelivered counts the messages with outcomes and releases that holders
	// have not received yet.
	Undelivered  int64             `json:"undelivered"`
	Holder       HolderStats       `json:"holder"`
	Incarnations map[string]uint64 `json:"starts"`
}

// Dump returns the state of the service, a [Dump].
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	d := Dump{
		Phase:        s.holder.Phase(now),
		Sets:         s.holder.Sets(),
		Claims:       s.holder.Claims(),
		Bytes:        s.holder.Bytes(),
		Limit:        s.cfg.MaxTotalBytes,
		Retention:    keel.Duration(s.cfg.Retention),
		Undelivered:  s.undelivered.Load(),
		Holder:       s.holder.Stats(),
		Incarnations: map[string]uint64{},
	}
	if d.Phase == PhaseBarrier {
		d.BarrierEnd = s.holder.barrierEnd()
	}
	for name, start := range s.incarnations {
		d.Incarnations[string(name)] = start
	}
	return d
}
