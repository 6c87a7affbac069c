// Package wstore is the client of the platform's weight store and the only package
// that knows its protocol. Engines fetch weights themselves; the system only
// queries whether a version exists and its size, to keep staging within the store's
// rate.
package wstore

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/rest"
)

type (
	// Client is a client of the weight store. See New.
	Client struct {
		rest *rest.Client
		http *http.Client
	}

	// Option configures a Client.
	Option func(*Client)

	versionResponse struct {
		Bytes int64 `json:"bytes"`
	}
)

// New returns a client for the weight store at base, such as "http://127.0.0.1:7002".
//
//	c := wstore.New(base)
//	n, err := c.Size(ctx, "draft", "12")
func New(base string, opts ...Option) *Client {
	c := &Client{http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	c.rest = rest.New("weight store", base, rest.WithHTTP(c.http))
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// Size returns the size of a version of a model in bytes, or a *fault.NotFoundError
// if the store has no such version.
func (c *Client) Size(ctx context.Context, model, version string) (int64, error) {
	var resp versionResponse
	path := "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version)
	err := c.rest.Do(ctx, http.MethodGet, path, nil, &resp)
	var status *rest.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return 0, &fault.NotFoundError{Resource: "weights of " + model + " version " + version}
	}
	return resp.Bytes, err
}
