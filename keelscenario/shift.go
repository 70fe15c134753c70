package keelscenario

import (
	"encoding/json"
	"strconv"
	"time"
)

// capTolerance allows for the rounding of shares.
const capTolerance = 1e-6

// sample is a value from a dump with the time of the dump by the instance's
// clock.
type sample struct {
	at    time.Time
	value float64
}

// cmdShiftCap polls the share of a failure domain in a selector's vector until it
// reaches a weight. It fails if the share rose by more than the cap within a
// window.
func cmdShiftCap(c *cluster, args []string) {
	in := c.instance(args[0])
	path := "steering.shares.source/selector=" + args[1] + ".vector.domain=" + args[2] + ".weight"
	limit := float64(c.number(args[3]))/100 + capTolerance
	window := c.duration(args[4])
	reach, err := strconv.ParseFloat(args[5], 64)
	c.check(err)
	var samples []sample
	c.until("share "+path, func() (bool, string) {
		doc, err := c.client(in).Dump(c.ctx)
		if err != nil {
			return false, err.Error()
		}
		s := c.readSample(doc, path)
		for _, earlier := range samples {
			if s.at.Sub(earlier.at) < window && s.value-earlier.value > limit {
				c.fatalf("share moved from %v to %v within %s", earlier.value, s.value, s.at.Sub(earlier.at))
			}
		}
		samples = append(samples, s)
		return s.value >= reach, strconv.FormatFloat(s.value, 'g', -1, 64)
	})
}

// readSample returns the number at a path of a dump, and 0 if there is none.
func (c *cluster) readSample(doc []byte, path string) sample {
	var state struct {
		Time time.Time `json:"time"`
	}
	c.check(json.Unmarshal(doc, &state))
	var v any
	c.check(json.Unmarshal(doc, &v))
	value, _ := valueAt(v, path).(float64) // an element that is not listed counts as 0
	return sample{at: state.Time, value: value}
}
