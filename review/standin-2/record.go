package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. Times are seconds since its start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add writes a line with the time t.
func (r *record) add(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", r.seconds(t), fmt.Sprintf(format, args...))
}
