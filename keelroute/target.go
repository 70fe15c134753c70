package keelroute

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// DomainLoad is what a sender knows of one failure domain for one service.
type DomainLoad struct {
	Domain keel.DomainName
	Region keel.RegionName
	// RoundTrip is the time there and back from the source's region.
	RoundTrip time.Duration
	// Slots is how many requests the domain's endpoints run at once.
	Slots float64
	// Others is how many of those slots the traffic of other sources uses.
	Others float64
	// QueueDelay is how long requests were last reported to wait there.
	QueueDelay time.Duration
	// ReportAge is the age of Slots, Others and QueueDelay.
	ReportAge time.Duration
	// LinkUse is the used part, from 0 to 1, of what the link to the domain's
	// region may carry. It is 0 within a region.
	LinkUse float64
	// Drain says that the domain is labelled to take no new work.
	Drain bool
	// Lost says that the domain can't be reached. What it reported last no longer
	// counts.
	Lost bool
	// Unsettled says that latency there has not come to rest since the last
	// growth of its share.
	Unsettled bool
}

// TargetInput is what [Targets] decides from.
type TargetInput struct {
	// Region is the source's region.
	Region keel.RegionName
	// Weights are the operator's; empty means that cost decides.
	Weights []keel.DomainWeight
	Domains []DomainLoad
	// Previous is the vector in force.
	Previous []keel.DomainWeight
	// Demand is how many slots the source's traffic needs: its rate times its
	// mean service time.
	Demand float64
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime time.Duration
	// Stale says that the declarations may be out of date. Shares outside the
	// source's region don't grow then.
	Stale bool
}

const (
	// quanta is into how many parts the demand is cut.
	quanta = 100
	// highestUse is the part of a domain's slots that a plan fills at most.
	highestUse = 0.95
	// reportSilence is the age at which a report is no longer used.
	reportSilence = 5 * time.Second
	// linkFullCost is the delay that a nearly full link counts as, beside its
	// round trip.
	linkFullCost = 200 * time.Millisecond
	// stayPart is how much better, as a part of the service time, another
	// domain must be before traffic moves there. It keeps noise in the reports
	// from spending the cap.
	stayPart = 0.1
	// delayPart is how much a reported queue counts beside the expected wait.
	delayPart = 0.6
	// smallestDemand keeps an idle source's plan defined, in slots.
	smallestDemand = 0.1
)

// Targets returns the weights that a source's share vector should move towards.
// They add up to 1, or are nil if no domain can take traffic.
//
// Demand is laid out part by part on the domain where a request costs least at
// that point: round trip, expected wait for a slot, and a charge for scarce
// bandwidth. So traffic leaves its region only when waiting there costs more
// than the way.
func Targets(in TargetInput) []keel.DomainWeight {
	if len(in.Weights) > 0 {
		return declaredTargets(in)
	}
	plan := layOut(in)
	if plan == nil {
		return nil
	}
	return holdGrowth(in, plan)
}

// declaredTargets returns the operator's weights without drained domains.
func declaredTargets(in TargetInput) []keel.DomainWeight {
	var list []keel.DomainWeight
	for _, w := range in.Weights {
		if !drained(in.Domains, w.Domain) {
			list = append(list, w)
		}
	}
	return normalise(list)
}

func drained(domains []DomainLoad, name keel.DomainName) bool {
	for i := range domains {
		if domains[i].Domain == name {
			return domains[i].Drain
		}
	}
	return false
}

