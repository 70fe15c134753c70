package keeldemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// place is where one instance stands.
type place struct {
	name   keel.InstanceName
	domain keel.DomainName
}

const region keel.RegionName = "dakar"

var places = []place{
	{"dakar-a-1", "dakar-a"},
	{"dakar-a-2", "dakar-a"},
	{"dakar-b-1", "dakar-b"},
}

// stand is one endpoint of the demonstration.
type stand struct {
	service   keel.ServiceName
	name      keel.EndpointName
	domain    keel.DomainName
	slots     int
	behaviour keelstandin.Behaviour
}

func stands() []stand {
	return []stand{
		{service: "gallery", name: "g1", domain: "dakar-a", slots: 6},
		{service: "gallery", name: "g2", domain: "dakar-a", slots: 6},
		{service: "score", name: "s1", domain: "dakar-a", slots: 3, behaviour: crashing()},
		{service: "score", name: "s2", domain: "dakar-b", slots: 3, behaviour: crashing()},
		{service: "entry", name: "e1", domain: "dakar-a", slots: 4},
		{service: "archive", name: "r1", domain: "dakar-b", slots: 4},
	}
}

// system is the instances and endpoints of a demonstration.
type system struct {
	instances []*keelinstance.Instance
	endpoints map[keel.EndpointName]*keelstandin.Endpoint
	token     string
	log       *logrus.Logger
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func newSystem(dir string, log *logrus.Logger) (*system, error) {
	names := make([]keel.InstanceName, len(places))
	for i, p := range places {
		names[i] = p.name
	}
	keys, err := keelkey.Ephemeral(names...)
	if err != nil {
		return nil, errors.Wrap(err, "make keys")
	}
	s := &system{endpoints: make(map[keel.EndpointName]*keelstandin.Endpoint), log: log}
	s.token = keys[names[0]].OperatorToken()
	var join []netip.AddrPort
	for _, p := range places {
		in, err := keelinstance.New(keelinstance.Config{
			Settings: settingsOf(p, names, join, dir),
			Keys:     keys[p.name],
			Log:      log,
		})
		if err != nil {
			return nil, errors.Wrapf(err, "open instance %q", p.name)
		}
		s.instances = append(s.instances, in)
		join = append(join, in.Addresses().Peer)
	}
	return s, nil
}

// demoLookupTTL is short, so that callers soon notice changes.
const demoLookupTTL = time.Second

func settingsOf(p place, voters []keel.InstanceName, join []netip.AddrPort, dir string) *keelconfig.Settings {
	s := keelconfig.Default()
	s.Instance, s.Domain, s.Region = p.name, p.domain, region
	s.Listen = keelconfig.Listen{Caller: loopback, Endpoint: loopback, Operator: loopback, Peer: loopback}
	s.Join = append(s.Join, join...)
	s.DataDir = filepath.Join(dir, string(p.name))
	s.Voter = true
	s.Voters = voters
	s.Timing.LookupTTL = keel.Duration(demoLookupTTL)
	return &s
}

// run starts the instances.
func (s *system) run(ctx context.Context, group *conc.WaitGroup) {
	for _, in := range s.instances {
		r := runner{log: s.log, name: string(in.Self().Name), f: in.Run, ctx: ctx}
		group.Go(r.run)
	}
}

// runner runs one instance or endpoint.
type runner struct {
	log  *logrus.Logger
	name string
	f    func(context.Context) error
	ctx  context.Context
}

func (r runner) run() {
	if err := r.f(r.ctx); err != nil {
		r.log.WithError(err).WithField("name", r.name).Error("stopped")
	}
}

func (s *system) client(i int) *keeloperate.Client {
	return &keeloperate.Client{Address: s.instances[i].Addresses().Operator, Token: s.token}
}

// declare puts the first declarations in force.
func (s *system) declare(ctx context.Context, d *keel.Declarations) error {
	if err := s.waitCurrent(ctx); err != nil {
		return err
	}
	change := keel.Change{
		ID: "demo-first", Author: "demo", Time: time.Now().UTC(),
		Ops: keeldeclare.Diff(&keel.Declarations{}, d),
	}
	_, err := s.submit(ctx, change)
	return err
}

// submit sends a change until it has an outcome, and waits until it is in force
// everywhere.
func (s *system) submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	c := s.client(0)
	var (
		o   keel.Outcome
		err error
	)
	for {
		if o, err = c.Submit(ctx, change); err == nil {
			break
		}
		if !pause(ctx) {
			return o, errors.Wrapf(err, "submit change %q", change.ID)
		}
	}
	if o.Status != keel.OutcomeAccepted {
		return o, errors.Errorf("change %q: %s: %v", change.ID, o.Status, o.Faults)
	}
	_, err = c.WaitInForce(ctx, o.Version)
	return o, err
}

