package keelsync

import "github.com/greengagekeel/greengagekeel/keelworld"

// recordRateLimits adds the limits of endpoints that an entry instance reported, and that
// change the state, to the next batch.
func (v *Voter) recordRateLimits(limits []keelworld.RateLimit) {
	var changes []keelworld.RateLimit
	v.machine.withState(func(s *keelworld.State) {
		for i := range limits {
			if s.ChangesRateLimit(&limits[i]) {
				changes = append(changes, limits[i])
			}
		}
	})
	if len(changes) > 0 {
		v.batcher.addRateLimits(changes)
	}
}
