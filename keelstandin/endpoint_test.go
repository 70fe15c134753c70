package keelstandin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const crashMark = "boom"

// receivedAnnouncement is an announcement that the fake instance received.
type receivedAnnouncement struct {
	path string
	body keel.Announcement
}

// fixture is a running endpoint that announces itself to a fake instance.
type fixture struct {
	endpoint  *keelstandin.Endpoint
	client    *http.Client
	announced chan receivedAnnouncement
	stop      func()
}

func newFixture(t *testing.T, b keelstandin.Behaviour) *fixture {
	t.Helper()
	f := &fixture{client: &http.Client{Transport: &http.Transport{}}, announced: make(chan receivedAnnouncement, 100)}
	instance := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		a := receivedAnnouncement{path: r.URL.Path}
		data, _ := io.ReadAll(r.Body)
		if err := keel.DecodeJSON(data, &a.body); err != nil {
			t.Errorf("announcement has faults: %v", err)
		}
		f.announced <- a
	}))
	e, err := keelstandin.New(keelstandin.Config{
		Service: "gallery", Name: "g1", Slots: 2, Behaviour: b,
		Listen:     netip.MustParseAddrPort("127.0.0.1:0"),
		Control:    netip.MustParseAddrPort("127.0.0.1:0"),
		AnnounceTo: []netip.AddrPort{netip.MustParseAddrPort(instance.Listener.Addr().String())},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.endpoint = e
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = e.Run(ctx) })
	f.stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		f.stop()
		instance.Close()
	})
	return f
}

// testResult is the answer to a request, or its error.
type testResult struct {
	status   int
	token    string
	checksum string
	body     string
	err      error
}

func (f *fixture) do(ctx context.Context, path, body string) testResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.endpoint.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		return testResult{err: err}
	}
	req.Header.Set(keelstandin.HeaderToken, "t1")
	req.Header.Set(keelstandin.HeaderKey, "k1")
	resp, err := f.client.Do(req)
	if err != nil {
		return testResult{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return testResult{resp.StatusCode, resp.Header.Get(keelstandin.HeaderToken), resp.Header.Get(keelstandin.HeaderChecksum), string(data), err}
}

func TestAnswers(t *testing.T) {
	large := strings.Repeat("0123456789", 50_000)
	tests := []struct {
		name      string
		path      string
		body      string
		behaviour keelstandin.Behaviour
		status    int
		fails     bool
		runs      int
	}{
		{name: "plain", path: "/", status: 200, runs: 1},
		{name: "upload", path: "/", body: large, status: 200, runs: 1},
		{name: "fixed length", path: "/?bytes=100000", status: 200, runs: 1},
		{name: "chunked", path: "/?bytes=100000&chunked=true", status: 200, runs: 1},
		{name: "delayed", path: "/?delay=1ms", status: 200, runs: 1},
		{name: "bad length", path: "/?bytes=-1", status: 400},
		{name: "bad delay", path: "/?delay=soon", status: 400},
		{name: "late", path: "/", behaviour: keelstandin.Behaviour{Late: 1000}, status: 200, runs: 1},
		{name: "shed", path: "/", behaviour: keelstandin.Behaviour{Shed: true}, status: 503},
		{name: "crash", path: "/boom", behaviour: keelstandin.Behaviour{CrashMark: crashMark}, fails: true, runs: 1},
		{name: "wrong length", path: "/?bytes=100", behaviour: keelstandin.Behaviour{WrongLengthBy: 1, CloseMidBody: true}, fails: true, runs: 1},
		{name: "closed in the body", path: "/?bytes=100", behaviour: keelstandin.Behaviour{CloseMidBody: true}, fails: true, runs: 1},
		{name: "answered twice", path: "/?bytes=100", behaviour: keelstandin.Behaviour{AnswerTwice: true}, status: 200, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, tt.behaviour)
			got := f.do(t.Context(), tt.path, tt.body)
			is.Equal(got.err != nil, tt.fails)
			counts := f.endpoint.Counts()
			is.Equal(counts.Runs, tt.runs)
			is.Equal(counts.ByKey["k1"], tt.runs)
			is.Equal(counts.ByToken["t1"], tt.runs)
			if tt.fails {
				return
			}
			is.Equal(got.status, tt.status)
			if tt.status == http.StatusOK {
				is.Equal(got.token, "t1")
				is.Equal(got.checksum, keelstandin.Checksum([]byte(tt.body)))
				is.NoErr(keelstandin.CheckBody(strings.NewReader(got.body), "t1", int64(len(got.body))))
			}
		})
	}
}

