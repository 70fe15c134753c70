package keelroute_test

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelroute"
)

// snapshot is the assignment of one entry's buckets at a time.
type snapshot struct {
	at      time.Duration
	vectors map[keelroute.Source][]byte
}

// checkCap compares every entry's vectors with those of up to one window ago.
func (p *policy) checkCap(s *sim) {
	for e, sh := range p.entries {
		now := snapshot{s.now, map[keelroute.Source][]byte{}}
		for _, v := range sh.Digest().Vectors {
			now.vectors[v.Source] = named(v)
		}
		h := append(p.history[e], now)
		for s.now-h[0].at > p.cap.Window.Std() {
			h = h[1:]
		}
		p.history[e] = h
		for src, v := range now.vectors {
			moved := differing(h[0].vectors[src], v)
			if limit := p.cap.Percent / 100 * keelroute.Buckets; float64(moved) > limit+1e-6 {
				s.broken("%s: entry %d moved %d of %v buckets of %v within a window", s.now, e, moved, limit, src)
			}
		}
	}
}

// named returns the domain of every bucket as the digit in its name.
func named(v keelroute.VectorDigest) []byte {
	out := make([]byte, len(v.Assigned))
	for i, at := range v.Assigned {
		out[i] = v.Domains[at][1]
	}
	return out
}

func differing(a, b []byte) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}
