// Package keelproxy carries HTTP requests from callers to endpoints.
//
// [Front] is the HTTP server for callers, [EndpointClient] sends requests to
// endpoints over pooled connections, and [Forwarder] and [Receiver] carry them
// from one instance to another. All of them exchange [Request] and [Answer], and
// the interface [Runner] connects them.
//
// The package does not choose endpoints, queue or retry. It determines the verdict
// of a request that got no answer, which depends on whether any byte of the
// request was sent to an endpoint.
package keelproxy

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/greengagekeel/greengagekeel/keelheader"
)

// Header fields that the system reads and writes.
const (
	// HeaderService names the service that a request is for. Without it the
	// first label of the Host header is the service.
	HeaderService = "Keel-Service"
	// HeaderTimeout is the time limit of a request, such as "1.5s".
	HeaderTimeout = "Keel-Timeout"
	// HeaderVerdict is the verdict of a refused request.
	HeaderVerdict = "Keel-Verdict"
	// HeaderRequestID identifies a request in logs and at endpoints. Connections
	// are reused only if the endpoint repeats it in its answers.
	HeaderRequestID = "Keel-Request-Id"
	// HeaderTicket is the ticket that a look-up returned.
	HeaderTicket = "Keel-Ticket"
	// HeaderKey is the key of an at-most-once request.
	HeaderKey = "Idempotency-Key"
	// HeaderLeaving is 1 in the answers of an endpoint that leaves.
	HeaderLeaving = "Keel-Leaving"
	// HeaderRateLimit is the number of requests per second, as a decimal number, that an
	// endpoint accepts from all instances together. It is in each answer while that holds.
	HeaderRateLimit = "Keel-Rate-Limit"
	// HeaderServedBy names the failure domain whose endpoint answered.
	HeaderServedBy = "Keel-Served-By"
)

// LengthUnknown is the content length of a body that is sent in chunks.
const LengthUnknown int64 = -1

// Field is a header field. A header may have several fields with one name.
type Field struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Request is a caller's request. The fields with a CBOR key are sent when it is
// forwarded to another instance; Body follows in chunks.
type Request struct {
	ID       string            `cbor:"1,keyasint"`
	Service  keel.ServiceName  `cbor:"2,keyasint"`
	Selector keel.SelectorName `cbor:"3,keyasint"`
	Method   string            `cbor:"4,keyasint"`
	// URI is the path and the query.
	URI    string  `cbor:"5,keyasint"`
	Host   string  `cbor:"6,keyasint"`
	Header []Field `cbor:"7,keyasint"`
	// ContentLength is the number of bytes in Body, or [LengthUnknown].
	ContentLength int64 `cbor:"8,keyasint"`
	// Timeout is the time limit that the caller requested, or else that of the
	// selector. In a forwarded request it is the time that was left until Deadline
	// when the request was forwarded: Deadline itself is not sent, since the
	// clocks of instances may differ.
	Timeout time.Duration `cbor:"9,keyasint"`
	// Caller is the address of the caller.
	Caller netip.Addr `cbor:"10,keyasint"`
	// Source is the region of the caller's client block.
	Source keel.RegionName `cbor:"11,keyasint"`
	// Fingerprint is the same for each resend of a request. It is computed by
	// keelguard.Fingerprint.
	Fingerprint uint64 `cbor:"12,keyasint"`
	// Claimed means that the claim for this at-most-once request has already
	// been obtained.
	Claimed bool `cbor:"13,keyasint,omitempty"`
	// Hops counts how often the request was forwarded before it reached this
	// instance.
	Hops int `cbor:"14,keyasint,omitempty"`
	// Via is the failure domain of the instance that forwarded the request.
	Via keel.DomainName `cbor:"16,keyasint,omitempty"`
	// NewConnection requires a new connection to the endpoint. It is set after a failed
	// attempt, which may have used a silently broken connection: other idle
	// connections of its age are then likely broken too.
	NewConnection bool `cbor:"17,keyasint,omitempty"`

	// Affinity names the object that the request is about. An endpoint that has
	// served the object before answers faster.
	Affinity string `cbor:"-"`
	// ReceivedAt is when the caller's request was received.
	ReceivedAt time.Time `cbor:"-"`
	// Key is the key of an at-most-once request, see [HeaderKey].
	Key string `cbor:"-"`
	// Ticket is the ticket of a look-up, see [HeaderTicket].
	Ticket   string    `cbor:"-"`
	Deadline time.Time `cbor:"-"`
	Body     io.Reader `cbor:"-"`

	// Relayed is whether another instance relays the request here, see [Dialect.Relayed].
	Relayed bool `cbor:"-"`

	// conn is the connection of the caller; nil if another instance forwarded the
	// request.
	conn *callerConn
	// account is charged for what the request holds; nil means that nothing is.
	account *keelbudget.Account
}

