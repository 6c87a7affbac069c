// Package apierr implements the JSON error responses of the system's HTTP APIs.
package apierr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// OutcomeNotRun guarantees that the request had no effect.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown means that the request may have had an effect.
	OutcomeUnknown = "outcomeUnknown"

	// CodeInvalid means that the input is invalid; Fields lists the problems.
	CodeInvalid = "invalid"
	// CodeNotFound means that a resource does not exist.
	CodeNotFound = "notFound"
	// CodeConflict means that a resource was modified; Revision is the current one.
	CodeConflict = "conflict"
	// CodeUnauthenticated means that the client is not authenticated.
	CodeUnauthenticated = "unauthenticated"
	// CodeForbidden means that the client lacks the permission.
	CodeForbidden = "forbidden"
	// CodeInternal means an internal error of the system.
	CodeInternal = "internal"
)

type (
	// Response is the value of "error" in the body of an error response.
	Response struct {
		// Code is machine-readable: one of the Code constants, or the cause of a
		// refusal such as "saturated".
		Code string `json:"code"`
		// Reason is a human-readable explanation.
		Reason string `json:"reason"`
		// Outcome is OutcomeNotRun or OutcomeUnknown; never empty, and OutcomeUnknown
		// unless the type of the error guarantees otherwise.
		Outcome string `json:"outcome"`
		// RetryAfter is the delay before a retry is worthwhile; absent for none.
		RetryAfter xtime.Duration `json:"retryAfter,omitzero"`
		// Fields lists the problems of the input.
		Fields []field `json:"fields,omitempty"`
		// Revision is the current revision of the resource after a conflict.
		Revision int64 `json:"revision,omitempty"`
		// Operation is the operation ID to use for a retry.
		Operation string `json:"operation,omitempty"`
		// Current is the current state of the resource after a conflict.
		Current json.RawMessage `json:"current,omitempty"`
	}

	field struct {
		Field   string `json:"field"`
		Problem string `json:"problem"`
	}

	envelope struct {
		Error *Response `json:"error"`
	}
)

// FromError converts err. An error of an unknown type becomes one with unknown outcome.
//
//	f := apierr.FromError(err)
//	f.Write(w)
func FromError(err error) Response {
	var (
		fields   *fault.FieldsError
		single   *fault.FieldError
		notRun   *fault.NotRunError
		unknown  *fault.UnknownOutcomeError
		conflict *fault.ConflictError
		missing  *fault.NotFoundError
	)
	f := Response{Code: CodeInternal, Reason: err.Error(), Outcome: OutcomeUnknown}
	switch {
	case errors.As(err, &notRun):
		f = Response{Code: notRun.Cause, Reason: notRun.Reason, Outcome: OutcomeNotRun, RetryAfter: xtime.Duration(notRun.RetryAfter)}
	case errors.As(err, &unknown):
		f.Code, f.Reason = unknown.Cause, unknown.Reason
	case errors.As(err, &fields):
		f.Code, f.Outcome, f.Fields = CodeInvalid, OutcomeNotRun, toFields(fields.Fields)
	case errors.As(err, &single):
		f.Code, f.Outcome, f.Fields = CodeInvalid, OutcomeNotRun, toFields([]*fault.FieldError{single})
	case errors.As(err, &conflict):
		f.Code, f.Outcome, f.Revision = CodeConflict, OutcomeNotRun, conflict.Revision
	case errors.As(err, &missing):
		f.Code, f.Outcome = CodeNotFound, OutcomeNotRun
	}
	return f
}

// Err converts a received Response back to the typed error.
func (f Response) Err() error {
	switch {
	case f.Code == CodeInvalid:
		bad := &fault.FieldsError{}
		for _, one := range f.Fields {
			bad.Addf(one.Field, "%s", one.Problem)
		}
		if len(bad.Fields) == 0 {
			bad.Addf("", "%s", f.Reason)
		}
		return bad
	case f.Code == CodeConflict:
		return &fault.ConflictError{Key: f.subject(), Revision: f.Revision}
	case f.Code == CodeNotFound:
		return &fault.NotFoundError{Resource: f.subject()}
	case f.Outcome == OutcomeNotRun:
		return &fault.NotRunError{Cause: f.Code, Reason: f.Reason, RetryAfter: f.RetryAfter.Std()}
	}
	return &fault.UnknownOutcomeError{Cause: f.Code, Reason: f.Reason}
}

// subject returns the resource named at the beginning of the reason.
func (f Response) subject() string {
	what, _, _ := strings.Cut(f.Reason, ": ")
	return what
}

// Parse decodes a Response from the body of a response, and reports whether the body
// is one.
func Parse(body []byte) (Response, bool) {
	var e envelope
	if json.Unmarshal(body, &e) != nil || e.Error == nil || e.Error.Code == "" {
		return Response{}, false
	}
	return *e.Error, true
}

// Status returns the HTTP status of f. An unknown outcome is 504 and not
// 503, since clients consider a 503 safe to retry.
func (f Response) Status() int {
	switch {
	case f.Code == CodeInvalid:
		return http.StatusBadRequest
	case f.Code == CodeNotFound:
		return http.StatusNotFound
	case f.Code == CodeConflict:
		return http.StatusConflict
	case f.Code == CodeUnauthenticated:
		return http.StatusUnauthorized
	case f.Code == CodeForbidden:
		return http.StatusForbidden
	case f.Code == CodeInternal:
		return http.StatusInternalServerError
	case f.Outcome == OutcomeNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// Write writes f as the response.
func (f Response) Write(w http.ResponseWriter) {
	if f.RetryAfter > 0 {
		seconds := math.Ceil(f.RetryAfter.Std().Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, f.Status(), envelope{Error: &f})
}

// WriteJSON writes v as the response. The JSON is indented, since people read it too.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		status = http.StatusInternalServerError
		raw = []byte(`{"error":{"code":"internal","reason":"the answer could not be encoded","outcome":"outcomeUnknown"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

// WriteError writes err as an error response.
func WriteError(w http.ResponseWriter, err error) {
	FromError(err).Write(w)
}

// Busy returns the error for a request beyond a limit. The request did not run and
// may be retried after the given delay.
func Busy(cause, reason string, after time.Duration) error {
	return &fault.NotRunError{Cause: cause, Reason: reason, RetryAfter: after}
}

func toFields(all []*fault.FieldError) []field {
	fields := make([]field, len(all))
	for i, f := range all {
		fields[i] = field{Field: f.Field, Problem: f.Problem}
	}
	return fields
}
