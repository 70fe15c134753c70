package keelsteer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// closer runs functions once when a body is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// onClose returns body with done called once after it was closed.
func onClose(body io.ReadCloser, done func()) io.ReadCloser {
	return &closer{ReadCloser: body, done: done}
}

// Close closes the body and runs the function.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.done)
	return err
}

// trackedBody notes whether a request's body was read from.
type trackedBody struct {
	r     io.Reader
	reads atomic.Bool
}

// trackBody makes the body of r tell whether it was read from. It returns nil if
// there is none.
func trackBody(r *keelproxy.Request) *trackedBody {
	if r.Body == nil {
		return nil
	}
	b := &trackedBody{r: r.Body}
	r.Body = b
	return b
}

func (b *trackedBody) touched() bool { return b != nil && b.reads.Load() }

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.reads.Store(true)
	return b.r.Read(p)
}

// Interrupt ends a read that is under way.
func (b *trackedBody) Interrupt() {
	keelproxy.Interrupt(b.r)
}
