package keelexplain_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelexplain"
	"github.com/matryer/is"
)

const (
	seen    = `{"endpoint":"e1","instance":"core-1","msg":"endpoint changed","state":1,"index":7,"time":"2026-03-01T10:00:01Z"}`
	again   = `{"endpoint":"e1","instance":"core-2","msg":"endpoint changed","state":1,"index":7,"time":"2026-03-01T10:00:01.02Z"}`
	drained = `12.5 core-2 {"endpoint":"e1","instance":"core-2","msg":"endpoint changed","state":2,"time":"2026-03-01T10:00:02Z"}`
	later   = `{"endpoint":"e1","instance":"core-1","msg":"endpoint changed","state":3,"time":"2026-03-01T10:00:09Z"}`
	other   = `{"endpoint":"e2","instance":"core-1","msg":"endpoint changed","state":3,"time":"2026-03-01T10:00:01Z"}`
	ended   = `{"endpoints":"e1","instance":"entry-1","msg":"request ended","request":"r1","status":502,"time":"2026-03-01T10:00:03Z"}`
	foreign = `{"endpoints":"e1","instance":"entry-1","msg":"request ended","request":"r10","status":200,"time":"2026-03-01T10:00:03Z"}`
)

func TestTimeline(t *testing.T) {
	for _, tt := range []struct {
		name    string
		logs    []string
		want    []string // instances, in order
		skipped int
		status  any
	}{
		{"lines of its endpoint before its end", []string{ended, later, drained, other, seen, foreign}, []string{"core-1", "core-2", "entry-1"}, 0, json.Number("502")},
		{"one log entry at two voters", []string{again, seen, ended}, []string{"core-1", "entry-1"}, 0, json.Number("502")},
		{"several logs", []string{seen + "\n" + other, ended}, []string{"core-1", "entry-1"}, 0, json.Number("502")},
		{"no line of the request", []string{seen, foreign}, nil, 0, nil},
		{"lines that can't be parsed", []string{"started", `{"request":"r1"`, ended}, []string{"entry-1"}, 2, json.Number("502")},
		{"no log", nil, nil, 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := keelexplain.NewReader("r1")
			for _, log := range tt.logs {
				is.NoErr(r.Read(strings.NewReader(log)))
			}
			timeline := r.Timeline()
			var got []string
			for _, l := range timeline.Lines {
				got = append(got, l.Instance)
			}
			is.Equal(got, tt.want)
			is.Equal(timeline.Skipped, tt.skipped)
			endLine := timeline.EndLine()
			is.Equal(endLine != nil, tt.status != nil)
			if endLine != nil {
				is.Equal(endLine.Fields["status"], tt.status)
			}
		})
	}
}

func FuzzTimeline(f *testing.F) {
	for _, log := range []string{seen, drained, ended, "{", `{"request":"r1","time":3,"endpoints":[]}`} {
		f.Add(log)
	}
	f.Fuzz(func(t *testing.T, log string) {
		r := keelexplain.NewReader("r1")
		if err := r.Read(strings.NewReader(log)); err != nil {
			return
		}
		timeline := r.Timeline()
		for i := 1; i < len(timeline.Lines); i++ {
			if timeline.Lines[i].Time.Before(timeline.Lines[i-1].Time) {
				t.Errorf("line %d is out of order", i)
			}
		}
	})
}
