// Package keelinstance assembles one instance from the other packages. It opens
// the listeners, wires the components together, runs them as one group that
// stops together, and drains the instance at a planned stop.
//
// Decisions about requests and declarations are made by the packages that it
// wires together, not here.
package keelinstance
