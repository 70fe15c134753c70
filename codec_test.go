package keel_test

import (
	"bytes"
	"io"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestCBORStream(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	w := keel.NewCBORWriter(&b)
	want := []keel.Envelope{{Kind: 1, From: "a"}, {Kind: 2, Body: []byte{7}}}
	for i := range want {
		is.NoErr(w.Write(&want[i]))
	}
	r := keel.NewCBORReader(&b)
	for i := range want {
		var got keel.Envelope
		is.NoErr(r.Read(&got))
		is.Equal(got.Kind, want[i].Kind)
		is.Equal(got.From, want[i].From)
	}
	is.True(errors.Is(r.Read(&keel.Envelope{}), io.EOF)) // io.EOF after the last value
}
