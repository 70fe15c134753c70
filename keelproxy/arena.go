package keelproxy

import "strings"

// arenaBytes is the least size of the memory that an arena takes.
const arenaBytes = 128

// arena holds the texts of one message in few allocations.
type arena struct{ b strings.Builder }

// grow makes room for texts of so many bytes.
func (a *arena) grow(size int) { a.b.Grow(max(size, arenaBytes)) }

// text returns a copy of b.
func (a *arena) text(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if a.b.Cap()-a.b.Len() < len(b) {
		// Texts that were handed out keep the old memory.
		a.b = strings.Builder{}
		a.b.Grow(max(arenaBytes, len(b)))
	}
	from := a.b.Len()
	a.b.Write(b)
	return a.b.String()[from:]
}
