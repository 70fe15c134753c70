package keelproxy

import (
	"bufio"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// wireBody reads the body of a request from a connection, and nothing after it.
type wireBody struct {
	r io.Reader
	// left is the number of unread bytes, or [LengthUnknown] for a body in chunks.
	left int64
	// read is the number of bytes of a body in chunks so far, which must not exceed limit
	// unless that is 0.
	read, limit int64
	atEnd       atomic.Bool
}

// newWireBody returns the body of the request whose header is in fctx, or nil if it has none.
func newWireBody(fctx *fasthttp.RequestCtx, r *bufio.Reader, limit int64) *wireBody {
	switch n := fctx.Request.Header.ContentLength(); {
	case n == chunkedLength:
		return &wireBody{r: &chunkedBody{r: r, chunks: &wireChunks{r: r}}, left: LengthUnknown, limit: limit}
	case n > 0:
		return &wireBody{r: r, left: int64(n)}
	}
	return nil
}

// Read implements [io.Reader]. A truncated body ends with [io.ErrUnexpectedEOF].
func (b *wireBody) Read(p []byte) (int, error) {
	if b.atEnd.Load() {
		return 0, io.EOF
	}
	if b.left == LengthUnknown {
		return b.readChunks(p)
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		b.atEnd.Store(true)
		return n, io.EOF
	}
	if err != nil {
		err = noEOF(err)
	}
	return n, err
}

func (b *wireBody) readChunks(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	switch {
	case b.limit > 0 && b.read > b.limit:
		return n, errBodyTooLarge
	case CleanEnd(err):
		b.atEnd.Store(true)
	}
	return n, err
}
