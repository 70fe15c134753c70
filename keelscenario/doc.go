// Package keelscenario adds commands to testscript that run scenarios against
// real processes.
//
// The commands start instances and stand-in endpoints as separate processes on
// loopback, cut and heal the connections between instances, kill, pause and
// stop processes, send load, and wait for a state in an instance's dump.
// [Params] returns the parameters for testscript; scenario/README.md lists the
// commands. The scripts themselves are in the scenario folder.
//
// No command waits for a state by sleeping for a fixed time: "until" and the
// commands like it poll the state, and fail after [WaitLimit].
package keelscenario
