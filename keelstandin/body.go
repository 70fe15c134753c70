package keelstandin

import (
	"encoding/hex"
	"io"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"
)

// Headers of requests and answers.
const (
	// HeaderToken identifies one send of a request; the answer repeats it.
	HeaderToken = "Stand-In-Token"
	// HeaderChecksum holds the checksum of the body that the endpoint received.
	HeaderChecksum = "Stand-In-Checksum"
	// HeaderEndpoint names the endpoint that answered.
	HeaderEndpoint = "Stand-In-Endpoint"
	// HeaderRequestID holds the ID that the instance gave the request. The instance
	// reuses the connection only if the answer repeats it.
	HeaderRequestID = "Keel-Request-Id"
	// HeaderKey is the idempotency key of a request that must not run twice.
	HeaderKey = "Idempotency-Key"
)

// Checksum returns the checksum of a body in the form of [HeaderChecksum].
func Checksum(body []byte) string { return formatChecksum(xxh3.Hash128(body)) }

func formatChecksum(sum xxh3.Uint128) string {
	b := sum.Bytes()
	return hex.EncodeToString(b[:])
}

// NewBody returns the answer's body for a token, of n bytes: the token and a line
// feed, repeated.
func NewBody(token string, n int64) io.Reader {
	return io.LimitReader(&bodyReader{pattern: []byte(token + "\n")}, n)
}

// bodyReader repeats a pattern endlessly.
type bodyReader struct {
	pattern []byte
	offset  int
}

// Read implements [io.Reader].
func (r *bodyReader) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = r.pattern[r.offset]
		r.offset = (r.offset + 1) % len(r.pattern)
	}
	return len(p), nil
}

// CheckBody reads a body to its end and returns an error unless it is the body
// that [NewBody] returns for token and n. An error wraps another one only if
// reading failed, not if the body differs.
func CheckBody(r io.Reader, token string, n int64) error {
	want := &bodyReader{pattern: []byte(token + "\n")}
	got, expected := make([]byte, copyBytes), make([]byte, copyBytes)
	var total int64
	for {
		k, err := r.Read(got)
		_, _ = want.Read(expected[:k])
		if string(got[:k]) != string(expected[:k]) {
			return errors.Errorf("body differs from that of token %q within bytes %d to %d", token, total, total+int64(k))
		}
		total += int64(k)
		switch {
		case errors.Is(err, io.EOF) && total == n:
			return nil
		case errors.Is(err, io.EOF):
			return errors.Errorf("body has %d bytes, want %d", total, n)
		case err != nil:
			return errors.Wrapf(err, "read body after %d bytes", total)
		}
	}
}
