package keeldemo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/greengagekeel/greengagekeel/keellocal"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

func instanceConfigs() []keellocal.InstanceConfig {
	return []keellocal.InstanceConfig{
		{Name: "dakar-a-1", Domain: "dakar-a", Region: "dakar", Voter: true},
		{Name: "dakar-a-2", Domain: "dakar-a", Region: "dakar", Voter: true},
		{Name: "dakar-b-1", Domain: "dakar-b", Region: "dakar", Voter: true},
	}
}

// endpointSpec configures one endpoint of the demonstration.
type endpointSpec struct {
	service   keel.ServiceName
	name      keel.EndpointName
	domain    keel.DomainName
	slots     int
	behaviour keelstandin.Behaviour
}

func endpointSpecs() []endpointSpec {
	return []endpointSpec{
		{service: "gallery", name: "g1", domain: "dakar-a", slots: 6},
		{service: "gallery", name: "g2", domain: "dakar-a", slots: 6},
		{service: "score", name: "s1", domain: "dakar-a", slots: 3, behaviour: crashBehaviour()},
		{service: "score", name: "s2", domain: "dakar-b", slots: 3, behaviour: crashBehaviour()},
		{service: "entry", name: "e1", domain: "dakar-a", slots: 4},
		{service: "archive", name: "r1", domain: "dakar-b", slots: 4},
	}
}

// system holds the instances and endpoints of a demonstration.
type system struct {
	*keellocal.System
	endpoints map[keel.EndpointName]*keelstandin.Endpoint
	log       *logrus.Logger
}

func newSystem(dir string, log *logrus.Logger) (*system, error) {
	local, err := keellocal.New(keellocal.Config{Instances: instanceConfigs(), Dir: dir, Log: log})
	if err != nil {
		return nil, err
	}
	return &system{System: local, endpoints: make(map[keel.EndpointName]*keelstandin.Endpoint), log: log}, nil
}

// runEndpoints starts the endpoints. Each announces itself to the instances of
// its failure domain.
func (s *system) runEndpoints(ctx context.Context, group *conc.WaitGroup) error {
	for _, st := range endpointSpecs() {
		var announce []netip.AddrPort
		for _, in := range s.Instances {
			if in.Self().Domain == st.domain {
				announce = append(announce, in.Addresses().Endpoint)
			}
		}
		e, err := keelstandin.New(keelstandin.Config{
			Service: st.service, Name: st.name, Site: keel.SiteName(st.domain), Listen: keellocal.Loopback,
			AnnounceTo: announce, Slots: st.slots, Behaviour: st.behaviour, Log: s.log,
		})
		if err != nil {
			return errors.Wrapf(err, "open endpoint %q", st.name)
		}
		s.endpoints[st.name] = e
		group.Go(keellocal.Runner{Log: s.log, Name: string(st.name), Func: e.Run, Context: ctx}.Run)
	}
	return nil
}

func (s *system) endpoint(name keel.EndpointName) *keelstandin.Endpoint { return s.endpoints[name] }

// waitCapacity waits until every instance sees free slots for every service.
func (s *system) waitCapacity(ctx context.Context) error {
	for {
		ready := 0
		for i := range s.Instances {
			d, err := s.Dump(ctx, i)
			if err == nil && hasCapacityForAll(d) {
				ready++
			}
		}
		if ready == len(s.Instances) {
			return nil
		}
		if !keellocal.Pause(ctx) {
			return errors.Wrap(ctx.Err(), "wait until every instance sees slots for every service")
		}
	}
}

// hasCapacityForAll reports whether an instance's view has slots for every service.
func hasCapacityForAll(d *keelinstance.Dump) bool {
	known := make(map[keel.ServiceName]bool)
	for _, domain := range d.Steering.View.Domains {
		for _, r := range domain.Capacities {
			known[r.Service] = known[r.Service] || r.Slots > 0
		}
		for _, m := range domain.Members {
			for _, r := range m.Capacities {
				known[r.Service] = known[r.Service] || r.Slots > 0
			}
		}
	}
	for _, st := range endpointSpecs() {
		if !known[st.service] {
			return false
		}
	}
	return true
}

// waitDrained waits until an owner reports that the endpoint has drained, and
// returns how long that took.
func (s *system) waitDrained(ctx context.Context, id keel.EndpointID) (time.Duration, error) {
	for {
		for i := range s.Instances {
			d, err := s.Dump(ctx, i)
			if err != nil {
				continue
			}
			for _, drain := range d.Steering.Drains {
				if drain.Endpoint == id && drain.Done {
					return drain.Took.Std(), nil
				}
			}
		}
		if !keellocal.Pause(ctx) {
			return 0, errors.Wrapf(ctx.Err(), "wait until endpoint %s has drained", id)
		}
	}
}

// halveCap halves the cap of a selector and returns the time from the start of
// the call until the change was in force everywhere.
func (s *system) halveCap(ctx context.Context, name keel.SelectorName) (time.Duration, error) {
	start := time.Now()
	declared, err := s.Client(1).Declared(ctx)
	if err != nil {
		return 0, err
	}
	for _, sel := range declared.Declarations.Selectors {
		if sel.Name != name {
			continue
		}
		sel.Cap.Percent /= 2
		_, err := s.Submit(ctx, keel.Change{
			ID: "demo-cap", Base: declared.Version, Author: "demo", Time: time.Now().UTC(),
			Ops: []keel.Op{{Action: keel.OpPut, Kind: keel.KindSelector, Name: string(name), Selector: &sel}},
		})
		return time.Since(start), err
	}
	return 0, errors.Errorf("selector %q is not declared", name)
}

func (s *system) printAddresses(w io.Writer) {
	for _, in := range s.Instances {
		a := in.Addresses()
		_, _ = fmt.Fprintf(w, "%s in %s: caller %s, endpoint %s, operator %s\n", in.Self().Name, in.Self().Domain, a.Caller, a.Endpoint, a.Operator)
	}
	a := s.Instances[0].Addresses()
	_, _ = fmt.Fprintf(w, "\ntry:\n  curl 'http://%s/v1/lookup?service=gallery'\n  curl -i -H 'Keel-Service: gallery' 'http://%s/gallery/1?bytes=100'\n  curl http://%s/v1/state\n", a.Caller, a.Caller, a.Operator)
}
