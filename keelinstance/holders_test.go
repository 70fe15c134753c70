package keelinstance_test

import (
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelinstance"
	"github.com/matryer/is"
)

func registered(names ...keel.InstanceName) *keel.Declarations {
	d := &keel.Declarations{}
	for _, name := range names {
		d.Instances = append(d.Instances, keel.RegisteredInstance{Name: name, Domain: "d"})
	}
	return d
}

// TestHolderSets removes registered instances from a failure domain. A replaced set
// must be kept until the retention period has passed, even if no set follows it.
func TestHolderSets(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name            string
		next            *keel.Declarations
		at              time.Time
		current, former int
	}{
		{"same instances", registered("i-1", "i-2"), now, 1, 0},
		{"one removed", registered("i-1"), now, 1, 1},
		{"all removed", registered(), now, 0, 1},
		{"all removed long ago", registered(), now.Add(-24 * time.Hour), 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := keelinstance.NewHolderSets(registered("i-1", "i-2"))
			h.Update(tt.at, tt.next)
			h.Update(tt.at, tt.next)
			present, former := 0, 0
			for _, s := range h.Sets("d") {
				if s.Until.IsZero() {
					present++
				} else {
					former++
				}
			}
			is.Equal(present, tt.current)
			is.Equal(former, tt.former)
		})
	}
}
