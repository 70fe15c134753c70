package keelrole

import (
	"context"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/greengagekeel/greengagekeel/keelconfig"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/greengagekeel/greengagekeel/keelstore"
	"github.com/greengagekeel/greengagekeel/keelsync"
	"github.com/greengagekeel/greengagekeel/keelworld"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// ControlConfig says what a [Control] works with.
type ControlConfig struct {
	Settings *keelconfig.Steer
	// App makes the server of the control port.
	App func(*keelsync.Voter) *fiber.App
	Log *logrus.Entry
}

const (
	// voterFolder is the folder of the agreed log below the data folder.
	voterFolder = "voter"
	// silentBeats is after how many missed announcements an endpoint counts as
	// silent; announcements may come seconds late.
	silentBeats = 4
	// handOverTime bounds the hand-over of the leadership at a planned stop.
	handOverTime = 800 * time.Millisecond
)

// Control keeps the replicated state.
type Control struct {
	cfg     ControlConfig
	peer    *keelpeer.Transport
	voter   *keelsync.Voter
	metrics *metrics
	stop    stopped
}

// values returns the gauges of the instance.
func (in *Control) values() map[string]float64 {
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

// state returns the state dump.
func (in *Control) state() any {
	return map[string]any{"name": in.cfg.Settings.Name, "domain": in.cfg.Settings.Domain, "quorum": in.voter.Status()}
}

// NewControl opens the stored state and the peer port.
func NewControl(cfg ControlConfig) (*Control, error) {
	s := cfg.Settings
	storage, err := keelstore.Open(keelstore.Config{Dir: filepath.Join(s.DataDir, voterFolder)})
	if err != nil {
		return nil, errors.Wrap(err, "open stored state")
	}
	peer, err := newPeer(s, cfg.Log)
	if err != nil {
		return nil, err
	}
	started := uint64(time.Now().UnixNano())
	voter, err := keelsync.NewVoter(keelsync.VoterConfig{
		Self:    keelworld.Node{Name: selfName(s), Incarnation: started, Domain: s.Domain, Region: s.Region, Voter: true},
		Network: peer, Storage: storage, PeerPort: s.PeerPort, Seeds: s.SeedAddrs(), Bootstrap: s.Bootstrap,
		EndpointSilence: silentBeats * time.Duration(s.Timing.HeartbeatMS) * time.Millisecond,
		Log:             cfg.Log, Seed: started,
	})
	if err != nil {
		return nil, err
	}
	return &Control{cfg: cfg, peer: peer, voter: voter, metrics: newMetrics(s), stop: make(stopped)}, nil
}

// Run serves until ctx ends or [Control.Stop] has left in order.
func (in *Control) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(in.peer.Run)
	group.Go(in.voter.Run)
	group.Go(appServer{in.cfg.App(in.voter), in.cfg.Settings.Listen.Control}.run)
	if at := operatorAddr(in.cfg.Settings); at.IsValid() {
		group.Go(appServer{newOperatorApp(in.metrics, in.values, in.state), at}.run)
	}
	group.Go(in.stop.run)
	in.cfg.Log.WithFields(logrus.Fields{
		"control": in.cfg.Settings.Listen.Control.String(), "domain": in.cfg.Settings.Domain,
		"bootstrap": in.cfg.Settings.Bootstrap,
	}).Info("control instance started")
	err := planned(group.Wait())
	in.cfg.Log.Info("control instance stopped")
	return err
}

// Stop hands over the leadership, and then [Control.Run] returns.
func (in *Control) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	in.voter.HandOver(ctx)
	close(in.stop)
}

// Reload takes changed settings.
func (in *Control) Reload(s *keelconfig.Steer) { in.voter.SetSeeds(s.SeedAddrs()) }
