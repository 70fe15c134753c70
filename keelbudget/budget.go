// Package keelbudget divides the memory and the connections that a process may use among
// the clients that hold them.
//
// An account stands for one client: its connection and the request on it. What the account
// holds is charged to it before it is allocated. When there is no room, the account that
// holds much or that its client keeps waiting is evicted first; one whose request runs is
// never evicted, and one whose answer is sent only if its client does not read. A part of the
// memory is reserved for accounts that hold little, so that an ordinary request finds room
// however much the large ones hold.
//
// A [Budget] decides only. It reads no clock and closes no connection: an account has a
// function that does so.
package keelbudget

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoRoom is returned when nothing can be evicted for a charge or a connection.
var ErrNoRoom = errors.New("no room in the memory or connections of the process")

const (
	// OrdinaryBytes is the size up to which an account counts as ordinary.
	OrdinaryBytes = 64 << 10
	// Accounts that are not ordinary may hold largeDividend / largeDivisor of the memory
	// together.
	largeDividend, largeDivisor = 3, 4
	// overshootDivisor sets how far the limits may be exceeded by accounts that are evicted
	// and not yet closed.
	overshootDivisor = 4
	// minUnreadTime is how long a client that is being answered may pause.
	minUnreadTime = time.Second
	// minWait is added to the time that a client keeps its account waiting, so that the size
	// decides between clients that send.
	minWait = 250 * time.Millisecond
)

// Config configures a [Budget].
type Config struct {
	// Bytes is the memory that all accounts may hold together.
	Bytes int64
	// Connections limits the open connections.
	Connections int
}

// State is the phase of the request of an account.
type State int

// States of an account.
const (
	// Idle means that no request is in progress.
	Idle State = iota
	// Receiving means that the request is not complete and has not been passed on.
	Receiving
	// Running means that the request was passed on.
	Running
	// Answering means that the answer is being sent. The account may be evicted only while its
	// client has not read for minUnreadTime.
	Answering
)

// Budget is the memory and the connections of a process. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.Mutex // guards the fields of accounts, too
	accounts map[*Account]struct{}
	// held is what all accounts hold, and large what those hold that are not ordinary.
	// leaving and largeLeaving are the parts held by evicted accounts.
	held, large, leaving, largeLeaving int64
	connections                        int
	leavingConnections                 int
	evicted, refused                   uint64
}

// New returns a budget without accounts.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, accounts: make(map[*Account]struct{})}
}

// Account is what one client holds. Its methods do nothing after [Account.Close], and on a
// nil account.
type Account struct {
	budget     *Budget
	evict      func(State)
	connection bool
	state      State
	held       int64
	// waitsSince is since when the process waits for the client; zero if it doesn't.
	waitsSince time.Time
	evicted    bool
	closed     bool
}

// Open adds the account of a connection that holds a number of bytes. evict is called with its
// state when it has to give way; it must not block or call the budget, and is followed by Close.
// If nothing can give way, Open returns [ErrNoRoom].
func (b *Budget) Open(now time.Time, held int64, evict func(State)) (*Account, error) {
	if b == nil {
		return nil, nil
	}
	a := &Account{budget: b, evict: evict, connection: true, waitsSince: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connections >= b.cfg.Connections+b.cfg.Connections/overshootDivisor {
		b.refused++
		return nil, ErrNoRoom // until the evicted connections have been closed
	}
	for b.connections-b.leavingConnections >= b.cfg.Connections {
		victim := b.mostSilent(now)
		if victim == nil {
			b.refused++
			return nil, ErrNoRoom
		}
		b.evict(victim)
	}
	if !b.makeRoom(now, a, held) {
		b.refused++
		return nil, ErrNoRoom
	}
	b.connections++
	b.accounts[a] = struct{}{}
	b.add(a, held)
	return a, nil
}

// OpenRequest adds the account of a request that another instance passes on, which holds a
// number of bytes and is never evicted.
func (b *Budget) OpenRequest(now time.Time, held int64) (*Account, error) {
	if b == nil {
		return nil, nil
	}
	a := &Account{budget: b, state: Running}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(now, a, held) {
		b.refused++
		return nil, ErrNoRoom
	}
	b.accounts[a] = struct{}{}
	b.add(a, held)
	return a, nil
}

// Hold charges n bytes to the account. It returns [ErrNoRoom], without a charge, if the
// account itself has to give way, was evicted or is closed.
func (a *Account) Hold(now time.Time, n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.evicted || !b.makeRoom(now, a, n) {
		b.refused++
		return ErrNoRoom
	}
	b.add(a, n)
	return nil
}

// Adjust adds n bytes, which may be negative, that the account holds already. It can't fail:
// accounts whose clients don't read their answers give way, and others find less room.
func (a *Account) Adjust(now time.Time, n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.add(a, max(n, -a.held))
	for n > 0 && b.held-b.leaving > b.cfg.Bytes {
		victim := b.heaviestUnread(now)
		if victim == nil {
			return
		}
		b.evict(victim)
	}
}

// Release returns n bytes.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.budget.add(a, -min(n, a.held))
	}
}

// Held returns what the account holds.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// ReleaseTo returns what the account holds beyond n bytes.
func (a *Account) ReleaseTo(n int64) { a.Release(a.Held() - n) }

