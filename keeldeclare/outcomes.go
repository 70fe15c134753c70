package keeldeclare

import (
	keel "github.com/greengagekeel/greengagekeel"
)

const (
	defaultMaxOutcomes = 10_000
	// maxOutcomeFaults limits the faults that are retained with an outcome.
	maxOutcomeFaults = 20
)

// outcomeTable retains the outcomes of the latest changes by change ID.
type outcomeTable struct {
	max   int
	byID  map[keel.ChangeID]keel.Outcome
	order []keel.ChangeID // oldest first
}

func newOutcomeTable(limit int) outcomeTable {
	if limit <= 0 {
		limit = defaultMaxOutcomes
	}
	return outcomeTable{max: limit, byID: map[keel.ChangeID]keel.Outcome{}}
}

func (t *outcomeTable) add(o keel.Outcome) {
	if len(o.Faults) > maxOutcomeFaults {
		o.Faults = o.Faults[:maxOutcomeFaults:maxOutcomeFaults]
	}
	t.byID[o.ID] = o
	t.order = append(t.order, o.ID)
	if len(t.order) <= t.max {
		return
	}
	delete(t.byID, t.order[0])
	t.order = t.order[1:]
}

func (t *outcomeTable) list() []keel.Outcome {
	out := make([]keel.Outcome, len(t.order))
	for i, id := range t.order {
		out[i] = t.byID[id]
	}
	return out
}

func (t *outcomeTable) reset(list []keel.Outcome) {
	*t = newOutcomeTable(t.max)
	for _, o := range list {
		t.add(o)
	}
}
