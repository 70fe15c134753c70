package keelroute

import "time"

// Move is one entry of a vector's ledger: how many buckets changed their domain
// at a point in time.
type Move struct {
	At      time.Time `json:"at" cbor:"1,keyasint"`
	Buckets int       `json:"buckets" cbor:"2,keyasint"`
}

// maxMoves is the largest number of entries in a ledger. Beyond it a move is
// added to the last entry, whose time becomes that of the new move. The earlier
// moves in the entry then count for longer, never for less time.
const maxMoves = 4 * stepsPerWindow

// ledger records the moves of one vector, the oldest first. It is what the cap
// on shift is checked against.
type ledger struct{ moves []Move }

// spent returns how many buckets moved within the window that ends at now. A
// move exactly one window ago still counts.
func (l *ledger) spent(now time.Time, window time.Duration) int {
	n := 0
	from := now.Add(-window)
	for _, m := range l.moves {
		if !m.At.Before(from) {
			n += m.Buckets
		}
	}
	return n
}

// add records a move and discards those that are older than keep.
func (l *ledger) add(now time.Time, buckets int, keep time.Duration) {
	l.discardBefore(now.Add(-keep))
	last := len(l.moves) - 1
	if last >= 0 && (len(l.moves) >= maxMoves || !now.After(l.moves[last].At)) {
		l.moves[last].Buckets += buckets
		if now.After(l.moves[last].At) {
			l.moves[last].At = now
		}
		return
	}
	l.moves = append(l.moves, Move{At: now, Buckets: buckets})
}

func (l *ledger) discardBefore(before time.Time) {
	i := 0
	for i < len(l.moves) && l.moves[i].At.Before(before) {
		i++
	}
	l.moves = append(l.moves[:0], l.moves[i:]...)
}

// nextExpiry returns when the oldest move within the window stops counting, or
// now if there is none.
func (l *ledger) nextExpiry(now time.Time, window time.Duration) time.Time {
	from := now.Add(-window)
	for _, m := range l.moves {
		if !m.At.Before(from) && m.Buckets > 0 {
			return m.At.Add(window + 1)
		}
	}
	return now
}
