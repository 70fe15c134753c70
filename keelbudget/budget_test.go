package keelbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagekeel/greengagekeel/keelbudget"
	"github.com/matryer/is"
)

const kb = 1 << 10

var start = time.Unix(1_000_000, 0)

// holder is an account that records whether it was evicted.
type holder struct {
	*keelbudget.Account
	evicted bool
}

func (h *holder) evict(keelbudget.State) { h.evicted = true }

func open(t *testing.T, b *keelbudget.Budget, now time.Time, held int64) *holder {
	t.Helper()
	h := &holder{}
	a, err := b.Open(now, held, h.evict)
	if err != nil {
		t.Fatal(err)
	}
	h.Account = a
	return h
}

// When there is no room, the account that holds most, or whose client is silent, gives way to
// others, and one whose request runs never does.
func TestWhoGivesWay(t *testing.T) {
	type account struct {
		held  int64
		state keelbudget.State
		// silent is how long its client has kept the process waiting; negative means that the
		// process does not wait.
		silent time.Duration
	}
	const sends = -time.Second
	tests := []struct {
		name     string
		accounts []account
		charge   int64 // for one more account, whose client sends
		evicted  []bool
		refused  bool
	}{
		{"room", []account{{100 * kb, keelbudget.Receiving, sends}}, 100 * kb, []bool{false}, false},
		{"largest", []account{{300 * kb, keelbudget.Receiving, sends}, {400 * kb, keelbudget.Receiving, sends}}, 200 * kb, []bool{false, true}, false},
		{"silent", []account{{300 * kb, keelbudget.Receiving, 2 * time.Second}, {400 * kb, keelbudget.Receiving, sends}}, 200 * kb, []bool{true, false}, false},
		{"itself", []account{{300 * kb, keelbudget.Receiving, sends}, {300 * kb, keelbudget.Receiving, sends}}, 400 * kb, []bool{false, false}, true},
		{"runs", []account{{700 * kb, keelbudget.Running, sends}}, 200 * kb, []bool{false}, true},
		{"ordinary beside those that run", []account{{700 * kb, keelbudget.Running, sends}}, 60 * kb, []bool{false}, false},
		{"answer that is not read", []account{{600 * kb, keelbudget.Answering, 2 * time.Second}, {300 * kb, keelbudget.Receiving, sends}}, 200 * kb, []bool{true, false}, false},
		{"answer that is read", []account{{600 * kb, keelbudget.Answering, 100 * time.Millisecond}, {300 * kb, keelbudget.Receiving, sends}}, 140 * kb, []bool{false, true}, false},
		{"ordinary in the reserve", []account{{60 * kb, keelbudget.Idle, time.Minute}, {1200 * kb, keelbudget.Running, sends}}, 60 * kb, []bool{false, false}, false},
		{"ordinary in place of an idle one", []account{
			{60 * kb, keelbudget.Idle, time.Minute}, {60 * kb, keelbudget.Running, sends}, {60 * kb, keelbudget.Running, sends}, {60 * kb, keelbudget.Running, sends}, {750 * kb, keelbudget.Running, sends},
		}, 60 * kb, []bool{true, false, false, false, false}, false},
		{"ordinary in place of a large one", []account{
			{300 * kb, keelbudget.Receiving, sends},
			{60 * kb, keelbudget.Receiving, sends},
			{60 * kb, keelbudget.Running, sends},
			{60 * kb, keelbudget.Running, sends},
			{60 * kb, keelbudget.Running, sends},
			{440 * kb, keelbudget.Running, sends},
		}, 60 * kb, []bool{true, false, false, false, false, false}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := keelbudget.New(keelbudget.Config{Bytes: 1000 * kb, Connections: 100})
			var all []*holder
			for _, a := range tt.accounts {
				h := open(t, b, start, 0)
				h.SetState(start, a.state)
				h.SetWaitsSince(time.Time{})
				if a.silent >= 0 {
					h.SetWaitsSince(start.Add(-a.silent))
				}
				h.Adjust(start, a.held)
				all = append(all, h)
			}
			h := open(t, b, start, 0)
			h.SetState(start, keelbudget.Receiving)
			h.SetWaitsSince(time.Time{})
			is.Equal(h.Hold(start, tt.charge) != nil, tt.refused)
			for i, want := range tt.evicted {
				is.Equal(all[i].evicted, want)
			}
			is.True(!h.evicted)
		})
	}
}

