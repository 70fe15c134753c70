// Package keellocal runs several instances in one process on loopback
// addresses, for demonstrations, measurements and tests.
//
// Instances listen on free ports and use keys that exist only in memory. Voters
// keep their data below a given folder. The package starts, declares and polls;
// what instances do is in package keelinstance.
package keellocal

import (
	"context"
	"encoding/json"
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
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// InstanceConfig configures one instance of a [System].
type InstanceConfig struct {
	Name   keel.InstanceName
	Domain keel.DomainName
	Region keel.RegionName
	// Voter says that the instance is a voter of the cluster, with a data folder.
	Voter bool
}

// Config configures a [System].
type Config struct {
	// Instances must not be empty.
	Instances []InstanceConfig
	// Dir is the parent of the voters' data folders.
	Dir string
	// LookupTTL is the validity of look-up answers; 0 means one second.
	LookupTTL time.Duration
	// StopGrace limits the duration of a planned stop; 0 means the default of the
	// settings.
	StopGrace time.Duration
	Log       *logrus.Logger
}

// System runs several instances in one process.
type System struct {
	Instances []*keelinstance.Instance
	cfg       Config
	token     string
}

// Loopback is the IPv4 loopback address with port 0, on which a listener gets a
// free port.
var Loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

const (
	defaultLookupTTL = time.Second
	pollInterval     = 20 * time.Millisecond
)

// New opens the ports of the instances. They serve after [System.Run].
func New(cfg Config) (*System, error) {
	if cfg.LookupTTL == 0 {
		cfg.LookupTTL = defaultLookupTTL
	}
	names := make([]keel.InstanceName, len(cfg.Instances))
	var voters []keel.InstanceName
	for i, p := range cfg.Instances {
		names[i] = p.Name
		if p.Voter {
			voters = append(voters, p.Name)
		}
	}
	keys, err := keelkey.Ephemeral(names...)
	if err != nil {
		return nil, errors.Wrap(err, "create keys")
	}
	s := &System{cfg: cfg, token: keys[names[0]].OperatorToken()}
	var join []netip.AddrPort
	for _, p := range cfg.Instances {
		in, err := keelinstance.New(keelinstance.Config{Settings: cfg.settings(p, voters, join), Keys: keys[p.Name], Log: cfg.Log})
		if err != nil {
			s.Close()
			return nil, errors.Wrapf(err, "open instance %q", p.Name)
		}
		s.Instances = append(s.Instances, in)
		if len(join) < maxJoinAddresses {
			join = append(join, in.Addresses().Peer)
		}
	}
	return s, nil
}

// maxJoinAddresses limits the peer addresses in the Join setting of an instance.
const maxJoinAddresses = 3

func (cfg *Config) settings(p InstanceConfig, voters []keel.InstanceName, join []netip.AddrPort) *keelconfig.Settings {
	s := keelconfig.Default()
	s.Instance, s.Domain, s.Region = p.Name, p.Domain, p.Region
	s.Listen = keelconfig.Listen{Caller: Loopback, Endpoint: Loopback, Operator: Loopback, Peer: Loopback}
	s.Join = append(s.Join, join...)
	s.Timing.LookupTTL = keel.Duration(cfg.LookupTTL)
	if cfg.StopGrace > 0 {
		s.Timing.StopGrace = keel.Duration(cfg.StopGrace)
	}
	if p.Voter {
		s.DataDir = filepath.Join(cfg.Dir, string(p.Name))
		s.Voter, s.Voters = true, voters
	}
	return &s
}

// Close releases the ports of instances that were never run.
func (s *System) Close() {
	for _, in := range s.Instances {
		in.Close()
	}
}

// Run starts the instances in group. They stop when ctx ends.
func (s *System) Run(ctx context.Context, group *conc.WaitGroup) {
	for _, in := range s.Instances {
		r := Runner{Log: s.cfg.Log, Name: string(in.Self().Name), Func: in.Run, Context: ctx}
		group.Go(r.Run)
	}
}

// Runner runs one component and logs its failure.
type Runner struct {
	Log     *logrus.Logger
	Name    string
	Func    func(context.Context) error
	Context context.Context
}

// Run runs the component until its context ends.
func (r Runner) Run() {
	if err := r.Func(r.Context); err != nil {
		r.Log.WithError(err).WithField("name", r.Name).Error("stopped")
	}
}

// Client returns a client of the operator port of one instance.
func (s *System) Client(i int) *keeloperate.Client {
	return &keeloperate.Client{Address: s.Instances[i].Addresses().Operator, Token: s.token}
}

// Declare submits the first declarations and waits until they are in force
// everywhere. It may be called once, since its change is based on version 0.
func (s *System) Declare(ctx context.Context, d *keel.Declarations) error {
	if err := s.waitCurrent(ctx); err != nil {
		return err
	}
	_, err := s.Submit(ctx, keel.Change{
		ID: "first", Author: "local", Time: time.Now().UTC(),
		Ops: keeldeclare.Diff(&keel.Declarations{}, d),
	})
	return err
}

// Submit sends a change repeatedly until it has an outcome, and waits until it is
// in force everywhere. An outcome other than accepted is an error.
func (s *System) Submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	c := s.Client(0)
	for {
		o, err := c.Submit(ctx, change)
		switch {
		case err != nil && !Pause(ctx):
			return o, errors.Wrapf(err, "submit change %q", change.ID)
		case err != nil:
			continue
		case o.Status != keel.OutcomeAccepted:
			return o, errors.Errorf("change %q: %s: %v", change.ID, o.Status, o.Faults)
		}
		_, err = c.WaitInForce(ctx, o.Version)
		return o, err
	}
}

// waitCurrent waits until every instance has confirmed that its declarations are
// the current ones. Otherwise a claim holder could not rule out that its failure
// domain was declared before its start and that it lost claims of that time.
func (s *System) waitCurrent(ctx context.Context) error {
	for i := range s.Instances {
		for {
			d, err := s.Dump(ctx, i)
			if err == nil && d.Current.Known {
				break
			}
			if !Pause(ctx) {
				return errors.Wrap(ctx.Err(), "wait until every instance has confirmed the current version")
			}
		}
	}
	return nil
}

// Pause waits for the interval between two polls. It returns false if ctx has
// ended.
func Pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}

// Dump returns the state dump of one instance.
func (s *System) Dump(ctx context.Context, i int) (*keelinstance.Dump, error) {
	raw, err := s.Client(i).Dump(ctx)
	if err != nil {
		return nil, err
	}
	var d keelinstance.Dump
	return &d, json.Unmarshal(raw, &d)
}
