package keelscenario

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/sourcegraph/conc"
)

// labelChange returns a change that puts one label rule. Its target is a service
// that does not exist, so the change has no effect on traffic.
func labelChange(id keel.ChangeID, base keel.Version, rule string) keel.Change {
	r := keel.LabelRule{
		Name: rule, Target: keel.TargetService, Names: []string{"nothing"},
		Set: keel.Labels{"scenario": string(id)},
	}
	return keel.Change{
		ID: id, Base: base, Author: "scenario", Time: time.Now().UTC(),
		Ops: []keel.Op{{Action: keel.OpPut, Kind: keel.KindLabel, Name: rule, Label: &r}},
	}
}

// cmdRace submits the given number of different changes to the same version
// concurrently, distributed round-robin over the named instances. Each change is
// sent again with the same id until it has an outcome. It fails unless exactly
// one change is accepted and all others get a conflict that names it.
func cmdRace(c *cluster, args []string) {
	n := c.number(args[0])
	entries := make([]*instance, len(args)-1)
	for i, name := range args[1:] {
		entries[i] = c.instance(name)
	}
	declared, err := c.client(entries[0]).Declared(c.ctx)
	c.check(err)
	var (
		mu       sync.Mutex
		outcomes = map[keel.OutcomeStatus]int{}
		winners  = map[keel.ChangeID]bool{}
		group    conc.WaitGroup
	)
	for i := range n {
		client := c.client(entries[i%len(entries)])
		group.Go(func() {
			id := keel.ChangeID("race-" + strconv.Itoa(i) + "-v" + strconv.FormatUint(uint64(declared.Version), 10))
			o, err := submit(c.ctx, client, labelChange(id, declared.Version, "race"))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				outcomes[keel.OutcomeStatus(err.Error())]++
				return
			}
			outcomes[o.Status]++
			if o.Status == keel.OutcomeAccepted {
				winners[o.ID] = true
			} else {
				winners[o.Winner] = true
			}
		})
	}
	group.Wait()
	if outcomes[keel.OutcomeAccepted] != 1 || outcomes[keel.OutcomeConflict] != n-1 || len(winners) != 1 {
		c.fatalf("want one accepted change and conflicts that name it, have outcomes %v, winners %v", outcomes, winners)
	}
}

// submit sends a change with the same id until it has an outcome. It returns the
// last error after [WaitLimit].
func submit(ctx context.Context, client *keeloperate.Client, change keel.Change) (keel.Outcome, error) {
	deadline := time.Now().Add(WaitLimit)
	for {
		o, err := client.Submit(ctx, change)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return o, err
		}
		time.Sleep(pollInterval)
	}
}

// cmdChanges submits changes one after the other and sets $version to the
// version that the last one made. A change that is not accepted is submitted
// again with a new id.
func cmdChanges(c *cluster, args []string) {
	client := c.client(c.instance(args[0]))
	declared, err := client.Declared(c.ctx)
	c.check(err)
	base := declared.Version
	for i := range c.number(args[1]) {
		tries := 0
		c.until("change "+strconv.Itoa(i), func() (bool, string) {
			id := keel.ChangeID(fmt.Sprintf("%s-%d-%d", args[2], i, tries))
			tries++
			o, err := client.Submit(c.ctx, labelChange(id, base, args[2]))
			if err != nil {
				return false, err.Error()
			}
			base = o.Version
			return o.Status == keel.OutcomeAccepted, string(o.Status)
		})
	}
	c.ts.Setenv("version", strconv.FormatUint(uint64(base), 10))
}

// cmdResend submits a change with an id that was used before, based on version
// 0, and prints the outcome. That shows whether the recorded outcome is returned,
// since a new change on base 0 gets a conflict. It tries again while no leader
// answers.
func cmdResend(c *cluster, args []string) {
	client := c.client(c.instance(args[0]))
	c.until("outcome of "+args[1], func() (bool, string) {
		o, err := client.Submit(c.ctx, labelChange(keel.ChangeID(args[1]), 0, "resend"))
		if err != nil {
			return false, err.Error()
		}
		fmt.Fprintf(c.ts.Stdout(), "%s %d\n", o.Status, o.Version)
		return true, ""
	})
}

// cmdInForce waits until an instance reports that $version is in force
// everywhere or, if instances are named, that exactly these lag behind.
func cmdInForce(c *cluster, args []string) {
	client := c.client(c.instance(args[0]))
	version := keel.Version(c.number(c.ts.Getenv("version")))
	want := instanceNames(args[1:])
	c.until(fmt.Sprintf("version %d in force, lagging %q", version, want), func() (bool, string) {
		f, err := client.InForce(c.ctx, version)
		if err != nil {
			return false, err.Error()
		}
		slices.Sort(f.Lagging)
		ok := f.Everywhere == (len(want) == 0) && slices.Equal(f.Lagging, want)
		return ok, fmt.Sprintf("everywhere %t, lagging %q, unheard %q", f.Everywhere, f.Lagging, f.Unreported)
	})
}
