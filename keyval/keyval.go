// Package keyval is the client of the metadata store, the platform's key-value service.
// It is the only package that knows the store's protocol.
//
// Every write is a compare-and-swap. If the response is lost, the write returns a
// *fault.UnavailableError and the caller reads the key back to determine the outcome.
// Important values therefore contain the ID of the operation that wrote them.
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
	// Absent is the expected revision of a key that must not exist.
	Absent int64 = 0
	// defaultTimeout bounds a call. The store responds in milliseconds. Two seconds is
	// far more than that and still less than the TTL of a lease, so that a holder
	// notices an outage before its lease expires.
	defaultTimeout = 2 * time.Second
)

type (
	// Client makes calls to the metadata store. See New.
	Client struct {
		rest    *rest.Client
		http    *http.Client
		timeout time.Duration
	}

	// Option configures a Client; see New.
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

// New returns a Client of the store at the base URL, such as "http://127.0.0.1:7000".
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

// WithTimeout sets the timeout of a call; for Watch it is added to the time to wait. The
// default is 2 seconds.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// Get returns the record of key, or a *fault.NotFoundError.
func (c *Client) Get(ctx context.Context, key string) (record.Record, error) {
	var rec record.Record
	err := c.do(ctx, http.MethodGet, keyPath(key), nil, &rec)
	return rec, typedError(err, key)
}

// List returns the records whose keys start with prefix, in order, and the store's
// revision at which they were read.
func (c *Client) List(ctx context.Context, prefix string) ([]record.Record, int64, error) {
	var resp rangeResponse
	err := c.do(ctx, http.MethodGet, "/v1/range?prefix="+url.QueryEscape(prefix), nil, &resp)
	return resp.Records, resp.Revision, typedError(err, prefix)
}

// Put writes key if its revision is still expect, and returns the new revision. If
// lease is not 0, the key is removed when that lease ends.
//
// The error is a *fault.ConflictError if the key has another revision, a
// *fault.UnavailableError if there was no response and the write may have taken effect,
// a *fault.LeaseExpiredError if the lease does not exist, and a *fault.FieldError if the
// store rejects the value.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error) {
	var resp putResponse
	in := putRequest{Value: value, Expect: expect, Lease: lease}
	err := c.do(ctx, http.MethodPut, keyPath(key), in, &resp)
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusPreconditionFailed {
		return 0, &fault.LeaseExpiredError{Lease: lease}
	}
	return resp.Revision, typedError(err, key)
}

// Delete removes key if its revision is still expect. It returns the errors of Put.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	path := keyPath(key) + "?expect=" + strconv.FormatInt(expect, 10)
	return typedError(c.do(ctx, http.MethodDelete, path, nil, nil), key)
}

// Grant creates a lease that expires ttl after its last renewal, and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var resp leaseMessage
	err := c.do(ctx, http.MethodPost, "/v1/leases", leaseMessage{TTLMs: ttl.Milliseconds()}, &resp)
	return resp.ID, typedError(err, "lease")
}

// Renew restarts the TTL of lease, or returns a *fault.LeaseExpiredError.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	err := c.do(ctx, http.MethodPost, leasePath(lease)+"/renew", nil, nil)
	return leaseError(err, lease)
}

// Revoke ends lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return leaseError(c.do(ctx, http.MethodDelete, leasePath(lease), nil, nil), lease)
}

// Watch waits up to wait for changes of keys with a prefix after a revision, and returns
// them, if any, with the revision to continue from. The error is a *fault.CompactedError if the
// store no longer has all of them; the caller then lists the prefix again. The store
// counts a waiting watch as one call.
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
		return nil, 0, &fault.CompactedError{After: after}
	}
	if err != nil {
		return nil, 0, typedError(err, prefix)
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

// typedError converts the store's response codes to typed errors. A 5xx says as little
// about the outcome of a write as no response does. A 429 means that the store rejected
// the call; it gets the same error, since the caller retries it later in either case.
func typedError(err error, key string) error {
	var status *rest.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusNotFound:
		return &fault.NotFoundError{Resource: key}
	case http.StatusConflict:
		var body conflictResponse
		if json.Unmarshal(status.Body, &body) != nil {
			return &fault.UnavailableError{Peer: status.Peer, Cause: status}
		}
		return &fault.ConflictError{Key: key, Revision: body.Revision}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		// Not an UnavailableError: retries of an invalid request would always fail.
		return &fault.FieldError{Field: key, Problem: strings.TrimSpace(string(status.Body))}
	}
	return &fault.UnavailableError{Peer: status.Peer, Cause: status}
}

func leaseError(err error, lease int64) error {
	var notFound *fault.NotFoundError
	if err = typedError(err, "lease"); errors.As(err, &notFound) {
		return &fault.LeaseExpiredError{Lease: lease}
	}
	return err
}
