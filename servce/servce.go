// Package servce holds the resource kind of a plain service: one that stands
// beside the model engines and some of whose calls may not be repeated.
package servce

import (
	"net/http"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/span"
)

const (
	defaultKeyWindow = span.Duration(10 * time.Minute)
	defaultTimeout   = span.Duration(5 * time.Second)
	defaultSlots     = 16
	slotBound        = 1 << 16
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Service is the spec of a resource of kind "service".
type Service struct {
	// Service is the name that the instance list gives its endpoints; not empty.
	Service string `json:"service"`
	// IdempotentMethods are the HTTP methods whose calls may be repeated; every
	// other call runs at most once. The default is GET and HEAD.
	IdempotentMethods []string `json:"idempotentMethods"`
	// KeyWindow is how long an idempotency key is remembered. A copy that comes
	// later is refused as too late to tell. The default is 10m.
	KeyWindow span.Duration `json:"keyWindow"`
	// Timeout is how long a call may take; at most KeyWindow, so that a key
	// outlives its call. The default is 5s.
	Timeout span.Duration `json:"timeout"`
	// SlotsPerEndpoint is how many calls run at one endpoint at a time. The
	// default is 16.
	SlotsPerEndpoint int `json:"slotsPerEndpoint"`
}

// Default returns a Service with every default set; service lacks.
//
//	s := servce.Default()
//	err := strict.Decode(raw, &s)
func Default() Service {
	return Service{
		IdempotentMethods: []string{http.MethodGet, http.MethodHead},
		KeyWindow:         defaultKeyWindow,
		Timeout:           defaultTimeout,
		SlotsPerEndpoint:  defaultSlots,
	}
}

// Validate returns a *fault.FieldsError that names all fields which break their
// invariant.
func (s Service) Validate() error {
	var bad fault.FieldsError
	bad.Check(s.Service != "", "service", "is empty; name the service as the instance list does")
	for _, m := range s.IdempotentMethods {
		if !slices.Contains(methods, m) {
			bad.Addf("idempotentMethods", "holds %q, which is no HTTP method; write them in capitals", m)
		}
	}
	bad.Check(s.Timeout > 0, "timeout", "is not above zero")
	bad.Check(s.KeyWindow >= s.Timeout, "keyWindow", "is shorter than timeout; a key must outlive its call")
	bad.Check(s.SlotsPerEndpoint >= 1 && s.SlotsPerEndpoint <= slotBound, "slotsPerEndpoint", "lies between 1 and 65536")
	return bad.Err()
}

// Idempotent reports whether calls with method may be repeated.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}
