package keelscenario

import (
	"strconv"
	"time"
)

const (
	bytesPerMegabit = 1e6 / 8
	// linkLimitWindow is the time window to which the limit of a link applies.
	linkLimitWindow = time.Second
)

// sentSample is the total that an instance had sent over a link at some time
// between the start and the end of the request for its dump.
type sentSample struct {
	start, end time.Time
	bytes      float64
}

// cmdLinkLimit polls what an instance sends to another region until it has sent
// the given number of further bytes. It fails if the instance sent more within a
// second than the link's limit.
func cmdLinkLimit(c *cluster, args []string) {
	in := c.instance(args[0])
	path := "steering.links.to=" + args[1] + ".bytes"
	limit := float64(c.number(args[2])) * bytesPerMegabit
	more := float64(c.number(args[3]))
	var samples []sentSample
	c.until("bytes at "+path, func() (bool, string) {
		s := sentSample{start: time.Now()}
		doc, err := c.client(in).Dump(c.ctx)
		if err != nil {
			return false, err.Error()
		}
		s.bytes, s.end = c.readSample(doc, path).value, time.Now()
		for _, earlier := range samples {
			if sent := s.bytes - earlier.bytes; s.end.Sub(earlier.start) <= linkLimitWindow && sent > limit {
				c.fatalf("%s sent %.0f bytes to %s within %s", in.name, sent, args[1], s.end.Sub(earlier.start))
			}
		}
		samples = append(samples, s)
		return s.bytes-samples[0].bytes >= more, strconv.FormatFloat(s.bytes, 'f', -1, 64)
	})
}
