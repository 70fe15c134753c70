package keelendpoint_test

import (
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelendpoint"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// callTimeout is the time limit of a call. The default of a second passes before the handler
// runs on a busy machine.
const callTimeout = time.Minute

const validAnnouncement = `{"service":"s","name":"e","address":"10.0.0.1:80","slots":3,"incarnation":1,"state":"serving","ttl":"3s","report":{"in_flight":1,"utilisation":0.4}}`

// Odd announcements are refused, and the set of the registrar can still be sent to the
// other instances.
func TestOddAnnouncements(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for _, tt := range []struct{ name, old, new string }{
		{"deeply nested", `"slots":3`, `"slots":3,"extra":` + deep[90_000:110_000]},
		{"deeply nested name", `"name":"e"`, `"name":` + deep[95_000:105_000]},
		{"port out of range", `10.0.0.1:80`, `10.0.0.1:65536`},
		{"address with a zone", `10.0.0.1:80`, `[fe80::1%eth0]:80`},
		{"slots too many", `"slots":3`, `"slots":9223372036854775807`},
		{"slots too large", `"slots":3`, `"slots":1e400`},
		{"incarnation too large", `"incarnation":1`, `"incarnation":18446744073709551616`},
		{"time to live too long", `"ttl":"3s"`, `"ttl":"9000000h"`},
		{"load too large", `"in_flight":1`, `"in_flight":1e300`},
		{"name not in UTF-8", `"name":"e"`, "\"name\":\"\xff\""},
		{"long name", `"name":"e"`, `"name":"` + strings.Repeat("e", 1<<10) + `"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := keelendpoint.NewService(keelendpoint.ServiceConfig{
				Directory: keelendpoint.Config{Self: "a", Incarnation: 1, Services: func() []keel.Service {
					return []keel.Service{{Name: "s", AnnounceFrom: []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}}}
				}},
				Log: logrus.NewEntry(logger),
			})
			app := keelendpoint.NewApp(s, func(keel.Faults) {})
			announce := func(body string) int {
				resp, err := app.Test(httptest.NewRequest("POST", keelendpoint.AnnouncePath, strings.NewReader(body)), fiber.TestConfig{Timeout: callTimeout, FailOnTimeout: true})
				is.NoErr(err)
				return resp.StatusCode
			}
			is.Equal(announce(strings.Replace(validAnnouncement, tt.old, tt.new, 1)), 400)
			is.Equal(announce(validAnnouncement), 200)
			e, err := s.HandleMessage(t.Context(), requestOwnSet(is))
			is.NoErr(err)
			var set keelendpoint.Set
			is.NoErr(keel.DecodeCBOR(e.Body, &set))
			is.Equal(len(set.Records), 1)
		})
	}
}

func requestOwnSet(is *is.I) keel.Envelope {
	body, err := keel.EncodeCBOR(&keelendpoint.Set{Registrar: "a", Summary: true})
	is.NoErr(err)
	return keel.Envelope{Kind: keel.KindAnnounce, Body: body}
}
