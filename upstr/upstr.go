// Package upstr is how the product sends a request to an endpoint: what it hands
// over, what comes back, and what a failure says about whether the request ran.
package upstr

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
)

// NoEvent is a Call's LastEvent that asks for a stream from its start.
const NoEvent int64 = -1

type (
	// Sender sends calls to endpoints.
	Sender interface {
		// Send returns once the head of the answer is there. Its errors are
		// *NotRunError and *UnknownError.
		Send(ctx context.Context, c Call) (*Answer, error)
	}

	// Call is one send of a request.
	Call struct {
		Endpoint endpt.Endpoint
		// ID is the request's identity towards the endpoint.
		ID     string
		Method string
		// Target is path and query.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Customer is in whose name the request runs; "" where customers have no keys.
		Customer string
		// Budget is the time that is left; 0 sends none.
		Budget time.Duration
		// LastEvent is the last event of a stream that is there already.
		LastEvent int64
		// Sent is called when the whole request was sent, before Send returns; nil if nobody
		// asks.
		Sent func()
	}

	// Answer is an endpoint's answer. Body must be closed.
	Answer struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Length is the body's length, or -1.
		Length int64
		// Version is the weight version at the start of the answer; 0 is unknown.
		Version int64
		// Receipt is the endpoint's signature of the answer; "" if it gave none.
		Receipt string
		// Leaving says that the endpoint closes the connection after this.
		Leaving bool
	}

	// NotRunError says that the request has not run and never will at this
	// endpoint.
	NotRunError struct {
		Endpoint string
		Status   int
		// Gone says that another endpoint has the address.
		Gone  bool
		Cause error
	}

	// UnknownError says that the request may have run.
	UnknownError struct {
		Endpoint string
		Cause    error
	}
)

// Error names the endpoint and why it didn't run the request.
func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("endpoint %s: not run: %v", e.Endpoint, e.Cause)
	}
	return fmt.Sprintf("endpoint %s: not run: status %d", e.Endpoint, e.Status)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error names the endpoint and what broke.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("endpoint %s: may have run: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
