package keeloperate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	keel "github.com/greengagekeel/greengagekeel"
	"github.com/greengagekeel/greengagekeel/keelheader"
)

// Client calls the operator port of one instance.
type Client struct {
	// Address is the address of the operator port.
	Address netip.AddrPort
	// Token is the operator token. It is required only by calls that change
	// something.
	Token string
	// HTTP sends the calls; nil means [http.DefaultClient].
	HTTP *http.Client
}

// ProblemError is the error of a call that the instance answered with an error
// status.
type ProblemError struct {
	Status  int
	Problem Problem
}

// Error returns the status and the text of the problem.
func (e *ProblemError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Problem.Error
}

// Declared returns the declarations in force at the instance.
func (c *Client) Declared(ctx context.Context) (Declared, error) {
	var d Declared
	_, err := c.call(ctx, http.MethodGet, PathDeclarations, nil, &d)
	return d, err
}

// Submit sends a change and returns its outcome, also if that is a conflict or an
// invalid change. After an error the outcome is unknown, unless the error is a
// [ProblemError] with the verdict [keel.NotRun].
func (c *Client) Submit(ctx context.Context, change keel.Change) (keel.Outcome, error) {
	var o keel.Outcome
	_, err := c.call(ctx, http.MethodPost, PathChanges, &change, &o)
	return o, err
}

// History returns the accepted changes, the newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var h History
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	_, err := c.call(ctx, http.MethodGet, PathChanges+"?"+q.Encode(), nil, &h)
	return h, err
}

// InForce reports whether a version is in force at all instances.
func (c *Client) InForce(ctx context.Context, v keel.Version) (InForce, error) {
	var f InForce
	q := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}}
	_, err := c.call(ctx, http.MethodGet, PathInForce+"?"+q.Encode(), nil, &f)
	return f, err
}

// inForcePollInterval is the pause between two calls of [Client.InForce].
const inForcePollInterval = 50 * time.Millisecond

// WaitInForce waits until [InForce.Everywhere] holds for the version, or until ctx
// ends. It returns the last answer of the instance. Failed calls are repeated.
func (c *Client) WaitInForce(ctx context.Context, v keel.Version) (InForce, error) {
	last := InForce{Version: v}
	for {
		f, err := c.InForce(ctx, v)
		if err == nil {
			last = f
		}
		if last.Everywhere {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, errors.Wrapf(ctx.Err(), "wait for version %d", v)
		case <-time.After(inForcePollInterval):
		}
	}
}

// Dump returns the state dump as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return c.call(ctx, http.MethodGet, PathState, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in any, out keel.Checker) ([]byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %T", in)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request for operator port")
	}
	if c.Token != "" {
		req.Header.Set("Authorization", bearerPrefix+c.Token)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, out)
}

func (c *Client) do(req *http.Request, out keel.Checker) ([]byte, error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := keelheader.Do(client, req)
	if err != nil {
		return nil, errors.Wrapf(err, "call operator port %s", c.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of operator port %s", c.Address)
	}
	if out == nil && resp.StatusCode < http.StatusBadRequest {
		if !json.Valid(data) {
			return nil, errors.Errorf("answer of operator port %s is not JSON", c.Address)
		}
		return data, nil
	}
	if out != nil && hasResult(resp.StatusCode, out) {
		return data, keel.DecodeJSON(data, out)
	}
	problem := Problem{}
	if err := keel.DecodeJSON(data, &problem); err != nil {
		problem.Error = string(data)
	}
	return nil, &ProblemError{Status: resp.StatusCode, Problem: problem}
}

// hasResult reports whether the body of an answer holds the result of the call
// rather than a [Problem]. A change that was not accepted has an outcome, too.
func hasResult(status int, out keel.Checker) bool {
	if status < http.StatusBadRequest {
		return true
	}
	_, ok := out.(*keel.Outcome)
	return ok && (status == http.StatusConflict || status == http.StatusUnprocessableEntity)
}
