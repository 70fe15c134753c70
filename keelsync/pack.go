package keelsync

import (
	"sync"

	"github.com/greengagekeel/greengagekeel/keelworld"
)

const (
	// minSnapshotLag is the least number of bytes of entries after which a packed
	// snapshot is replaced. A follower that received the snapshot gets them next.
	minSnapshotLag = 64 << 10
	// maxPackedEntries is the number of large entries that are kept packed.
	maxPackedEntries = 8
)

// packer holds the blobs that were packed last. A blob is packed once, however
// many followers lack it, and kept while followers receive its parts.
type packer struct {
	mu sync.Mutex
	// snapshot is the current packed snapshot, and previous the one before it,
	// which followers may still be receiving.
	snapshot, previous *blob
	// packedAt is the value of stateMachine.entryBytes when snapshot was packed.
	packedAt uint64
	// entries are the large entries that were packed last, oldest first.
	entries []*blob
}

// find returns the blob with an ID, or nil.
func (p *packer) find(id blobID) *blob {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range append([]*blob{p.snapshot, p.previous}, p.entries...) {
		if b != nil && b.id == id {
			return b
		}
	}
	return nil
}

// packEntry returns the blob that holds one entry.
func (p *packer) packEntry(e entry) (*blob, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.entries {
		if b.id.Index == e.Index {
			return b, nil
		}
	}
	b, err := newBlob(e.Index, &feedContent{Entries: []entry{e}})
	if err != nil {
		return nil, err
	}
	if len(p.entries) == maxPackedEntries {
		p.entries = p.entries[1:]
	}
	p.entries = append(p.entries, b)
	return b, nil
}

// packSnapshot returns a packed snapshot after which a follower can go on with the
// kept entries. The snapshot is made anew once the entries that follow it are
// larger than the snapshot itself.
func (m *stateMachine) packSnapshot() (*blob, error) {
	p := &m.packer
	p.mu.Lock()
	defer p.mu.Unlock()
	sn, entryBytes := m.snapshotUnless(p.isCurrent)
	if sn == nil {
		return p.snapshot, nil
	}
	b, err := newBlob(sn.Index, &feedContent{Snapshot: sn})
	if err != nil {
		return nil, err
	}
	p.previous, p.snapshot, p.packedAt = p.snapshot, b, entryBytes
	return b, nil
}

// isCurrent reports whether the packed snapshot can be sent, given the index of
// the entry before the first kept one, the current index and entryBytes. The
// caller holds mu.
func (p *packer) isCurrent(recentBase, index, entryBytes uint64) bool {
	if p.snapshot == nil || p.snapshot.id.Index < recentBase || p.snapshot.id.Index > index {
		return false
	}
	return entryBytes-p.packedAt <= max(minSnapshotLag, uint64(len(p.snapshot.data)))
}

// snapshotUnless returns a snapshot of the state unless isCurrent returns true,
// and the value of entryBytes at that time.
func (m *stateMachine) snapshotUnless(isCurrent func(recentBase, index, entryBytes uint64) bool) (*keelworld.Snapshot, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if isCurrent(m.recentBase, m.state.Index(), m.entryBytes) {
		return nil, m.entryBytes
	}
	return m.state.Snapshot(), m.entryBytes
}
