package keelclaim

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// KeyID identifies a key together with its service and caller. It is a keyed
// hash, so that nobody without the secret can construct a collision.
type KeyID [keyIDBytes]byte

const keyIDBytes = 16

// KeyIDOf returns the identity of the request's key under secret.
func KeyIDOf(secret []byte, r Request) KeyID {
	m := hmac.New(sha256.New, secret)
	for _, part := range []string{string(r.Service), r.Caller, r.Key} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		m.Write(length[:])
		m.Write([]byte(part))
	}
	var id KeyID
	copy(id[:], m.Sum(nil))
	return id
}

// HomeOf returns the failure domain among domains that is the home of an opaque
// key, by rendezvous hashing. It returns false if there are no domains.
func HomeOf(id KeyID, domains []keel.DomainName) (keel.DomainName, bool) {
	if len(domains) == 0 {
		return "", false
	}
	weight := func(d keel.DomainName) uint64 {
		return xxh3.HashSeed(id[:], xxh3.HashString(string(d)))
	}
	return slices.MaxFunc(domains, func(a, b keel.DomainName) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	}), true
}
