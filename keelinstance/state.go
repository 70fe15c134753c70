package keelinstance

import (
	"net/netip"
	"runtime"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/greengagekeel/greengagekeel/keelmember"
	"github.com/greengagekeel/greengagekeel/keeloperate"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelquorum"
	"github.com/greengagekeel/greengagekeel/keelsteer"
)

// Dump is the state of an instance as the operator port shows it.
type Dump struct {
	Instance  keel.Instance              `json:"instance"`
	Addresses Addresses                  `json:"addresses"`
	Time      time.Time                  `json:"time"`
	Ready     string                     `json:"ready"`
	Leaving   bool                       `json:"leaving"`
	InFlight  int64                      `json:"in_flight"`
	Callers   keelbudget.Usage           `json:"callers"`
	Version   keel.Version               `json:"version"`
	Current   CurrentVersionDump         `json:"current"`
	Process   ProcessDump                `json:"process"`
	Members   *keelmember.View           `json:"members"`
	Quorum    *keelquorum.Status         `json:"quorum,omitempty"`
	Machine   *keeldeclare.MachineDump   `json:"machine,omitempty"`
	Replica   keeldeclare.ReplicaDump    `json:"replica"`
	Steering  keelsteer.Dump             `json:"steering"`
	Claims    any                        `json:"claims"`
	Guard     any                        `json:"guard"`
	Links     []keelpeer.ConnectionState `json:"links"`
	Blocked   []netip.AddrPort           `json:"blocked,omitempty"`
}

// ProcessDump shows the resource use of the process.
type ProcessDump struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"`
	// LiveHeapBytes is the heap that the last garbage collection marked as live.
	LiveHeapBytes uint64 `json:"live_heap_bytes"`
}

func newProcessDump() ProcessDump {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(samples)
	return ProcessDump{
		Goroutines: runtime.NumGoroutine(),
		HeapBytes:  samples[0].Value.Uint64(), LiveHeapBytes: samples[1].Value.Uint64(),
	}
}

// stateDump exposes the state of an instance to the operator port. It implements
// [keeloperate.State].
type stateDump struct{ in *Instance }

// Dump returns the state of every component.
func (s stateDump) Dump() any {
	in := s.in
	d := Dump{
		Instance:  in.self,
		Addresses: in.Addresses(),
		Time:      time.Now().UTC(),
		Ready:     "ready",
		Leaving:   in.leaving.Load(),
		InFlight:  in.front.InFlight(),
		Callers:   in.budget.Usage(),
		Version:   in.control.replica.Current().Version,
		Current:   in.current.dump(),
		Process:   newProcessDump(),
		Members:   in.members.View(),
		Replica:   in.control.replica.Dump(),
		Steering:  in.engine.Dump(),
		Claims:    in.claims.Dump(),
		Guard:     in.guard.Dump(),
		Links:     in.peer.Connections(),
		Blocked:   in.peer.Blocked(),
	}
	if err := s.Ready(); err != nil {
		d.Ready = err.Error()
	}
	if in.control.node != nil {
		status := in.control.node.Status()
		machine := in.control.machine.Dump()
		d.Quorum, d.Machine = &status, &machine
	}
	return d
}

// Ready returns nil if the instance can serve callers, or else the reason.
func (s stateDump) Ready() error {
	if s.in.leaving.Load() {
		return errors.New("the instance is leaving")
	}
	if s.in.control.replica.Current().Version == 0 {
		return errors.New("no declarations are in force yet")
	}
	return nil
}

func (in *Instance) newOperatorApp() *fiber.App {
	cfg := keeloperate.Config{
		Control: in.control,
		State:   stateDump{in},
		Metrics: in.metrics.handler(),
		Token:   in.cfg.Keys.OperatorToken,
		OnError: in.reportOperatorCall,
	}
	if in.cfg.Settings.FaultInjection {
		cfg.Faults = in.peer
	}
	return keeloperate.NewApp(cfg)
}
