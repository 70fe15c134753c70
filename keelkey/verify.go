package keelkey

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// ServerTLS returns the TLS settings of the accepting side of a connection. Each
// handshake uses the keys that are current then.
func (k *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection:       k.verify,
		SessionTicketsDisabled: true,
	}
}

// ClientTLS returns the TLS settings of the opening side of a connection. Each
// handshake uses the keys that are current then. The server's certificate is
// checked against the authorities, not against an address.
func (k *Keys) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Instances are dialled by address; VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: k.verify,
	}
}

// ClientTLSFor is like [Keys.ClientTLS], but also refuses a certificate that
// lists addresses if addr is not one of them.
func (k *Keys) ClientTLSFor(addr netip.Addr) *tls.Config {
	cfg := k.ClientTLS()
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		if err := k.verify(cs); err != nil {
			return err
		}
		leaf := cs.PeerCertificates[0]
		if len(leaf.IPAddresses) == 0 {
			return nil
		}
		if err := leaf.VerifyHostname(addr.Unmap().WithZone("").String()); err != nil {
			return k.refuse(leaf, err)
		}
		return nil
	}
	return cfg
}

func (k *Keys) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return k.refuse(&x509.Certificate{}, errors.New("the peer sent no certificate"))
	}
	leaf := cs.PeerCertificates[0]
	if err := keel.CheckName("common name", leaf.Subject.CommonName).Err(); err != nil {
		return k.refuse(leaf, err)
	}
	if k.unverified {
		return nil
	}
	if err := verifyChain(leaf, k.current.Load().authorities, k.cfg.Clock.Now()); err != nil {
		return k.refuse(leaf, err)
	}
	return nil
}

func (k *Keys) refuse(leaf *x509.Certificate, cause error) error {
	err := errors.Wrapf(cause, "certificate of %q refused", leaf.Subject.CommonName)
	k.warnings.warn("peer refused", fmt.Sprintf("%s %T", leaf.Subject.CommonName, cause), err)
	return err
}

func verifyChain(leaf *x509.Certificate, authorities *x509.CertPool, now time.Time) error {
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       authorities,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}

// PeerName returns the instance name in the certificate of the peer, or the empty
// name if there is no certificate.
func PeerName(cs tls.ConnectionState) keel.InstanceName {
	if len(cs.PeerCertificates) == 0 {
		return ""
	}
	return keel.InstanceName(cs.PeerCertificates[0].Subject.CommonName)
}

const (
	// minWarningInterval is the minimum time between two warnings with the same
	// key.
	minWarningInterval = time.Minute
	maxWarningKeys     = 256
)

// warningLimiter logs each kind of warning at most once per interval.
type warningLimiter struct {
	log   logrus.FieldLogger
	clock clockwork.Clock
	mu    sync.Mutex
	last  map[string]time.Time
}

// warn logs an error, unless the same message and key were logged recently. The
// key identifies the cause; it must not contain parts that differ each time.
func (l *warningLimiter) warn(message, key string, cause error) {
	if l.allow(message+key, l.clock.Now()) {
		l.log.WithError(cause).Warn(message)
	}
}

func (l *warningLimiter) allow(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, seen := l.last[key]
	if seen && now.Sub(last) < minWarningInterval {
		return false
	}
	if l.last == nil || len(l.last) >= maxWarningKeys {
		l.last = map[string]time.Time{}
	}
	l.last[key] = now
	return true
}
