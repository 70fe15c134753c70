package keel

// SnapshotReader is a [Storage] that reads parts of its snapshot, so that a
// voter which sends it to another one need not keep it in memory.
type SnapshotReader interface {
	// ReadSnapshot fills p with the data of the stored snapshot from an
	// offset in bytes on. It fails if the stored snapshot is not that of the
	// entry at index or ends before p is full.
	ReadSnapshot(index, offset uint64, p []byte) error
}
