package keelclaim

import (
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Set is the holders of a failure domain that were registered together.
type Set struct {
	Holders []keel.InstanceName
	// Since is when the set came into force, or zero if that is not known. A
	// holder that was running before then has lost no votes of this set.
	Since time.Time
	// Until is when the set was replaced, or zero for the current set. A
	// former set is of no use once the retention has passed.
	Until time.Time
}

// Majority returns how many votes of the set a claim needs.
func (s Set) Majority() int { return len(s.Holders)/2 + 1 }
