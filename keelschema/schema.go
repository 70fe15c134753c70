// Package keelschema embeds the JSON Schemas of the files that people write.
// keelconfig generates them from the types, and a test there compares them.
package keelschema

import _ "embed"

// Settings is the JSON Schema of the settings of an instance.
//
//go:embed settings.json
var Settings []byte

// Declarations is the JSON Schema of declarations.
//
//go:embed declarations.json
var Declarations []byte
