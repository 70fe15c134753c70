package keelkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

const (
	// DefaultAuthorityValidity is how long an authority is valid unless its
	// configuration says otherwise.
	DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour
	// DefaultValidity is how long an instance's certificate is valid unless
	// its configuration says otherwise.
	DefaultValidity = 365 * 24 * time.Hour

	// clockSkew is how much earlier than requested a certificate becomes valid,
	// so that instances with slower clocks accept a new one.
	clockSkew        = 5 * time.Minute
	serialNumberBits = 120
)

// AuthorityConfig configures [NewAuthority].
type AuthorityConfig struct {
	// Name is the common name of the authority.
	Name string
	// NotBefore is the start of the validity; zero means now.
	NotBefore time.Time
	// ValidFor is the length of the validity; zero means
	// [DefaultAuthorityValidity].
	ValidFor time.Duration
}

// Authority issues certificates to instances.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Instance    keel.InstanceName
	Certificate []byte
	PrivateKey  []byte
}

// NewAuthority creates an authority with a new private key.
func NewAuthority(cfg AuthorityConfig) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's private key")
	}
	template, err := newTemplate(cfg.Name, cfg.NotBefore, orDefault(cfg.ValidFor, DefaultAuthorityValidity))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

// KeyPair returns the authority's own certificate and private key.
func (a *Authority) KeyPair() (KeyPair, error) { return encodePair("", a.cert.Raw, a.key) }

// IssueConfig configures [Authority.Issue].
type IssueConfig struct {
	Instance keel.InstanceName
	// Domain is the organisational unit of the certificate. It may be empty and
	// is not checked when a connection is opened.
	Domain keel.DomainName
	// Addresses are the addresses that other instances use to reach the
	// instance. If there is at least one, clients refuse the certificate on
	// connections to any other address; see [Keys.ClientTLSFor].
	Addresses []netip.Addr
	// NotBefore is the start of the validity; zero means now.
	NotBefore time.Time
	// ValidFor is the length of the validity; zero means [DefaultValidity].
	ValidFor time.Duration
}

// Issue generates a private key and issues a certificate for an instance.
func (a *Authority) Issue(cfg IssueConfig) (KeyPair, error) {
	if err := keel.CheckName("instance", cfg.Instance).Err(); err != nil {
		return KeyPair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrapf(err, "generate the private key of %q", cfg.Instance)
	}
	template, err := newTemplate(string(cfg.Instance), cfg.NotBefore, orDefault(cfg.ValidFor, DefaultValidity))
	if err != nil {
		return KeyPair{}, err
	}
	template.Subject.OrganizationalUnit = []string{string(cfg.Domain)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: "keel", Host: string(cfg.Instance)}}
	for _, addr := range cfg.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(addr.Unmap().AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, errors.Wrapf(err, "sign the certificate of %q", cfg.Instance)
	}
	return encodePair(cfg.Instance, der, key)
}

func newTemplate(name string, notBefore time.Time, validFor time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	if notBefore.IsZero() {
		notBefore = time.Now()
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             notBefore.Add(-clockSkew),
		NotAfter:              notBefore.Add(validFor),
		BasicConstraintsValid: true,
	}, nil
}

func encodePair(name keel.InstanceName, der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode the private key")
	}
	return KeyPair{
		Instance:    name,
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: keyDER}),
	}, nil
}

// ParseAuthority decodes an authority from the PEM of its certificate and
// private key. If there are several certificates, the one that belongs to the
// key is used.
func ParseAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	block, _ := pem.Decode(keyPEM)
	if block == nil {
		return nil, errors.New("the authority's private key is not PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's private key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("the authority's private key is a %T, want an ECDSA key", parsed)
	}
	certs, err := parseCertificates(certPEM)
	if err != nil {
		return nil, err
	}
	for _, cert := range certs {
		if key.PublicKey.Equal(cert.PublicKey) {
			return &Authority{cert: cert, key: key}, nil
		}
	}
	return nil, errors.New("no authority certificate belongs to the authority's private key")
}

func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrapf(err, "parse certificate %d", len(certs)+1)
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, errors.New("no certificate in PEM format found")
	}
	return certs, nil
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
