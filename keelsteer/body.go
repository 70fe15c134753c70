package keelsteer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// closer is a body that calls a function once when it is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// onClose returns body wrapped so that done is called once, after the first
// Close.
func onClose(body io.ReadCloser, done func()) io.ReadCloser {
	return &closer{ReadCloser: body, done: done}
}

// Close closes the body and calls the function.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.done)
	return err
}

// trackedBody records whether a request body was read. A request whose body was
// read cannot be sent again.
type trackedBody struct {
	r       io.Reader
	started atomic.Bool
}

// trackBody replaces the body of r with one that records reads. It returns nil
// if r has no body.
func trackBody(r *keelproxy.Request) *trackedBody {
	if r.Body == nil {
		return nil
	}
	b := &trackedBody{r: r.Body}
	r.Body = b
	return b
}

func (b *trackedBody) wasRead() bool { return b != nil && b.started.Load() }

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.r.Read(p)
}

// MarkRead records that the body is about to be read.
func (b *trackedBody) MarkRead() {
	b.started.Store(true)
	keelproxy.MarkRead(b.r)
}

// Interrupt aborts a Read in progress.
func (b *trackedBody) Interrupt() {
	keelproxy.Interrupt(b.r)
}
