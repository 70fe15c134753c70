package keeldeclare

import (
	"math"
	"sync"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/zeebo/xxh3"
)

const (
	// maxListSites is the number of sites that one block may prefer.
	maxListSites = 8
	// maxSites is the number of sites that can be declared. Numbers above it
	// are left for the names of deleted sites.
	maxSites = 50_000
	// maxSiteNumbers is the number of names at which unused ones are dropped.
	maxSiteNumbers = 60_000
	// minListsToCompact is the number of lists below which unused ones are
	// left alone.
	minListsToCompact = 4096
)

// siteList holds the numbers of up to eight sites; 0 ends a shorter list.
type siteList [maxListSites]uint16

// siteLists gives every distinct list of sites a number. It only grows, and
// several versions of a table share it.
type siteLists struct {
	mu      sync.RWMutex
	names   []keel.SiteName
	numbers map[keel.SiteName]uint16
	lists   []siteList
	ids     map[siteList]ListID
	settled int // lists at the last compaction
}

func newSiteLists() *siteLists {
	return &siteLists{
		names:   []keel.SiteName{""}, // number 0 means none
		numbers: map[keel.SiteName]uint16{},
		ids:     map[siteList]ListID{},
		settled: minListsToCompact,
	}
}

// intern returns the number of the list. Sites beyond the limits of a list are
// dropped; checked declarations have none.
func (l *siteLists) intern(sites []keel.SiteName) ListID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var key siteList
	for i, s := range sites {
		if i < maxListSites {
			key[i] = l.number(s)
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

func (l *siteLists) number(s keel.SiteName) uint16 {
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

// named returns the lists so far.
func (l *siteLists) named() namedLists {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return namedLists{names: l.names, lists: l.lists}
}

// due reports whether the lists have doubled since the last compaction, or the
// numbers for sites run out.
func (l *siteLists) due() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.lists) > 2*l.settled || len(l.names) > maxSiteNumbers
}

func (l *siteLists) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled = max(len(l.lists), minListsToCompact)
}

// sitesHash hashes the names, each with an end mark that no name contains.
func sitesHash(sites []keel.SiteName) uint64 {
	buf := make([]byte, 0, maxListSites*16)
	for _, s := range sites {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	return xxh3.Hash(buf)
}
