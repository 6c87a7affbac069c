// Package discov is the client of the platform's instance list (service discovery)
// and the only package that knows its protocol.
package discov

import (
	"context"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rest"
)

const (
	// defaultTimeout bounds one call; the list is only a hint and not worth a
	// longer wait.
	defaultTimeout = 2 * time.Second
)

type (
	// Client is a client of the instance list. See New.
	Client struct {
		rest *rest.Client
		http *http.Client
	}

	// Option configures a Client.
	Option func(*Client)

	listResponse struct {
		Instances []insts.Instance `json:"instances"`
	}
)

// New returns a client for the instance list at base, such as "http://127.0.0.1:7001".
//
//	c := discov.New(base)
//	all, err := c.List(ctx)
func New(base string, opts ...Option) *Client {
	c := &Client{http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	c.rest = rest.New("instance list", base, rest.WithHTTP(c.http))
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// List returns all instances in the list.
func (c *Client) List(ctx context.Context) ([]insts.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	var resp listResponse
	err := c.rest.Do(ctx, http.MethodGet, "/v1/instances", nil, &resp)
	return resp.Instances, err
}
