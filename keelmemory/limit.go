// Package keelmemory keeps the memory of an idle process small without slowing
// down a busy one.
//
// A soft memory limit makes the Go runtime collect garbage earlier and return
// memory to the operating system. If the live heap comes close to the limit, the
// runtime would collect continuously and take CPU time from requests. Therefore the
// package sets the limit only while there is enough headroom. It does not enforce a
// hard limit.
package keelmemory

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Usage is the memory of a process, in bytes.
type Usage struct {
	// Live is the size of the live heap as of the last garbage collection.
	Live uint64
	// Other is the memory that the runtime holds outside the heap.
	Other uint64
}

// headroomDivisor sets the headroom that a limit requires: the size of the live
// heap divided by it.
const headroomDivisor = 4

// NoLimit is the value of [debug.SetMemoryLimit] that disables the limit.
const NoLimit = math.MaxInt64

// Limit returns the limit in bytes to set for a process with usage u: soft, or
// [NoLimit] if soft is 0 or leaves too little headroom.
func Limit(soft int64, u Usage) int64 {
	if soft <= 0 || u.Other+u.Live+u.Live/headroomDivisor > uint64(soft) {
		return NoLimit
	}
	return soft
}

const (
	// checkInterval is the interval between two checks of the memory usage.
	checkInterval = time.Second
	// Without enough headroom the garbage is collected explicitly, in case most
	// of the heap is garbage: an idle process would not collect it for minutes.
	// The pause before the next collection doubles each time that a collection
	// did not create the headroom.
	minCollectPause = 4 * time.Second
	maxCollectPause = 2 * time.Minute
)

// LimitController adjusts the memory limit of a process to its usage. It is not
// safe for concurrent use.
type LimitController struct {
	softLimit int64
	// further are limits that apply while the live heap is too large for softLimit.
	further []int64
	pause   time.Duration
	// pauseStart is when the process last had enough headroom or its garbage was
	// last collected explicitly.
	pauseStart time.Time
}

// NewLimitController returns a controller for a soft limit in bytes; 0 means no
// limit. Further limits, in rising order, apply while the live heap is too large for it.
func NewLimitController(soft int64, further ...int64) *LimitController {
	return &LimitController{softLimit: soft, further: further, pause: minCollectPause}
}

// Step returns the limit to set for the current usage, and whether to collect
// garbage and return memory to the operating system now.
func (c *LimitController) Step(now time.Time, u Usage) (limit int64, collect bool) {
	limit = Limit(c.softLimit, u)
	if limit != NoLimit || c.softLimit <= 0 || c.pauseStart.IsZero() {
		c.pauseStart, c.pause = now, minCollectPause
		return limit, false
	}
	limit = c.furtherLimit(u)
	if now.Sub(c.pauseStart) < c.pause {
		return limit, false
	}
	c.pauseStart, c.pause = now, min(2*c.pause, maxCollectPause)
	return limit, true
}

// furtherLimit returns the lowest of the further limits that leaves enough headroom.
func (c *LimitController) furtherLimit(u Usage) int64 {
	for _, soft := range c.further {
		if limit := Limit(soft, u); limit != NoLimit {
			return limit
		}
	}
	return NoLimit
}

// limitVariable is the environment variable from which the Go runtime reads its
// memory limit.
const limitVariable = "GOMEMLIMIT"

// Run adjusts the limit of this process until ctx is done. It then restores the
// previous limit and returns nil. If the environment sets a limit, Run leaves that
// unchanged and returns nil immediately.
func (c *LimitController) Run(ctx context.Context) error {
	if os.Getenv(limitVariable) != "" {
		return nil
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		limit, collect := c.Step(time.Now(), ReadUsage())
		debug.SetMemoryLimit(limit)
		if collect {
			debug.FreeOSMemory()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Names of metrics of the Go runtime.
const (
	metricLive     = "/gc/heap/live:bytes"
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricFree     = "/memory/classes/heap/free:bytes"
	metricUnused   = "/memory/classes/heap/unused:bytes"
)

// ReadUsage returns the memory usage of this process.
func ReadUsage() Usage {
	samples := []metrics.Sample{
		{Name: metricLive}, {Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricFree}, {Name: metricUnused},
	}
	metrics.Read(samples)
	u := Usage{Live: samples[0].Value.Uint64(), Other: samples[1].Value.Uint64()}
	for _, sample := range samples[2:] {
		u.Other -= sample.Value.Uint64()
	}
	return u
}
