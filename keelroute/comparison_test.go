package keelroute_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

var loadCap = keel.ShiftCap{Percent: 20, Window: keel.Duration(5 * time.Second)}

// warmUp is how long the load rises at the start of a run.
const warmUp = 5 * time.Second

type contender struct {
	name string
	make func(deployment) steering
}

func contenders() []contender {
	return []contender{
		{"all-knowing", func(deployment) steering { return allKnowing() }},
		{"policy", func(d deployment) steering { return newPolicy(d, ownPools, loadCap) }},
		{"endpoint owners", func(d deployment) steering { return newPolicy(d, ownEndpoints, loadCap) }},
		{"split slots", func(d deployment) steering { return newPolicy(d, splitSlots, loadCap) }},
		{"nearest-first", func(deployment) steering { return nearestFirst() }},
		{"static weights", func(deployment) steering { return staticWeights() }},
		{"least reported", func(deployment) steering { return leastReported() }},
	}
}

// BenchmarkComparison prints the table of docs/BENCHMARKS.md. Run it with
// -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for range b.N {
		for _, dep := range deployments() {
			for _, c := range contenders() {
				s := newSim(dep, c.make(dep), 1, b.Errorf)
				s.load = func(now time.Duration, _ int) float64 { return 0.4 + 0.4*min(1, now.Seconds()/warmUp.Seconds()) }
				s.figures.from = 2 * warmUp
				s.run(30 * time.Second)
				printRow(dep, "none, load 0.8", c.name, &s.figures)
			}
		}
	}
}

func printRow(dep deployment, fault, who string, f *figures) {
	fmt.Printf("| %s | %s | %s |", dep.name, fault, who)
	for svc := range dep.services {
		fmt.Printf(" %d/%d |", f.quantile(svc, 0.5).Milliseconds(), f.quantile(svc, 0.99).Milliseconds())
	}
	fmt.Printf(" %.2f | %.2f | %.1f | %.1f | %s |\n", f.hottest, f.linkPeak,
		100*f.part(-1, endRefused), 100*f.part(-1, endFailed), f.drain.Round(time.Millisecond))
}
