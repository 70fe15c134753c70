package keelproxy

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// newIDGenerator returns a function that generates request ids: a random prefix,
// which makes them unique among processes, and a sequence number.
func newIDGenerator() func() string {
	const base = 36
	prefix := strconv.FormatUint(rand.Uint64(), base) + strconv.FormatUint(rand.Uint64(), base) + "-"
	var last atomic.Uint64
	return func() string {
		var buf [48]byte
		return string(strconv.AppendUint(append(buf[:0], prefix...), last.Add(1), base))
	}
}
