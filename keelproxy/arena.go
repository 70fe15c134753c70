package keelproxy

import "strings"

// arenaBytes is the first size of an arena. The header of most requests and
// answers fits.
const arenaBytes = 512

// arena holds the texts of one message in few allocations.
type arena struct{ b strings.Builder }

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
