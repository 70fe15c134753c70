package keelinstance_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
	"github.com/matryer/is"
)

// A version was reported as in force while requests were still handled by the one
// before. The declarations are large, so that an instance needs some time before it
// can use a new version.
func TestVersionInForceIsUsed(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	before, d := declared(), declared()
	for i := range 1000 {
		addService(d, fmt.Sprintf("unused-%d", i))
	}
	for v := keel.Version(1); v <= 10; v++ {
		name := fmt.Sprintf("added-%d", v)
		addService(d, name)
		_, err := s.local.Submit(t.Context(), keel.Change{
			ID: keel.ChangeID(name), Author: "test", Time: time.Now().UTC(), Base: v, Ops: keeldeclare.Diff(before, d),
		})
		is.NoErr(err)
		got := exchangeText(t, s.instance.Addresses().Caller, "GET / HTTP/1.1\r\nHost: "+name+"\r\n\r\n")
		checkContains(t, got.body, string(keel.ReasonNoEndpoint)) // the service is known and has no endpoint
		added := *d                                               // services and selectors are only appended to d, so that the copy keeps its own
		before = &added
	}
}

// addService declares a service with a selector and without endpoints.
func addService(d *keel.Declarations, name string) {
	d.Services = append(d.Services, keel.Service{
		Name: keel.ServiceName(name), AnnounceFrom: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
	})
	d.Selectors = append(d.Selectors, selector(keel.SelectorName(name), keel.ServiceName(name), keel.ClassLive, ""))
}
