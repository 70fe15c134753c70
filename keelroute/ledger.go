package keelroute

import "time"

// Move is one entry of a shift ledger: how many buckets moved at a time.
type Move struct {
	At      time.Time `json:"at" cbor:"1,keyasint"`
	Buckets int       `json:"buckets" cbor:"2,keyasint"`
}

// maxMoves bounds the entries of a ledger. Later moves join the last entry,
// which only makes them count for longer.
const maxMoves = 4 * stepsPerWindow

// ledger records the moves of one vector, the oldest first.
type ledger struct{ moves []Move }

// spent returns how many buckets moved within the window that ends now. The
// window is closed at both ends: a move exactly one window ago still counts.
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

// add records a move and forgets those that are older than keep.
func (l *ledger) add(now time.Time, buckets int, keep time.Duration) {
	l.forget(now.Add(-keep))
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

func (l *ledger) forget(before time.Time) {
	i := 0
	for i < len(l.moves) && l.moves[i].At.Before(before) {
		i++
	}
	l.moves = append(l.moves[:0], l.moves[i:]...)
}

// freeAt returns when at least one of the buckets spent within the window
// stops counting.
func (l *ledger) freeAt(now time.Time, window time.Duration) time.Time {
	from := now.Add(-window)
	for _, m := range l.moves {
		if !m.At.Before(from) && m.Buckets > 0 {
			return m.At.Add(window + 1)
		}
	}
	return now
}
