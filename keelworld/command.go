package keelworld

import (
	keel "github.com/greengagekeel/greengagekeel"
)

// Command is one change of the state. Patch and Drain are each set alone. Endpoints,
// Nodes, Answered, Crashes and RateLimits may be set together. A command without any of them
// changes nothing.
type Command struct {
	// ID identifies the command, so that its proposer can look up the result.
	ID    string `cbor:"1,keyasint,omitempty"`
	Patch *Patch `cbor:"2,keyasint,omitempty"`
	Drain *Drain `cbor:"3,keyasint,omitempty"`
	// Endpoints holds new announcements, and endpoints found silent.
	Endpoints []Endpoint `cbor:"4,keyasint,omitempty"`
	// Nodes holds instances that were added, changed or stopped.
	Nodes []Node `cbor:"5,keyasint,omitempty"`
	// AsOf is a log index that was reached while the caller of a patch or drain still
	// waited for the answer; 0 if none is known. A caller that gives up sends its order to
	// another voter, and may then send others. So an order is outdated, and changes nothing,
	// if a later entry than AsOf holds an order with which it can't be reordered: one about
	// the same failure domain, or a patch that was refused. Only the caller can show that it
	// waits, by sending the order again with a newer index: an open connection doesn't.
	AsOf uint64 `cbor:"6,keyasint,omitempty"`
	// Answered holds the fingerprints of requests that an endpoint has answered, whose
	// crashes no longer count, and Crashes new crashes.
	Answered []uint64 `cbor:"7,keyasint,omitempty"`
	Crashes  []Crash  `cbor:"8,keyasint,omitempty"`
	// RateLimits holds limits that endpoints have named, changed or lifted.
	RateLimits []RateLimit `cbor:"9,keyasint,omitempty"`
}

// Drain starts or ends the drain of a failure domain. Its endpoints get no new
// requests while it is drained.
type Drain struct {
	Domain keel.DomainName `cbor:"1,keyasint"`
	On     bool            `cbor:"2,keyasint,omitempty"`
}

// Check reports all faults of the command's parts.
func (c *Command) Check() keel.Faults {
	var fs keel.Faults
	if c.Patch != nil {
		fs.Under("patch", c.Patch.Check())
	}
	for i := range c.Endpoints {
		fs.Under("endpoints", c.Endpoints[i].Check())
	}
	for i := range c.Nodes {
		fs.Under("nodes", c.Nodes[i].Check())
	}
	for i := range c.Crashes {
		fs.Under("crashes", c.Crashes[i].Check())
	}
	for i := range c.RateLimits {
		fs.Under("rate_limits", c.RateLimits[i].Check())
	}
	return fs
}

// Result is the result of applying a command.
type Result struct {
	// Faults holds the reasons for which a patch was refused; empty if it was not.
	Faults keel.Faults `cbor:"1,keyasint,omitempty"`
	// Conflict is whether the patch was refused because an item already exists
	// with the same version and different content.
	Conflict bool `cbor:"2,keyasint,omitempty"`
	// Index is the index of the command's log entry. For an outdated one that was not
	// proposed it is the index of the state that found it outdated.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// Outdated is whether the patch or drain was outdated, see [Command.AsOf].
	Outdated bool `cbor:"4,keyasint,omitempty"`
	// OutdatedLeaves holds the endpoints whose notice of leaving was outdated, see
	// [Endpoint.AsOf].
	OutdatedLeaves []string `cbor:"5,keyasint,omitempty"`
}

// Check reports no faults, since every result is valid.
func (*Result) Check() keel.Faults { return nil }
