package keel

import "math"

// Usable returns the number of slots that may be used at the current ramp. A ramp
// of 0 or of at least 1 allows all slots. Any other allows at least one, if the
// endpoint has slots.
func (v *EndpointView) Usable() int {
	if v.Ramp <= 0 || v.Ramp >= 1 {
		return v.Slots
	}
	return min(v.Slots, max(1, int(math.Ceil(float64(v.Slots)*v.Ramp))))
}

// Free returns the number of usable slots that this instance has not filled. It
// is negative while more requests are in flight than there are usable slots, for
// example after the number of slots was lowered.
func (v *EndpointView) Free() int { return v.Usable() - v.InFlight }
