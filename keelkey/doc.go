// Package keelkey creates and loads the keys that instances use to authenticate
// each other.
//
// An authority is a self-signed certificate of the organisation that runs the
// instances. It issues one certificate to every instance, with the instance's
// name as common name and, if given, its failure domain as organisational unit.
// [Load] reads the keys of one instance from a folder. [Keys] returns the TLS
// settings for both sides of a connection, which authenticate each other.
// [Keys.Run] reads the folder again when a file changes, so that keys can be
// replaced without a restart. All authorities in authority.crt are trusted.
//
// The package has no list of revoked certificates. An instance loses access when
// the authority is replaced or when its certificate expires.
package keelkey
