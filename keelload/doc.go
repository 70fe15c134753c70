// Package keelload sends requests to instances and checks every answer.
//
// It behaves as a caller should: it looks up instances, keeps the answer until
// it expires, and sends a request again only where that is safe. Its requests
// are for stand-in endpoints, whose answers prove whom they are for. The tally
// tells answers, refusals by verdict, lost answers and wrong answers apart.
package keelload
