package keelsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Config says how long a script is.
type Config struct {
	// Seed chooses the faults.
	Seed uint64
	// Faults is how many begin.
	Faults int
}

// Script returns the script of a seed. It begins with a line that names the
// seed. When all faults have ended, it demands that everything works again and
// that callers were told the truth.
func Script(cfg Config) string {
	w := &writer{random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), budget: cfg.Faults}
	w.line("# Soak with seed %d, %d faults.", cfg.Seed, cfg.Faults)
	w.begin()
	for w.budget > 0 || len(w.open) > 0 {
		w.step()
	}
	w.end()
	return w.text.String()
}

// The deployment of keelscenario's cluster "regions". Entries are no voters, so
// that a majority of voters goes on if one of them is hit.
var (
	entries = []string{"a2", "a3"}
	voters  = []string{"a1", "b1", "t1"}
	proxies = []string{"pa2", "pa3", "pb1"}
	// readers are endpoints that serve pages, payees those that run each
	// request once.
	readers = []string{"g1", "g2", "g3"}
	payees  = []string{"s1", "s2"}
)

// mostOpen is how many faults overlap at most. Each hits another thing, so that
// callers can always reach an instance that works.
const mostOpen = 3

type writer struct {
	text   strings.Builder
	random *rand.Rand
	budget int
	// open are the faults that have begun, changes counts changes.
	open    []*fault
	changes int
}

// fault is a fault that has begun.
type fault struct {
	kind kind
	// on is what it hits.
	on string
}

// kind is one kind of fault.
type kind struct {
	name string
	// alone keeps it from overlapping with others that are alone: a paused
	// process can't be told of cuts.
	alone bool
	// targets are what it may hit; two faults never hit the same.
	targets []string
	// begin and end write the commands.
	begin, end func(w *writer, on string)
}

func (w *writer) line(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

func (w *writer) begin() {
	w.line("cluster regions")
	for i, e := range readers {
		w.line("endpoint %s gallery %s slots=4", e, []string{"dakar-a", "dakar-b", "thies-a"}[i])
	}
	for _, e := range payees {
		w.line("endpoint %s score dakar-a slots=4", e)
	}
	w.line("until a1 steering.endpoints.len == 3")
	w.line("until a2 steering.endpoints.len == 3")
	w.line("until a3 steering.endpoints.len == 3")
	for _, p := range proxies {
		w.line("proxy %s %s", p, strings.TrimPrefix(p, "p"))
	}
	w.line("load pages gallery answer=2000 delay=5ms callers=4 timeout=2s")
	w.line("load paid score method=POST body=200 answer=100 keyed=ticket callers=3 sends=20 timeout=3s")
	w.line("load through gallery answer=1000 delay=5ms callers=3 timeout=1s sends=1 at=%s", strings.Join(proxies, ","))
	w.line("load posts gallery method=POST path=/entries body=3000 pace=100ms callers=2 sends=1 timeout=3s")
	w.line("progress pages 40")
	w.line("progress paid 5")
}

// step begins a fault, ends one, or lets the load go on.
func (w *writer) step() {
	switch n := w.random.IntN(4); {
	case n < 2 && w.budget > 0 && len(w.open) < mostOpen:
		w.strike()
	case n == 2 && len(w.open) > 0 || w.budget == 0:
		w.repair(w.random.IntN(max(len(w.open), 1)))
	default:
		w.line("progress pages %d", 10+w.random.IntN(40))
	}
}

// strike begins a fault on something that no other one hits.
func (w *writer) strike() {
	k := kinds[w.random.IntN(len(kinds))]
	if k.alone && slices.ContainsFunc(w.open, func(f *fault) bool { return f.kind.alone }) {
		return
	}
	var free []string
	for _, t := range k.targets {
		if w.allowed(t) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return
	}
	w.budget--
	f := &fault{kind: k, on: free[w.random.IntN(len(free))]}
	w.line("# %s: %s begins", k.name, f.on)
	k.begin(w, f.on)
	if k.end != nil {
		w.open = append(w.open, f)
	}
}

// allowed reports whether something may be hit beside the open faults: one
// entry instance, one voter, and one endpoint of each service at a time.
func (w *writer) allowed(target string) bool {
	for _, f := range w.open {
		for _, group := range [][]string{entries, voters, readers, payees} {
			if slices.Contains(group, target) && slices.Contains(group, f.on) {
				return false
			}
		}
		if f.on == target {
			return false
		}
	}
	return true
}

func (w *writer) repair(i int) {
	if len(w.open) == 0 {
		return
	}
	f := w.open[i]
	w.open = slices.Delete(w.open, i, i+1)
	w.line("# %s: %s ends", f.kind.name, f.on)
	f.kind.end(w, f.on)
}

// end demands that all works again.
func (w *writer) end() {
	w.line("heal")
	w.line("changes a1 1 last")
	for _, name := range slices.Concat(entries, voters) {
		w.line("until %s version >= $version", name)
	}
	w.line("progress pages 40")
	w.line("progress paid 5")
	w.line("progress through 20")
	loads := []string{"pages", "paid", "through", "posts"}
	for _, l := range loads {
		w.line("loadstop %s", l)
	}
	for _, l := range loads {
		w.line("tally %s wrong == 0", l)
		w.line("verify %s", l)
	}
}
