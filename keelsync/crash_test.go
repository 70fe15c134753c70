package keelsync_test

import (
	"sync"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
)

// observations are what an entry instance reports.
type observations struct {
	mu       sync.Mutex
	answered []uint64
	crashes  []keelworld.Crash
}

func (o *observations) set(answered []uint64, crashes ...keelworld.Crash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered, o.crashes = answered, crashes
}

func (o *observations) get(*keelworld.View) ([]uint64, []keelworld.Crash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answered, o.crashes
}

// Two entry instances report the crashes that a request caused, again and again until they see
// them, and all instances get them: otherwise each would send the request to further endpoints.
func TestCrashesAreShared(t *testing.T) {
	w, _ := startSixVoters(t)
	first, second := &observations{}, &observations{}
	w.observed["10.0.1.1"], w.observed["10.0.1.2"] = first.get, second.get
	followers := []*keelsync.Follower{w.follower("10.0.1.1", nil), w.follower("10.0.1.2", nil), w.follower("10.0.1.3", nil)}
	crash := func(endpoint string) keelworld.Crash {
		return keelworld.Crash{Request: 7, Endpoint: endpoint, Incarnation: 1}
	}
	await := func(what string, want int) {
		t.Helper()
		for _, f := range followers {
			w.waitFor(what, func() bool { return len(f.View().Suspects[7].Crashes) == want })
		}
	}
	first.set(nil, crash("a"), crash("b"))
	second.set(nil, crash("b"), crash("c"))
	await("all crashes are known", 3)
	first.set(nil)
	second.set([]uint64{7})
	await("an answer ends the suspicion", 0)
}

// Nobody sends a request again that crashed endpoints. It is forgotten after a time.
func TestSuspectsExpire(t *testing.T) {
	w, _ := startSixVotersRetaining(t, time.Second)
	o := &observations{}
	w.observed["10.0.1.1"] = o.get
	f := w.follower("10.0.1.1", nil)
	o.set(nil, keelworld.Crash{Request: 7, Endpoint: "a", Incarnation: 1})
	w.waitFor("the crash is known", func() bool { return len(f.View().Suspects) == 1 })
	o.set(nil)
	w.waitFor("the crash is forgotten", func() bool { return len(f.View().Suspects) == 0 })
}