// layOut returns the parts of the demand that each domain should take.
func layOut(in TargetInput) []keel.DomainWeight {
	demand := max(in.Demand, smallestDemand)
	part := demand / quanta
	load := make([]float64, len(in.Domains))
	before := make([]float64, len(in.Domains))
	for i := range in.Domains {
		before[i] = weightOf(in.Previous, in.Domains[i].Domain) * demand
	}
	stay := stayPart * in.ServiceTime.Seconds()
	for range quanta {
		best, least := -1, math.Inf(1)
		for i := range in.Domains {
			c := cost(&in.Domains[i], load[i]+part, in.ServiceTime)
			if load[i]+part/2 < before[i] {
				c -= stay
			}
			if c < least {
				best, least = i, c
			}
		}
		if best < 0 {
			return nil
		}
		load[best] += part
	}
	plan := make([]keel.DomainWeight, len(load))
	for i, l := range load {
		plan[i] = keel.DomainWeight{Domain: in.Domains[i].Domain, Weight: l / demand}
	}
	return plan
}

// cost returns what a request costs in seconds at a domain that carries the
// given load, in slots, from this source. It is infinite for a domain that
// takes nothing.
func cost(d *DomainLoad, load float64, service time.Duration) float64 {
	if d.Drain || d.Lost || d.Slots < 1 {
		return math.Inf(1)
	}
	c := d.RoundTrip.Seconds() + linkCost(d.LinkUse)
	use := (load + d.Others) / d.Slots
	c += wait(use, d.Slots, service.Seconds())
	return c + observedDelay(d)
}

// observedDelay discounts a reported delay by its age.
func observedDelay(d *DomainLoad) float64 {
	if d.ReportAge >= reportSilence {
		return 0
	}
	fresh := 1 - d.ReportAge.Seconds()/reportSilence.Seconds()
	return delayPart * d.QueueDelay.Seconds() * fresh
}

// linkCost charges for bandwidth the more, the less of it is left.
func linkCost(use float64) float64 {
	const fullUse = 0.99
	use = min(max(use, 0), fullUse)
	return linkFullCost.Seconds() * use * use * use * use
}

// wait estimates the mean wait for one of c slots at the given use, after
// Sakasegawa. Beyond highestUse it grows steeply but stays finite, so that a
// plan exists for any demand.
func wait(use, c, service float64) float64 {
	const overload = 100 // seconds per whole use above highestUse
	extra := max(0, use-highestUse) * overload
	use = min(use, highestUse)
	return service*math.Pow(use, math.Sqrt(2*(c+1)))/(c*(1-use)) + extra
}

// holdGrowth keeps the shares of domains from growing that must not: remote
// ones while declarations are stale or reports silent, and any whose latency
// has not settled. What they would have taken goes to the others. If no other
// takes any they grow after all, since a late answer is better than none.
func holdGrowth(in TargetInput, plan []keel.DomainWeight) []keel.DomainWeight {
	if len(in.Previous) == 0 {
		return normalise(plan)
	}
	unheld := normalise(plan)
	held := make([]bool, len(plan))
	excess, open := 0.0, 0.0
	for i := range plan {
		before := weightOf(in.Previous, plan[i].Domain)
		if plan[i].Weight > before && mustHold(in, &in.Domains[i]) {
			excess += plan[i].Weight - before
			plan[i].Weight = before
			held[i] = true
			continue
		}
		open += plan[i].Weight
	}
	for i := range plan {
		if !held[i] && open > 0 {
			plan[i].Weight += excess * plan[i].Weight / open
		}
	}
	if kept := normalise(plan); kept != nil {
		return kept
	}
	return unheld
}

func mustHold(in TargetInput, d *DomainLoad) bool {
	remote := d.Region != in.Region
	return d.Unsettled || remote && (in.Stale || d.ReportAge >= reportSilence)
}

func weightOf(list []keel.DomainWeight, name keel.DomainName) float64 {
	for _, w := range list {
		if w.Domain == name {
			return w.Weight
		}
	}
	return 0
}

func normalise(list []keel.DomainWeight) []keel.DomainWeight {
	sum := 0.0
	for _, w := range list {
		sum += w.Weight
	}
	if !(sum > 0) {
		return nil
	}
	out := list[:0:0]
	for _, w := range list {
		out = append(out, keel.DomainWeight{Domain: w.Domain, Weight: w.Weight / sum})
	}
	return out
}
