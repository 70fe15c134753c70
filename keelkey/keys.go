package keelkey

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// DefaultPollInterval is how often a folder of keys is read again.
	DefaultPollInterval = 5 * time.Second
	// expiryWarning is how long before the expiry of the instance's own
	// certificate a warning is logged.
	expiryWarning = 14 * 24 * time.Hour
)

// Config configures [Load].
type Config struct {
	Dir      string
	Instance keel.InstanceName
	// PollInterval is how often [Keys.Run] looks for changed files; zero means
	// [DefaultPollInterval].
	PollInterval time.Duration
	// Log receives refused certificates, reloads, and warnings of the expiry of
	// the own certificate; nil means the standard logger.
	Log logrus.FieldLogger
	// Clock is used for polling and to check the validity of certificates; nil
	// means the system clock.
	Clock clockwork.Clock
}

// Keys are the keys of one instance. They are safe for concurrent use.
type Keys struct {
	cfg      Config
	current  atomic.Pointer[keySet]
	warnings warningLimiter
	// unverified says that certificates of other instances are accepted without
	// a check of their chain.
	unverified bool
}

// keySet holds the files of one read of the folder and the keys parsed from them.
type keySet struct {
	files       fileSet
	certificate tls.Certificate
	authorities *x509.CertPool
	secret      []byte
	token       string
}

// Load reads the keys of an instance. It fails if a file is missing or
// malformed, or if the certificate is for another instance, was issued by
// another authority, or is not valid now.
func Load(cfg Config) (*Keys, error) {
	k := newKeys(cfg)
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

func newKeys(cfg Config) *Keys {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	cfg.PollInterval = orDefault(cfg.PollInterval, DefaultPollInterval)
	return &Keys{cfg: cfg, warnings: warningLimiter{log: cfg.Log, clock: cfg.Clock}}
}

// Instance returns the name that the keys belong to.
func (k *Keys) Instance() keel.InstanceName { return k.cfg.Instance }

// Secret returns the random bytes that all instances share, for signing data
// that only instances may issue. The caller must not change them.
func (k *Keys) Secret() []byte { return k.current.Load().secret }

// OperatorToken returns the token that authenticates operators.
func (k *Keys) OperatorToken() string { return k.current.Load().token }

// NotAfter returns the end of the certificate's validity.
func (k *Keys) NotAfter() time.Time { return k.current.Load().certificate.Leaf.NotAfter }

// Run polls the folder and reloads the keys when a file has changed, until ctx
// ends. If a reload fails, the error is logged and the current keys stay in use.
func (k *Keys) Run(ctx context.Context) error {
	ticker := k.cfg.Clock.NewTicker(k.cfg.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			k.poll()
		}
	}
}

func (k *Keys) poll() {
	changed, err := k.Reload()
	switch {
	case err != nil:
		k.warnings.warn("keys not reloaded, the old ones stay in use", fmt.Sprintf("%T", err), err)
	case changed:
		k.cfg.Log.WithFields(logrus.Fields{
			"instance":  k.cfg.Instance,
			"not_after": k.NotAfter(),
		}).Info("keys reloaded")
	default:
		k.warnExpiry()
	}
}

// Reload reads the folder now and reports whether it had changed. If it fails,
// the current keys stay in use. Keys without a folder never change.
func (k *Keys) Reload() (changed bool, err error) {
	if k.cfg.Dir == "" {
		return false, nil
	}
	files, err := readFiles(k.cfg.Dir, k.cfg.Instance)
	if err != nil {
		return false, err
	}
	if set := k.current.Load(); set != nil && files.equal(set.files) {
		return false, nil
	}
	return true, k.activate(files)
}

func (k *Keys) warnExpiry() {
	if left := k.NotAfter().Sub(k.cfg.Clock.Now()); left < expiryWarning {
		k.warnings.warn("certificate of this instance ends soon", "", errors.Errorf("not valid after %s", k.NotAfter().Format(time.RFC3339)))
	}
}

// activate parses and verifies a set of files and makes it current. On an error
// the current keys stay in use.
func (k *Keys) activate(files fileSet) error {
	set, err := files.parse()
	if err != nil {
		return err
	}
	leaf := set.certificate.Leaf
	if leaf.Subject.CommonName != string(k.cfg.Instance) {
		return errors.Errorf("certificate is for instance %q, not for %q", leaf.Subject.CommonName, k.cfg.Instance)
	}
	if err := verifyChain(leaf, set.authorities, k.cfg.Clock.Now()); err != nil {
		return errors.Wrapf(err, "certificate of instance %q", k.cfg.Instance)
	}
	k.current.Store(set)
	return nil
}
