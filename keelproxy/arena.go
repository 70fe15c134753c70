package keelproxy

import "strings"

// minArenaBytes is the smallest buffer that an arena allocates.
const minArenaBytes = 128

// arena stores the strings of one message in few allocations.
type arena struct{ b strings.Builder }

// grow reserves size bytes.
func (a *arena) grow(size int) { a.b.Grow(max(size, minArenaBytes)) }

// copyString returns a copy of b as a string in the arena.
func (a *arena) copyString(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if a.b.Cap()-a.b.Len() < len(b) {
		// Strings that were returned before keep the old buffer alive.
		a.b = strings.Builder{}
		a.b.Grow(max(minArenaBytes, len(b)))
	}
	from := a.b.Len()
	a.b.Write(b)
	return a.b.String()[from:]
}
