// Package rpcerr converts errors of package fault to wire messages and back, so
// that "not run" is preserved on every hop and no other error is ever converted
// into it.
package rpcerr

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CauseFenced marks an order with a stale fencing token.
	CauseFenced = "oldFence"
	// CauseBadField marks a request with an invalid field, which any endpoint would
	// reject.
	CauseBadField = "badField"
	// CauseInternal marks an error of an unknown type.
	CauseInternal = "internal"
)

// Encode converts err to a wire message. An error whose type guarantees nothing
// becomes "outcome unknown".
func Encode(err error, load *wire.DoorLoad) *wire.Refusal {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
		field   *fault.FieldError
		fenced  *fault.FencedError
	)
	switch {
	// Checked first: an error that joins several attempts may also contain a "not
	// run", which holds for only one of them.
	case errors.As(err, &unknown):
		return &wire.Refusal{
			Outcome: wire.Outcome_OUTCOME_UNKNOWN,
			Cause:   unknown.Cause,
			Reason:  unknown.Reason,
			Ended:   unknown.CrashedIncarnation,
			Load:    load,
		}
	case errors.As(err, &notRun):
		return &wire.Refusal{
			Outcome:      wire.Outcome_OUTCOME_NOT_RUN,
			Cause:        notRun.Cause,
			Reason:       notRun.Reason,
			RetryAfterMs: notRun.RetryAfter.Milliseconds(),
			Load:         load,
		}
	case errors.As(err, &field):
		return &wire.Refusal{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN,
			Cause:   CauseBadField,
			Reason:  field.Error(),
			Field:   field.Field,
			Load:    load,
		}
	case errors.As(err, &fenced):
		return &wire.Refusal{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN,
			Cause:   CauseFenced,
			Reason:  fenced.Error(),
			Fence:   fenced.Current,
			Load:    load,
		}
	}
	return &wire.Refusal{
		Outcome: wire.Outcome_OUTCOME_UNKNOWN,
		Cause:   CauseInternal,
		Reason:  err.Error(),
		Load:    load,
	}
}

// Decode converts a wire message back to an error, nil to nil. An unspecified outcome
// counts as unknown.
func Decode(r *wire.Refusal) error {
	switch {
	case r == nil:
		return nil
	case r.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN:
		return &fault.UnknownOutcomeError{Cause: r.GetCause(), Reason: r.GetReason(), CrashedIncarnation: r.GetEnded()}
	case r.GetCause() == CauseBadField:
		return &fault.FieldError{Field: r.GetField(), Problem: r.GetReason()}
	case r.GetCause() == CauseFenced:
		return &fault.FencedError{Current: r.GetFence()}
	}
	return &fault.NotRunError{
		Cause:      r.GetCause(),
		Reason:     r.GetReason(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