// waitCurrent waits until every instance knows that its declarations are the
// current ones. Claim holders then know that none of their claims can be older
// than their start.
func (s *system) waitCurrent(ctx context.Context) error {
	for i := range s.instances {
		for {
			d, err := s.dump(ctx, i)
			if err == nil && d.Current.Known {
				break
			}
			if !pause(ctx) {
				return errors.Wrap(ctx.Err(), "wait until every instance knows the current version")
			}
		}
	}
	return nil
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollPause):
		return true
	}
}

// runEndpoints starts the endpoints. Each announces itself to the instances of
// its failure domain.
func (s *system) runEndpoints(ctx context.Context, group *conc.WaitGroup) error {
	for _, st := range stands() {
		var announce []netip.AddrPort
		for _, in := range s.instances {
			if in.Self().Domain == st.domain {
				announce = append(announce, in.Addresses().Endpoint)
			}
		}
		e, err := keelstandin.New(keelstandin.Config{
			Service: st.service, Name: st.name, Site: keel.SiteName(st.domain), Listen: loopback,
			AnnounceTo: announce, Slots: st.slots, Behaviour: st.behaviour, Log: s.log,
		})
		if err != nil {
			return errors.Wrapf(err, "open endpoint %q", st.name)
		}
		s.endpoints[st.name] = e
		group.Go(runner{log: s.log, name: string(st.name), f: e.Run, ctx: ctx}.run)
	}
	return nil
}

func (s *system) endpoint(name keel.EndpointName) *keelstandin.Endpoint { return s.endpoints[name] }

// dump returns the state dump of one instance.
func (s *system) dump(ctx context.Context, i int) (*keelinstance.Dump, error) {
	raw, err := s.client(i).Dump(ctx)
	if err != nil {
		return nil, err
	}
	var d keelinstance.Dump
	return &d, json.Unmarshal(raw, &d)
}

// waitServing waits until every instance knows room for every service.
func (s *system) waitServing(ctx context.Context) error {
	for {
		ready := 0
		for i := range s.instances {
			d, err := s.dump(ctx, i)
			if err == nil && knowsAll(d) {
				ready++
			}
		}
		if ready == len(s.instances) {
			return nil
		}
		if !pause(ctx) {
			return errors.Wrap(ctx.Err(), "wait until every instance knows every service")
		}
	}
}

func knowsAll(d *keelinstance.Dump) bool {
	known := make(map[keel.ServiceName]bool)
	for _, domain := range d.Steering.View.Domains {
		for _, r := range domain.Rooms {
			known[r.Service] = known[r.Service] || r.Slots > 0
		}
		for _, m := range domain.Members {
			for _, r := range m.Rooms {
				known[r.Service] = known[r.Service] || r.Slots > 0
			}
		}
	}
	for _, st := range stands() {
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
		for i := range s.instances {
			d, err := s.dump(ctx, i)
			if err != nil {
				continue
			}
			for _, drain := range d.Steering.Drains {
				if drain.Endpoint == id && drain.Done {
					return drain.Took.Std(), nil
				}
			}
		}
		if !pause(ctx) {
			return 0, errors.Wrapf(ctx.Err(), "wait until endpoint %s has drained", id)
		}
	}
}

// changeCap halves the cap of a selector and returns the time from the first
// try until the change was in force everywhere.
func (s *system) changeCap(ctx context.Context, name keel.SelectorName) (time.Duration, error) {
	start := time.Now()
	declared, err := s.client(1).Declared(ctx)
	if err != nil {
		return 0, err
	}
	for _, sel := range declared.Declarations.Selectors {
		if sel.Name != name {
			continue
		}
		sel.Cap.Percent /= 2
		_, err := s.submit(ctx, keel.Change{
			ID: "demo-cap", Base: declared.Version, Author: "demo", Time: time.Now().UTC(),
			Ops: []keel.Op{{Action: keel.OpPut, Kind: keel.KindSelector, Name: string(name), Selector: &sel}},
		})
		return time.Since(start), err
	}
	return 0, errors.Errorf("selector %q is not declared", name)
}

func (s *system) printAddresses(w io.Writer) {
	for _, in := range s.instances {
		a := in.Addresses()
		_, _ = fmt.Fprintf(w, "%s in %s: caller %s, endpoint %s, operator %s\n", in.Self().Name, in.Self().Domain, a.Caller, a.Endpoint, a.Operator)
	}
	a := s.instances[0].Addresses()
	_, _ = fmt.Fprintf(w, "\ntry:\n  curl 'http://%s/v1/lookup?service=gallery'\n  curl -i -H 'Keel-Service: gallery' 'http://%s/gallery/1?bytes=100'\n  curl http://%s/v1/state\n", a.Caller, a.Caller, a.Operator)
}
