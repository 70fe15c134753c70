package keelsync_test

import (
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelsync"
)

// An entry instance loses its links to the endpoints, and gets them back. The others get to know both, so
// that they send it no callers meanwhile.
func TestIsolatedInstanceIsListedAsSuch(t *testing.T) {
	w, _ := startSixVoters(t)
	f, other := w.follower("10.0.1.1", nil), w.follower("10.0.1.2", nil)
	await := func(isolated bool) {
		t.Helper()
		w.waitFor("the instance is listed", func() bool { return isolatedIn(other, "10.0.1.1") == isolated && len(other.View().Nodes) == 2 })
	}
	await(false)
	f.SetIsolated(true)
	f.SetIsolated(true)
	await(true)
	f.SetIsolated(false)
	await(false)
}

func isolatedIn(f *keelsync.Follower, name keel.InstanceName) bool {
	for _, n := range f.View().Nodes {
		if n.Name == name {
			return n.Isolated
		}
	}
	return false
}
