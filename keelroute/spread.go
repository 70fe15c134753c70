package keelroute

// keySpreader maps the keys of requests to buckets. It counts the requests of
// each key, so that a key with more traffic than one bucket stands for is
// spread over several buckets. Keys that are equal modulo [Buckets] are counted
// together.
type keySpreader struct {
	// hits counts the requests by the remainder of their key.
	hits     [Buckets]uint32
	total    uint32
	sequence uint64
}

// maxHits is the total at which all counts are halved, so that older requests
// lose weight.
const maxHits = 1 << 16

// recordKey counts a request and returns its bucket.
func (s *keySpreader) recordKey(key uint64) int {
	s.hits[key%Buckets]++
	s.total++
	if s.total >= maxHits {
		s.halve()
	}
	return s.bucketOf(key)
}

// bucketOf returns a bucket for a request with the key. A key with a fraction f
// of the traffic uses f*Buckets consecutive buckets, at least one, from its home
// bucket on. Successive calls vary among them.
func (s *keySpreader) bucketOf(key uint64) int {
	const golden = 0x9e3779b97f4a7c15 // Fibonacci hashing: distributes successive numbers evenly
	home := key % Buckets
	if s.total == 0 {
		return int(home)
	}
	width := uint64(s.hits[home]) * Buckets / uint64(s.total)
	if width <= 1 {
		return int(home)
	}
	s.sequence++
	return int((home + (s.sequence*golden>>33)%width) % Buckets)
}

func (s *keySpreader) halve() {
	s.total = 0
	for i := range s.hits {
		s.hits[i] /= 2
		s.total += s.hits[i]
	}
}
