package keelpeer_test

import (
	"bytes"
	"io"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelchart"
	"github.com/greengagekeel/greengagekeel/keelpeer"
	"github.com/matryer/is"
)

// FuzzMessage decodes arbitrary data from a peer as a message, as an answer and
// as the start of a stream.
func FuzzMessage(f *testing.F) {
	valid, err := keel.EncodeCBOR(keel.Envelope{Kind: kindEcho, From: "a", Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{0xbf, 0x01, 0x00, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var e keel.Envelope
		if keel.DecodeCBOR(data, &e) == nil && e.Kind == 0 {
			t.Fatal("a message without a kind was accepted")
		}
		if _, err := keelpeer.DecodeReply(data); err == nil && len(data) == 0 {
			t.Fatal("an empty answer was accepted")
		}
		checkStreamStart(t, data)
	})
}

// checkStreamStart decodes the first value of a stream. The bytes after it must
// reach the handler unchanged.
func checkStreamStart(t *testing.T, data []byte) {
	t.Helper()
	var e keel.Envelope
	r := keel.NewCBORReader(bytes.NewReader(data))
	if r.Read(&e) != nil {
		return
	}
	rest, err := io.ReadAll(r.Buffered())
	if err != nil || !bytes.HasSuffix(data, rest) {
		t.Fatalf("rest of the stream is %x of %x, error %v", rest, data, err)
	}
}

// TestWatch passes packet counts to the watch of a connection.
func TestWatch(t *testing.T) {
	const ms = 1
	type observation struct {
		at             int // milliseconds
		sent, received uint64
		busy           bool
		want           keelpeer.Step
	}
	tests := []struct {
		name  string
		steps []observation
		state keelchart.State
	}{
		{"idle", []observation{{0, 5, 5, false, 0}, {9000 * ms, 5, 5, false, 0}}, "trusted"},
		{"answered", []observation{{0, 5, 5, false, 0}, {250, 6, 5, false, 0}, {500, 6, 6, false, 0}, {5000, 6, 6, false, 0}}, "trusted"},
		{"quiet after sending", []observation{{0, 5, 5, false, 0}, {250, 6, 5, false, 0}, {750, 6, 5, false, keelpeer.StepProbe}, {1000, 7, 5, false, 0}, {1250, 7, 5, false, keelpeer.StepReplace}}, "doubted"},
		{"suspected repeatedly", []observation{{0, 5, 5, false, 0}, {250, 6, 5, false, 0}, {750, 6, 5, false, keelpeer.StepProbe}, {1250, 7, 5, false, keelpeer.StepReplace}, {1750, 7, 5, false, keelpeer.StepReplace}}, "doubted"},
		{"probe answered", []observation{{0, 5, 5, false, 0}, {250, 6, 5, false, 0}, {750, 6, 5, false, keelpeer.StepProbe}, {1000, 7, 6, false, 0}}, "trusted"},
		{"recovers from suspicion", []observation{{0, 5, 5, false, 0}, {250, 6, 5, false, 0}, {750, 6, 5, false, keelpeer.StepProbe}, {1250, 7, 5, false, keelpeer.StepReplace}, {1500, 7, 6, false, 0}}, "trusted"},
		{"busy without packets", []observation{{0, 5, 5, true, 0}, {750, 5, 5, true, 0}, {1000, 5, 5, true, keelpeer.StepProbe}, {1500, 6, 5, true, keelpeer.StepReplace}}, "doubted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := keelpeer.NewWatch()
			for _, o := range tt.steps {
				is.Equal(w.Observe(o.at, o.sent, o.received, o.busy), o.want)
			}
			is.Equal(w.State(), tt.state)
			is.Equal(w.Replace(), tt.state == "doubted")
		})
	}
}
