// Package keel defines the domain types of greengagekeel, a global traffic
// steering system, and the interfaces with more than one implementation.
//
// Four terms are used throughout the module. An instance is one process of the
// system. A failure domain is a set of instances and endpoints that can become
// unreachable together. A caller sends requests to an instance. An endpoint is a
// back end that runs requests; no part of the system runs on it.
//
// The package contains no steering logic and does no I/O apart from encoding and
// decoding. It imports no other package of the module. Types that are sent
// between processes have JSON and CBOR tags and a Check method, which
// [DecodeJSON] and [DecodeCBOR] call, so that every decoded value is valid.
package keel
