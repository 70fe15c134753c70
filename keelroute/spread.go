package keelroute

// spread finds the bucket of a request by its key, and counts how much of the
// traffic each key has.
type spread struct {
	hits  [Buckets]uint32
	total uint32
	turn  uint64
}

// maxHits bounds the counts. Beyond it they are halved, so that old traffic
// counts less and less.
const maxHits = 1 << 16

// count returns the bucket of a request and counts it.
func (s *spread) count(key uint64) int {
	s.hits[key%Buckets]++
	s.total++
	if s.total >= maxHits {
		s.halve()
	}
	return s.bucket(key)
}

// bucket returns one of the buckets of a key: as many as its part of the
// traffic, from its own on, in turn.
func (s *spread) bucket(key uint64) int {
	const golden = 0x9e3779b97f4a7c15 // spreads turns evenly over any number of buckets
	home := key % Buckets
	if s.total == 0 {
		return int(home)
	}
	width := uint64(s.hits[home]) * Buckets / uint64(s.total)
	if width <= 1 {
		return int(home)
	}
	s.turn++
	return int((home + (s.turn*golden>>33)%width) % Buckets)
}

func (s *spread) halve() {
	s.total = 0
	for i := range s.hits {
		s.hits[i] /= 2
		s.total += s.hits[i]
	}
}
