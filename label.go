package keel

import "maps"

// Labels are key and value pairs on an endpoint, an instance, a failure domain or
// a service.
type Labels map[string]string

// Labels that the system itself evaluates.
const (
	// LabelDrain with the value [LabelOn] on an endpoint, a failure domain or an
	// instance stops new requests to it.
	LabelDrain = "keel.drain"
	// LabelPoisonLift on a service lifts the refusal of the poison request whose
	// fingerprint is the value of the label.
	LabelPoisonLift = "keel.poison_lift"
)

// LabelOn is the value that enables a label of the system.
const LabelOn = "true"

// maxLabels is the highest number of labels of one object.
const maxLabels = 64

// Check reports too many labels and malformed keys or values.
func (l Labels) Check() Faults {
	var fs Faults
	if len(l) > maxLabels {
		fs.Add("", "has %d labels, the limit is %d", len(l), maxLabels)
	}
	for k, v := range l {
		fs = append(fs, CheckName("["+k+"]", k)...)
		if len(v) > MaxNameLength {
			fs.Add("["+k+"]", "value has %d bytes, the limit is %d", len(v), MaxNameLength)
		}
	}
	return fs
}

// On reports whether the label key has the value [LabelOn].
func (l Labels) On(key string) bool { return l[key] == LabelOn }

// Matches reports whether l has every key and value of want. An empty want matches
// any labels.
func (l Labels) Matches(want Labels) bool {
	for k, v := range want {
		got, ok := l[k]
		if !ok || got != v {
			return false
		}
	}
	return true
}

// Over returns the labels of base overridden by those of l.
func (l Labels) Over(base Labels) Labels {
	if len(l) == 0 {
		return base
	}
	out := make(Labels, len(base)+len(l))
	maps.Copy(out, base)
	maps.Copy(out, l)
	return out
}
