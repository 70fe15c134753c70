// Package keelsoak writes scripts of random faults for package keelscenario: real
// processes under load are killed, stopped, paused, cut off, and their
// connections are delayed, reset and silenced, in series that overlap. The same
// seed gives the same script.
package keelsoak
