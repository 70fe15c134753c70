// Package keelinstance assembles one instance out of the other packages: it
// opens the ports, connects the parts, runs them as one group that stops
// together, and leaves in order at a planned stop.
//
// It makes no decision about requests or declarations itself.
package keelinstance
