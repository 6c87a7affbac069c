// Package refuse carries the refusals of package fault between processes and to
// callers, so that "not run" stays "not run" on every hop and nothing else ever
// turns into it.
package refuse

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CauseOldFence marks an order that a later holder has overtaken.
	CauseOldFence = "oldFence"
	// CauseBadField marks a request that no endpoint would take.
	CauseBadField = "badField"
	// CauseInternal marks an error that has no type of its own.
	CauseInternal = "internal"
)

// Wire returns the refusal that says err to another process. An error whose
// type promises nothing becomes "outcome unknown".
func Wire(err error, load *wire.DoorLoad) *wire.Refusal {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
		field   *fault.FieldError
		fence   *fault.OldFenceError
	)
	switch {
	// First, since an error that joins several attempts may hold a "not run" too,
	// which is true of one of them only.
	case errors.As(err, &unknown):
		return &wire.Refusal{
			Outcome: wire.Outcome_OUTCOME_UNKNOWN,
			Cause:   unknown.Cause,
			Reason:  unknown.Reason,
			Ended:   unknown.Ended,
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
	case errors.As(err, &fence):
		return &wire.Refusal{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN,
			Cause:   CauseOldFence,
			Reason:  fence.Error(),
			Fence:   fence.Current,
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

// Error returns the error that another process's refusal stands for, or nil for
// none. A refusal whose outcome is not stated counts as unknown.
func Error(r *wire.Refusal) error {
	switch {
	case r == nil:
		return nil
	case r.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN:
		return &fault.UnknownOutcomeError{Cause: r.GetCause(), Reason: r.GetReason(), Ended: r.GetEnded()}
	case r.GetCause() == CauseBadField:
		return &fault.FieldError{Field: r.GetField(), Problem: r.GetReason()}
	case r.GetCause() == CauseOldFence:
		return &fault.OldFenceError{Current: r.GetFence()}
	}
	return &fault.NotRunError{
		Cause:      r.GetCause(),
		Reason:     r.GetReason(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
