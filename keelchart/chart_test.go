package keelchart_test

import (
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelchart"
	"github.com/matryer/is"
)

const door = `{
	"name": "door", "initial": "closed", "events": ["open", "close"],
	"states": {
		"closed": {"open": "opened", "close": "invalid"},
		"opened": {"open": "opened", "close": "closed"}
	}
}`

func TestParseFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown event", `"close": "invalid"`, `"close": "invalid", "lock": "closed"`, `event "lock" is not in the list`},
		{"unknown state", `"close": "closed"`, `"close": "ajar"`, `state "ajar" does not exist`},
		{"missing edge", `"close": "invalid"`, `"open": "opened"`, `has no edge for event "close"`},
		{"unreachable", `"states": {`, `"states": {"lost": {"open": "lost", "close": "lost"},`, `states.lost: no events lead`},
		{"no initial", `"initial": "closed"`, `"initial": "none"`, `state "none" does not exist`},
		{"unknown field", `"name"`, `"colour": 1, "name"`, `unknown field`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := keelchart.Parse([]byte(strings.Replace(door, tt.old, tt.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // the error describes the fault
		})
	}
}

func TestFire(t *testing.T) {
	is := is.New(t)
	m := keelchart.NewMachine(keelchart.MustParse([]byte(door)))
	_, err := m.Fire("close")
	is.True(err != nil)
	is.Equal(m.State(), keelchart.State("closed"))
	s, err := m.Fire("open")
	is.NoErr(err)
	is.Equal(s, keelchart.State("opened"))
}
