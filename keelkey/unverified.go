package keelkey

import (
	"crypto/sha256"
	"encoding/hex"

	keel "github.com/greengagekeel/greengagekeel"
)

// Unverified creates keys for one instance in deployments that distribute none.
// Connections are encrypted, but every process that reaches the peer port is
// accepted as the instance that it claims to be. It is for networks in which only
// instances can reach the peer port, and must be enabled explicitly in the
// settings.
func Unverified(name keel.InstanceName) (*Keys, error) {
	all, err := Ephemeral(name)
	if err != nil {
		return nil, err
	}
	k := all[name]
	k.unverified = true
	// The secret serves only to end the connections to the previous process at
	// once after a restart, by stateless resets, so it must be the same then.
	sum := sha256.Sum256([]byte("unverified " + string(name)))
	set := *k.current.Load()
	set.secret = []byte(hex.EncodeToString(sum[:]))
	k.current.Store(&set)
	return k, nil
}
