package keelexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Line is one log line that has to do with a request.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Also counts further lines of the same entry of the agreed log: of other
	// voters, or of one that started again.
	Also int `json:"also,omitempty"`
	// Fields are the other fields of the line; numbers are [json.Number].
	Fields map[string]any `json:"fields"`
}

// Story is what the lines say of one request, in the order of time.
type Story struct {
	Request string `json:"request"`
	// Lines are those of the request itself and, before its end, those of the
	// endpoints to which it was sent.
	Lines []Line `json:"lines"`
	// Skipped counts lines that are no log lines.
	Skipped int `json:"skipped,omitempty"`
}

// End returns the line that ended the request, or nil.
func (s *Story) End() *Line {
	for i := range slices.Backward(s.Lines) {
		if s.Lines[i].Message == endMessage {
			return &s.Lines[i]
		}
	}
	return nil
}

const (
	// endMessage is the message of the line that ends a request.
	endMessage = "request ended"
	// maxLineBytes bounds a line; a log line has some hundred bytes.
	maxLineBytes = 1 << 20
	// maxEndpointLines bounds the lines of endpoints that are held until it is
	// known which of them matter. It is a day of changes at 500 endpoints.
	maxEndpointLines = 200_000
)

// Reader collects the story of one request from logs in any order.
type Reader struct {
	request string
	own     []Line
	// endpoints are the lines of each endpoint, held of them all together.
	endpoints map[string][]Line
	held      int
	skipped   int
}

// NewReader returns a reader for the request with an id.
func NewReader(request string) *Reader {
	return &Reader{request: request, endpoints: map[string][]Line{}}
}

// Read reads a log of one JSON object a line. What stands before the object is
// passed over, since collectors put names and times there. Lines that have
// nothing to do with a request or an endpoint cost no decoding.
func (r *Reader) Read(in io.Reader) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		r.take(scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

func (r *Reader) take(text []byte) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		r.skipped++
		return
	}
	own := bytes.Contains(text, []byte(r.request))
	if !own && !bytes.Contains(text, []byte(`"endpoint":`)) {
		return
	}
	var fields map[string]any
	dec := json.NewDecoder(bytes.NewReader(text[i:]))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		r.skipped++
		return
	}
	l := lineOf(fields)
	switch endpoint, _ := fields["endpoint"].(string); {
	case fields["request"] == r.request:
		r.own = append(r.own, l)
	case endpoint != "" && r.held < maxEndpointLines:
		r.endpoints[endpoint] = append(r.endpoints[endpoint], l)
		r.held++
	}
}

// lineOf takes the fields that every line has out of the others.
func lineOf(fields map[string]any) Line {
	l := Line{Fields: maps.Clone(fields)}
	l.Instance, _ = fields["instance"].(string)
	l.Message, _ = fields["msg"].(string)
	if text, ok := fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, text) // a line without a time stands first
	}
	for _, name := range []string{"time", "instance", "msg", "level", "request"} {
		delete(l.Fields, name)
	}
	return l
}

// Story returns what was read.
func (r *Reader) Story() *Story {
	s := &Story{Request: r.request, Lines: slices.Clone(r.own), Skipped: r.skipped}
	slices.SortStableFunc(s.Lines, byTime)
	end := s.End()
	if end == nil {
		return s
	}
	sent, _ := end.Fields["endpoints"].(string)
	for endpoint := range strings.SplitSeq(sent, ",") {
		s.Lines = append(s.Lines, changes(r.endpoints[endpoint], end.Time)...)
	}
	slices.SortStableFunc(s.Lines, byTime)
	return s
}

// changes returns the lines until a time, one for each entry of the agreed log.
func changes(lines []Line, until time.Time) []Line {
	slices.SortStableFunc(lines, byTime)
	var out []Line
	for _, l := range lines {
		if l.Time.After(until) {
			break
		}
		index := l.Fields["index"]
		if i := slices.IndexFunc(out, func(o Line) bool { return index != nil && o.Fields["index"] == index && o.Message == l.Message }); i >= 0 {
			out[i].Also++
			continue
		}
		out = append(out, l)
	}
	return out
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}
