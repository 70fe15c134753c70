package keelsoak

import "slices"

// kinds are the faults. Those of processes come from signals, those of callers'
// connections from proxies, those between instances from their filters.
var kinds = []kind{
	{"killed", instances(), kill, start},
	{"stopped in order", entries, stop, start},
	{"paused", instances(), command("pause"), command("resume")},
	{"cut off", instances(), command("cutrest"), heal},
	{"sends nothing", instances(), command("mute"), heal},
	{"delayed", proxies, degrade("delay 80ms"), degrade("pass")},
	{"reset", proxies, degrade("reset"), degrade("pass")},
	{"silent", proxies, degrade("silence"), degrade("pass")},
	{"one way", proxies, degrade("oneway"), degrade("pass")},
	{"slow", endpoints(), behave(`{"late":"300ms"}`), behave(`{}`)},
	{"sheds", endpoints(), behave(`{"shed":true}`), behave(`{}`)},
	{"breaks answers off", endpoints(), behave(`{"close_mid_body":true}`), behave(`{}`)},
	{"answers twice", endpoints(), behave(`{"answer_twice":true}`), behave(`{}`)},
	{"stalls", endpoints(), behave(`{"stall":true}`), behave(`{}`)},
	{"open connections go silent", endpoints(), behave(`{"silence_open":true}`), nil},
	{"configuration changes", []string{"a1"}, change, nil},
}

func instances() []string { return slices.Concat(entries, voters) }

func endpoints() []string { return slices.Concat(readers, payees) }

func kill(w *writer, on string) { w.line("sigkill %s", on) }

func start(w *writer, on string) { w.line("start %s", on) }

func stop(w *writer, on string) {
	w.line("leave %s", on)
	w.line("exited %s", on)
}

// heal ends all cuts, and makes those that should go on anew.
func heal(w *writer, _ string) {
	w.line("heal")
	for _, f := range w.open {
		if f.kind.name == "cut off" || f.kind.name == "sends nothing" {
			f.kind.begin(w, f.on)
		}
	}
}

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
	if !w.allowed(on) {
		return
	}
	w.changes++
	w.line("changes %s 1 soak%d", on, w.changes)
}
