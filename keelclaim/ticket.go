package keelclaim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	keel "github.com/greengagekeel/greengagekeel"
)

// Ticket is a key that an instance issued. It names its home failure domain,
// and the incarnations of the home's holders as known at the issuer. If a
// holder finds its own incarnation in a ticket, the ticket was issued after the
// holder's last start, even if the clocks of the two instances differ.
type Ticket struct {
	Home         keel.DomainName
	IssuedAt     time.Time
	Random       [ticketRandomBytes]byte
	Incarnations []IncarnationTag
}

// IncarnationTag is a hash of an instance's name and incarnation number.
type IncarnationTag uint64

// IncarnationTagOf returns the tag of an instance's incarnation.
func IncarnationTagOf(name keel.InstanceName, incarnation uint64) IncarnationTag {
	return IncarnationTag(xxh3.HashStringSeed(string(name), incarnation))
}

// Format of a ticket: the prefix, then in base64 the length of the home's name,
// the name, the issue time, the random part, the tags and the signature.
const (
	ticketPrefix          = "kt1."
	ticketRandomBytes     = 12
	ticketTimeBytes       = 8
	ticketTagBytes        = 8
	ticketMACBytes        = 16
	maxTicketIncarnations = 16
)

// IsTicket reports whether a key has the prefix of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// Sign returns the encoded ticket, signed with secret.
func (t Ticket) Sign(secret []byte) string {
	b := []byte{byte(len(t.Home))}
	b = append(b, t.Home...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.IssuedAt.UnixMilli()))
	b = append(b, t.Random[:]...)
	for _, tag := range t.Incarnations {
		b = binary.BigEndian.AppendUint64(b, uint64(tag))
	}
	b = append(b, ticketMAC(secret, b)...)
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// NamesIncarnation reports whether the ticket names the incarnation.
func (t Ticket) NamesIncarnation(tag IncarnationTag) bool {
	return slices.Contains(t.Incarnations, tag)
}

// ParseTicket verifies and decodes a ticket that was signed with secret.
func ParseTicket(secret []byte, key string) (Ticket, error) {
	var t Ticket
	b, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(key, ticketPrefix))
	if err != nil || !IsTicket(key) {
		return t, errors.New("ticket is malformed")
	}
	if len(b) < 1+ticketTimeBytes+ticketRandomBytes+ticketMACBytes {
		return t, errors.Errorf("ticket has only %d bytes", len(b))
	}
	signed, mac := b[:len(b)-ticketMACBytes], b[len(b)-ticketMACBytes:]
	if !hmac.Equal(mac, ticketMAC(secret, signed)) {
		return t, errors.New("ticket has an invalid signature")
	}
	return t, t.decode(signed)
}

func (t *Ticket) decode(b []byte) error {
	n := int(b[0])
	b = b[1:]
	if len(b) < n+ticketTimeBytes+ticketRandomBytes {
		return errors.New("ticket is shorter than the length of its home requires")
	}
	t.Home, b = keel.DomainName(b[:n]), b[n:]
	if err := keel.CheckName("home", t.Home).Err(); err != nil {
		return errors.Wrap(err, "ticket")
	}
	t.IssuedAt, b = time.UnixMilli(int64(binary.BigEndian.Uint64(b))), b[ticketTimeBytes:]
	b = b[copy(t.Random[:], b):]
	if len(b)%ticketTagBytes != 0 || len(b)/ticketTagBytes > maxTicketIncarnations {
		return errors.Errorf("ticket has %d bytes of incarnation tags", len(b))
	}
	for ; len(b) > 0; b = b[ticketTagBytes:] {
		t.Incarnations = append(t.Incarnations, IncarnationTag(binary.BigEndian.Uint64(b)))
	}
	return nil
}

func ticketMAC(secret, b []byte) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(ticketPrefix))
	m.Write(b)
	return m.Sum(nil)[:ticketMACBytes]
}
