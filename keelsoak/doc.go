// Package keelsoak generates scripts of random faults for package keelscenario.
//
// In a script, processes under load are killed, stopped, paused and cut off, and
// their connections are delayed, reset and silenced, with faults that overlap.
// The same seed gives the same script. The package doesn't run the scripts; the
// tests of the scenario folder do.
package keelsoak
