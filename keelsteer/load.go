package keelsteer

import (
	"time"

	"github.com/greengagekeel/greengagekeel/keelroute"
)

// load counts the requests of a source that run in a failure domain, with their
// moving average and the average number that start per second. started counts
// the requests since lastRate, when startRate was last updated.
type load struct {
	inFlight     int
	started      int
	meanInFlight keelroute.Average
	startRate    keelroute.Average
	lastRate     time.Time
}

func newLoad() *load {
	return &load{meanInFlight: keelroute.NewAverage(demandWindow), startRate: keelroute.NewAverage(demandWindow)}
}

// minRateInterval is the shortest interval over which a rate is measured.
const minRateInterval = 100 * time.Millisecond

// observe updates the averages with the requests since the last call.
func (l *load) observe(now time.Time) {
	l.meanInFlight.Observe(now, float64(l.inFlight))
	if l.lastRate.IsZero() {
		l.lastRate, l.started = now, 0
		return
	}
	elapsed := now.Sub(l.lastRate)
	if elapsed < minRateInterval {
		return
	}
	l.startRate.Observe(now, float64(l.started)/elapsed.Seconds())
	l.lastRate, l.started = now, 0
}
