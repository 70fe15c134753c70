package keelproxy

import "github.com/zeebo/xxh3"

// maxRecentIDs is how many requests back an endpoint may repeat an answer on a
// connection without it being taken for the answer to a request with the same id.
const maxRecentIDs = 16

// recentIDs holds hashes of the ids of the last requests of a connection.
type recentIDs struct {
	hashes [maxRecentIDs]uint64
	count  int
}

func (s *recentIDs) empty() bool { return s.count == 0 }

func (s *recentIDs) add(id string) {
	s.hashes[s.count%maxRecentIDs] = xxh3.HashString(id)
	s.count++
}

func (s *recentIDs) contains(id string) bool {
	h := xxh3.HashString(id)
	for _, o := range s.hashes[:min(s.count, maxRecentIDs)] {
		if o == h {
			return true
		}
	}
	return false
}