// At the limit of connections the one that was silent for the longest time gives way, and none
// whose request runs.
func TestConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	b := keelbudget.New(keelbudget.Config{Bytes: 1000 * kb, Connections: 4})
	var all []*holder
	for i := range 4 {
		all = append(all, open(t, b, start.Add(time.Duration(i)*time.Second), kb))
	}
	all[0].SetState(start, keelbudget.Running)
	open(t, b, start.Add(time.Minute), kb)
	is.True(!all[0].evicted)
	is.True(all[1].evicted)
	is.True(!all[2].evicted)
	for _, h := range all {
		h.SetState(start, keelbudget.Running)
		h.Close()
	}
	is.Equal(b.Usage().Connections, 1)
}

// However many large requests run, and however many wait, an ordinary one finds room.
func TestOrdinaryFindsRoom(t *testing.T) {
	is := is.New(t)
	b := keelbudget.New(keelbudget.Config{Bytes: 10_000 * kb, Connections: 1000})
	refused := 0
	for range 200 {
		h := open(t, b, start, 0)
		h.SetState(start, keelbudget.Receiving)
		if h.Hold(start, 300*kb) != nil {
			refused++
			h.Close()
			continue
		}
		h.SetState(start, keelbudget.Running)
	}
	is.True(refused > 0)
	for range 20 {
		h := open(t, b, start, 0)
		is.NoErr(h.Hold(start, 40*kb))
	}
}

// Whatever happens to accounts in whatever order, what they were charged is returned when they
// have been closed.
func TestAllIsReturned(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		b := keelbudget.New(keelbudget.Config{Bytes: 1000 * kb, Connections: 20})
		now := start
		var all []*holder
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
			if len(all) == 0 || rng.IntN(4) == 0 {
				h := &holder{}
				a, err := b.Open(now, int64(rng.IntN(20*kb)), h.evict)
				if err == nil {
					h.Account = a
					all = append(all, h)
				}
				continue
			}
			i := rng.IntN(len(all))
			h := all[i]
			switch rng.IntN(7) {
			case 0:
				_ = h.Hold(now, int64(rng.IntN(300*kb))) // it may have to give way
			case 1:
				h.Release(int64(rng.IntN(300 * kb)))
			case 2:
				h.ReleaseTo(int64(rng.IntN(100 * kb)))
			case 3:
				h.Adjust(now, int64(rng.IntN(100*kb)-50*kb))
			case 4:
				h.SetState(now, keelbudget.State(rng.IntN(4)))
			case 5:
				h.SetWaitsSince(now.Add(-time.Duration(rng.IntN(5)) * time.Second))
			case 6:
				h.Close()
				h.Close()
				all = append(all[:i], all[i+1:]...)
			}
			u := b.Usage()
			is.True(u.Held >= 0)
			is.True(u.Large >= 0)
			is.True(u.Large <= u.Held)
		}
		for _, h := range all {
			h.Close()
		}
		u := b.Usage()
		is.Equal(u.Held, int64(0))
		is.Equal(u.Large, int64(0))
		is.Equal(u.Connections, 0)
		is.NoErr(open(t, b, now, 0).Hold(now, 700*kb)) // nothing counts as leaving any more
	}
}

// An account that may have no budget can be used as well.
func TestNoBudget(t *testing.T) {
	is := is.New(t)
	var b *keelbudget.Budget
	a, err := b.Open(start, kb, nil)
	is.NoErr(err)
	is.NoErr(a.Hold(start, 1<<40))
	a.SetState(start, keelbudget.Running)
	a.Close()
	is.Equal(b.Usage(), keelbudget.Usage{})
}

func TestShareOf(t *testing.T) {
	is := is.New(t)
	is.Equal(keelbudget.ShareOf(200<<20, 2870), keelbudget.Share{Bytes: 40 << 20, Clients: 1148, Endpoints: 1148})
	is.Equal(keelbudget.ShareOf(0, 100).Bytes, int64(keelbudget.DefaultMemory)/5)
	is.True(keelbudget.Descriptors() > 10)
}
