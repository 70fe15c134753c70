// Package keelexamples embeds the example declarations for the demo, so that the
// program runs it without files on disk.
package keelexamples

import "embed"

// Files holds the folder of the demo example.
//
//go:embed demo
var Files embed.FS
