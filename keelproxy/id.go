package keelproxy

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// newIDs returns a function that makes ids which no other process makes: a
// random text of this process and a number.
func newIDs() func() string {
	const base = 36
	prefix := strconv.FormatUint(rand.Uint64(), base) + strconv.FormatUint(rand.Uint64(), base) + "-"
	var last atomic.Uint64
	return func() string {
		var buf [48]byte
		return string(strconv.AppendUint(append(buf[:0], prefix...), last.Add(1), base))
	}
}
