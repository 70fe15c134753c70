// Package keelconfig reads the settings of one instance from a JSON file.
//
// Settings say what an instance is and where it listens. What the system does
// with traffic stands in the declarations, never here. [Load] reports every
// fault with its file and field. The JSON Schemas of settings and declarations
// are generated from the types by [SettingsSchema] and [DeclarationsSchema].
package keelconfig

//go:generate go test . -run TestSchemas -update
