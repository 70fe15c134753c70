package keelproxy

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/greengagekeel/greengagekeel/keelheader"
)

const (
	// chunkOverheadBytes is the framing of a chunk that is not counted as excess, and
	// maxExcessBytes limits the excess: extensions could go on without end.
	chunkOverheadBytes = 16
	maxExcessBytes     = 16 << 10
)

// wireChunks reads the chunks of a body up to the last one, without the trailer. Other than the
// reader of net/http, it does not wait for a chunk to be complete.
type wireChunks struct {
	r *bufio.Reader
	// left is the number of unread bytes of the current chunk. begun is whether there is one,
	// whose line end is unread.
	left   int64
	begun  bool
	excess int
}

// Read implements [io.Reader]. It returns [io.EOF] after the last chunk.
func (c *wireChunks) Read(p []byte) (total int, err error) {
	for total < len(p) {
		if c.left == 0 {
			if total > 0 && !c.nextBuffered() {
				return total, nil
			}
			if err := c.next(); err != nil {
				return total, err
			}
		}
		n, err := c.r.Read(p[total:min(int64(len(p)), int64(total)+c.left)])
		total += n
		c.left -= int64(n)
		if err != nil {
			return total, noEOF(err)
		}
		if c.left > 0 {
			return total, nil // the rest of the chunk may take some time
		}
	}
	return total, nil
}

// nextBuffered reports whether the beginning of the next chunk can be read without waiting.
func (c *wireChunks) nextBuffered() bool {
	b, _ := c.r.Peek(c.r.Buffered()) // never fails, since these bytes are buffered
	return len(b) > len(keelheader.LineEnd) && bytes.IndexByte(b[len(keelheader.LineEnd):], '\n') >= 0
}

// next reads the end of a chunk and the size of the next one.
func (c *wireChunks) next() error {
	if c.begun {
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformed
		}
		c.begun = false
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	c.excess = max(0, c.excess+len(line)-chunkOverheadBytes)
	if c.excess > maxExcessBytes {
		return errors.Errorf("the extensions of chunks exceed %d bytes", maxExcessBytes)
	}
	size, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil {
		return errMalformed
	}
	if n == 0 {
		return io.EOF
	}
	c.left, c.begun = int64(n), true
	return nil
}

// line reads a line without its end.
func (c *wireChunks) line() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errMalformed
	}
	if err != nil {
		return nil, noEOF(err)
	}
	line, ok := bytes.CutSuffix(line, []byte(keelheader.LineEnd))
	if !ok {
		return nil, errMalformed
	}
	return line, nil
}
