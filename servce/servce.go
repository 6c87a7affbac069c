// Package servce defines the service resource: a plain (non-model) service, some
// of whose calls are not idempotent.
package servce

import (
	"net/http"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	defaultKeyWindow = xtime.Duration(10 * time.Minute)
	defaultTimeout   = xtime.Duration(5 * time.Second)
	defaultSlots     = 16
	maxSlots         = 1 << 16
)

var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Service is the spec of a resource of kind "service".
type Service struct {
	// Service is the name of the service in the instance list; not empty.
	Service string `json:"service"`
	// IdempotentMethods are the HTTP methods whose calls may be retried; all
	// other calls run at most once. The default is GET and HEAD.
	IdempotentMethods []string `json:"idempotentMethods"`
	// IdempotencyKeyTTL is how long an idempotency key is remembered. A duplicate that
	// arrives later is rejected, since it can no longer be recognized. The default
	// is 10m.
	IdempotencyKeyTTL xtime.Duration `json:"keyWindow"`
	// Timeout bounds one call; at most IdempotencyKeyTTL, so that a key outlives its
	// call. The default is 5s.
	Timeout xtime.Duration `json:"timeout"`
	// SlotsPerEndpoint is the maximum number of concurrent calls per endpoint. The
	// default is 16.
	SlotsPerEndpoint int `json:"slotsPerEndpoint"`
}

// Default returns a Service with default values; the service name has none.
//
//	s := servce.Default()
//	err := strict.Decode(raw, &s)
func Default() Service {
	return Service{
		IdempotentMethods: []string{http.MethodGet, http.MethodHead},
		IdempotencyKeyTTL: defaultKeyWindow,
		Timeout:           defaultTimeout,
		SlotsPerEndpoint:  defaultSlots,
	}
}

// Validate returns a *fault.FieldsError that lists every invalid field.
func (s Service) Validate() error {
	var bad fault.FieldsError
	bad.Check(s.Service != "", "service", "is empty; name the service as the instance list does")
	for _, m := range s.IdempotentMethods {
		if !slices.Contains(httpMethods, m) {
			bad.Addf("idempotentMethods", "holds %q, which is no HTTP method; write them in capitals", m)
		}
	}
	bad.Check(s.Timeout > 0, "timeout", "is not above zero")
	bad.Check(s.IdempotencyKeyTTL >= s.Timeout, "keyWindow", "is shorter than timeout; a key must outlive its call")
	bad.Check(s.SlotsPerEndpoint >= 1 && s.SlotsPerEndpoint <= maxSlots, "slotsPerEndpoint", "lies between 1 and 65536")
	return bad.Err()
}

// Idempotent reports whether calls with method may be retried.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}
