package keelclaim

import (
	"slices"
	"strings"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
)

// Request is a keyed request that is to be dispatched.
type Request struct {
	Service keel.ServiceName
	// Caller is the authenticated identity of the caller, or empty. Keys of
	// different callers are distinct.
	Caller string
	// Key is the Idempotency-Key header: a ticket or an opaque key.
	Key string
	// BodyHash distinguishes requests with the same key and different content.
	BodyHash uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// MaxKeyBytes is the largest length of a key.
const MaxKeyBytes = 512

// Check reports a missing service, and a key that is missing, too long or not
// made of printable ASCII characters.
func (r *Request) Check() keel.Faults {
	fs := keel.CheckName("service", r.Service)
	if r.Key == "" || len(r.Key) > MaxKeyBytes {
		fs.Add("key", "has %d bytes, must have 1 to %d", len(r.Key), MaxKeyBytes)
	}
	for i := range len(r.Key) {
		if r.Key[i] <= ' ' || r.Key[i] > '~' {
			fs.Add("key", "has a character at position %d that is not printable ASCII", i)
			break
		}
	}
	return fs
}

// HeaderField is one header line of an answer.
type HeaderField struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Value string `json:"value" cbor:"2,keyasint"`
}

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status int           `json:"status" cbor:"1,keyasint"`
	Header []HeaderField `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte        `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
}

// Limits on recorded answers.
const (
	minStatus       = 100
	maxStatus       = 999
	maxHeaderFields = 256
)

// Check reports a status that is out of range and too many header fields.
func (a *Answer) Check() keel.Faults {
	var fs keel.Faults
	if a.Status < minStatus || a.Status > maxStatus {
		fs.Add("status", "is %d, must lie between %d and %d", a.Status, minStatus, maxStatus)
	}
	if len(a.Header) > maxHeaderFields {
		fs.Add("header", "has %d fields, the limit is %d", len(a.Header), maxHeaderFields)
	}
	return fs
}

// size returns the size of the answer in bytes, headers included.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// clone returns a copy that shares no memory with a.
func (a *Answer) clone() *Answer {
	c := *a
	c.Body = slices.Clone(a.Body)
	c.Header = make([]HeaderField, len(a.Header))
	for i, f := range a.Header {
		c.Header[i] = HeaderField{Name: strings.Clone(f.Name), Value: strings.Clone(f.Value)}
	}
	return &c
}
