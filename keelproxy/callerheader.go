package keelproxy

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a request that exceeds a limit.
var (
	errHeaderTooLarge = errors.New("the header exceeds the limit")
	errBodyTooLarge   = errors.New("the body exceeds the limit")
)

// relayedHeaderFactor is the size of the header of a relayed request in relation to the limit:
// the instance that relays it adds fields, and writes short ones with more bytes.
const relayedHeaderFactor = 2

// What is charged for a header, for each byte, each line and each separator of a list. A byte
// is held in the buffer, by the parser, in the request and in the one for the endpoint; a line
// by two parsers and the fields between them, whose lists grow by doubling.
const (
	headerByteCost      = 4
	headerLineCost      = 320
	headerSeparatorCost = 96
)

// headerSize is the size of a header.
type headerSize struct{ bytes, lines, separators int }

// cost returns what the header holds once it is parsed and passed on, in bytes.
func (h headerSize) cost() int64 {
	return int64(headerByteCost*h.bytes + headerLineCost*h.lines + headerSeparatorCost*h.separators)
}

// sizeOf returns the size of a header.
func sizeOf(header []byte) headerSize {
	return headerSize{
		bytes: len(header), lines: bytes.Count(header, []byte{'\n'}),
		separators: bytes.Count(header, []byte{','}) + bytes.Count(header, []byte{';'}),
	}
}

// readHeader waits until the header of a request is buffered as a whole, and charges what it
// will hold.
func (c *callerConn) readHeader(limit int) (headerSize, error) {
	for searched := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered()) // never fails, since these bytes are buffered
		if end := headerEnd(b, searched); end > 0 {
			h := sizeOf(b[:end])
			return h, c.hold(h.cost())
		}
		searched = len(b)
		if len(b) >= relayedHeaderFactor*limit {
			return headerSize{}, errHeaderTooLarge
		}
		if len(b) == c.br.Size() {
			if err := c.growReader(); err != nil {
				return headerSize{}, err
			}
		}
		if _, err := c.br.Peek(len(b) + 1); err != nil {
			return headerSize{}, errors.Wrap(noEOF(err), "read header")
		}
	}
}

// headerEnd returns the length of the header at the start of b, or 0 if its end is not among
// these bytes. The first searched bytes were searched before.
func headerEnd(b []byte, searched int) int {
	for from := max(0, searched-len("\n\r")); ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}

// noEOF returns err, or [io.ErrUnexpectedEOF] for [io.EOF].
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growReader doubles the buffer of the connection.
func (c *callerConn) growReader() error {
	size := 2 * c.br.Size()
	if err := c.hold(int64(size)); err != nil {
		return err
	}
	c.replaceReader(bufio.NewReaderSize(nil, size))
	c.account.Release(int64(size / 2)) // of the buffer before
	return nil
}

// shrinkReader returns to a small buffer after a request whose header needed a large one,
// unless the bytes of the next request don't fit.
func (c *callerConn) shrinkReader() {
	if c.br.Size() > readerBytes && c.br.Buffered() < readerBytes {
		c.replaceReader(c.server.acquireReader(c))
	}
}

// replaceReader makes r the buffer of the connection. It takes over the buffered bytes.
func (c *callerConn) replaceReader(r *bufio.Reader) {
	moveBuffered(r, c.br, c)
	c.server.releaseReader(c.br)
	c.br = r
}

// enlarge returns a reader of r with a larger buffer, which takes over the buffered bytes.
func enlarge(old *bufio.Reader, r io.Reader, size int) *bufio.Reader {
	larger := bufio.NewReaderSize(nil, size)
	moveBuffered(larger, old, r)
	return larger
}

// moveBuffered makes to read the bytes that from has buffered, and then r.
func moveBuffered(to, from *bufio.Reader, r io.Reader) {
	b, _ := from.Peek(from.Buffered()) // never fails, since these bytes are buffered
	if len(b) == 0 {
		to.Reset(r)
		return
	}
	to.Reset(&prefixReader{prefix: bytes.Clone(b), r: r})
	_, _ = to.Peek(len(b)) // fills the buffer, so that the copy can be dropped
}

// prefixReader reads the prefix before r.
type prefixReader struct {
	prefix []byte
	r      io.Reader
}

func (p *prefixReader) Read(b []byte) (int, error) {
	if len(p.prefix) == 0 {
		p.prefix = nil
		return p.r.Read(b)
	}
	n := copy(b, p.prefix)
	p.prefix = p.prefix[n:]
	return n, nil
}

// parseHeader parses the buffered header of a request and checks it against the limits.
func (c *callerConn) parseHeader(fctx *fasthttp.RequestCtx, size headerSize, limits Limits) error {
	h := &fctx.Request.Header
	before := c.br.Buffered()
	if err := h.Read(c.br); err != nil {
		return noEOF(err)
	}
	if before-c.br.Buffered() != size.bytes {
		// What was charged is not what was parsed, and the body would begin elsewhere.
		return errors.New("the end of the header is ambiguous")
	}
	if size.bytes > limits.HeaderBytes && !c.relayed(h) {
		return errHeaderTooLarge
	}
	if limits.BodyBytes > 0 && int64(h.ContentLength()) > limits.BodyBytes {
		return errBodyTooLarge
	}
	var uri fasthttp.URI
	if err := uri.Parse(h.Host(), h.RequestURI()); err != nil {
		return errors.Wrap(err, "request target")
	}
	return nil
}

// relayed reports whether another instance relays the request.
func (c *callerConn) relayed(h *fasthttp.RequestHeader) bool {
	return c.server.cfg.Relayed != "" && len(h.Peek(c.server.cfg.Relayed)) > 0
}
