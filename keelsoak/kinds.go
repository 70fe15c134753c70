package keelsoak

import "slices"

// faultKinds lists the kinds of faults. Processes get signals, connections of
// callers are degraded by proxies, and connections between instances are cut by
// the fault injection of the instances.
var faultKinds = []faultKind{
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
	{"configuration changes", false, []string{"a1"}, submitChange, nil},
}

func instances() []string { return slices.Concat(entries, voters) }

func endpoints() []string { return slices.Concat(galleryEndpoints, scoreEndpoints) }

func kill(w *writer, target string) { w.line("sigkill %s", target) }

func start(w *writer, target string) { w.line("start %s", target) }

func stop(w *writer, target string) {
	w.line("leave %s", target)
	w.line("exited %s", target)
}

func heal(w *writer, _ string) { w.line("heal") }

func command(name string) func(*writer, string) {
	return func(w *writer, target string) { w.line("%s %s", name, target) }
}

func degrade(mode string) func(*writer, string) {
	return func(w *writer, target string) { w.line("degrade %s %s", target, mode) }
}

func behave(behaviour string) func(*writer, string) {
	return func(w *writer, target string) { w.line("behave %s %s", target, behaviour) }
}

// submitChange submits a change, unless an open fault hits the target, another
// voter, or is exclusive. The cluster could then lack a working majority of
// voters or the target could fail to answer.
func submitChange(w *writer, target string) {
	if !w.canHit(target) || slices.ContainsFunc(w.open, func(f *fault) bool { return f.kind.exclusive }) {
		return
	}
	w.changes++
	w.line("changes %s 1 soak%d", target, w.changes)
}
