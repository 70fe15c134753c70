package keelkey

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
	keel "github.com/greengagekeel/greengagekeel"
)

// Names of the files in a folder of keys that all instances share. For the files
// of one instance see [CertificateFile] and [PrivateKeyFile].
const (
	AuthorityCertificateFile = "authority.crt"
	AuthorityKeyFile         = "authority.key"
	SecretFile               = "secret.key"
	OperatorTokenFile        = "operator.token"
)

const (
	secretBytes        = 32
	operatorTokenBytes = 24

	folderMode  os.FileMode = 0o700
	privateMode os.FileMode = 0o600
	publicMode  os.FileMode = 0o644
)

// CertificateFile returns the name of the file with an instance's certificate.
func CertificateFile(instance keel.InstanceName) string { return string(instance) + ".crt" }

// PrivateKeyFile returns the name of the file with an instance's private key.
func PrivateKeyFile(instance keel.InstanceName) string { return string(instance) + ".key" }

// DirConfig configures [WriteDir].
type DirConfig struct {
	Dir       string
	Authority *Authority
	Instances []KeyPair
	// OmitAuthorityKey leaves out the authority's private key, which is needed
	// only to issue certificates.
	OmitAuthorityKey bool
}

// WriteDir writes the authority and the instances' certificates and private keys
// to a folder. It adds a shared secret and an operator token if the folder has
// none yet. Each file is replaced atomically.
func WriteDir(cfg DirConfig) error {
	if err := os.MkdirAll(cfg.Dir, folderMode); err != nil {
		return errors.Wrap(err, "create the folder of keys")
	}
	pair, err := cfg.Authority.KeyPair()
	if err != nil {
		return err
	}
	w := dirWriter{dir: cfg.Dir}
	w.write(AuthorityCertificateFile, pair.Certificate, publicMode)
	if !cfg.OmitAuthorityKey {
		w.write(AuthorityKeyFile, pair.PrivateKey, privateMode)
	}
	for _, p := range cfg.Instances {
		w.write(CertificateFile(p.Instance), p.Certificate, publicMode)
		w.write(PrivateKeyFile(p.Instance), p.PrivateKey, privateMode)
	}
	w.writeRandom(SecretFile, secretBytes)
	w.writeRandom(OperatorTokenFile, operatorTokenBytes)
	return w.err
}

// ReadAuthority reads the authority with its private key from a folder.
func ReadAuthority(dir string) (*Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, AuthorityCertificateFile))
	if err != nil {
		return nil, errors.Wrap(err, "read the authority's certificate")
	}
	key, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "read the authority's private key")
	}
	return ParseAuthority(cert, key)
}

// dirWriter writes files to a folder. After the first error it writes nothing.
type dirWriter struct {
	dir string
	err error
}

func (w *dirWriter) write(name string, data []byte, mode os.FileMode) {
	if w.err != nil {
		return
	}
	path := filepath.Join(w.dir, name)
	if err := renameio.WriteFile(path, data, mode); err != nil {
		w.err = errors.Wrapf(err, "write %s", path)
	}
}

func (w *dirWriter) writeRandom(name string, n int) {
	if _, err := os.Stat(filepath.Join(w.dir, name)); err == nil {
		return
	}
	w.write(name, randomHexLine(n), privateMode)
}

// randomHexLine returns n random bytes as a line of hexadecimal digits.
func randomHexLine(n int) []byte {
	b := make([]byte, n)
	rand.Read(b)
	return append(hex.AppendEncode(nil, b), '\n')
}
