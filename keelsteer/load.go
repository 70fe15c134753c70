package keelsteer

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelroute"
)

// load is the number of requests of a source that run in a failure domain now,
// its average over time, and how many begin in a second.
type load struct {
	now     int
	begun   int
	average keelroute.Average
	rate    keelroute.Average
	last    time.Time
}

func newLoad() *load {
	return &load{average: keelroute.NewAverage(demandOver), rate: keelroute.NewAverage(demandOver)}
}

// shortestReading is the shortest time over which a rate is read.
const shortestReading = 100 * time.Millisecond

// observe takes in what happened since the last call.
func (l *load) observe(now time.Time) {
	l.average.Observe(now, float64(l.now))
	if l.last.IsZero() {
		l.last, l.begun = now, 0
		return
	}
	took := now.Sub(l.last)
	if took < shortestReading {
		return
	}
	l.rate.Observe(now, float64(l.begun)/took.Seconds())
	l.last, l.begun = now, 0
}
