// Package keelstore keeps a voter's log, vote and snapshot in a data folder.
//
// Every write is synced before it returns. A write that the process did not
// survive is cut off at the last whole record when the folder is opened; any
// other damage is refused with the file and the offset and is never skipped.
// After a failed write or sync the store refuses everything until the process
// restarts, so that a voter steps aside rather than acknowledge what may be
// lost. The files are described in docs/design/storage-format.md.
//
// The package doesn't know what the entries mean and repairs no damage.
package keelstore
