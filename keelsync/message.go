package keelsync

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// commandAnswer answers a command that was sent to the leader.
type commandAnswer struct {
	Result *keelworld.Result `cbor:"1,keyasint,omitempty"`
	Error  string            `cbor:"3,keyasint,omitempty"`
}

// Check reports nothing: an answer without a result is a failure.
func (*commandAnswer) Check() keel.Faults { return nil }

// feedRequest asks for what follows an entry.
type feedRequest struct {
	// Node is the instance that asks.
	Node keelworld.Node `cbor:"1,keyasint"`
	// After is the last entry that it holds; 0 means nothing.
	After uint64 `cbor:"2,keyasint,omitempty"`
	// Wait is how long the answer may wait for news.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
}

// maxFeedWait bounds the time that an answer waits for news.
const maxFeedWait = 5 * time.Second

// Check reports the faults of the node and a wait out of bounds.
func (r *feedRequest) Check() keel.Faults {
	fs := r.Node.Check()
	if r.Wait < 0 || r.Wait > maxFeedWait {
		fs.Add("wait", "is %s, must lie between 0s and %s", r.Wait, maxFeedWait)
	}
	return fs
}

// entry is one command of the log.
type entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// feedAnswer is what follows an entry: either commands, or the whole state.
type feedAnswer struct {
	Entries  []entry             `cbor:"1,keyasint,omitempty"`
	Snapshot *keelworld.Snapshot `cbor:"2,keyasint,omitempty"`
	// Stale says that the voter has not heard a leader for some time, so that
	// others may know more.
	Stale bool `cbor:"3,keyasint,omitempty"`
	// Voters are those that can be asked.
	Voters []keelworld.Node `cbor:"4,keyasint,omitempty"`
}

// Check reports nothing: entries are checked when they are applied.
func (*feedAnswer) Check() keel.Faults { return nil }

// heardMessage tells the leader who was heard since the last one.
type heardMessage struct {
	Endpoints []string            `cbor:"1,keyasint,omitempty"`
	Nodes     []keel.InstanceName `cbor:"2,keyasint,omitempty"`
	// Join asks to make the sender a voter.
	Join bool `cbor:"3,keyasint,omitempty"`
	// For names the instance that asks to join, if the sender passes that on.
	For keel.InstanceName `cbor:"4,keyasint,omitempty"`
}

// Check reports a name that is none. Unknown names are passed over.
func (m *heardMessage) Check() keel.Faults {
	if m.For == "" {
		return nil
	}
	return keel.CheckName("for", m.For)
}
