package keelroute_test

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelroute"
)

// assignment holds the bucket assignments of one entry instance at a point in
// time.
type assignment struct {
	at      time.Duration
	vectors map[keelroute.Source][]byte
}

// checkCap compares each entry's vectors with those of up to one window ago, and
// fails if more buckets differ than the cap allows.
func (p *policy) checkCap(s *sim) {
	for e, sh := range p.entries {
		now := assignment{s.now, map[keelroute.Source][]byte{}}
		for _, v := range sh.Digest().Vectors {
			now.vectors[v.Source] = domainDigits(v)
		}
		h := append(p.vectorHistory[e], now)
		for s.now-h[0].at > p.cap.Window.Std() {
			h = h[1:]
		}
		p.vectorHistory[e] = h
		for src, v := range now.vectors {
			moved := countDifferences(h[0].vectors[src], v)
			if limit := p.cap.Percent / 100 * keelroute.Buckets; float64(moved) > limit+1e-6 {
				s.fail("%s: entry %d moved %d of %v buckets of %v within a window", s.now, e, moved, limit, src)
			}
		}
	}
}

// domainDigits returns the domain of each bucket as the digit in its name. The
// result doesn't depend on the order of the domains in the vector.
func domainDigits(v keelroute.VectorDigest) []byte {
	out := make([]byte, len(v.Assigned))
	for i, at := range v.Assigned {
		out[i] = v.Domains[at][1]
	}
	return out
}

func countDifferences(a, b []byte) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}
