package keelroute_test

import (
	"fmt"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

var loadCap = keel.ShiftCap{Percent: 20, Window: keel.Duration(5 * time.Second)}

type steeringVariant struct {
	name string
	make func(deployment) steering
}

func steeringVariants() []steeringVariant {
	return []steeringVariant{
		{"all-knowing", func(deployment) steering { return oracle() }},
		{"policy", func(d deployment) steering { return newPolicy(d, ownPools, loadCap) }},
		{"endpoint owners", func(d deployment) steering { return newPolicy(d, ownEndpoints, loadCap) }},
		{"split slots", func(d deployment) steering { return newPolicy(d, splitSlots, loadCap) }},
		{"nearest-first", func(deployment) steering { return nearestFirst() }},
		{"static weights", func(deployment) steering { return staticWeights() }},
		{"least reported", func(deployment) steering { return leastReported() }},
	}
}

// seeds are the seeds of the comparison. Latency quantiles are taken over the
// requests of all seeds; the other figures are means over the seeds.
var seeds = []uint64{1, 2}

// BenchmarkComparison prints the table of docs/BENCHMARKS.md. Run it with
// -benchtime 1x.
func BenchmarkComparison(b *testing.B) {
	for _, f := range loadFaults() {
		for _, dep := range deployments() {
			for _, c := range steeringVariants() {
				b.Run(f.name+"/"+dep.name+"/"+c.name, func(b *testing.B) {
					for range b.N {
						var sum figures
						for _, seed := range seeds {
							s := newSim(dep, c.make(dep), seed, b.Logf)
							s.runFault(f, steady)
							sum.add(&s.figures)
						}
						printRow(dep, f.name, c.name, &sum)
					}
				})
			}
		}
	}
}

func printRow(dep deployment, fault, who string, f *figures) {
	fmt.Printf("| %s | %s | %s |", fault, dep.name, who)
	for svc := range dep.services {
		fmt.Printf(" %d/%d |", f.quantile(svc, 0.5).Milliseconds(), f.quantile(svc, 0.99).Milliseconds())
	}
	n := float64(max(1, f.runs))
	fmt.Printf(" %.2f | %.2f | %.1f | %.1f | %s |\n", f.hottest/n, f.linkPeak/n,
		100*f.fraction(-1, endRefused), 100*f.fraction(-1, endFailed), f.drain.Round(time.Millisecond))
}
