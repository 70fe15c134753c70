// Package keelkey makes and loads the keys by which instances know each other.
//
// An authority is a self-signed certificate of the organisation that runs the
// instances. It issues one certificate to every instance, with the instance's
// name as common name and its failure domain as organisational unit. [Load]
// reads the keys of one instance from a folder and offers TLS settings for both
// sides of a connection, in which each side proves its name. [Keys.Run] reads
// the folder again when a file changes, so that keys are replaced without a
// restart; several authorities in authority.crt are all trusted.
//
// The package has no list of revoked certificates. An instance is shut out by
// replacing the authority, or by the end of its certificate's validity.
package keelkey
