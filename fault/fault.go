// Package fault holds the errors that cross package borders, so that each is
// one type with fields and is matched by errors.As.
//
// The most important pair is NotRunError and UnknownOutcomeError: the first is
// a promise that a request did not run, the second says that nobody can tell.
// When in doubt, code returns the second.
package fault

import (
	"fmt"
	"time"
)

type (
	// NotRunError says that a request did not run and will not.
	NotRunError struct {
		// Cause is a short word for machines, such as "saturated".
		Cause string
		// Reason is a sentence for people.
		Reason string
		// RetryAfter is when asking again is worth while; zero means at once.
		RetryAfter time.Duration
	}

	// UnknownOutcomeError says that a request may have run.
	UnknownOutcomeError struct {
		// Cause is a short word for machines, such as "cutOff".
		Cause string
		// Reason is a sentence for people.
		Reason string
		// Ended names the boot of the endpoint that ended while it ran the request;
		// "" where it lives, or nobody can tell.
		Ended string
	}

	// FieldError says which field of an input is wrong, and why.
	FieldError struct {
		// Field is the path of the field as the sender wrote it: "spec.pool".
		Field string
		// Problem is what is wrong and what would be right.
		Problem string
	}

	// ConflictError says that a resource moved on since it was read.
	ConflictError struct {
		// Key names what was to be written.
		Key string
		// Revision is the current one; 0 when the key does not exist.
		Revision int64
	}

	// NotFoundError says that a named thing does not exist.
	NotFoundError struct {
		// What names it, kind and name.
		What string
	}

	// OldFenceError says that an order carried a fencing number that a later
	// holder of the same job has overtaken.
	OldFenceError struct {
		// Fence is the number that the order carried.
		Fence int64
		// Current is the greatest number that has been seen.
		Current int64
	}

	// UnavailableError says that a peer gave no answer at all: the request may
	// or may not have taken effect there.
	UnavailableError struct {
		// Peer names who was asked.
		Peer string
		// Cause is what the transport said.
		Cause error
	}

	// LeaseLapsedError says that a lease no longer exists.
	LeaseLapsedError struct {
		// Lease is its number.
		Lease int64
	}

	// GapError says that a watch has missed changes and must start again from
	// a whole read.
	GapError struct {
		// After is the revision that the watch asked to continue from.
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
	return e.What + ": does not exist"
}

// Error implements error.
func (e *OldFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is old: %d has been seen", e.Fence, e.Current)
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s gave no answer: %v", e.Peer, e.Cause)
}

// Unwrap returns what the transport said.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// Error implements error.
func (e *LeaseLapsedError) Error() string {
	return fmt.Sprintf("lease %d has lapsed", e.Lease)
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("watch after revision %d has missed changes", e.After)
}
