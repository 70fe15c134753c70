package keelstandin

import (
	"maps"
	"sync"
)

// Counts are an endpoint's counters since its creation. Crashes don't reset them.
type Counts struct {
	// ByKey and ByToken count the runs of each key and each token. A request
	// counts as run once its body has arrived completely.
	ByKey   map[string]int `json:"by_key"`
	ByToken map[string]int `json:"by_token"`
	// SeenByToken counts the requests whose header arrived with each token,
	// whether they ran or not. Shed requests are not counted.
	SeenByToken map[string]int `json:"seen_by_token"`
	Runs        int            `json:"runs"`
	// Broken is the number of requests whose body did not arrive completely.
	Broken int `json:"broken"`
	// Shed is the number of requests that were answered with 503 without being
	// run.
	Shed    int `json:"shed"`
	Crashes int `json:"crashes"`
	// InFlight is the number of requests being handled, PeakInFlight its highest
	// value so far.
	InFlight     int `json:"in_flight"`
	PeakInFlight int `json:"peak_in_flight"`
	// Connections is the number of connections accepted.
	Connections int `json:"connections"`
}

// counter guards the counts of an endpoint.
type counter struct {
	mu     sync.Mutex
	counts Counts
}

func newCounter() *counter {
	return &counter{counts: Counts{ByKey: map[string]int{}, ByToken: map[string]int{}, SeenByToken: map[string]int{}}}
}

func (c *counter) update(edit func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&c.counts)
}

func (c *counter) requestStarted(token string) {
	c.update(func(n *Counts) {
		if token != "" {
			n.SeenByToken[token]++
		}
		n.InFlight++
		n.PeakInFlight = max(n.PeakInFlight, n.InFlight)
	})
}

func (c *counter) requestEnded() { c.update(func(n *Counts) { n.InFlight-- }) }

func (c *counter) requestRan(key, token string) {
	c.update(func(n *Counts) {
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
