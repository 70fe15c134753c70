package keeldeclare

import (
	"math"
	"sync"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

const (
	// maxListSites is the largest number of sites of one block.
	maxListSites = 8
	// maxSites is the largest number of declared sites. The numbers above it
	// are reserved for the names of deleted sites.
	maxSites = 50_000
	// maxSiteNumbers is the number of site names, in use or not, above which
	// unused ones are dropped.
	maxSiteNumbers = 60_000
	// minListsToCompact is the number of lists below which unused ones are not
	// dropped.
	minListsToCompact = 4096
)

// siteList holds the numbers of up to eight sites. A shorter list is padded
// with 0.
type siteList [maxListSites]uint16

// siteLists assigns an ID to every distinct list of sites. It is shared by
// several versions of a table and only ever grows; see [Blocks.compacted].
type siteLists struct {
	mu               sync.RWMutex
	names            []keel.SiteName
	numbers          map[keel.SiteName]uint16
	lists            []siteList
	ids              map[siteList]ListID
	sizeAtCompaction int // number of lists at the last compaction
}

func newSiteLists() *siteLists {
	return &siteLists{
		names:            []keel.SiteName{""}, // number 0 is the padding of a list
		numbers:          map[keel.SiteName]uint16{},
		ids:              map[siteList]ListID{},
		sizeAtCompaction: minListsToCompact,
	}
}

// intern returns the ID of the list. Sites beyond the limit of a list are
// dropped, which can't happen with declarations that were checked.
func (l *siteLists) intern(sites []keel.SiteName) ListID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var key siteList
	for i, s := range sites {
		if i < maxListSites {
			key[i] = l.siteNumber(s)
		}
	}
	if id, ok := l.ids[key]; ok {
		return id
	}
	id := ListID(len(l.lists))
	l.lists = append(l.lists, key)
	l.ids[key] = id
	return id
}

func (l *siteLists) siteNumber(s keel.SiteName) uint16 {
	if n, ok := l.numbers[s]; ok {
		return n
	}
	if len(l.names) > math.MaxUint16 {
		return 0
	}
	n := uint16(len(l.names))
	l.names = append(l.names, s)
	l.numbers[s] = n
	return n
}

// view returns a view of the current lists.
func (l *siteLists) view() siteListView {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return siteListView{names: l.names, lists: l.lists}
}

// needsCompaction reports whether the number of lists has doubled since the
// last compaction, or the site numbers are about to run out.
func (l *siteLists) needsCompaction() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.lists) > 2*l.sizeAtCompaction || len(l.names) > maxSiteNumbers
}

// markCompacted records the number of lists after a compaction.
func (l *siteLists) markCompacted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizeAtCompaction = max(len(l.lists), minListsToCompact)
}

// sitesHash returns the hash of the names, each terminated by a zero byte,
// which no name contains.
func sitesHash(sites []keel.SiteName) uint64 {
	buf := make([]byte, 0, maxListSites*16)
	for _, s := range sites {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	return xxh3.Hash(buf)
}
