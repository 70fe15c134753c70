package keeldeclare_test

import (
	"bytes"
	"context"
	"testing"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keeldeclare"
)

// FuzzFetch passes arbitrary requests and responses to a replica.
func FuzzFetch(f *testing.F) {
	v := newVoter(f, 5, keeldeclare.ReplicaConfig{})
	v.apply(blockOps(0, 50, 5)...)
	for _, req := range []keeldeclare.FetchRequest{{}, {From: 1}, {Refill: true, After: block24(9)}, {From: 1, To: 2, Skip: 3}} {
		body, _ := keel.EncodeCBOR(req)
		f.Add(body)
		body, _ = keel.EncodeCBOR(v.replica.Serve(req))
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = v.replica.Handler().HandleMessage(context.Background(), keel.Envelope{Kind: keel.KindFetch, Body: body})
		var resp keeldeclare.FetchResponse
		if keel.DecodeCBOR(body, &resp) != nil {
			return
		}
		r := newReplica(t, keeldeclare.ReplicaConfig{})
		if r.Install(resp) != nil && r.Current().Version > 0 && !r.Current().Partial {
			t.Fatal("a rejected response is in force")
		}
		_ = r.Current().FullDeclarations()
	})
}

// FuzzFile parses arbitrary content as a declaration file. Valid declarations
// must survive a round trip through operations.
func FuzzFile(f *testing.F) {
	f.Add([]byte(`{"regions": [{"name": "dakar"}], "blocks": [{"prefix": "10.0.0.0/8", "sites": ["x"]}]}`))
	f.Add([]byte(`{"selectors": [{"name": "s", "service": "g", "class": "live", "cap": {"percent": 1e99, "window": "1s"}, "deadline": "-1s"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := keeldeclare.ParseFile("x.json", data)
		if err != nil || len(d.Check()) > 0 {
			return
		}
		got, err := keeldeclare.ApplyOps(&keel.Declarations{}, keeldeclare.Diff(&keel.Declarations{}, d))
		if err != nil {
			t.Fatalf("valid declarations can't be applied: %v", err)
		}
		if rest := keeldeclare.Diff(got, d); len(rest) > 0 {
			t.Fatalf("differences after a round trip: %+v", rest)
		}
	})
}

// FuzzRestore passes arbitrary snapshots and entries to a machine.
func FuzzRestore(f *testing.F) {
	a := newApplier(f, 3)
	a.apply(blockOps(0, 20, 3)...)
	f.Add(snapshotOf(f, a.m))
	f.Add(encodedChange(f, "x", 2, blockPut(block24(1), siteNo(1))))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := keeldeclare.NewMachine(keeldeclare.MachineConfig{})
		if m.Restore(10, bytes.NewReader(data)) == nil {
			_ = m.Current().FullDeclarations()
		}
		m.Apply(11, data)
	})
}
