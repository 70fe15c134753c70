package keelkey_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelkey"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pollInterval = time.Second

func newAuthority(t *testing.T, name string) *keelkey.Authority {
	t.Helper()
	a, err := keelkey.NewAuthority(keelkey.AuthorityConfig{Name: name, NotBefore: start})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *keelkey.Authority, cfg keelkey.IssueConfig) keelkey.KeyPair {
	t.Helper()
	if cfg.NotBefore.IsZero() {
		cfg.NotBefore = start
	}
	p, err := a.Issue(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// writeDir writes the keys of one instance to a folder.
func writeDir(t *testing.T, dir string, a *keelkey.Authority, p keelkey.KeyPair) {
	t.Helper()
	if err := keelkey.WriteDir(keelkey.DirConfig{Dir: dir, Authority: a, Instances: []keelkey.KeyPair{p}}); err != nil {
		t.Fatal(err)
	}
}

// instanceKeys is the keys of one instance, with their folder and log.
type instanceKeys struct {
	*keelkey.Keys
	dir  string
	logs *logtest.Hook
}

func load(t *testing.T, a *keelkey.Authority, cfg keelkey.IssueConfig, clock clockwork.Clock) instanceKeys {
	t.Helper()
	dir := t.TempDir()
	writeDir(t, dir, a, issue(t, a, cfg))
	log, hook := logtest.NewNullLogger()
	k, err := keelkey.Load(keelkey.Config{Dir: dir, Instance: cfg.Instance, Log: log, Clock: clock, PollInterval: pollInterval})
	if err != nil {
		t.Fatal(err)
	}
	return instanceKeys{k, dir, hook}
}

// peerResult is the result of a handshake at one side: the name of the peer, or
// an error.
type peerResult struct {
	peer keel.InstanceName
	err  error
}

// handshake connects client to server over loopback.
func handshake(t *testing.T, client, server *keelkey.Keys) (clientSide, serverSide peerResult) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var group conc.WaitGroup
	group.Go(func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		serverSide = finishHandshake(tls.Server(c, server.ServerTLS()))
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	clientSide = finishHandshake(tls.Client(c, client.ClientTLSFor(netip.MustParseAddr("127.0.0.1"))))
	_ = c.Close()
	group.Wait()
	return clientSide, serverSide
}

func finishHandshake(c *tls.Conn) peerResult {
	err := c.Handshake()
	return peerResult{keelkey.PeerName(c.ConnectionState()), err}
}

func TestHandshake(t *testing.T) {
	own, foreign := newAuthority(t, "own"), newAuthority(t, "foreign")
	local := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	tests := []struct {
		name           string
		client, server *keelkey.Authority
		issue          keelkey.IssueConfig // for the client
		addresses      []netip.Addr        // of the server
		after          time.Duration
		refusedBy      string
		logged         string
	}{
		{name: "same authority", client: own, server: own},
		{name: "address matches", client: own, server: own, addresses: local},
		{name: "address differs", client: own, server: own, addresses: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, refusedBy: "client", logged: "10.0.0.1"},
		{name: "other authority", client: foreign, server: own, refusedBy: "both", logged: "unknown authority"},
		{name: "expired client", client: own, server: own, issue: keelkey.IssueConfig{ValidFor: time.Hour}, after: 2 * time.Hour, refusedBy: "server", logged: "expired"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClockAt(start)
			tt.issue.Instance = "a"
			a := load(t, tt.client, tt.issue, clock)
			b := load(t, tt.server, keelkey.IssueConfig{Instance: "b", Addresses: tt.addresses}, clock)
			clock.Advance(tt.after)
			client, server := handshake(t, a.Keys, b.Keys)
			switch tt.refusedBy {
			case "":
				is.Equal(client, peerResult{peer: "b"})
				is.Equal(server, peerResult{peer: "a"})
				return
			case "client", "both":
				is.True(client.err != nil)
			case "server":
				is.True(server.err != nil)
			}
			entries := append(a.logs.AllEntries(), b.logs.AllEntries()...)
			is.True(len(entries) > 0)
			cause, _ := entries[0].Data[logrus.ErrorKey].(error)
			is.True(strings.Contains(cause.Error(), tt.logged))
		})
	}
}

func TestLoadRefuses(t *testing.T) {
	own, foreign := newAuthority(t, "own"), newAuthority(t, "foreign")
	tests := []struct {
		name  string
		spoil func(t *testing.T, dir string)
		want  string
	}{
		{"missing certificate", func(t *testing.T, dir string) { remove(t, dir, "a.crt") }, "a.crt"},
		{"missing secret", func(t *testing.T, dir string) { remove(t, dir, keelkey.SecretFile) }, keelkey.SecretFile},
		{"short secret", func(t *testing.T, dir string) { write(t, dir, keelkey.SecretFile, []byte("00ff")) }, keelkey.SecretFile},
		{"empty token", func(t *testing.T, dir string) { write(t, dir, keelkey.OperatorTokenFile, nil) }, keelkey.OperatorTokenFile},
		{"malformed authority", func(t *testing.T, dir string) { write(t, dir, keelkey.AuthorityCertificateFile, []byte("x")) }, keelkey.AuthorityCertificateFile},
		{"key of another", func(t *testing.T, dir string) {
			write(t, dir, "a.key", issue(t, own, keelkey.IssueConfig{Instance: "a"}).PrivateKey)
		}, "private key"},
		{"certificate of another", func(t *testing.T, dir string) {
			p := issue(t, own, keelkey.IssueConfig{Instance: "b"})
			write(t, dir, "a.crt", p.Certificate)
			write(t, dir, "a.key", p.PrivateKey)
		}, `"b"`},
		{"issued by another authority", func(t *testing.T, dir string) {
			writeDir(t, dir, foreign, issue(t, own, keelkey.IssueConfig{Instance: "a"}))
		}, "unknown authority"},
		{"expired", func(t *testing.T, dir string) {
			writeDir(t, dir, own, issue(t, own, keelkey.IssueConfig{Instance: "a", NotBefore: start.Add(-48 * time.Hour), ValidFor: time.Hour}))
		}, "expired"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			writeDir(t, dir, own, issue(t, own, keelkey.IssueConfig{Instance: "a"}))
			tt.spoil(t, dir)
			_, err := keelkey.Load(keelkey.Config{Dir: dir, Instance: "a", Clock: clockwork.NewFakeClockAt(start)})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestRotation replaces the authority of two running instances in three steps:
// both trust the old and the new authority, get certificates of the new one, and
// then trust only the new one. They can connect to each other after each step.
func TestRotation(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(start)
	old, next := newAuthority(t, "old"), newAuthority(t, "new")
	a := load(t, old, keelkey.IssueConfig{Instance: "a"}, clock)
	b := load(t, old, keelkey.IssueConfig{Instance: "b"}, clock)
	secret := string(a.Secret())

	oldPair, err := old.KeyPair()
	is.NoErr(err)
	nextPair, err := next.KeyPair()
	is.NoErr(err)
	both := append(append([]byte(nil), oldPair.Certificate...), nextPair.Certificate...)
	steps := []func(k instanceKeys, name keel.InstanceName){
		func(k instanceKeys, _ keel.InstanceName) { write(t, k.dir, keelkey.AuthorityCertificateFile, both) },
		func(k instanceKeys, name keel.InstanceName) {
			p := issue(t, next, keelkey.IssueConfig{Instance: name})
			write(t, k.dir, string(name)+".key", p.PrivateKey)
			_, err := k.Reload()
			is.True(err != nil) // a private key without its certificate is refused
			write(t, k.dir, string(name)+".crt", p.Certificate)
		},
		func(k instanceKeys, _ keel.InstanceName) {
			write(t, k.dir, keelkey.AuthorityCertificateFile, nextPair.Certificate)
		},
	}
	for _, step := range steps {
		for _, k := range []instanceKeys{a, b} {
			step(k, k.Instance())
			changed, err := k.Reload()
			is.NoErr(err)
			is.True(changed)
			client, server := handshake(t, a.Keys, b.Keys)
			is.NoErr(client.err)
			is.NoErr(server.err)
		}
	}
	is.Equal(string(a.Secret()), secret)
	stale := load(t, old, keelkey.IssueConfig{Instance: "c"}, clock)
	_, server := handshake(t, stale.Keys, b.Keys)
	is.True(server.err != nil)
}

// TestRunReloads checks that Run picks up a changed operator token.
func TestRunReloads(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(start)
	own := newAuthority(t, "own")
	a := load(t, own, keelkey.IssueConfig{Instance: "a"}, clock)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = a.Run(ctx) })
	defer group.Wait()
	defer cancel()
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	write(t, a.dir, keelkey.OperatorTokenFile, []byte("next"))
	for a.OperatorToken() != "next" {
		clock.Advance(pollInterval)
	}
}

func write(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func remove(t *testing.T, dir, name string) {
	t.Helper()
	if err := os.Remove(filepath.Join(dir, name)); err != nil {
		t.Fatal(err)
	}
}
