// Package keelload sends requests to instances and checks every answer.
//
// It behaves as a caller should: it looks up instances, caches the answer until
// it expires, and sends a request again only where that is safe. Its requests
// go to stand-in endpoints, whose answers identify the request that they belong
// to. The tally counts answers, refusals by verdict, lost answers and wrong
// answers separately. The package is for tests, scenarios and benchmarks; it
// does not limit the request rate.
package keelload
