package keelkey

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
)

// fileSet holds the contents of the key files that one instance needs.
type fileSet struct {
	authorities []byte
	certificate []byte
	privateKey  []byte
	secret      []byte
	token       []byte
}

func readFiles(dir string, instance keel.InstanceName) (fileSet, error) {
	var f fileSet
	parts := []struct {
		name string
		data *[]byte
	}{
		{AuthorityCertificateFile, &f.authorities},
		{CertificateFile(instance), &f.certificate},
		{PrivateKeyFile(instance), &f.privateKey},
		{SecretFile, &f.secret},
		{OperatorTokenFile, &f.token},
	}
	for _, p := range parts {
		data, err := os.ReadFile(filepath.Join(dir, p.name))
		if err != nil {
			return fileSet{}, errors.Wrapf(err, "read %s", p.name)
		}
		*p.data = data
	}
	return f, nil
}

func (f fileSet) equal(g fileSet) bool {
	return bytes.Equal(f.authorities, g.authorities) &&
		bytes.Equal(f.certificate, g.certificate) &&
		bytes.Equal(f.privateKey, g.privateKey) &&
		bytes.Equal(f.secret, g.secret) &&
		bytes.Equal(f.token, g.token)
}

func (f fileSet) parse() (*keySet, error) {
	authorities, err := parseCertificates(f.authorities)
	if err != nil {
		return nil, errors.Wrap(err, AuthorityCertificateFile)
	}
	pool := x509.NewCertPool()
	for _, cert := range authorities {
		pool.AddCert(cert)
	}
	pair, err := tls.X509KeyPair(f.certificate, f.privateKey)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and private key of the instance")
	}
	secret, err := hex.DecodeString(string(bytes.TrimSpace(f.secret)))
	if err != nil || len(secret) < secretBytes {
		return nil, errors.Errorf("%s: must hold at least %d bytes in hexadecimal digits", SecretFile, secretBytes)
	}
	token := string(bytes.TrimSpace(f.token))
	if token == "" {
		return nil, errors.Errorf("%s: must not be empty", OperatorTokenFile)
	}
	return &keySet{files: f, certificate: pair, authorities: pool, secret: secret, token: token}, nil
}
