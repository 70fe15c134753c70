package keelguard_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/greengagekeel/greengagekeel/keelguard"
)

const silenceLimit = time.Second

// seconds returns the time s seconds after guardStart.
func seconds(s float64) time.Time { return guardStart.Add(time.Duration(s * float64(time.Second))) }

// TestSilence opens connections 1, 2 and 3 to peer a, at 0 s, 0 s and 10 s, and
// connection 4 to peer b at 0 s. It applies the events and compares the actions
// of all checks.
func TestSilence(t *testing.T) {
	type event struct {
		at   float64
		do   string
		conn keelguard.ConnID
	}
	tests := []struct {
		name   string
		events []event
		want   string
	}{
		{"nothing expected", []event{{60, "check", 0}}, ""},
		{"answer is due, not yet late", []event{{20, "wait", 1}, {20.9, "check", 0}}, ""},
		{
			"silent, fresh works",
			[]event{{20, "wait", 1}, {21.1, "check", 0}, {21.2, "works", 0}, {21.3, "check", 0}},
			"probe a; retire 1; retire 2",
		},
		{
			"silent, fresh fails",
			[]event{{20, "wait", 1}, {21.1, "check", 0}, {21.2, "fails", 0}, {21.3, "check", 0}},
			"probe a; probe a",
		},
		{"probe under way", []event{{20, "wait", 1}, {21.1, "check", 0}, {21.5, "check", 0}}, "probe a"},
		{"probe lost", []event{{20, "wait", 1}, {21.1, "check", 0}, {22.2, "check", 0}}, "probe a; probe a"},
		{"slow upload continues", []event{
			{20, "wait", 1}, {20.9, "progress", 1}, {21.8, "progress", 1}, {22.7, "progress", 1}, {23.5, "check", 0},
		}, ""},
		{"old one makes progress while another is silent", []event{
			{20, "wait", 1}, {20, "wait", 2}, {21, "progress", 2}, {21.1, "check", 0}, {21.2, "works", 0}, {21.3, "check", 0},
		}, "probe a; retire 1"},
		{
			"younger one is silent",
			[]event{{20, "wait", 3}, {21.1, "check", 0}, {21.2, "works", 0}, {21.3, "check", 0}},
			"probe a; retire 1; retire 2; retire 3",
		},
		{"younger one makes progress", []event{
			{20, "wait", 1}, {20.5, "progress", 3}, {21.1, "check", 0}, {21.2, "works", 0}, {21.3, "check", 0},
		}, "probe a; retire 1; retire 2"},
		{"answered in time", []event{{20, "wait", 1}, {20.5, "done", 1}, {30, "check", 0}}, ""},
		{"closed meanwhile", []event{{20, "wait", 1}, {21.1, "check", 0}, {21.2, "works", 0}, {21.2, "close", 1}, {21.3, "check", 0}}, "probe a"},
		{"probe worked before the wait", []event{{19, "works", 0}, {20, "wait", 1}, {21.1, "check", 0}}, "probe a"},
		{"answers after the probe", []event{{20, "wait", 1}, {21.1, "check", 0}, {21.2, "works", 0}, {21.25, "progress", 1}, {21.3, "check", 0}}, "probe a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := keelguard.NewSilenceDetector(keelguard.SilenceConfig{Limit: silenceLimit})
			s.Opened(seconds(0), 1, "a", seconds(0))
			s.Opened(seconds(0), 2, "a", seconds(0))
			s.Opened(seconds(10), 3, "a", seconds(10))
			s.Opened(seconds(0), 4, "b", seconds(0))
			var got []string
			for _, e := range tt.events {
				switch now := seconds(e.at); e.do {
				case "wait":
					s.Waiting(now, e.conn, 1)
				case "done":
					s.Waiting(now, e.conn, 0)
				case "progress":
					s.Progress(now, e.conn)
				case "close":
					s.Closed(e.conn)
				case "works", "fails":
					s.Probed(now, "a", e.do == "works")
				case "check":
					got = append(got, describe(s.Check(now))...)
				}
			}
			is.New(t).Equal(strings.Join(got, "; "), tt.want)
		})
	}
}

func TestDoubtful(t *testing.T) {
	is := is.New(t)
	s := keelguard.NewSilenceDetector(keelguard.SilenceConfig{Limit: silenceLimit})
	for id := range keelguard.ConnID(3) {
		s.Opened(seconds(0), id, "a", seconds(0))
	}
	s.Waiting(seconds(20), 1, 1)
	s.Waiting(seconds(20.4), 2, 1)
	is.Equal(s.Suspected(seconds(20.5)), nil)
	is.Equal(s.Suspected(seconds(20.6)), []keelguard.ConnID{1})
	s.Progress(seconds(20.55), 1) // acknowledged a keep-alive probe
	s.Progress(seconds(19), 1)    // older than the last progress
	is.Equal(s.Suspected(seconds(21)), []keelguard.ConnID{2})
	is.Equal(len(s.Check(seconds(21.5))), 1)
}

// TestHeard reads the last acknowledgement of a connection whose peer does not
// answer.
func TestHeard(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("request"))
	is.NoErr(err)
	age, err := keelguard.SinceLastAck(c.(*net.TCPConn))
	is.NoErr(err)
	is.True(age >= 0 && age < time.Hour)
	is.NoErr(c.Close())
	_, err = keelguard.SinceLastAck(c.(*net.TCPConn))
	is.True(err != nil) // closed
}

func describe(actions []keelguard.Action) []string {
	var out []string
	for _, a := range actions {
		if a.Type == keelguard.ActionProbe {
			out = append(out, fmt.Sprintf("probe %s", a.Peer))
		} else {
			out = append(out, fmt.Sprintf("retire %d", a.Conn))
		}
	}
	return out
}

// TestLiveTransfersStay checks that connections which make progress at random
// intervals below the limit are not retired, while silent ones are.
func TestLiveTransfersStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := keelguard.NewSilenceDetector(keelguard.SilenceConfig{Limit: silenceLimit})
		const live, silent = 5, 5
		for id := range keelguard.ConnID(live + silent) {
			s.Opened(seconds(0), id, "a", seconds(0))
			s.Waiting(seconds(1), id, 1)
		}
		last := make([]float64, live)
		retired := 0
		for now := 1.0; now < 20; now += 0.1 {
			for id := range last {
				if now-last[id] > 0.8 || rapid.IntRange(0, 9).Draw(t, "progress") == 0 {
					s.Progress(seconds(now), keelguard.ConnID(id))
					last[id] = now
				}
			}
			for _, a := range s.Check(seconds(now)) {
				switch {
				case a.Type == keelguard.ActionProbe:
					s.Probed(seconds(now+0.01), "a", true)
				case a.Conn < live:
					t.Fatalf("connection %d was retired at %.1f s, its last progress was at %.1f s", a.Conn, now, last[a.Conn])
				default:
					retired++
				}
			}
		}
		if retired != silent {
			t.Fatalf("%d silent connections were retired, want %d", retired, silent)
		}
	})
}

func BenchmarkSilenceCheck(b *testing.B) {
	s := keelguard.NewSilenceDetector(keelguard.SilenceConfig{Limit: silenceLimit})
	for id := range keelguard.ConnID(10_000) {
		s.Opened(seconds(0), id, keelguard.Peer(fmt.Sprintf("p%d", id%14)), seconds(0))
		s.Waiting(seconds(0), id, 1)
	}
	for b.Loop() {
		s.Check(seconds(0.5))
	}
}
