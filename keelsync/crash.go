package keelsync

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelworld"
)

// SuspectRetention is how long the crashes of a request count that no endpoint answers.
// After that time, it is sent to [keelworld.MaxCrashes] endpoints again.
const SuspectRetention = 15 * time.Minute

// recordCrashes adds what an entry instance observed and the state lacks to the next
// batch. The instance repeats it until its own state has it.
func (v *Voter) recordCrashes(answered []uint64, crashes []keelworld.Crash) {
	if len(answered) == 0 && len(crashes) == 0 {
		return
	}
	var suspects keelworld.Suspects
	v.machine.withState(func(s *keelworld.State) { suspects = s.Suspects() })
	var newAnswered []uint64
	for _, request := range answered {
		if _, ok := suspects[request]; ok {
			newAnswered = append(newAnswered, request)
		}
	}
	var newCrashes []keelworld.Crash
	for _, c := range crashes {
		if !suspects.Contains(c) {
			newCrashes = append(newCrashes, c)
		}
	}
	if len(newAnswered) > 0 || len(newCrashes) > 0 {
		v.batcher.addCrashes(newAnswered, newCrashes)
	}
}

// suspectAge is when the leader first found the last crash of a request in its state.
type suspectAge struct {
	index   uint64
	foundAt time.Time
}

// expireSuspects removes the requests whose last crash is longer ago than
// the retention. Only the leader calls it.
func (v *Voter) expireSuspects(now time.Time) {
	var suspects keelworld.Suspects
	v.machine.withState(func(s *keelworld.State) { suspects = s.Suspects() })
	var expired []uint64
	ages := make(map[uint64]suspectAge, len(suspects))
	for request, o := range suspects {
		age := v.suspectAges[request]
		if age.index != o.Index {
			age = suspectAge{o.Index, now}
		}
		ages[request] = age
		if now.Sub(age.foundAt) > v.cfg.SuspectRetention {
			expired = append(expired, request)
		}
	}
	v.suspectAges = ages
	if len(expired) > 0 {
		v.batcher.addCrashes(expired, nil)
	}
}
