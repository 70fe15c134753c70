// Package keel holds the domain types of greengagekeel, a global traffic
// steering system, and the interfaces of every behaviour that has more than one
// implementation.
//
// The words instance, failure domain, caller and endpoint have fixed meanings.
// An instance is one process of the system. A failure domain is a set of
// instances and endpoints that can be cut off together. A caller sends requests
// to an instance. An endpoint is a back end that runs requests; nothing of the
// system runs on it.
//
// The package makes no decision and does no input or output, apart from
// encoding and decoding. It depends on no other package of the module. Types
// that travel between processes carry their JSON and CBOR tags and have a
// method Check; [DecodeJSON] and [DecodeCBOR] call it, so that a decoded value
// is a valid value.
package keel
