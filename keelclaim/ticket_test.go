package keelclaim_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/greengagekeel/greengagekeel/keelclaim"
)

var testSecret = []byte("a secret of the tests")

func testTicket() keelclaim.Ticket {
	return keelclaim.Ticket{
		Home:         "dakar-a",
		IssuedAt:     time.UnixMilli(1_700_000_000_123),
		Random:       [12]byte{1, 2, 3},
		Incarnations: []keelclaim.IncarnationTag{7, keelclaim.IncarnationTagOf("k1", 3)},
	}
}

func TestTicketRoundTrip(t *testing.T) {
	is := is.New(t)
	want := testTicket()
	got, err := keelclaim.ParseTicket(testSecret, want.Sign(testSecret))
	is.NoErr(err)
	is.Equal(cmp.Diff(want, got), "")
	is.True(got.NamesIncarnation(keelclaim.IncarnationTagOf("k1", 3)))
	is.True(!got.NamesIncarnation(keelclaim.IncarnationTagOf("k1", 4))) // another start
}

func TestTicketForged(t *testing.T) {
	key := testTicket().Sign(testSecret)
	tests := []struct{ name, key string }{
		{"empty", ""},
		{"prefix only", "kt1."},
		{"no prefix", key[len("kt1."):]},
		{"cut", key[:len(key)-4]},
		{"other secret", testTicket().Sign([]byte("other"))},
		{"not base64", "kt1.!!!!"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := keelclaim.ParseTicket(testSecret, tt.key)
			is.New(t).True(err != nil)
		})
	}
}

func FuzzParseTicket(f *testing.F) {
	f.Add(testTicket().Sign(testSecret))
	f.Add("kt1.AAAA")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, err := keelclaim.ParseTicket(testSecret, key)
		if err == nil && ticket.Sign(testSecret) != key {
			t.Fatalf("ticket %q parses, but is written as %q", key, ticket.Sign(testSecret))
		}
	})
}
