// Package rest is a JSON-over-HTTP client for the platform's services.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/fault"
)

const (
	// defaultMaxResponse limits what is read of one answer. The key-value service's values
	// reach a megabyte, which base64 makes a third larger, and a range answer holds many.
	defaultMaxResponse = 64 << 20
	// maxErrorBodyBytes limits what is kept of an error's body.
	maxErrorBodyBytes = 4 << 10
)

type (
	// Client sends requests to one peer. The zero Client is not usable; see New.
	Client struct {
		peer string
		base string
		http *http.Client
		// maxResponse limits what is read of one answer, in bytes.
		maxResponse int64
	}

	// StatusError is an answer other than success.
	StatusError struct {
		// Peer is the name of the peer that answered.
		Peer string
		// Status is the HTTP status code.
		Status int
		// Body is the start of the answer's body.
		Body []byte
	}

	// Option configures a Client in New.
	Option func(*Client)
)

// New returns a client whose errors name the peer as peer and whose requests go to base,
// such as "http://127.0.0.1:7000".
//
//	c := rest.New("scorer", "http://127.0.0.1:7000")
//	err := c.Do(ctx, http.MethodPost, "/v1/score", in, &out)
func New(peer, base string, opts ...Option) *Client {
	c := &Client{
		peer: peer,
		base: strings.TrimRight(base, "/"),
		http: http.DefaultClient,

		maxResponse: defaultMaxResponse,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http = conns.WithoutRedirects(c.http)
	return c
}

// WithHTTP sets the HTTP client. The default is http.DefaultClient.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// WithMaxResponse limits what is read of one answer, in bytes. The default is 64 MiB.
func WithMaxResponse(n int64) Option {
	return func(c *Client) { c.maxResponse = n }
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Peer, e.Status, strings.TrimSpace(string(e.Body)))
}

// Do sends in as JSON, unless it is nil, and decodes the answer into out, unless that is
// nil. An answer other than 2xx is a *StatusError; no answer is a
// *fault.UnavailableError, after which it is unknown whether the request took effect.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	resp, err := c.Open(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(io.LimitReader(resp.Body, c.maxResponse)).Decode(out); err != nil {
			return &fault.UnavailableError{Peer: c.peer, Cause: errors.Wrap(err, "reading the answer")}
		}
	}
	if err := conns.Drain(resp.Body, maxErrorBodyBytes); err != nil {
		return &fault.UnavailableError{Peer: c.peer, Cause: errors.Wrap(err, "reading the answer")}
	}
	return nil
}

// Open is Do for an answer that is read incrementally. The caller closes the body.
func (c *Client) Open(ctx context.Context, method, path string, in any) (*http.Response, error) {
	req, err := c.request(ctx, method, path, in)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &fault.UnavailableError{Peer: c.peer, Cause: err}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err == nil {
		err = conns.Drain(resp.Body, maxErrorBodyBytes)
	}
	if err != nil {
		return nil, &fault.UnavailableError{Peer: c.peer, Cause: err}
	}
	return nil, &StatusError{Peer: c.peer, Status: resp.StatusCode, Body: body}
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrapf(err, "encoding a request to %s", c.peer)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Wrapf(err, "making a request to %s", c.peer)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
