package keelmember_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// BenchmarkInForce measures the time from a change at the voters until it is in
// force at an instance, and until all voters have confirmed that it is in force
// everywhere. Simulated time advances in steps of 5 ms. A message takes 100 ms
// between domains and 1 ms inside one; a fetch takes one message each way. Each
// iteration makes 10 changes, one second apart.
func BenchmarkInForce(b *testing.B) {
	sizes := []struct {
		domains, size int
		loss          float64
	}{
		{1, 3, 0},
		{2, 3, 0},
		{4, 3, 0},
		{6, 3, 0},
		{16, 3, 0},
		{46, 3, 0},
		{46, 9, 0},
		{46, 35, 0},
		{6, 3, 0.1},
		{46, 3, 0.1},
		{46, 9, 0.1},
	}
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("domains=%d/size=%d/loss=%g", sz.domains, sz.size, sz.loss), func(b *testing.B) {
			s := newSim(1, sz.domains, sz.size)
			s.autoFetch = true
			for _, n := range s.nodes {
				n.local.Capacity, n.local.QuorumBacked = fourServices, n.inst.Voter
			}
			s.run(60 * second)
			s.step, s.interDomainDelay = 5*time.Millisecond, 100*time.Millisecond
			s.drop = func(_, _ *node) bool { return s.rand.Float64() < sz.loss }
			var t inForceTimes
			for b.Loop() {
				for range 10 {
					t.change(s)
					s.run(second)
				}
			}
			t.report(b)
		})
	}
}

// inForceTimes collects times in milliseconds.
type inForceTimes struct {
	each, confirmed []float64
	version         keel.Version
}

// change makes one change and records its times.
func (t *inForceTimes) change(s *sim) {
	t.version++
	domains, proposedAt := s.allDomains(), s.now
	s.propose(t.version)
	seen := make([]bool, len(s.nodes))
	for all := false; !all; s.run(s.step) {
		took := float64(s.now.Sub(proposedAt).Milliseconds())
		all = true
		for i, n := range s.nodes {
			if !seen[i] && n.local.Version >= t.version {
				seen[i] = true
				t.each = append(t.each, took)
			}
			all = all && seen[i]
		}
		for _, n := range s.nodes {
			all = all && (!n.inst.Voter || n.core.View().Confirm(t.version, domains).InForce)
		}
		if all {
			t.confirmed = append(t.confirmed, took)
		}
	}
}

func (t *inForceTimes) report(b *testing.B) {
	slices.Sort(t.each)
	slices.Sort(t.confirmed)
	at := func(list []float64, q float64) float64 { return list[int(q*float64(len(list)-1))] }
	b.ReportMetric(at(t.each, 0.5), "each-p50-ms")
	b.ReportMetric(at(t.each, 0.99), "each-p99-ms")
	b.ReportMetric(at(t.each, 1), "last-ms")
	b.ReportMetric(at(t.confirmed, 0.5), "confirmed-p50-ms")
	b.ReportMetric(at(t.confirmed, 1), "confirmed-most-ms")
	b.ReportMetric(0, "ns/op")
}
