// Package keelexamples holds the example declarations, so that the program can
// show them without files beside it.
package keelexamples

import "embed"

// Files holds the folders of example declarations and settings.
//
//go:embed demo
var Files embed.FS
