// Package homes holds the resource, written by the system itself, that says
// which endpoints of a plain service remember idempotency keys.
//
// Every entry and every door finds the home of a key in this one list, so two
// copies of a request meet at the same door though the entries that carried
// them see different lists of live endpoints.
package homes

import (
	"github.com/lavendermux/lavendermux/fault"
)

// Homes is the spec of a resource of kind "home", named for its service.
type Homes struct {
	// Doors are the instances that remember keys, none twice. An instance stays
	// in the list while it is merely unreachable: another one would not know
	// what has run there.
	Doors []string `json:"doors"`
	// Founding holds, in the first list of a service only, the boot number of
	// each door. Before that list no keyed call ran anywhere, so a door of this
	// very boot knows all that ever ran under its keys; without it a fresh
	// deployment would refuse keyed calls until its memory covers their window.
	Founding map[string]int64 `json:"founding,omitempty"`
}

// Validate returns a *fault.FieldsError when an instance stands twice.
//
//	h := homes.Homes{Doors: []string{"case-desk-1", "case-desk-2"}}
//	err := h.Validate()
func (h Homes) Validate() error {
	var bad fault.FieldsError
	seen := map[string]bool{}
	for _, d := range h.Doors {
		if seen[d] {
			bad.Addf("doors", "%q stands twice", d)
		}
		seen[d] = true
	}
	return bad.Err()
}