// CallerLeft reports whether the caller has closed its connection. It asks the kernel,
// and is called just before a request is sent on: a caller that left while the process
// stood still is noticed by nothing else before that. It must not be called while
// a part of the body is unread.
func (r *Request) CallerLeft() bool { return r.conn != nil && r.conn.left() }

// maxHops limits how often a request is forwarded.
const maxHops = 3

// Check reports the faults of a request that another instance sent.
func (r *Request) Check() keel.Faults {
	fs := keel.CheckName("service", r.Service)
	if r.Method == "" || r.URI == "" {
		fs.Add("method", "method and uri must not be empty")
	}
	if r.ContentLength < LengthUnknown {
		fs.Add("content_length", "is %d, must not be less than %d", r.ContentLength, LengthUnknown)
	}
	if r.Timeout <= 0 {
		fs.Add("timeout", "is %s, must be more than 0", r.Timeout)
	}
	if r.Hops < 0 || r.Hops > maxHops {
		fs.Add("hops", "is %d, must lie between 0 and %d", r.Hops, maxHops)
	}
	return fs
}

// Path returns the URI without its query.
func (r *Request) Path() string {
	for i := range len(r.URI) {
		if r.URI[i] == '?' {
			return r.URI[:i]
		}
	}
	return r.URI
}

// HasBody reports whether the request carries a body.
func (r *Request) HasBody() bool { return r.Body != nil && r.ContentLength != 0 }

var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// Safe reports whether the request can be sent again: its method is safe and it
// has no body.
func (r *Request) Safe() bool {
	return slices.Contains(safeMethods, r.Method) && !r.HasBody()
}

// Answer is an endpoint's answer. The receiver must close its body.
type Answer struct {
	Status int
	Header []Field
	// ContentLength is the number of bytes in Body, or [LengthUnknown]. The
	// answer to a HEAD request has a length but an empty body.
	ContentLength int64
	// Body returns an error other than [io.EOF] if the answer is truncated.
	Body io.ReadCloser
	// Domain is the failure domain of the endpoint.
	Domain keel.DomainName
	// Notice is what the endpoint says about itself. It is not passed on to other
	// instances.
	Notice Notice
}

// Check reports a status that is not that of a final answer, and malformed fields. Instances
// of earlier versions pass such answers on.
func (a *Answer) Check() keel.Faults {
	var fs keel.Faults
	if a.Status < http.StatusOK || a.Status > keelheader.MaxStatus {
		fs.Add("status", "is %d, must lie between %d and %d", a.Status, http.StatusOK, keelheader.MaxStatus)
	}
	for i, f := range a.Header {
		if !keelheader.IsToken([]byte(f.Name)) || !keelheader.IsFieldContent([]byte(f.Value)) {
			fs.Add("header["+strconv.Itoa(i)+"]", "is malformed")
		}
	}
	return fs
}

// Runner runs requests.
type Runner interface {
	// RunRequest returns either an answer or an error. [keel.VerdictOf] returns
	// the error's verdict; an error that can be reported to the caller in detail
	// is a [keel.Refusal]. Cancelling ctx aborts the request.
	RunRequest(ctx context.Context, r *Request) (*Answer, error)
}
