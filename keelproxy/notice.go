package keelproxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Notice is what an endpoint says in an answer about the requests that it wants.
type Notice struct {
	// Leaving is whether the endpoint leaves and wants no further requests.
	Leaving bool
	// RetryAfter is how long the endpoint wants no requests from this instance; 0 means
	// that it did not say so. Only an answer with status 503 has it.
	RetryAfter time.Duration
	// Limited is whether the endpoint limits the rate of requests from all instances
	// together, and RateLimit the rate in requests per second, or [UnknownRate].
	Limited   bool
	RateLimit float64
}

// UnknownRate is the rate of an endpoint that names a limit which can't be read.
const UnknownRate = -1

// maxRetryAfter limits the wait that an endpoint can request.
const maxRetryAfter = time.Hour

// notice returns the notice in the header of an answer.
func (d *Dialect) notice(resp *fasthttp.Response) Notice {
	var n Notice
	if d.Leaving != "" {
		n.Leaving = string(resp.Header.Peek(d.Leaving)) == "1"
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		n.RetryAfter = parseRetryAfter(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	}
	if text := resp.Header.Peek(d.RateLimit); d.RateLimit != "" && text != nil {
		n.Limited, n.RateLimit = true, parseRate(string(text))
	}
	return n
}

// parseRate parses a rate in requests per second.
func parseRate(text string) float64 {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return UnknownRate
	}
	return rate
}

// parseRetryAfter parses a number of seconds, which may have a fraction. It returns 0 for
// a date and for malformed values, which endpoints must not send.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
