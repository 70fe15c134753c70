package keelproxy_test

import (
	"io"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelproxy"
	"github.com/matryer/is"
)

// An instance of an earlier version passes on an answer that this one refuses from an
// endpoint. The caller does not get it.
func TestMalformedForwardedAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		status      int
		field, text string
		valid       bool
	}{
		"valid":                       {200, "X-Other", "1\t2", true},
		"highest status":              {599, "X-Other", "1", true},
		"status 000":                  {0, "X-Other", "1", false},
		"interim status":              {103, "X-Other", "1", false},
		"status 600":                  {600, "X-Other", "1", false},
		"no field's name":             {200, "", "1", false},
		"blank in a field's name":     {200, "X Other", "1", false},
		"line feed in a field's name": {200, "X\nOther", "1", false},
		"line feed in a value":        {200, "X-Other", "1\n2: 3", false},
		"NUL in a value":              {200, "X-Other", "1\x00", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			type field struct {
				Name  string `cbor:"1,keyasint"`
				Value string `cbor:"2,keyasint"`
			}
			head, err := cbor.Marshal(struct {
				Status int     `cbor:"2,keyasint"`
				Header []field `cbor:"3,keyasint"`
			}{tt.status, []field{{tt.field, tt.text}}})
			is.NoErr(err)
			last, err := cbor.Marshal(struct {
				Last bool `cbor:"2,keyasint"`
			}{true})
			is.NoErr(err)
			f := keelproxy.Forwarder{Transport: brokenPeer{answer: string(head) + string(last)}}
			a, err := f.Forward(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), newGetRequest())
			if !tt.valid {
				is.True(err != nil)
				is.Equal(keel.VerdictOf(err), keel.MayHaveRun)
				return
			}
			is.NoErr(err)
			_, err = io.ReadAll(a.Body)
			is.NoErr(err)
			is.NoErr(a.Body.Close())
		})
	}
}
