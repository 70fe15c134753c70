// Package keelentry handles the requests of callers at an entry instance, which
// sends them directly to endpoints.
//
// A [Runner] matches a request to its route, has [keelplace] choose an endpoint,
// and sends the request there. It returns the answer, retries at another endpoint
// if the request has not run or may run twice, or returns a refusal with its
// verdict. The connections of callers and endpoints are handled by [keelproxy].
package keelentry
