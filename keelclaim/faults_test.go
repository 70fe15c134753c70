package keelclaim_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	claimSeed  = flag.Int("claim-seed", -1, "the only seed to run")
	claimSeeds = flag.Int("claim-seeds", 3, "seeds per fault case")
)

// TestFaults simulates holders and claimants under the faults of each row. A
// key must never run twice, an answer must be the key's own, a verdict must be
// true, and after the faults every instance must be served again.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		f    faults
	}{
		{"claimants crash", faults{holders: 3, tickets: 0.5, outage: time.Second}},
		{"one holder", faults{holders: 1, tickets: 0.5, kill: 20 * time.Second, outage: 5 * time.Second}},
		{"two holders", faults{holders: 2, tickets: 0.5, kill: 20 * time.Second, outage: 5 * time.Second, drop: 0.05}},
		{"lost, duplicate and delayed messages", faults{holders: 3, tickets: 0.3, drop: 0.1, duplicate: 0.1, delayed: 0.05}},
		{"instances killed", faults{holders: 3, tickets: 0.3, kill: 6 * time.Second, outage: 4 * time.Second, delayed: 0.02}},
		{"holders restart at once", faults{holders: 3, tickets: 0.3, kill: 2 * time.Second, outage: 100 * time.Millisecond, delayed: 0.1}},
		{"four holders", faults{holders: 4, tickets: 0.3, kill: 2 * time.Second, outage: time.Second, delayed: 0.1}},
		{"five holders", faults{holders: 5, tickets: 0.3, kill: 2 * time.Second, outage: time.Second, delayed: 0.1, drop: 0.02}},
		{"paused and resumed", faults{holders: 3, tickets: 0.3, pause: 3 * time.Second, longestPause: 45 * time.Second}},
		{"domain partitioned", faults{holders: 3, tickets: 0.3, partition: 6 * time.Second}},
		{"whole domain restarts", faults{holders: 3, tickets: 0.7, killAll: []time.Duration{30 * time.Second, 95 * time.Second}, outage: 2 * time.Second, delayed: 0.05}},
		{"registration changes", faults{holders: 3, tickets: 0.3, changeHoldersAt: 40 * time.Second, kill: 15 * time.Second, outage: 2 * time.Second, delayed: 0.02}},
		{"clocks are set", faults{holders: 3, tickets: 1, clockJumps: true, kill: 10 * time.Second, outage: time.Second}},
		{"small limits", faults{holders: 3, tickets: 0.3, smallLimit: true, kill: 20 * time.Second, outage: time.Second}},
		{"all together", faults{
			holders: 5, tickets: 0.4, drop: 0.05, duplicate: 0.05, delayed: 0.05, clockJumps: true,
			kill: 5 * time.Second, outage: 2 * time.Second, pause: 6 * time.Second, longestPause: 45 * time.Second,
			partition: 10 * time.Second, killAll: []time.Duration{70 * time.Second}, changeHoldersAt: 40 * time.Second,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			total := map[string]int{}
			for seed := range *claimSeeds {
				if *claimSeed >= 0 && seed != *claimSeed {
					continue
				}
				s := newSimulation(t, uint64(seed), tt.f)
				s.check(uint64(seed))
				for k, v := range s.stats {
					total[k] += v
				}
			}
			t.Log(summary(*claimSeeds, total))
		})
	}
}

func summary(seeds int, total map[string]int) string {
	parts := []string{fmt.Sprintf("%d seeds", seeds)}
	for _, k := range slices.Sorted(maps.Keys(total)) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, total[k]))
	}
	return strings.Join(parts, ", ")
}

// check runs the faults, then a phase without faults, then one request per
// instance, whose claim must be granted.
func (s *simulation) check(seed uint64) {
	s.t.Helper()
	s.run(s.now.Add(3 * simSlack))
	until := s.now.Add(2 * time.Minute)
	s.schedule(until)
	s.load(until)
	s.run(until)
	clear(s.partition)
	s.faultsEnded, s.f.drop, s.f.duplicate, s.f.delayed = true, 0, 0, 0
	s.run(s.now.Add(3 * simRetention))
	for i, n := range s.nodes {
		if s.failure != "" {
			break
		}
		key := fmt.Sprintf("last-%d", i)
		before := s.stats["dispatched"] + s.stats["released"]
		n.request(key, nil, 1)
		s.lastRefusal = ""
		s.run(s.now.Add(20 * time.Second))
		if s.stats["dispatched"]+s.stats["released"] == before {
			s.fail("instance %s is still refused after the faults: %s", n.name, s.lastRefusal)
		}
	}
	for _, n := range s.nodes {
		if c := n.holder.Stats().Conflicts; c > 0 {
			s.fail("holder %s saw %d conflicting outcomes", n.name, c)
		}
	}
	if s.failure != "" {
		s.t.Errorf("seed %d: %s", seed, s.failure)
	}
}
