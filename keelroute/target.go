package keelroute

import (
	"math"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// DomainLoad is the load of one failure domain for one service, as last
// reported to this instance.
type DomainLoad struct {
	Domain keel.DomainName
	Region keel.RegionName
	// RoundTrip is the round-trip time from the source's region.
	RoundTrip time.Duration
	// Slots is how many requests the domain's endpoints can run at once.
	Slots float64
	// UsedByOthers is how many of the slots are used by the traffic of other
	// sources.
	UsedByOthers float64
	// QueueDelay is the last reported wait for a slot.
	QueueDelay time.Duration
	// ReportAge is the age of Slots, UsedByOthers and QueueDelay.
	ReportAge time.Duration
	// LinkUse is the utilisation, from 0 to 1, of the allowed rate of the link to
	// the domain's region. It is 0 within a region.
	LinkUse float64
	// Drain means that the domain is labelled to take no new work.
	Drain bool
	// Lost means that the domain is unreachable. Its last reports are ignored.
	Lost bool
	// Unsettled means that the domain's latency is still raised since its share
	// last grew; see [Settling].
	Unsettled bool
}

// TargetInput is the input of [Targets].
type TargetInput struct {
	// Region is the source's region.
	Region keel.RegionName
	// Weights are the weights that the operator declared. If it is empty, the
	// targets are computed from the cost.
	Weights []keel.DomainWeight
	Domains []DomainLoad
	// Previous is the vector in force.
	Previous []keel.DomainWeight
	// Demand is how many slots the source's traffic occupies: its rate times
	// its mean service time.
	Demand float64
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime time.Duration
	// Stale means that the declarations may be out of date. Shares outside the
	// source's region don't grow then.
	Stale bool
}

const (
	// demandSteps is the number of equal parts in which demand is assigned.
	demandSteps = 100
	// maxPlannedUse is the fraction of a domain's slots up to which a plan fills
	// it without an extra cost.
	maxPlannedUse = 0.95
	// maxReportAge is the age at which a report is no longer used.
	maxReportAge = 5 * time.Second
	// fullLinkPenalty is the cost of a fully used link, in addition to its round
	// trip.
	fullLinkPenalty = 200 * time.Millisecond
	// hysteresisFraction is how much cheaper another domain must be, as a
	// fraction of the service time, before traffic moves there. It prevents
	// noise in the reports from using up the cap on shift.
	hysteresisFraction = 0.1
	// queueDelayWeight is the weight of the reported queue delay, which is added
	// to the expected wait.
	queueDelayWeight = 0.6
	// minDemand is the smallest demand that is planned for, in slots. It keeps
	// the weights of an idle source defined.
	minDemand = 0.1
)

// Targets returns the weights that a source's share vector should be shifted
// towards. They add up to 1. It returns nil if no domain can take traffic.
//
// It assigns the demand greedily in small steps, each to the domain where a
// request costs least at that point. The cost is the round trip, the expected
// wait for a slot, and a penalty for link utilisation, in seconds. So traffic
// leaves its region only when waiting there costs more than the round trip.
func Targets(in TargetInput) []keel.DomainWeight {
	if len(in.Weights) > 0 {
		return declaredTargets(in)
	}
	plan := planDemand(in)
	if plan == nil {
		return nil
	}
	return limitGrowth(in, plan)
}

// declaredTargets returns the declared weights of the domains that aren't
// drained.
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

// planDemand returns the fraction of the demand that each domain should take,
// or nil if no domain can take any.
func planDemand(in TargetInput) []keel.DomainWeight {
	demand := max(in.Demand, minDemand)
	step := demand / demandSteps
	load := make([]float64, len(in.Domains))
	before := make([]float64, len(in.Domains))
	for i := range in.Domains {
		before[i] = weightOf(in.Previous, in.Domains[i].Domain) * demand
	}
	hysteresis := hysteresisFraction * in.ServiceTime.Seconds()
	for range demandSteps {
		best, least := -1, math.Inf(1)
		for i := range in.Domains {
			c := requestCost(&in.Domains[i], load[i]+step, in.ServiceTime)
			if load[i]+step/2 < before[i] {
				c -= hysteresis
			}
			if c < least {
				best, least = i, c
			}
		}
		if best < 0 {
			return nil
		}
		load[best] += step
	}
	plan := make([]keel.DomainWeight, len(load))
	for i, l := range load {
		plan[i] = keel.DomainWeight{Domain: in.Domains[i].Domain, Weight: l / demand}
	}
	return plan
}

// requestCost returns the cost of a request, in seconds, at a domain with the
// given load from this source, in slots. It is infinite for a domain that takes
// no traffic.
func requestCost(d *DomainLoad, load float64, serviceTime time.Duration) float64 {
	if d.Drain || d.Lost || d.Slots < 1 {
		return math.Inf(1)
	}
	c := d.RoundTrip.Seconds() + linkCost(d.LinkUse)
	use := (load + d.UsedByOthers) / d.Slots
	c += expectedWait(use, d.Slots, serviceTime.Seconds())
	return c + observedDelay(d)
}

// observedDelay discounts a reported delay by its age.
func observedDelay(d *DomainLoad) float64 {
	if d.ReportAge >= maxReportAge {
		return 0
	}
	fresh := 1 - d.ReportAge.Seconds()/maxReportAge.Seconds()
	return queueDelayWeight * d.QueueDelay.Seconds() * fresh
}

// linkCost returns the cost of sending over a link, in seconds. It rises steeply
// with the link's utilisation.
func linkCost(use float64) float64 {
	const fullUse = 0.99
	use = min(max(use, 0), fullUse)
	return fullLinkPenalty.Seconds() * use * use * use * use
}

// expectedWait estimates the mean wait, in seconds, for one of c slots at the
// given utilisation by Sakasegawa's approximation for M/M/c queues. Above
// maxPlannedUse it grows steeply but stays finite, so that a plan exists for any
// demand.
func expectedWait(use, c, serviceTime float64) float64 {
	const overload = 100 // seconds per unit of utilisation above maxPlannedUse
	extra := max(0, use-maxPlannedUse) * overload
	use = min(use, maxPlannedUse)
	return serviceTime*math.Pow(use, math.Sqrt(2*(c+1)))/(c*(1-use)) + extra
}

// limitGrowth keeps the shares of some domains from growing: remote ones while
// the declarations or their reports are stale, and any that are unsettled. The
// excess goes to the other domains of the plan. If no share would be left at
// all, the plan is used unchanged, since a late response is better than none.
func limitGrowth(in TargetInput, plan []keel.DomainWeight) []keel.DomainWeight {
	if len(in.Previous) == 0 {
		return normalise(plan)
	}
	unlimited := normalise(plan)
	held := make([]bool, len(plan))
	excess, unblocked := 0.0, 0.0
	for i := range plan {
		before := weightOf(in.Previous, plan[i].Domain)
		if plan[i].Weight > before && growthBlocked(in, &in.Domains[i]) {
			excess += plan[i].Weight - before
			plan[i].Weight = before
			held[i] = true
			continue
		}
		unblocked += plan[i].Weight
	}
	for i := range plan {
		if !held[i] && unblocked > 0 {
			plan[i].Weight += excess * plan[i].Weight / unblocked
		}
	}
	if limited := normalise(plan); limited != nil {
		return limited
	}
	return unlimited
}

func growthBlocked(in TargetInput, d *DomainLoad) bool {
	remote := d.Region != in.Region
	return d.Unsettled || remote && (in.Stale || d.ReportAge >= maxReportAge)
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
