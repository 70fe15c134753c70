// Package keelmemory keeps the memory of an idle process small without making
// a busy one slow.
//
// A soft limit makes the runtime collect garbage earlier and return memory to
// the operating system. If little room is left between the live heap and the
// limit, collections would follow each other and take the processor from
// requests. So the limit holds only while there is room.
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
	// Live is what the last garbage collection found in use on the heap.
	Live uint64
	// Other is what the runtime holds outside the heap.
	Other uint64
}

// roomPart is the part of the live heap that must be free below the limit.
const roomPart = 4

// NoLimit is the limit of the runtime that never takes effect.
const NoLimit = math.MaxInt64

// Limit returns the limit to set for a process with that usage: soft, or
// [NoLimit] if soft is 0 or leaves too little room.
func Limit(soft int64, u Usage) int64 {
	if soft <= 0 || u.Other+u.Live+u.Live/roomPart > uint64(soft) {
		return NoLimit
	}
	return soft
}

const (
	// period is the time between two looks at the memory.
	period = time.Second
	// A process without room has its garbage collected in case most of the
	// heap is garbage: an idle one would not do so for minutes. The pause
	// before that doubles each time that it gave no room.
	firstPause = 4 * time.Second
	lastPause  = 2 * time.Minute
)

// Keeper decides on the limit of a process as its usage changes. It is not safe
// for use by several goroutines.
type Keeper struct {
	soft  int64
	pause time.Duration
	// since is when the process was last found with room or collected.
	since time.Time
}

// NewKeeper returns a keeper of a soft limit in bytes; 0 means none.
func NewKeeper(soft int64) *Keeper { return &Keeper{soft: soft, pause: firstPause} }

// Step takes the usage and returns the limit to set, and whether to collect
// garbage and return memory to the operating system now.
func (k *Keeper) Step(now time.Time, u Usage) (limit int64, collect bool) {
	limit = Limit(k.soft, u)
	if limit != NoLimit || k.soft <= 0 || k.since.IsZero() {
		k.since, k.pause = now, firstPause
		return limit, false
	}
	if now.Sub(k.since) < k.pause {
		return limit, false
	}
	k.since, k.pause = now, min(2*k.pause, lastPause)
	return limit, true
}

// environment is the variable that the runtime takes its own limit from.
const environment = "GOMEMLIMIT"

// Run keeps the limit of this process up to date until ctx ends. It returns nil
// then. A limit that the environment gives goes before it.
func (k *Keeper) Run(ctx context.Context) error {
	if os.Getenv(environment) != "" {
		return nil
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		limit, collect := k.Step(time.Now(), Read())
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

// Names of the runtime's figures.
const (
	nameLive     = "/gc/heap/live:bytes"
	nameTotal    = "/memory/classes/total:bytes"
	nameReleased = "/memory/classes/heap/released:bytes"
	nameObjects  = "/memory/classes/heap/objects:bytes"
	nameFree     = "/memory/classes/heap/free:bytes"
	nameUnused   = "/memory/classes/heap/unused:bytes"
)

// Read returns the usage of this process.
func Read() Usage {
	read := []metrics.Sample{
		{Name: nameLive}, {Name: nameTotal}, {Name: nameReleased}, {Name: nameObjects}, {Name: nameFree}, {Name: nameUnused},
	}
	metrics.Read(read)
	u := Usage{Live: read[0].Value.Uint64(), Other: read[1].Value.Uint64()}
	for _, heap := range read[2:] {
		u.Other -= heap.Value.Uint64()
	}
	return u
}
