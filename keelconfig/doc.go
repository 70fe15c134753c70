// Package keelconfig reads the settings of one instance from a JSON file.
//
// Settings identify an instance and name the addresses that it listens on. How
// the system steers traffic is defined by the declarations, never by settings.
// [Load] reports every fault with its file and field. The JSON Schemas of
// settings and declarations are generated from the types by [SettingsSchema] and
// [DeclarationsSchema].
//
// There are two kinds of settings: [Load] reads those of an instance that has
// keys and a list of instances to join, and [LoadSteer] reads those of one that
// discovers the others through seeds.
package keelconfig

//go:generate go test . -run TestSchemas -update
