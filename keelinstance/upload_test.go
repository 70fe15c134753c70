package keelinstance_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/greengagekeel/greengagekeel/keelstandin"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// TestUploadAcrossHandOver stops the owner of an endpoint in the middle of a slow
// upload that a caller sends to the owner or to another instance. The upload must
// complete without a second run.
func TestUploadAcrossHandOver(t *testing.T) {
	for _, through := range []string{"owner", "other"} {
		t.Run(through, func(t *testing.T) {
			is := is.New(t)
			b := newCluster(t, 1)
			owner := b.owner()
			at := owner
			if through == "other" {
				at = (owner + 1) % len(b.local.Instances)
			}
			body := newSlowBody()
			var up *callerExchange
			var group conc.WaitGroup
			group.Go(func() { up = b.do(callerRequest{instance: at, method: http.MethodPut, upload: body, bytes: 1000}) })
			b.uploadingEndpoint()
			cut := -1
			group.Go(func() { cut = b.local.Instances[owner].Stop(b.ctx) })
			b.waitUntil("another instance owns the endpoint", func() bool { return b.ownsEndpoint((owner+1)%3) || b.ownsEndpoint((owner+2)%3) })
			body.finish()
			group.Wait()
			is.Equal(cut, 0)
			is.NoErr(up.err)
			is.Equal(up.status, http.StatusOK)
			is.Equal(up.checksum, keelstandin.Checksum([]byte(slowBodyText)))
			is.Equal(b.counts().Broken, 0)
			is.Equal(b.counts().ByToken[up.token], 1)
		})
	}
}

// ownsEndpoint reports whether instance i owns an endpoint.
func (b *cluster) ownsEndpoint(i int) bool {
	for _, p := range b.dump(i).Steering.Pools {
		if len(p.Endpoints) > 0 {
			return true
		}
	}
	return false
}

// owner waits until the endpoint has an owner, and returns its index.
func (b *cluster) owner() int {
	owner := -1
	b.waitUntil("the endpoint has an owner", func() bool {
		for i := range b.local.Instances {
			if b.ownsEndpoint(i) {
				owner = i
			}
		}
		return owner >= 0
	})
	return owner
}

// slowBody is an upload whose second half is held back until finish is called.
type slowBody struct {
	rest    *strings.Reader
	half    int64
	release chan struct{}
}

var slowBodyText = strings.Repeat("0123456789abcdef", 20_000)

func newSlowBody() *slowBody {
	return &slowBody{rest: strings.NewReader(slowBodyText), half: int64(len(slowBodyText) / 2), release: make(chan struct{})}
}

func (s *slowBody) finish() { close(s.release) }

// Read implements [io.Reader].
func (s *slowBody) Read(p []byte) (int, error) {
	if read := s.rest.Size() - int64(s.rest.Len()); read >= s.half {
		<-s.release
		return s.rest.Read(p)
	}
	return s.rest.Read(p[:min(len(p), 4096)])
}
