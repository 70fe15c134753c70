package keelstandin

import (
	"maps"
	"sync"
)

// Counts says what an endpoint has done since it was made, through crashes too.
type Counts struct {
	// ByKey and ByToken hold how often each key and each token ran. A request
	// runs when its body has arrived whole.
	ByKey   map[string]int `json:"by_key"`
	ByToken map[string]int `json:"by_token"`
	// SeenByToken holds how often the header of a request with each token
	// arrived, whether the request ran or not.
	SeenByToken map[string]int `json:"seen_by_token"`
	Runs        int            `json:"runs"`
	// Broken is the number of requests whose body did not arrive whole.
	Broken int `json:"broken"`
	// Shed is the number of requests that were answered with 503.
	Shed    int `json:"shed"`
	Crashes int `json:"crashes"`
	// InFlight is the number of requests being run, PeakInFlight the highest
	// that it ever was.
	InFlight     int `json:"in_flight"`
	PeakInFlight int `json:"peak_in_flight"`
	// Connections is the number of connections that were opened.
	Connections int `json:"connections"`
}

// counter keeps the counts.
type counter struct {
	mu     sync.Mutex
	counts Counts
}

func newCounter() *counter {
	return &counter{counts: Counts{ByKey: map[string]int{}, ByToken: map[string]int{}, SeenByToken: map[string]int{}}}
}

func (c *counter) change(edit func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&c.counts)
}

func (c *counter) enter(token string) {
	c.change(func(n *Counts) {
		if token != "" {
			n.SeenByToken[token]++
		}
		n.InFlight++
		n.PeakInFlight = max(n.PeakInFlight, n.InFlight)
	})
}

func (c *counter) leave() { c.change(func(n *Counts) { n.InFlight-- }) }

func (c *counter) ran(key, token string) {
	c.change(func(n *Counts) {
		n.Runs++
		if key != "" {
			n.ByKey[key]++
		}
		if token != "" {
			n.ByToken[token]++
		}
	})
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.ByKey, n.ByToken, n.SeenByToken = maps.Clone(n.ByKey), maps.Clone(n.ByToken), maps.Clone(n.SeenByToken)
	return n
}
