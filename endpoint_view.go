package keel

import "math"

// Usable returns how many requests the endpoint may run at its ramp. A ramp of
// 0 or of at least 1 means all of its slots; otherwise it is at least one slot
// if the endpoint has any.
func (v *EndpointView) Usable() int {
	if v.Ramp <= 0 || v.Ramp >= 1 {
		return v.Slots
	}
	return min(v.Slots, max(1, int(math.Ceil(float64(v.Slots)*v.Ramp))))
}

// Free returns how many more requests the endpoint may take. It is negative
// while more run there than its slots allow, as after a change of its slots.
func (v *EndpointView) Free() int { return v.Usable() - v.InFlight }
