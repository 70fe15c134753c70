package keelproxy

import "sync/atomic"

// Traffic counts the bytes that an instance receives and sends on connections of
// callers and to endpoints. The zero value is ready, and it is safe for concurrent
// use. A nil Traffic counts nothing.
type Traffic struct{ received, sent atomic.Int64 }

// Bytes returns the numbers of bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent int64) { return t.received.Load(), t.sent.Load() }

func (t *Traffic) addReceived(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}

func (t *Traffic) addSent(n int) {
	if t != nil {
		t.sent.Add(int64(n))
	}
}
