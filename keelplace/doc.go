// Package keelplace chooses endpoints for requests that are sent straight from
// the entry instance that took them.
//
// Each entry instance has a [Pool] for each service. A pool tracks the announced
// endpoints, the instance's own requests in flight, and the load that endpoints
// report with their answers. The package only makes decisions: the current time
// is an argument, and it sends nothing and does no I/O. Its types are not safe
// for concurrent use.
package keelplace
