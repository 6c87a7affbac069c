// Package fault defines the error types that are shared between packages. Each is a
// type with fields, to be matched with errors.As.
//
// The most important pair is NotRunError and UnknownOutcomeError: the first
// guarantees that a request did not run, the second means that it is unknown
// whether it did. When in doubt, code returns the second.
package fault

import (
	"fmt"
	"time"
)

type (
	// NotRunError guarantees that a request did not run and will not.
	NotRunError struct {
		// Cause is a machine-readable code, such as "saturated".
		Cause string
		// Reason is a human-readable explanation.
		Reason string
		// RetryAfter is the delay before a retry is worthwhile; zero means none.
		RetryAfter time.Duration
	}

	// UnknownOutcomeError reports that a request may have run.
	UnknownOutcomeError struct {
		// Cause is a machine-readable code, such as "cutOff".
		Cause string
		// Reason is a human-readable explanation.
		Reason string
		// CrashedIncarnation identifies the endpoint's incarnation that crashed while it ran the
		// request; "" if it is alive or its state is unknown.
		CrashedIncarnation string
	}

	// FieldError reports an invalid field of an input.
	FieldError struct {
		// Field is the path of the field as in the input, such as "spec.pool".
		Field string
		// Problem says what is wrong and what is valid.
		Problem string
	}

	// ConflictError reports that a resource was modified since it was read.
	ConflictError struct {
		// Key is the key that was to be written.
		Key string
		// Revision is the current revision; 0 if the key does not exist.
		Revision int64
	}

	// NotFoundError reports that a resource does not exist.
	NotFoundError struct {
		// Resource is the kind and the name of the resource.
		Resource string
	}

	// FencedError reports that an order carried a stale fencing token: the job has
	// a later leader.
	FencedError struct {
		// Fence is the fencing token of the order.
		Fence int64
		// Current is the greatest fencing token seen.
		Current int64
	}

	// UnavailableError reports that a peer did not respond: the request may or may
	// not have taken effect there.
	UnavailableError struct {
		// Peer is the name of the peer.
		Peer string
		// Cause is the transport error.
		Cause error
	}

	// LeaseExpiredError reports that a lease has expired.
	LeaseExpiredError struct {
		// Lease is the ID of the lease.
		Lease int64
	}

	// CompactedError reports that the history that a watch needs is gone: the caller must
	// list all keys again before it continues.
	CompactedError struct {
		// After is the revision from which the watch was to continue.
		After int64
	}
)

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run (%s): %s; retry after %s", e.Cause, e.Reason, e.RetryAfter)
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown (%s): %s", e.Cause, e.Reason)
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Problem)
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: has moved on to revision %d", e.Key, e.Revision)
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return e.Resource + ": does not exist"
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is old: %d has been seen", e.Fence, e.Current)
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s gave no answer: %v", e.Peer, e.Cause)
}

// Unwrap returns the transport error.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// Error implements error.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d has lapsed", e.Lease)
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("watch after revision %d has missed changes", e.After)
}
