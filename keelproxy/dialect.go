package keelproxy

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/valyala/fasthttp"
)

// Dialect describes how requests, time limits and refusals are encoded in HTTP,
// for callers and for endpoints. An empty field name means that there is no such
// header field.
type Dialect struct {
	// RequestID is the field that identifies a request.
	RequestID string
	// KeepID passes the caller's id on unchanged and rejects requests without
	// one. Otherwise an id that is missing or too long is replaced.
	KeepID bool
	// Timeout is the field with the time limit of a request, which ParseTimeout
	// and FormatTimeout convert.
	Timeout       string
	ParseTimeout  func(text string) (time.Duration, error)
	FormatTimeout func(d time.Duration) string
	// Affinity is the field of a request that names the object it is about.
	Affinity string
	// Target is the field of a request that names the endpoint it is sent to.
	Target string
	// Relayed is the field of a request that an instance without contact to endpoints sends
	// to the caller port of another one; its value is 1. It is not sent to endpoints.
	Relayed string
	// Leaving is the field of an answer with which an endpoint says that it leaves; its
	// value is 1.
	Leaving string
	// RateLimit is the field of an answer with which an endpoint names the number of
	// requests per second that it accepts from all instances together.
	RateLimit string
	// ServedBy is the field of an answer that names the failure domain.
	ServedBy string
	// MatchByPath means that requests are matched by host and path and need not name
	// a service.
	MatchByPath bool
	// AllowCloseDelimited allows close-delimited answers, whose body ends with the
	// connection. They count as complete unless the connection is reset.
	AllowCloseDelimited bool
	// Refuse writes a refusal to the caller.
	Refuse func(fctx *fasthttp.RequestCtx, refusal *keel.Refusal)
}

// DefaultDialect uses the Keel-* header fields and [WriteRefusal].
var DefaultDialect = &Dialect{
	RequestID:     HeaderRequestID,
	Timeout:       HeaderTimeout,
	ParseTimeout:  parseDuration,
	FormatTimeout: func(d time.Duration) string { return d.Round(time.Millisecond).String() },
	Leaving:       HeaderLeaving,
	RateLimit:     HeaderRateLimit,
	ServedBy:      HeaderServedBy,
	Refuse:        WriteRefusal,
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration", text)
	}
	return d, nil
}

// ParseMilliseconds parses a time limit in milliseconds, of at most an hour.
func ParseMilliseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n > maxTimeout.Milliseconds() {
		return 0, errors.Errorf("%q is not a number of milliseconds up to %d", text, maxTimeout.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

// FormatMilliseconds formats a time limit in milliseconds, rounded down but at
// least 1.
func FormatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
