// Package keelsteer carries out the request path of an instance: it finds the
// selector of a request, chooses the failure domain, claims the key of an
// at-most-once request, waits for a slot of an endpoint, dispatches or forwards
// the request, and retries where the verdict allows it.
//
// The decisions are made in keelroute, keeladmit, keellookup, keelclaim and
// keelguard; [Engine] feeds these cores with what the instance knows, and acts
// on what they return. The package keeps nothing on disk and takes part in no
// agreement.
package keelsteer
