// Package upstr defines how a request is sent to an upstream endpoint: the call, its
// response, and errors that tell whether the request may have run.
package upstr

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/reqbuf"
)

// FromStart is the LastEventID of a Call that requests a stream from its start.
const FromStart int64 = -1

type (
	// Sender sends calls to endpoints.
	Sender interface {
		// Send returns once the response headers have arrived. Its errors are
		// *NotRunError and *UnknownOutcomeError.
		Send(ctx context.Context, c Call) (*Response, error)
	}

	// Call is one attempt to run a request on an endpoint.
	Call struct {
		Endpoint endpt.Endpoint
		// ID identifies the request to the endpoint.
		ID     string
		Method string
		// Target is the path and query.
		Target string
		Host   string
		Header http.Header
		Body   *reqbuf.Body
		// Customer is the customer that the request runs for; "" if customers have no keys.
		Customer string
		// Timeout is the remaining time, sent to the endpoint; 0 sends none.
		Timeout time.Duration
		// LastEventID is the ID of the last stream event already received, to resume after.
		LastEventID int64
		// OnSent, if not nil, is called once the complete request is written, before Send
		// returns.
		OnSent func()
	}

	// Response is an endpoint's response. The caller must close Body.
	Response struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Length is the body's length in bytes; -1 if unknown.
		Length int64
		// Version is the weight version at the start of the response; 0 if unknown.
		Version int64
		// Receipt is the endpoint's signature of the response; "" if there is none.
		Receipt string
		// ConnClosing is set if the endpoint closes the connection after this response.
		ConnClosing bool
	}

	// NotRunError means that the request has not run at this endpoint and never will.
	NotRunError struct {
		Endpoint string
		Status   int
		// Gone is set if the address now belongs to another endpoint.
		Gone  bool
		Cause error
	}

	// UnknownOutcomeError means that the request may have run.
	UnknownOutcomeError struct {
		Endpoint string
		Cause    error
	}
)

// Error names the endpoint and why the request did not run.
func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("endpoint %s: not run: %v", e.Endpoint, e.Cause)
	}
	return fmt.Sprintf("endpoint %s: not run: status %d", e.Endpoint, e.Status)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error names the endpoint and the failure.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("endpoint %s: may have run: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
