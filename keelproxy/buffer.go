package keelproxy

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/greengagekeel/greengagekeel/keelbudget"
)

// minBufferBytes is the size with which the buffer of a body starts.
const minBufferBytes = 4 << 10

// streamBytes is what is charged for a body that is streamed to an endpoint: what the kernel
// holds of it while the endpoint does not read.
const streamBytes = 2 * sendBufferBytes

// BufferBody reads the body into memory, so that it can be sent again, and charges what it
// holds. If the body has more than limit bytes, it returns false, and r.Body still reads all
// of it. The error is that of reading the body; [BodyRefusal] returns the refusal for it. The
// end of ctx interrupts the reading.
func (r *Request) BufferBody(ctx context.Context, limit int) (body []byte, whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { Interrupt(r.Body) })
	defer stop()
	size := limit + 1
	if r.ContentLength >= 0 {
		size = int(min(r.ContentLength, int64(size)))
	}
	var buf []byte
	for end := false; !end && len(buf) < size; {
		if len(buf) == cap(buf) {
			if buf, err = r.grow(buf, size); err != nil {
				return nil, false, err
			}
		}
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end = CleanEnd(err)
		if err != nil && !end {
			return nil, false, err
		}
	}
	if len(buf) > limit {
		r.Body = &startedBody{start: bytes.NewReader(buf), rest: r.Body, account: r.account, held: int64(cap(buf))}
		return nil, false, nil
	}
	if r.ContentLength >= 0 && int64(len(buf)) < r.ContentLength {
		return nil, false, io.ErrUnexpectedEOF
	}
	return buf, true, nil
}

// grow doubles the capacity of a buffer, up to size.
func (r *Request) grow(buf []byte, size int) ([]byte, error) {
	n := min(size, max(minBufferBytes, 2*cap(buf)))
	if err := r.account.Hold(time.Now(), int64(n)); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buf), n)
	copy(larger, buf)
	r.account.Release(int64(cap(buf)))
	return larger, nil
}

// HoldStream charges for a body that is streamed to an endpoint. The error is
// [keelbudget.ErrNoRoom].
func (r *Request) HoldStream() error {
	n := int64(streamBytes)
	if r.ContentLength >= 0 {
		n = min(n, r.ContentLength)
	}
	return r.account.Hold(time.Now(), n)
}

// startedBody is a body whose start was read.
type startedBody struct {
	start *bytes.Reader
	rest  io.Reader
	// account is charged with held bytes for the start until that is read again.
	account *keelbudget.Account
	held    int64
}

// Read implements [io.Reader].
func (b *startedBody) Read(p []byte) (int, error) {
	if b.start == nil {
		return b.rest.Read(p)
	}
	n, _ := b.start.Read(p) // a buffer in memory does not fail
	if b.start.Len() == 0 {
		b.start = nil
		b.account.Release(b.held)
	}
	return n, nil
}

// Interrupt aborts a read of the rest.
func (b *startedBody) Interrupt() { Interrupt(b.rest) }

// MarkRead records that the body is about to be read.
func (b *startedBody) MarkRead() { MarkRead(b.rest) }