func TestCheckBody(t *testing.T) {
	is := is.New(t)
	data, err := io.ReadAll(keelstandin.NewBody("t1", 100_000))
	is.NoErr(err)
	is.NoErr(keelstandin.CheckBody(strings.NewReader(string(data)), "t1", 100_000))
	is.True(keelstandin.CheckBody(strings.NewReader(string(data)), "t2", 100_000) != nil)
	is.True(keelstandin.CheckBody(strings.NewReader(string(data[:99_999])), "t1", 100_000) != nil)
	is.True(keelstandin.CheckBody(strings.NewReader(string(data)+"t"), "t1", 100_000) != nil)
}

func TestAnnouncesAndLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, keelstandin.Behaviour{FrozenUtilisation: new(float64)})
	first := <-f.announced
	is.Equal(first.path, "/v1/endpoints/announce")
	is.Equal(first.body.ID(), keel.EndpointID{Service: "gallery", Name: "g1"})
	is.Equal(first.body.Address, f.endpoint.Addr())
	f.endpoint.Leave()
	left := <-f.announced
	is.Equal(left.path, "/v1/endpoints/leave")
	is.Equal(left.body.State, keel.EndpointLeaving)
	is.Equal(f.do(t.Context(), "/", "").status, http.StatusOK) // still serves requests
}

func TestCrashAndRestart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, keelstandin.Behaviour{CrashMark: crashMark, RestartAfter: 1})
	first := <-f.announced
	is.True(f.do(t.Context(), "/boom", "").err != nil)
	again := <-f.announced
	is.True(again.body.Incarnation > first.body.Incarnation)
	is.Equal(again.body.Address, first.body.Address)
	is.Equal(f.do(t.Context(), "/", "").status, http.StatusOK)
	is.Equal(f.endpoint.Counts().Crashes, 1)
}

func TestSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, keelstandin.Behaviour{})
	old, err := net.Dial("tcp", f.endpoint.Addr().String())
	is.NoErr(err)
	defer old.Close()
	is.Equal(f.do(t.Context(), "/", "").status, http.StatusOK) // the old connection has been accepted by now
	resp, err := http.Post("http://"+f.endpoint.ControlAddr().String()+"/stand-in/behaviour", "application/json", strings.NewReader(`{"silence_open":true}`))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
	_, err = old.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	f.client = &http.Client{Transport: &http.Transport{}}
	is.Equal(f.do(t.Context(), "/", "").status, http.StatusOK)
	is.Equal(f.endpoint.Counts().Runs, 2)
	f.client.CloseIdleConnections()
	f.stop()
	n, err := old.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(err != nil) // the stop closes the silent connection
}

func TestControl(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, keelstandin.Behaviour{})
	control := "http://" + f.endpoint.ControlAddr().String() + "/stand-in/"
	for _, tt := range []struct {
		path, body string
		status     int
	}{
		{"behaviour", `{"stall":true}`, 200},
		{"behaviour", `{"stal":true}`, 400},
		{"behaviour", `{"late":"-1s"}`, 400},
		{"behaviour", `{"frozen_utilisation":2}`, 400},
		{"leave", ``, 200},
		{"nothing", ``, 404},
		{"crash", ``, 200},
	} {
		resp, err := http.Post(control+tt.path, "application/json", strings.NewReader(tt.body))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, tt.status)
	}
	resp, err := http.Get(control + "counts")
	is.NoErr(err)
	defer resp.Body.Close()
	var counts keelstandin.Counts
	is.NoErr(json.NewDecoder(resp.Body).Decode(&counts))
	is.Equal(counts.Crashes, 1)
}

func TestStallAnswersNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, keelstandin.Behaviour{Stall: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan testResult, 1)
	var group conc.WaitGroup
	group.Go(func() { done <- f.do(ctx, "/", "") })
	for f.endpoint.Counts().Runs == 0 { // the request has arrived
		select {
		case <-done:
			is.Fail()
		default:
		}
	}
	cancel()
	group.Wait()
	is.True(errors.Is((<-done).err, context.Canceled))
}
