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

// Line is one log line that is relevant to a request.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Duplicates is the number of omitted lines for the same entry of the replicated
	// log, from other voters or from a voter that replayed it after a restart.
	Duplicates int `json:"also,omitempty"`
	// Fields are the other fields of the line; numbers are [json.Number].
	Fields map[string]any `json:"fields"`
}

// Timeline holds the log lines that are relevant to one request, ordered by time.
type Timeline struct {
	Request string `json:"request"`
	// Lines are the lines of the request itself and, up to its end, those about
	// the endpoints to which it was sent.
	Lines []Line `json:"lines"`
	// Skipped is the number of lines that could not be parsed.
	Skipped int `json:"skipped,omitempty"`
}

// EndLine returns the last line that reports the end of the request, or nil.
func (t *Timeline) EndLine() *Line {
	for i := range slices.Backward(t.Lines) {
		if t.Lines[i].Message == endMessage {
			return &t.Lines[i]
		}
	}
	return nil
}

const (
	// endMessage is the message of the line that reports the end of a request.
	endMessage = "request ended"
	// maxLineBytes is the length limit of a line. Log lines usually have a few
	// hundred bytes.
	maxLineBytes = 1 << 20
	// maxEndpointLines limits the lines about endpoints that are buffered until
	// all logs are read and the endpoints of the request are known. It is enough
	// for one day of changes at 500 endpoints.
	maxEndpointLines = 200_000
)

// Reader collects the timeline of one request. Logs may be read in any order.
type Reader struct {
	request      string
	requestLines []Line
	// endpointLines holds the lines about each endpoint, endpointLineCount is
	// their total number.
	endpointLines     map[string][]Line
	endpointLineCount int
	skipped           int
}

// NewReader returns a reader for the request with the given id.
func NewReader(request string) *Reader {
	return &Reader{request: request, endpointLines: map[string][]Line{}}
}

// Read reads a log with one JSON object per line. Text before the object is
// ignored, since log collectors prepend names and times. Lines that contain neither
// the request id nor an endpoint are not decoded. A line of more than 1 MiB is an
// error.
func (r *Reader) Read(in io.Reader) error {
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		r.addLine(scan.Bytes())
	}
	if err := scan.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// addLine parses a line and keeps it if it is about the request or an endpoint.
func (r *Reader) addLine(text []byte) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		r.skipped++
		return
	}
	ofRequest := bytes.Contains(text, []byte(r.request))
	if !ofRequest && !bytes.Contains(text, []byte(`"endpoint":`)) {
		return
	}
	var fields map[string]any
	dec := json.NewDecoder(bytes.NewReader(text[i:]))
	dec.UseNumber()
	if err := dec.Decode(&fields); err != nil {
		r.skipped++
		return
	}
	l := newLine(fields)
	switch endpoint, _ := fields["endpoint"].(string); {
	case fields["request"] == r.request:
		r.requestLines = append(r.requestLines, l)
	case endpoint != "" && r.endpointLineCount < maxEndpointLines:
		r.endpointLines[endpoint] = append(r.endpointLines[endpoint], l)
		r.endpointLineCount++
	}
}

// newLine returns a line in which the common fields are separated from the others.
func newLine(fields map[string]any) Line {
	l := Line{Fields: maps.Clone(fields)}
	l.Instance, _ = fields["instance"].(string)
	l.Message, _ = fields["msg"].(string)
	if text, ok := fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, text) // a line without a time sorts first
	}
	for _, name := range []string{"time", "instance", "msg", "level", "request"} {
		delete(l.Fields, name)
	}
	return l
}

// Timeline returns the timeline of the lines that were read.
func (r *Reader) Timeline() *Timeline {
	t := &Timeline{Request: r.request, Lines: slices.Clone(r.requestLines), Skipped: r.skipped}
	slices.SortStableFunc(t.Lines, byTime)
	end := t.EndLine()
	if end == nil {
		return t
	}
	endpoints, _ := end.Fields["endpoints"].(string)
	for endpoint := range strings.SplitSeq(endpoints, ",") {
		t.Lines = append(t.Lines, deduplicate(r.endpointLines[endpoint], end.Time)...)
	}
	slices.SortStableFunc(t.Lines, byTime)
	return t
}

// deduplicate returns the lines up to a time, with one line for each entry of the
// replicated log. It sorts lines.
func deduplicate(lines []Line, until time.Time) []Line {
	slices.SortStableFunc(lines, byTime)
	var out []Line
	for _, l := range lines {
		if l.Time.After(until) {
			break
		}
		index := l.Fields["index"]
		if i := slices.IndexFunc(out, func(o Line) bool { return index != nil && o.Fields["index"] == index && o.Message == l.Message }); i >= 0 {
			out[i].Duplicates++
			continue
		}
		out = append(out, l)
	}
	return out
}

func byTime(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}
