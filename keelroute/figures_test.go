package keelroute_test

import (
	"slices"
	"time"
)

// ending is the result of a request for its caller.
type ending int

const (
	endAnswered ending = iota
	endRefused         // not run
	endFailed          // may have run
	endings
)

// figures collects the measurements of a run.
type figures struct {
	measureFrom time.Duration // requests that arrive earlier are not measured
	endings     [][endings]int
	latency     [][]time.Duration
	linkPeak    float64
	longest     time.Duration // service time of any request
	drain       time.Duration
	// regionUse holds the utilisation of each region, per tick. hottest is the
	// highest mean over one second.
	regionUse [][regions]float64
	inUse     [regions]float64
	slots     [regions]float64
	hottest   float64
	runs      int
}

// add adds the figures of another run.
func (f *figures) add(o *figures) {
	if f.runs == 0 {
		f.endings, f.latency = make([][endings]int, len(o.endings)), make([][]time.Duration, len(o.endings))
	}
	f.runs++
	for svc := range o.endings {
		f.latency[svc] = append(f.latency[svc], o.latency[svc]...)
		for e, n := range o.endings[svc] {
			f.endings[svc][e] += n
		}
	}
	f.hottest += o.hottest
	f.linkPeak += o.linkPeak
	f.drain = max(f.drain, o.drain)
	f.longest = max(f.longest, o.longest)
}

func (f *figures) init(dep deployment) {
	n := len(dep.services)
	f.endings = make([][endings]int, n)
	f.latency = make([][]time.Duration, n)
}

func (f *figures) countEnding(s *sim, r *request, how ending) {
	if r.arrived < f.measureFrom {
		return
	}
	f.endings[r.svc][how]++
	if how == endAnswered {
		f.latency[r.svc] = append(f.latency[r.svc], s.now-r.arrived+s.dep.callerTrip)
	}
}

func (f *figures) addUse(_ *sim, d, _ int, p *pool) {
	f.inUse[regionOf(d)] += float64(p.running + len(p.waiting))
	f.slots[regionOf(d)] += float64(p.slots)
}

// endTick computes the regions' utilisation for the tick and resets its sums.
func (f *figures) endTick() {
	var use [regions]float64
	for r := range use {
		use[r] = f.inUse[r] / f.slots[r]
	}
	f.inUse, f.slots = [regions]float64{}, [regions]float64{}
	f.regionUse = append(f.regionUse, use)
	n := int(time.Second / tickEvery)
	if tickEvery*time.Duration(len(f.regionUse)) < f.measureFrom+time.Second {
		return
	}
	for r := range regions {
		sum := 0.0
		for _, u := range f.regionUse[len(f.regionUse)-n:] {
			sum += u[r]
		}
		f.hottest = max(f.hottest, sum/float64(n))
	}
}

func (f *figures) quantile(svc int, q float64) time.Duration {
	l := slices.Sorted(slices.Values(f.latency[svc]))
	if len(l) == 0 {
		return 0
	}
	return l[int(q*float64(len(l)-1))]
}

// fraction returns the fraction of a service's requests with the given ending,
// or of all requests if svc is -1.
func (f *figures) fraction(svc int, how ending) float64 {
	n, all := 0, 0
	for i := range f.endings {
		if svc >= 0 && svc != i {
			continue
		}
		n += f.endings[i][how]
		for _, k := range f.endings[i] {
			all += k
		}
	}
	return float64(n) / float64(max(1, all))
}
