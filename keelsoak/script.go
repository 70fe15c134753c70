package keelsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Config selects a script.
type Config struct {
	// Seed seeds the random choice of faults.
	Seed uint64
	// Faults is the number of faults in the script.
	Faults int
}

// Script returns the script of a seed. Its first line names the seed. After all
// faults have ended, the script checks that every instance and load works again
// and that the answers and verdicts which callers received were right.
func Script(cfg Config) string {
	w := &writer{random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), remaining: cfg.Faults}
	w.line("# Soak with seed %d, %d faults.", cfg.Seed, cfg.Faults)
	w.writeSetup()
	for w.remaining > 0 || len(w.open) > 0 {
		w.step()
	}
	w.writeFinalChecks()
	return w.text.String()
}

// Instances of keelscenario's cluster "regions", and the proxies and endpoints
// that the script adds. The entry instances are not voters, so that a fault at
// one of them leaves the majority of voters intact.
var (
	entries = []string{"a2", "a3"}
	voters  = []string{"a1", "b1", "t1"}
	proxies = []string{"pa2", "pa3", "pb1"}
	// galleryEndpoints serve pages, scoreEndpoints run each request at most once.
	galleryEndpoints = []string{"g1", "g2", "g3"}
	scoreEndpoints   = []string{"s1", "s2"}
)

// maxOpenFaults is the number of faults that may overlap. No two of them have the
// same target, so that callers can always reach a working instance.
const maxOpenFaults = 3

// writer generates a script.
type writer struct {
	text   strings.Builder
	random *rand.Rand
	// remaining is the number of faults that have yet to begin.
	remaining int
	// open lists the faults that have begun and not ended.
	open []*fault
	// changes is the number of changes submitted so far.
	changes int
}

// fault is a fault with its target.
type fault struct {
	kind faultKind
	// target is the instance, proxy or endpoint that the fault hits.
	target string
}

// faultKind describes a kind of fault.
type faultKind struct {
	name string
	// exclusive faults don't overlap with each other: a paused process doesn't
	// answer the requests that set and remove cuts.
	exclusive bool
	// targets lists what a fault of this kind may hit.
	targets []string
	// begin and end write the commands that start and end the fault. A nil end
	// means that nothing has to be undone.
	begin, end func(w *writer, target string)
}

func (w *writer) line(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

// writeSetup writes the commands that start the cluster, endpoints and loads.
func (w *writer) writeSetup() {
	w.line("cluster regions")
	for i, e := range galleryEndpoints {
		w.line("endpoint %s gallery %s slots=4", e, []string{"dakar-a", "dakar-b", "thies-a"}[i])
	}
	for _, e := range scoreEndpoints {
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

// step begins a fault, ends one, or waits for the progress of a load.
func (w *writer) step() {
	switch n := w.random.IntN(4); {
	case n < 2 && w.remaining > 0 && len(w.open) < maxOpenFaults:
		w.beginFault()
	case n == 2 && len(w.open) > 0 || w.remaining == 0:
		w.endFault(w.random.IntN(max(len(w.open), 1)))
	default:
		w.line("progress pages %d", 10+w.random.IntN(40))
	}
}

// beginFault begins a fault of a random kind on a random permitted target. It
// does nothing if the kind or all its targets are excluded by open faults.
func (w *writer) beginFault() {
	k := faultKinds[w.random.IntN(len(faultKinds))]
	if k.exclusive && slices.ContainsFunc(w.open, func(f *fault) bool { return f.kind.exclusive }) {
		return
	}
	var free []string
	for _, t := range k.targets {
		if w.canHit(t) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return
	}
	w.remaining--
	f := &fault{kind: k, target: free[w.random.IntN(len(free))]}
	w.line("# %s: %s begins", k.name, f.target)
	k.begin(w, f.target)
	if k.end != nil {
		w.open = append(w.open, f)
	}
}

// canHit reports whether a fault may hit a target beside the open faults: at most
// one entry instance, one voter and one endpoint of each service at a time.
func (w *writer) canHit(target string) bool {
	for _, f := range w.open {
		for _, group := range [][]string{entries, voters, galleryEndpoints, scoreEndpoints} {
			if slices.Contains(group, target) && slices.Contains(group, f.target) {
				return false
			}
		}
		if f.target == target {
			return false
		}
	}
	return true
}

// endFault ends the open fault at an index, if any fault is open.
func (w *writer) endFault(i int) {
	if len(w.open) == 0 {
		return
	}
	f := w.open[i]
	w.open = slices.Delete(w.open, i, i+1)
	w.line("# %s: %s ends", f.kind.name, f.target)
	f.kind.end(w, f.target)
}

// writeFinalChecks writes the commands that check that everything works again.
func (w *writer) writeFinalChecks() {
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
