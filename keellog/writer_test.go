package keellog_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/greengagekeel/greengagekeel/keellog"
	"github.com/matryer/is"
)

// blockedOutput is an output whose Write blocks until the channel unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// While no line is written to the output and the buffer is full, Write does not
// block, and the dropped lines are counted.
func TestFullBuffer(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	w := keellog.New(keellog.Config{Out: out, BufferLines: 10})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	const lines = 1000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	close(out.unblock)
	cancel()
	<-done
	is.Equal(w.Dropped(), uint64(lines-10))
	out.mu.Lock()
	defer out.mu.Unlock()
	is.Equal(strings.Count(out.buf.String(), "line\n"), 10)
}
