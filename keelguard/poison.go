package keelguard

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// ID identifies a request by its content, so that a resend has the same one.
type ID uint64

// Fingerprint returns the identity of a request. The key is empty for a request
// without one.
func Fingerprint(service keel.ServiceName, method, path, key string, bodyHash uint64) ID {
	h := xxh3.New()
	for _, part := range []string{string(service), method, path, key} {
		writePart(h, part)
	}
	var hash [8]byte
	binary.LittleEndian.PutUint64(hash[:], bodyHash)
	h.Write(hash[:])
	return ID(h.Sum64())
}

// writePart writes the length before the part, so that two lists of parts
// never give the same bytes.
func writePart(h *xxh3.Hasher, part string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
	h.Write(length[:])
	h.WriteString(part)
}

// Decision says how a request may be dispatched.
type Decision struct {
	// Allow says that the request may be dispatched now.
	Allow bool
	// AskHome says that the request may be dispatched only with a permission,
	// which [Service.Permit] asks for.
	AskHome bool
	// AvoidEndpoints lists the endpoints that the request must not go to.
	AvoidEndpoints []keel.EndpointID
	// NoRetry says that the request must not be dispatched again if it fails.
	NoRetry bool
	// Refuse is the refusal to answer with, if Allow is false.
	Refuse *keel.Refusal
}

// PoisonConfig bounds a [Poison].
type PoisonConfig struct {
	// MaxEntries bounds the fingerprints that are kept.
	MaxEntries int
	// Retention is how long evidence counts.
	Retention time.Duration
}

// Poison keeps the evidence against requests. It is not safe for use by several
// goroutines.
type Poison struct{ cfg PoisonConfig }

// NewPoison returns a poison table without evidence.
func NewPoison(cfg PoisonConfig) *Poison { return &Poison{cfg: cfg} }

// Evidence is what one instance knows about one fingerprint.
type Evidence struct{}

// Before decides about a request that is about to be dispatched.
func (p *Poison) Before(_ time.Time, _ ID) Decision { return Decision{Allow: true} }

// Started notes that a request was sent to an endpoint.
func (p *Poison) Started(_ time.Time, _ ID, _ keel.EndpointID) {}

// Ended notes that a request got its answer or was refused by its endpoint.
func (p *Poison) Ended(_ time.Time, _ ID, _ keel.EndpointID) {}

// Died notes that the connection to an endpoint broke with the request in
// flight. The endpoint is then to be probed with a fresh connection.
func (p *Poison) Died(_ time.Time, _ ID, _ keel.EndpointID) {}

// Confirmed notes whether a fresh connection to the endpoint worked.
func (p *Poison) Confirmed(_ time.Time, _ keel.EndpointID, _ bool) {}

// Evidence returns all evidence to share.
func (p *Poison) Evidence() []Evidence { return nil }

// Merge takes evidence of other instances.
func (p *Poison) Merge(_ time.Time, _ []Evidence) {}

// Lift drops the evidence against a fingerprint and lets it run.
func (p *Poison) Lift(_ time.Time, _ ID) {}
