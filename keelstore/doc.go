// Package keelstore stores a voter's log, vote and snapshot in a data folder.
//
// Every write is synced to disk before it returns. If a write was interrupted,
// the incomplete record at the end of the log is truncated when the folder is
// opened. Any other damage is an error that names the file and the offset; it
// is never skipped. After a failed write or sync the store rejects every
// operation until the process restarts, so that a voter never acknowledges
// entries that may be lost. The file format is described in
// docs/design/storage-format.md.
//
// The package treats the content of entries as opaque bytes and does not repair
// damage.
package keelstore
