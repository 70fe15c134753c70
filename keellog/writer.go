// Package keellog provides a log output that never blocks the program. If the
// output is slow, lines are buffered and then dropped. The package does not format
// log lines.
package keellog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// DefaultBufferLines is the default of [Config.BufferLines]. At 200 bytes per
	// line the buffer takes less than 1 MB.
	DefaultBufferLines = 4096
	// flushTimeout limits how long [Writer.Run] writes buffered lines after its
	// context is done.
	flushTimeout = 200 * time.Millisecond
)

// Config configures a [Writer].
type Config struct {
	// Out receives the lines, one per call of Write.
	Out io.Writer
	// BufferLines is the buffer size in lines; 0 means [DefaultBufferLines].
	BufferLines int
}

// Writer is a buffered [io.Writer] for log lines. Each call of Write is one line. A
// line is dropped if the buffer is full. After the next line that is written, Run
// writes a line with the number of dropped ones. A Writer is safe for concurrent
// use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	failed  atomic.Uint64
}

// New returns a writer. Lines are buffered until [Writer.Run] is called.
func New(cfg Config) *Writer {
	if cfg.BufferLines == 0 {
		cfg.BufferLines = DefaultBufferLines
	}
	return &Writer{out: cfg.Out, lines: make(chan []byte, cfg.BufferLines)}
}

// Write buffers a copy of one line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Failed returns the number of lines that could not be written to the output.
func (w *Writer) Failed() uint64 { return w.failed.Load() }

// Run writes lines until ctx is done, then the buffered ones for up to 200 ms, and
// returns nil.
func (w *Writer) Run(ctx context.Context) error {
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.flush()
			return nil
		}
		if n := w.dropped.Load(); n != reported {
			w.writeLine(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-reported, n))
			reported = n
		}
	}
}

func (w *Writer) flush() {
	end := time.Now().Add(flushTimeout)
	for time.Now().Before(end) {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.failed.Add(1) // there is no other output to report the error to
	}
}
