// Package keyval is the client of the platform's key-value service, and the
// only package that knows the service's protocol.
//
// Every write is a compare-and-swap. A write whose answer is lost returns a
// *fault.UnavailableError, and the caller reads the key back to learn what
// happened: values that matter therefore carry the identity of the operation
// that wrote them.
package keyval

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/rest"
)

const (
	// Absent is the expected revision of a key that must not exist yet.
	Absent int64 = 0
	// defaultTimeout bounds one call. The service answers in milliseconds; two
	// seconds is far beyond that and still short of a lease's term, so that a
	// holder notices a silent service before its lease lapses.
	defaultTimeout = 2 * time.Second
)

type (
	// Client asks the key-value service. See New.
	Client struct {
		rest    *rest.Client
		http    *http.Client
		timeout time.Duration
	}

	// Option changes a Client as New makes it.
	Option func(*Client)

	putRequest struct {
		Value  []byte `json:"value"`
		Expect int64  `json:"expect"`
		Lease  int64  `json:"lease,omitempty"`
	}

	putResponse struct {
		Revision int64 `json:"revision"`
	}

	rangeResponse struct {
		Revision int64           `json:"revision"`
		Records  []record.Record `json:"records"`
	}

	conflictResponse struct {
		Revision int64 `json:"revision"`
	}

	leaseMessage struct {
		ID    int64 `json:"id,omitempty"`
		TTLMs int64 `json:"ttlMs,omitempty"`
	}
)

// New returns a client of the service at base, such as "http://127.0.0.1:7000".
//
//	c := keyval.New(base, keyval.WithTimeout(time.Second))
//	rec, err := c.Get(ctx, "resources/pools/filing-lm")
func New(base string, opts ...Option) *Client {
	c := &Client{http: http.DefaultClient, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	c.rest = rest.New("key-value service", base, rest.WithHTTP(c.http))
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// WithTimeout bounds each call but a watch, which adds it to the time that it
// waits. The default is 2 seconds.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// Get returns the record of key, or a *fault.NotFoundError.
func (c *Client) Get(ctx context.Context, key string) (record.Record, error) {
	var rec record.Record
	err := c.do(ctx, http.MethodGet, keyPath(key), nil, &rec)
	return rec, named(err, key)
}

// List returns the records whose keys start with prefix, in order, and the
// service's revision at which they were read.
func (c *Client) List(ctx context.Context, prefix string) ([]record.Record, int64, error) {
	var resp rangeResponse
	err := c.do(ctx, http.MethodGet, "/v1/range?prefix="+url.QueryEscape(prefix), nil, &resp)
	return resp.Records, resp.Revision, named(err, prefix)
}

// Put writes key if its revision is still expect, and returns the new one. If
// the key has moved on the error is a *fault.ConflictError; when no answer came
// it is a *fault.UnavailableError and the write may have taken effect. A lease
// other than 0 makes the key die with it; when it no longer exists the error is
// a *fault.LeaseLapsedError. A value that the service does not take is a
// *fault.FieldError.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error) {
	var resp putResponse
	in := putRequest{Value: value, Expect: expect, Lease: lease}
	err := c.do(ctx, http.MethodPut, keyPath(key), in, &resp)
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusPreconditionFailed {
		return 0, &fault.LeaseLapsedError{Lease: lease}
	}
	return resp.Revision, named(err, key)
}

// Delete removes key if its revision is still expect. Its errors are Put's.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	path := keyPath(key) + "?expect=" + strconv.FormatInt(expect, 10)
	return named(c.do(ctx, http.MethodDelete, path, nil, nil), key)
}

// Grant makes a lease that lapses ttl after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var resp leaseMessage
	err := c.do(ctx, http.MethodPost, "/v1/leases", leaseMessage{TTLMs: ttl.Milliseconds()}, &resp)
	return resp.ID, named(err, "lease")
}

// Renew starts the term of lease anew, or returns a *fault.LeaseLapsedError.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	err := c.do(ctx, http.MethodPost, leasePath(lease)+"/renew", nil, nil)
	return lapsed(err, lease)
}

// Revoke ends lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return lapsed(c.do(ctx, http.MethodDelete, leasePath(lease), nil, nil), lease)
}

// Watch waits up to wait for changes below prefix after a revision, and
// returns them with the revision to continue from. It returns none when nothing
// changed. A *fault.GapError says that the service no longer has all of them:
// the caller lists the prefix again. The service counts a waiting watch as one
// call.
func (c *Client) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]record.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", strconv.FormatInt(after, 10))
	q.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	var resp rangeResponse
	err := c.rest.Do(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, &resp)
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return nil, 0, &fault.GapError{After: after}
	}
	if err != nil {
		return nil, 0, named(err, prefix)
	}
	return resp.Records, resp.Revision, nil
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.rest.Do(ctx, method, path, in, out)
}

func keyPath(key string) string {
	return "/v1/keys/" + (&url.URL{Path: key}).EscapedPath()
}

func leasePath(lease int64) string {
	return "/v1/leases/" + strconv.FormatInt(lease, 10)
}

// named turns the service's statuses into typed errors. A status of 5xx says
// nothing about the write, like no answer at all; 429 says that the service
// turned the call away, which callers treat alike since it too is tried again
// later.
func named(err error, key string) error {
	var status *rest.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusNotFound:
		return &fault.NotFoundError{What: key}
	case http.StatusConflict:
		var body conflictResponse
		if json.Unmarshal(status.Body, &body) != nil {
			return &fault.UnavailableError{Peer: status.Peer, Cause: status}
		}
		return &fault.ConflictError{Key: key, Revision: body.Revision}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		// Tried again, a request that is wrong in itself would fail for ever.
		return &fault.FieldError{Field: key, Problem: strings.TrimSpace(string(status.Body))}
	}
	return &fault.UnavailableError{Peer: status.Peer, Cause: status}
}

func lapsed(err error, lease int64) error {
	var missing *fault.NotFoundError
	if err = named(err, "lease"); errors.As(err, &missing) {
		return &fault.LeaseLapsedError{Lease: lease}
	}
	return err
}
