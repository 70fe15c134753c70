// Package keelrole assembles an instance in one of two roles. Both discover other
// instances through seeds.
//
// [Entry] accepts callers' requests and sends them directly to endpoints. It stores
// nothing on disk and follows the replicated state. [Control] is a voter that keeps
// that state and accepts announcements of endpoints and declarations of operators.
package keelrole
