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
	kindNotRun     = "notRun"
	kindUnknown    = "outcomeUnknown"
	kindBadRequest = "badRequest"
	kindNotFound   = "notFound"
	// causeDeadline is the cause that maps to 504 Gateway Timeout.
	causeDeadline = "deadline"
)

type (
	// errorBody is the JSON body of an error response.
	errorBody struct {
		Error     errorDetail `json:"error"`
		RequestID string      `json:"requestId,omitempty"`
	}

	errorDetail struct {
		// Kind is notRun, outcomeUnknown, badRequest or notFound.
		Kind   string `json:"kind"`
		Cause  string `json:"cause,omitempty"`
		Reason string `json:"reason"`
		// RetryAfterMs is the delay before a retry, in milliseconds; set with notRun.
		RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
		// Field names the invalid field; set with badRequest.
		Field string `json:"field,omitempty"`
	}
)

// WriteError writes err as the JSON error response to the request id. Responses with
// status 503 carry a Retry-After header of at least one second.
func WriteError(w http.ResponseWriter, id string, err error) {
	detail, status := classify(err)
	if status == http.StatusServiceUnavailable {
		seconds := math.Ceil(float64(detail.RetryAfterMs) / float64(time.Second/time.Millisecond))
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	w.Header().Set("Content-Type", "application/json")
	if id != "" {
		w.Header().Set(RequestIDHeader, id)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail, RequestID: id})
}

// Body returns the status and the body that WriteError writes. An error of an unknown
// type becomes "outcome unknown": only a typed error can guarantee that the
// request did not run.
func Body(id string, err error) (int, []byte) {
	detail, status := classify(err)
	raw, err := json.Marshal(errorBody{Error: detail, RequestID: id})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return status, raw
}

func classify(err error) (errorDetail, int) {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
		field   *fault.FieldError
		fields  *fault.FieldsError
		missing *fault.NotFoundError
	)
	switch {
	// Checked first: an error that joins several attempts may also contain a "not
	// run", which holds for only one of them.
	case errors.As(err, &unknown) && unknown.Cause == causeDeadline:
		return errorDetail{Kind: kindUnknown, Cause: unknown.Cause, Reason: unknown.Reason}, http.StatusGatewayTimeout
	case errors.As(err, &unknown):
		return errorDetail{Kind: kindUnknown, Cause: unknown.Cause, Reason: unknown.Reason}, http.StatusBadGateway
	case errors.As(err, &notRun):
		return errorDetail{
			Kind:         kindNotRun,
			Cause:        notRun.Cause,
			Reason:       notRun.Reason,
			RetryAfterMs: notRun.RetryAfter.Milliseconds(),
		}, http.StatusServiceUnavailable
	// Checked before FieldError, which errors.As also finds in a FieldsError: the
	// caller would otherwise be told of only one invalid field at a time.
	case errors.As(err, &fields):
		return errorDetail{Kind: kindBadRequest, Reason: fields.Error(), Field: firstField(fields)}, http.StatusBadRequest
	case errors.As(err, &field):
		return errorDetail{Kind: kindBadRequest, Reason: field.Error(), Field: field.Field}, http.StatusBadRequest
	case errors.As(err, &missing):
		return errorDetail{Kind: kindNotFound, Reason: missing.Error()}, http.StatusNotFound
	}
	return errorDetail{Kind: kindUnknown, Cause: "internal", Reason: err.Error()}, http.StatusBadGateway
}

func firstField(e *fault.FieldsError) string {
	if len(e.Fields) == 0 {
		return ""
	}
	return e.Fields[0].Field
}