// SetState records the phase of the account's request, from now on.
func (a *Account) SetState(now time.Time, s State) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.state, a.waitsSince = s, now
}

// SetWaitsSince records since when the process waits for the client of the account.
func (a *Account) SetWaitsSince(t time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waitsSince = t
}

// Evicted reports whether the account had to give way.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close returns all that the account holds. Further calls do nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.add(a, -a.held)
	a.closed = true
	delete(b.accounts, a)
	if !a.connection {
		return
	}
	b.connections--
	if a.evicted {
		b.leavingConnections--
	}
}

// add changes what an account holds. The caller holds mu.
func (b *Budget) add(a *Account, n int64) {
	before := largePart(a.held)
	a.held += n
	change := largePart(a.held) - before
	b.held += n
	b.large += change
	if a.evicted {
		b.leaving += n
		b.largeLeaving += change
	}
}

// largePart returns held if it is not ordinary, and else 0.
func largePart(held int64) int64 {
	if held > OrdinaryBytes {
		return held
	}
	return 0
}

// evict marks an account as evicted and calls its function. The caller holds mu.
func (b *Budget) evict(a *Account) {
	a.evicted = true
	b.leaving += a.held
	b.largeLeaving += largePart(a.held)
	if a.connection {
		b.leavingConnections++
	}
	b.evicted++
	a.evict(a.state)
}

// makeRoom evicts accounts until a may hold n bytes more. It returns false if a itself has to
// give way, or nothing else can. The caller holds mu.
func (b *Budget) makeRoom(now time.Time, a *Account, n int64) bool {
	if n <= 0 {
		return true
	}
	limit, heldMost := b.cfg.Bytes, b.cfg.Bytes+b.cfg.Bytes/overshootDivisor
	grown := largePart(a.held+n) - largePart(a.held)
	if grown == 0 && b.held-b.large+n <= limit-limit/largeDivisor*largeDividend {
		return true // in the part that is reserved for ordinary accounts
	}
	if b.held+n > heldMost {
		return false // until the evicted accounts have been closed
	}
	for b.held-b.leaving+n > limit || grown > 0 && b.large-b.largeLeaving+grown > limit/largeDivisor*largeDividend {
		victim := b.heaviest(now, a, n, grown > 0)
		if victim == nil || victim == a {
			return false
		}
		b.evict(victim)
	}
	return true
}

// heaviest returns the account with the largest product of its size and the time that its
// client keeps it waiting, among those that may be evicted and a. With large, it returns none
// that is ordinary but for a. The caller holds mu.
func (b *Budget) heaviest(now time.Time, a *Account, n int64, large bool) *Account {
	worst, most := a, weight(now, a, a.held+n)
	for v := range b.accounts {
		if v == a || !v.evictable(now) || large && largePart(v.held) == 0 {
			continue
		}
		if w := weight(now, v, v.held); w > most {
			worst, most = v, w
		}
	}
	return worst
}

// heaviestUnread returns the account with the largest weight among those whose clients don't read
// their answers, or nil. The caller holds mu.
func (b *Budget) heaviestUnread(now time.Time) *Account {
	var worst *Account
	var most float64
	for v := range b.accounts {
		if v.state != Answering || !v.evictable(now) {
			continue
		}
		if w := weight(now, v, v.held); w > most {
			worst, most = v, w
		}
	}
	return worst
}

// mostSilent returns the account whose client keeps it waiting for the longest time, or nil.
// The caller holds mu.
func (b *Budget) mostSilent(now time.Time) *Account {
	var worst *Account
	var longest time.Duration
	for v := range b.accounts {
		if !v.connection || !v.evictable(now) || v.waitsSince.IsZero() {
			continue
		}
		if wait := now.Sub(v.waitsSince); worst == nil || wait > longest {
			worst, longest = v, wait
		}
	}
	return worst
}

// evictable reports whether the account may be evicted.
func (a *Account) evictable(now time.Time) bool {
	switch a.state {
	case Running:
		return false
	case Answering:
		return !a.evicted && !a.waitsSince.IsZero() && now.Sub(a.waitsSince) >= minUnreadTime
	}
	return !a.evicted
}

// weight returns how urgently an account that holds a number of bytes should give way.
func weight(now time.Time, a *Account, held int64) float64 {
	wait := minWait
	if !a.waitsSince.IsZero() {
		wait += max(0, now.Sub(a.waitsSince))
	}
	return float64(held) * wait.Seconds()
}

// Usage is what the accounts of a budget hold.
type Usage struct {
	// Held is the memory that is charged, in bytes, and Large the part of it that is held by
	// accounts which are not ordinary.
	Held  int64 `json:"held_bytes"`
	Large int64 `json:"large_bytes"`
	// Limit is the memory that may be held, in bytes.
	Limit int64 `json:"limit_bytes"`
	// Connections is the number of open connections, MaxConnections its limit.
	Connections    int `json:"connections"`
	MaxConnections int `json:"max_connections"`
	// Evicted is the number of accounts that had to give way so far, and Refused that of
	// charges and connections for which there was no room.
	Evicted uint64 `json:"evicted"`
	Refused uint64 `json:"refused"`
}

// Usage returns what the accounts hold now.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Held: b.held, Large: b.large, Limit: b.cfg.Bytes, Connections: b.connections, MaxConnections: b.cfg.Connections,
		Evicted: b.evicted, Refused: b.refused,
	}
}
