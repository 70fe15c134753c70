package keelroute_test

import (
	"slices"
	"time"
)

// ending is how a request ended for its caller.
type ending int

const (
	endAnswered ending = iota
	endRefused         // not run
	endFailed          // may have run
	endings
)

// figures collects what a run is measured by.
type figures struct {
	from     time.Duration // what arrives before is not measured
	ends     [][endings]int
	latency  [][]time.Duration
	linkPeak float64
	longest  time.Duration // of any request's work
	drain    time.Duration
	// regionUse holds, per tick, the use of each region; hottest is its peak
	// over a second.
	regionUse [][regions]float64
	inUse     [regions]float64
	slots     [regions]float64
	hottest   float64
	runs      int
}

// add takes in the figures of another run.
func (f *figures) add(o *figures) {
	if f.runs == 0 {
		f.ends, f.latency = make([][endings]int, len(o.ends)), make([][]time.Duration, len(o.ends))
	}
	f.runs++
	for svc := range o.ends {
		f.latency[svc] = append(f.latency[svc], o.latency[svc]...)
		for e, n := range o.ends[svc] {
			f.ends[svc][e] += n
		}
	}
	f.hottest += o.hottest
	f.linkPeak += o.linkPeak
	f.drain = max(f.drain, o.drain)
	f.longest = max(f.longest, o.longest)
}

func (f *figures) init(dep deployment) {
	n := len(dep.services)
	f.ends = make([][endings]int, n)
	f.latency = make([][]time.Duration, n)
}

func (f *figures) count(s *sim, r *request, how ending) {
	if r.arrived < f.from {
		return
	}
	f.ends[r.svc][how]++
	if how == endAnswered {
		f.latency[r.svc] = append(f.latency[r.svc], s.now-r.arrived+s.dep.callers)
	}
}

func (f *figures) use(_ *sim, d, _ int, p *pool) {
	f.inUse[regionOf(d)] += float64(p.running + len(p.waiting))
	f.slots[regionOf(d)] += float64(p.slots)
}

// endTick closes the sums of one tick.
func (f *figures) endTick() {
	var use [regions]float64
	for r := range use {
		use[r] = f.inUse[r] / f.slots[r]
	}
	f.inUse, f.slots = [regions]float64{}, [regions]float64{}
	f.regionUse = append(f.regionUse, use)
	n := int(time.Second / tickEvery)
	if tickEvery*time.Duration(len(f.regionUse)) < f.from+time.Second {
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

// part returns the part of a service's requests that ended so, or of all
// requests for svc -1.
func (f *figures) part(svc int, how ending) float64 {
	n, all := 0, 0
	for i := range f.ends {
		if svc >= 0 && svc != i {
			continue
		}
		n += f.ends[i][how]
		for _, k := range f.ends[i] {
			all += k
		}
	}
	return float64(n) / float64(max(1, all))
}
