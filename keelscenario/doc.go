// Package keelscenario is a small language for scripted scenarios.
//
// Scripts are those of testscript, with commands that start instances and
// stand-in endpoints as processes of their own on loopback, cut and heal the
// connections between instances, kill, pause and stop processes, send load, and
// wait for a state in an instance's dump. [Params] gives the commands to
// testscript; scenario/README.md lists them.
//
// Nothing sleeps to wait for another part: "until" asks for the state again
// until it is there, and fails after [WaitLimit].
package keelscenario
