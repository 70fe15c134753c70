package keelsteer

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelheader"
	"github.com/greengagekeel/greengagekeel/keelproxy"
)

// lookUpTimeout limits a look-up, since an instance that is paused or
// partitioned may accept connections without answering.
const lookUpTimeout = 5 * time.Second

// LookUp sends a look-up with query q to the caller port at addr. It waits at
// most 5 s, or until ctx ends if that is earlier. A refusal or an invalid answer
// is returned as an error.
func LookUp(ctx context.Context, addr netip.AddrPort, q url.Values) (*LookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+keelproxy.LookupPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := keelheader.Do(http.DefaultClient, req)
	if err != nil {
		return nil, errors.Wrapf(err, "look up at %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "look up at %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("look up at %s: status %d: %s", addr, resp.StatusCode, body)
	}
	var a LookupAnswer
	if err := keel.DecodeJSON(body, &a); err != nil {
		return nil, errors.Wrapf(err, "decode the answer to a look-up at %s", addr)
	}
	return &a, nil
}
