package keelplace_test

import (
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelplace"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/matryer/is"
)

// Endpoints that fail, overload, and the loss of a failure domain are no sign that an instance is cut
// off from all endpoints. Connections that fail everywhere are, unless answers show that they are only
// slow.
func TestContact(t *testing.T) {
	const (
		failed      = "failed"      // a request got no answer
		unreachable = "unreachable" // a connection could not be opened
		answered    = "answered"
		connected   = "connected"
		refused     = "refused" // connections to endpoints of all failure domains
		timedOut    = "timed out"
		pause       = "pause" // without answers
	)
	for _, tt := range []struct {
		name            string
		steps           []string
		suspected, lost bool
	}{
		{"nothing", nil, false, false},
		{"one endpoint", []string{pause, "a unreachable", "a unreachable", "a failed"}, false, false},
		{"three endpoints", []string{"a unreachable", "b unreachable", "c unreachable"}, true, false},
		{"three endpoints in silence", []string{pause, "a failed", "b failed", "c failed"}, true, false},
		{"late under load", []string{answered, "a failed", "b failed", "c failed"}, false, false},
		{"new connections fail, open ones live", []string{"a unreachable", answered, "b unreachable", answered, "c unreachable"}, true, false},
		{"a connection in between", []string{"a unreachable", "b unreachable", connected, "c unreachable"}, false, false},
		{"refused everywhere", []string{"a unreachable", "b unreachable", "c unreachable", answered, refused}, true, true},
		{"timed out everywhere", []string{pause, "a failed", "b failed", "c failed", timedOut}, true, true},
		{"slow under load", []string{"a unreachable", "b unreachable", "c unreachable", answered, timedOut}, true, false},
		{"regained", []string{"a unreachable", "b unreachable", "c unreachable", refused, connected}, false, false},
		{"lost, and an open connection answers", []string{"a unreachable", "b unreachable", "c unreachable", refused, answered}, true, true},
		{"lost again", []string{refused, connected, "a unreachable", "b unreachable", "c unreachable", refused}, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := keelplace.NewContact()
			now := time.Unix(1000, 0)
			c.Answered(now)
			for _, step := range tt.steps {
				now = now.Add(time.Millisecond)
				lost := c.Lost()
				switch step {
				case answered:
					c.Answered(now)
				case connected:
					is.Equal(c.Connected(), lost)
				case refused, timedOut:
					is.Equal(c.Confirm(now, step == timedOut), c.Lost() && !lost)
				case pause:
					now = now.Add(time.Second)
				default:
					c.Failed(now, step[:1], step[2:] == unreachable)
				}
			}
			is.Equal(c.Suspected(48), tt.suspected)
			is.Equal(c.Lost(), tt.lost)
		})
	}
	is := is.New(t)
	c := keelplace.NewContact()
	is.True(!c.Suspected(0))
	c.Failed(time.Unix(1000, 0), "a", true)
	is.True(c.Suspected(1)) // the only endpoint
	is.True(!c.Suspected(2))
}

// Callers are sent to instances that reach endpoints, as long as there are any.
func TestReaching(t *testing.T) {
	is := is.New(t)
	nodes := []keelworld.Node{{Name: "a"}, {Name: "b", Isolated: true}, {Name: "c"}}
	is.Equal(keelplace.Reaching(nodes), []keelworld.Node{{Name: "a"}, {Name: "c"}})
	is.Equal(len(nodes), 3)
	all := []keelworld.Node{{Name: "a", Isolated: true}, {Name: "b", Isolated: true}}
	is.Equal(keelplace.Reaching(all), all)
	is.Equal(len(keelplace.Reaching(nil)), 0)
}

// Endpoints could not be reached for a time, and were ejected and taken for restarted. Once contact is
// regained they get requests at once, but one that said that it is cold keeps its rate.
func TestRegainedContact(t *testing.T) {
	for _, cold := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		p := boundsPools(now)[0]
		v := boundsView(0, 1)
		if !cold {
			v.Endpoints["s"][0].Cold, v.Endpoints["s"][0].Sequence = 0, 2
		}
		p.Update(now, v, nil)
		r := &keelplace.Request{Route: "x", Spec: &keelworld.Route{}, TimeLeft: time.Second, TargetLeft: time.Second}
		for range 10 {
			if c, _ := p.Choose(now, r); c != nil {
				p.Started(now, c)
				p.Ended(now, now, "x", c, keelplace.Outcome{Kind: keelplace.Unreachable})
			}
		}
		c, _ := p.Choose(now, r)
		is.True(c == nil)
		now = now.Add(time.Second)
		p.Regained(now)
		sent := 0
		for range 10 {
			if c, _ := p.Choose(now, r); c != nil {
				p.Started(now, c)
				sent++
			}
		}
		is.Equal(sent, map[bool]int{false: 10, true: 1}[cold])
	}
}

// Instances that reach no endpoint send nothing, so that the others have the whole limit of an endpoint
// meanwhile, and the whole pace of a cold one.
func TestLimitWhileInstancesAreIsolated(t *testing.T) {
	const limit = 2.0
	is := is.New(t)
	s := newLimitedSystem(limit)
	s.run(3 * time.Second)
	v := boundsView(0, len(s.pools))
	v.Endpoints["s"][0].Cold, v.Endpoints["s"][0].Sequence = 0, 2
	for i := range v.Nodes {
		v.Nodes[i].Isolated = i%3 != 0
	}
	var reaching []*keelplace.Pool
	for i, p := range s.pools {
		p.Update(s.now, v, nil)
		for k := range v.Nodes {
			if v.Nodes[k].Name == boundsName(i) && !v.Nodes[k].Isolated {
				reaching = append(reaching, p)
			}
		}
	}
	is.Equal(len(reaching), 6)
	s.pools = reaching
	start := s.now
	s.run(10 * time.Second)
	is.True(float64(maxInWindow(s.since(start), limitWindow+1)) <= limitBound(limit))
	is.True(float64(len(s.since(start))) >= 0.8*limit*10)
}
