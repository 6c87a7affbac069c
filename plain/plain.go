// Package plain is the client of a plain service, such as a booking service,
// that stands beside the model engines. It knows no more of the service than
// HTTP.
package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	peer = "plain service"
	// maxBody bounds an answer, in bytes: answers are carried whole.
	maxBody = 8 << 20
)

type (
	// Client calls one endpoint of a plain service. See New.
	Client struct {
		base string
		http *http.Client
	}

	// Option changes a Client as New makes it.
	Option func(*Client)

	// TooLargeError says that an answer is longer than the system carries. The
	// call ran.
	TooLargeError struct {
		// Limit is in bytes.
		Limit int64
	}

	// onceReader hides what kind of reader a request's body is. Go's transport
	// sends a request a second time by itself when the connection dies before
	// an answer and it knows how to read the body again, which an empty body or
	// a bytes.Reader lets it. The service may have run the first copy by then,
	// and a parent would hold two bookings. A body of unknown kind is sent at
	// most once.
	onceReader struct {
		io.Reader
	}
)

// New returns a client of the endpoint at base, such as "http://127.0.0.1:7300".
//
//	c := plain.New(base)
//	resp, err := c.Call(ctx, req)
func New(base string, opts ...Option) *Client {
	c := &Client{
		base: strings.TrimRight(base, "/"),
		http: http.DefaultClient,
	}
	for _, opt := range opts {
		opt(c)
	}
	// A redirect is the caller's to follow. Followed here, the caller would get the
	// answer to another request than its own, from wherever it points.
	own := *c.http
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &own
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

// Call runs req on the endpoint, once, and returns its whole answer. After a
// *fault.UnavailableError the call may have run.
func (c *Client) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	hreq, err := http.NewRequestWithContext(ctx, req.GetMethod(), c.base+req.GetPath(), onceReader{bytes.NewReader(req.GetBody())})
	if err != nil {
		return nil, errors.Wrap(err, "making a request to a plain service")
	}
	for _, h := range req.GetHeaders() {
		hreq.Header.Add(h.GetName(), h.GetValue())
	}
	resp, err := c.http.Do(hreq)
	if err != nil {
		return nil, &fault.UnavailableError{Peer: peer, Cause: err}
	}
	defer resp.Body.Close()
	return whole(req.GetRequestId(), resp)
}

// whole reads the answer to its end: a body that breaks off must not pass for a
// short answer.
func whole(id string, resp *http.Response) (*wire.CallResponse, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, &fault.UnavailableError{Peer: peer, Cause: err}
	}
	if len(body) > maxBody {
		return nil, &TooLargeError{Limit: maxBody}
	}
	out := &wire.CallResponse{RequestId: id, Status: int32(resp.StatusCode), Body: body}
	for name, values := range resp.Header {
		for _, v := range values {
			out.Headers = append(out.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return out, nil
}
