package keelsteer

import (
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// DrainState is the progress of the drain of an endpoint.
type DrainState struct {
	Endpoint keel.EndpointID `json:"endpoint"`
	// Since is when the endpoint stopped taking new work.
	Since time.Time `json:"since"`
	// Took is the time from Since to the end of the last request at the
	// endpoint.
	Took keel.Duration `json:"took,omitempty"`
	Done bool          `json:"done"`
}

// drainLog records when endpoints stopped taking new work and when their last
// request ended. It is safe for use by several goroutines.
type drainLog struct {
	mu     sync.Mutex
	states map[keel.EndpointID]*DrainState
}

// record starts the drain of an endpoint that no longer takes new work, or
// removes it if drain is false.
func (l *drainLog) record(now time.Time, id keel.EndpointID, drain bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !drain {
		delete(l.states, id)
		return
	}
	if l.states == nil {
		l.states = make(map[keel.EndpointID]*DrainState)
	}
	if l.states[id] == nil {
		l.states[id] = &DrainState{Endpoint: id, Since: now}
	}
}

// finish marks a drain as done. It returns false if the endpoint is not
// draining or was done before.
func (l *drainLog) finish(now time.Time, id keel.EndpointID) (DrainState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[id]
	if s == nil || s.Done {
		return DrainState{}, false
	}
	s.Done = true
	s.Took = keel.Duration(max(0, now.Sub(s.Since)))
	return *s, true
}

func (l *drainLog) list() []DrainState {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]DrainState, 0, len(l.states))
	for _, s := range l.states {
		out = append(out, *s)
	}
	return out
}
