package keel

// SnapshotReader is implemented by a [Storage] that can read parts of its
// snapshot. A voter can then send the snapshot to another voter without holding it
// in memory.
type SnapshotReader interface {
	// ReadSnapshot fills p with the data of the stored snapshot, starting at
	// offset bytes. It fails if the stored snapshot is not that of the entry at
	// index, or if it ends before p is full.
	ReadSnapshot(index, offset uint64, p []byte) error
}
