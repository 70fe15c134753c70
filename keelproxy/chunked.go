package keelproxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelheader"
	"github.com/valyala/fasthttp"
)

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

// maxTrailerBytes limits the trailer of a chunked answer.
const maxTrailerBytes = 16 << 10

// chunked reports whether the body of an answer is chunked.
func chunked(resp *fasthttp.Response) bool {
	return !resp.SkipBody && resp.Header.ContentLength() == chunkedLength && hasBodyStatus(resp.StatusCode())
}

// chunkedBody reads a chunked body and its trailer, which is dropped. Chunk
// extensions and the trailer are limited.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	err    error
}

func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements [io.Reader]. It returns [io.EOF] only after the whole trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer reads up to the empty line that ends the trailer. It returns [io.EOF]
// if the trailer is well-formed.
func (b *chunkedBody) readTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := b.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		size += len(line)
		line, ok := bytes.CutSuffix(line, []byte(keelheader.LineEnd))
		if ok && len(line) == 0 {
			return io.EOF
		}
		if _, valid := keelheader.FieldName(line); !ok || !valid {
			return errMalformed
		}
	}
	return errors.Errorf("the trailer exceeds %d bytes", maxTrailerBytes)
}
