// Package keelstandin provides a stand-in endpoint for demonstrations and tests.
//
// It announces itself like a real endpoint, answers every request with the
// request's own token, a checksum of the body that it received and a body that
// depends on the token, and counts how often each key and token ran. Its
// behaviour can be made faulty while it runs. It stores nothing and does no
// real work.
package keelstandin
