// Package keelchart interprets state charts in JSON format.
//
// A chart lists its events and states and, for every state and event, the next
// state. [Parse] rejects a chart with an edge for an unknown event, an edge to an
// unknown state, a state without an edge for one of the events, or an unreachable
// state. The package has no timers and runs no actions: its users act on the states
// that [Machine.Fire] returns.
package keelchart

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	keel "github.com/greengagekeel/greengagekeel"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// Invalid is the target of an edge for an event that must not occur in a state.
const Invalid State = "invalid"

// Chart is a state chart: for every state, its edges by event.
type Chart struct {
	Name    string                    `json:"name"`
	Initial State                     `json:"initial"`
	Events  []Event                   `json:"events"`
	States  map[State]map[Event]State `json:"states"`
}

// Parse decodes and validates a chart.
func Parse(data []byte) (*Chart, error) {
	c := &Chart{}
	if err := keel.DecodeJSON(data, c); err != nil {
		return nil, err
	}
	return c, nil
}

// MustParse is like [Parse] but panics if the chart is invalid. It is intended for
// charts that are embedded in the program.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Check reports every fault of the chart. If the initial state does not exist, it
// does not check the states.
func (c *Chart) Check() keel.Faults {
	var fs keel.Faults
	if c.Name == "" {
		fs.Add("name", "must not be empty")
	}
	if _, ok := c.States[c.Initial]; !ok {
		fs.Add("initial", "state %q does not exist in chart %q", c.Initial, c.Name)
		return fs
	}
	for _, s := range slices.Sorted(maps.Keys(c.States)) {
		c.checkState(&fs, s)
	}
	reached := c.reachable()
	for _, s := range slices.Sorted(maps.Keys(c.States)) {
		if !reached[s] {
			fs.Add("states."+string(s), "no events lead from %q to this state", c.Initial)
		}
	}
	return fs
}

// checkState adds the faults of one state and its edges to fs.
func (c *Chart) checkState(fs *keel.Faults, s State) {
	edges := c.States[s]
	at := "states." + string(s)
	if s == Invalid {
		fs.Add(at, "the name %q is reserved for edges", Invalid)
	}
	for _, e := range slices.Sorted(maps.Keys(edges)) {
		if !slices.Contains(c.Events, e) {
			fs.Add(at, "event %q is not in the list of events", e)
		}
		if _, ok := c.States[edges[e]]; !ok && edges[e] != Invalid {
			fs.Add(at+"."+string(e), "state %q does not exist in chart %q", edges[e], c.Name)
		}
	}
	for _, e := range c.Events {
		if _, ok := edges[e]; !ok {
			fs.Add(at, "has no edge for event %q", e)
		}
	}
}

// reachable returns the states that can be reached from the initial state.
func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.Initial: true}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, next := range c.States[s] {
			if next != Invalid && !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return reached
}

// Next returns the state after event e in state s. If the chart has no such edge
// or the edge leads to [Invalid], it returns s and an [EventError].
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.States[s][e]
	if !ok || next == Invalid {
		return s, &EventError{Chart: c.Name, State: s, Event: e}
	}
	return next, nil
}

// Machine holds the current state of one object whose states a chart describes. It
// is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the initial state of c.
func NewMachine(c *Chart) Machine { return Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Fire follows the edge for event e and returns the new state. After an error the
// state is unchanged.
func (m *Machine) Fire(e Event) (State, error) {
	next, err := m.chart.Next(m.state, e)
	if err != nil {
		return m.state, err
	}
	m.state = next
	return next, nil
}

// EventError reports an event that is not valid in a state.
type EventError struct {
	Chart string
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *EventError) Error() string {
	var b strings.Builder
	b.WriteString("chart " + quoteJSON(e.Chart))
	b.WriteString(": event " + quoteJSON(string(e.Event)))
	b.WriteString(" is not valid in state " + quoteJSON(string(e.State)))
	return b.String()
}

func quoteJSON(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		return `""`
	}
	return string(b)
}
