package keelrole

import (
	"context"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelstore"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// ControlConfig configures a [Control].
type ControlConfig struct {
	Settings *keelconfig.SteerSettings
	// App returns the HTTP application of the control port.
	App func(*keelsync.Voter) *fiber.App
	Log *logrus.Entry
}

const (
	// voterDir is the directory of the replicated log in the data directory.
	voterDir = "voter"
	// maxMissedHeartbeats is the number of heartbeat intervals without an
	// announcement after which an endpoint counts as silent. Announcements may
	// arrive seconds late.
	maxMissedHeartbeats = 4
	// handOverTimeout limits the transfer of leadership at a planned stop.
	handOverTimeout = 800 * time.Millisecond
)

// Control is an instance that keeps the replicated state as a voter.
type Control struct {
	cfg     ControlConfig
	peer    *keelpeer.Transport
	voter   *keelsync.Voter
	metrics *metrics
	stop    stopSignal
}

// gaugeValues returns the current values of the gauges.
func (in *Control) gaugeValues() map[string]float64 {
	st := in.voter.Status()
	leads := 0.0
	if st.LeaseValid {
		leads = 1
	}
	return map[string]float64{
		"term": float64(st.Term), "commit": float64(st.Commit), "applied": float64(st.Applied),
		"voters": float64(len(st.Voters)), "leads": leads,
	}
}

// stateDump returns the state that the operator port shows.
func (in *Control) stateDump() any {
	return map[string]any{
		"name": in.cfg.Settings.Name, "domain": in.cfg.Settings.Domain, "quorum": in.voter.Status(), "drained": in.voter.Drained(),
	}
}

// NewControl opens the stored state and the peer port.
func NewControl(cfg ControlConfig) (*Control, error) {
	s := cfg.Settings
	storage, err := keelstore.Open(keelstore.Config{Dir: filepath.Join(s.DataDir, voterDir)})
	if err != nil {
		return nil, errors.Wrap(err, "open stored state")
	}
	keys, err := keelkey.Unverified(instanceName(s))
	if err != nil {
		return nil, errors.Wrap(err, "make keys")
	}
	peer, err := keelpeer.New(keelpeer.Config{
		Listen: netip.AddrPortFrom(s.Address, s.PeerPort), Keys: keys, Log: cfg.Log, AcceptTCP: true,
	})
	if err != nil {
		return nil, err
	}
	started := uint64(time.Now().UnixNano())
	voter, err := keelsync.NewVoter(keelsync.VoterConfig{
		Self:    keelworld.Node{Name: instanceName(s), Incarnation: started, Domain: s.Domain, Region: s.Region, Voter: true},
		Network: peer, Storage: storage, PeerPort: s.PeerPort, Seeds: s.SeedAddrs(), Bootstrap: s.Bootstrap,
		EndpointSilence: maxMissedHeartbeats * time.Duration(s.Timing.HeartbeatMS) * time.Millisecond,
		Log:             cfg.Log, Seed: started,
	})
	if err != nil {
		return nil, err
	}
	return &Control{cfg: cfg, peer: peer, voter: voter, metrics: newMetrics(s), stop: make(stopSignal)}, nil
}

// Run serves until ctx ends, [Control.Stop] has completed, or a component fails.
func (in *Control) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(in.peer.Run)
	group.Go(in.voter.Run)
	group.Go(appServer{in.cfg.App(in.voter), in.cfg.Settings.Listen.Control}.run)
	if at := operatorAddr(in.cfg.Settings); at.IsValid() {
		group.Go(appServer{newOperatorApp(in.metrics, in.gaugeValues, in.stateDump), at}.run)
	}
	group.Go(in.stop.wait)
	in.cfg.Log.WithFields(logrus.Fields{
		"control": in.cfg.Settings.Listen.Control.String(), "domain": in.cfg.Settings.Domain,
		"bootstrap": in.cfg.Settings.Bootstrap,
	}).Info("control instance started")
	err := ignoreStopped(group.Wait())
	in.cfg.Log.Info("control instance stopped")
	return err
}

// Stop transfers the leadership to another voter and makes [Control.Run] return.
// It must be called at most once.
func (in *Control) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	in.voter.HandOver(ctx)
	close(in.stop)
}

// Reload applies changed settings. Only the seeds take effect.
func (in *Control) Reload(s *keelconfig.SteerSettings) { in.voter.SetSeeds(s.SeedAddrs()) }
