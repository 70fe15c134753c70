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

// TestHolderSets strikes instances off a failure domain. A replaced set counts
// until the retention has passed, also if no set follows it.
func TestHolderSets(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name            string
		next            *keel.Declarations
		at              time.Time
		present, former int
	}{
		{"same instances", registered("i-1", "i-2"), now, 1, 0},
		{"one struck off", registered("i-1"), now, 1, 1},
		{"all struck off", registered(), now, 0, 1},
		{"all struck off long ago", registered(), now.Add(-24 * time.Hour), 0, 0},
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
			is.Equal(present, tt.present)
			is.Equal(former, tt.former)
		})
	}
}
