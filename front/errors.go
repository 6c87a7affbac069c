package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
)

const (
	kindNotRun   = "notRun"
	kindUnknown  = "outcomeUnknown"
	kindBad      = "badRequest"
	kindNotFound = "notFound"
	// causeDeadline is the cause that becomes a gateway timeout.
	causeDeadline = "deadline"
)

type (
	// errorBody is what a caller gets in place of an answer.
	errorBody struct {
		Error     problem `json:"error"`
		RequestID string  `json:"requestId,omitempty"`
	}

	problem struct {
		// Kind is notRun, outcomeUnknown, badRequest or notFound.
		Kind   string `json:"kind"`
		Cause  string `json:"cause,omitempty"`
		Reason string `json:"reason"`
		// RetryAfterMs is when to come back, in milliseconds; with notRun.
		RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
		// Field is which field is wrong; with badRequest.
		Field string `json:"field,omitempty"`
	}
)

// Fail answers a request with err.
func Fail(w http.ResponseWriter, id string, err error) {
	p, status := describe(err)
	if status == http.StatusServiceUnavailable {
		seconds := math.Ceil(float64(p.RetryAfterMs) / float64(time.Second/time.Millisecond))
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	w.Header().Set("Content-Type", "application/json")
	if id != "" {
		w.Header().Set(RequestHeader, id)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: p, RequestID: id})
}

// Body returns the status and the body with which Fail answers. What has no type
// of its own becomes "outcome unknown": a promise that nothing ran is only made
// by who knows it.
func Body(id string, err error) (int, []byte) {
	p, status := describe(err)
	raw, err := json.Marshal(errorBody{Error: p, RequestID: id})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, raw
}

func describe(err error) (problem, int) {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
		field   *fault.FieldError
		fields  *fault.FieldsError
		missing *fault.NotFoundError
	)
	switch {
	// First, since an error that joins several attempts may hold a "not run" too,
	// which is true of one of them only.
	case errors.As(err, &unknown) && unknown.Cause == causeDeadline:
		return problem{Kind: kindUnknown, Cause: unknown.Cause, Reason: unknown.Reason}, http.StatusGatewayTimeout
	case errors.As(err, &unknown):
		return problem{Kind: kindUnknown, Cause: unknown.Cause, Reason: unknown.Reason}, http.StatusBadGateway
	case errors.As(err, &notRun):
		return problem{
			Kind:         kindNotRun,
			Cause:        notRun.Cause,
			Reason:       notRun.Reason,
			RetryAfterMs: notRun.RetryAfter.Milliseconds(),
		}, http.StatusServiceUnavailable
	// Before the single field, which is found in these as well: the caller would
	// learn of one wrong field at a time.
	case errors.As(err, &fields):
		return problem{Kind: kindBad, Reason: fields.Error(), Field: firstField(fields)}, http.StatusBadRequest
	case errors.As(err, &field):
		return problem{Kind: kindBad, Reason: field.Error(), Field: field.Field}, http.StatusBadRequest
	case errors.As(err, &missing):
		return problem{Kind: kindNotFound, Reason: missing.Error()}, http.StatusNotFound
	}
	return problem{Kind: kindUnknown, Cause: "internal", Reason: err.Error()}, http.StatusBadGateway
}

func firstField(e *fault.FieldsError) string {
	if len(e.Fields) == 0 {
		return ""
	}
	return e.Fields[0].Field
}
