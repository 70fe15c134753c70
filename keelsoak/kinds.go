package keelsoak

import "slices"

// kinds are the faults. Those of processes come from signals, those of callers'
// connections from proxies, those between instances from their filters.
var kinds = []kind{
	{"killed", false, instances(), kill, start},
	{"stopped in order", false, entries, stop, start},
	{"paused", true, instances(), command("pause"), command("resume")},
	{"cut off", true, instances(), command("cutrest"), heal},
	{"sends nothing", true, instances(), command("mute"), heal},
	{"delayed", false, proxies, degrade("delay 80ms"), degrade("pass")},
	{"reset", false, proxies, degrade("reset"), degrade("pass")},
	{"silent", false, proxies, degrade("silence"), degrade("pass")},
	{"one way", false, proxies, degrade("oneway"), degrade("pass")},
	{"slow", false, endpoints(), behave(`{"late":"300ms"}`), behave(`{}`)},
	{"sheds", false, endpoints(), behave(`{"shed":true}`), behave(`{}`)},
	{"breaks answers off", false, endpoints(), behave(`{"close_mid_body":true}`), behave(`{}`)},
	{"answers twice", false, endpoints(), behave(`{"answer_twice":true}`), behave(`{}`)},
	{"stalls", false, endpoints(), behave(`{"stall":true}`), behave(`{}`)},
	{"open connections go silent", false, endpoints(), behave(`{"silence_open":true}`), nil},
	{"configuration changes", false, []string{"a1"}, change, nil},
}

func instances() []string { return slices.Concat(entries, voters) }

func endpoints() []string { return slices.Concat(readers, payees) }

func kill(w *writer, on string) { w.line("sigkill %s", on) }

func start(w *writer, on string) { w.line("start %s", on) }

func stop(w *writer, on string) {
	w.line("leave %s", on)
	w.line("exited %s", on)
}

func heal(w *writer, _ string) { w.line("heal") }

func command(name string) func(*writer, string) {
	return func(w *writer, on string) { w.line("%s %s", name, on) }
}

func degrade(mode string) func(*writer, string) {
	return func(w *writer, on string) { w.line("degrade %s %s", on, mode) }
}

func behave(behaviour string) func(*writer, string) {
	return func(w *writer, on string) { w.line("behave %s %s", on, behaviour) }
}

// change submits a change if a majority of voters works, as far as faults hit
// them, and the one that takes it does.
func change(w *writer, on string) {
	if !w.allowed(on) || slices.ContainsFunc(w.open, func(f *fault) bool { return f.kind.alone }) {
		return
	}
	w.changes++
	w.line("changes %s 1 soak%d", on, w.changes)
}
