// Package plain is the client of a plain service, such as a booking service, that
// is served alongside the model engines. It assumes nothing about the service but
// HTTP.
package plain

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/inbuf"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	peerName = "plain service"
	// maxBodyBytes bounds a response body, since responses are buffered completely.
	maxBodyBytes = 8 << 20
)

type (
	// Client calls one endpoint of a plain service. See New.
	Client struct {
		base string
		http *http.Client
		// bodies bounds the memory of responses that are being read.
		bodies *inbuf.Pool
	}

	// Option configures a Client in New.
	Option func(*Client)

	// TooLargeError reports that a response exceeds the size limit. The call has
	// run.
	TooLargeError struct {
		// Limit is in bytes.
		Limit int64
	}
)

// New returns a client of the endpoint at base, such as "http://127.0.0.1:7300".
//
//	c := plain.New(base)
//	resp, err := c.Call(ctx, req)
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:   strings.TrimRight(base, "/"),
		http:   http.DefaultClient,
		bodies: inbuf.New(inbuf.WithMaxMessage(maxBodyBytes)),
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

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the answer is too large to carry"
}

// Call sends req to the endpoint at most once and returns the complete response.
// After a *fault.UnavailableError the call may have run.
func (c *Client) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	hreq, err := http.NewRequestWithContext(ctx, req.GetMethod(), c.base+req.GetPath(), bytes.NewReader(req.GetBody()))
	if err != nil {
		return nil, errors.Wrap(err, "making a request to a plain service")
	}
	for _, h := range req.GetHeaders() {
		hreq.Header.Add(h.GetName(), h.GetValue())
	}
	conns.SendOnce(hreq) // the caller could hold two bookings
	resp, err := c.http.Do(hreq)
	if err != nil {
		return nil, &fault.UnavailableError{Peer: peerName, Cause: err}
	}
	defer resp.Body.Close()
	return c.readResponse(req.GetRequestId(), resp)
}

// readResponse reads the complete response: a truncated body must not pass for a
// short response.
func (c *Client) readResponse(id string, resp *http.Response) (*wire.CallResponse, error) {
	length := resp.ContentLength
	if resp.Request.Method == http.MethodHead {
		length = -1 // that of the body of another request
	}
	body, err := c.bodies.ReadAll(resp.Body, length)
	var tooLarge *inbuf.SizeError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &TooLargeError{Limit: maxBodyBytes}
	case err != nil:
		return nil, &fault.UnavailableError{Peer: peerName, Cause: err}
	}
	out := &wire.CallResponse{RequestId: id, Status: int32(resp.StatusCode), Body: body}
	for name, values := range resp.Header {
		for _, v := range values {
			out.Headers = append(out.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return out, nil
}
