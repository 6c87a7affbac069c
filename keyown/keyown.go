// Package keyown defines the resource that lists the key owners of a plain service: the
// endpoints that remember idempotency keys. The system writes it itself.
//
// Every entry and every sidecar looks up the owner of a key in this list, so two attempts
// of a request reach the same sidecar even if the entries that forwarded them see
// different sets of live endpoints.
package keyown

import (
	"github.com/lavendermux/lavendermux/fault"
)

// Owners is the spec of a resource of kind "home", which has the name of its service.
type Owners struct {
	// Sidecars lists the instances whose sidecars remember keys, without duplicates. An
	// instance that is only unreachable stays in the list, since another one would not
	// know what has run there.
	Sidecars []string `json:"doors"`
	// InitialIncarnations holds the incarnation of each sidecar, in the first list of a service
	// only. No request with a key ran before that list, so a sidecar of this incarnation
	// knows everything that ever ran under its keys. Without it a new deployment would
	// reject requests with keys until its history covers their IdempotencyKeyTTL.
	InitialIncarnations map[string]int64 `json:"founding,omitempty"`
}

// Validate returns a *fault.FieldsError if an instance is listed twice.
//
//	h := keyown.Owners{Sidecars: []string{"case-desk-1", "case-desk-2"}}
//	err := h.Validate()
func (h Owners) Validate() error {
	var bad fault.FieldsError
	seen := map[string]bool{}
	for _, id := range h.Sidecars {
		if seen[id] {
			bad.Addf("doors", "%q stands twice", id)
		}
		seen[id] = true
	}
	return bad.Err()
}
