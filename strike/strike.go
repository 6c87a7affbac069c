// Package strike defines the record that instances exchange about one request under which
// endpoints crashed.
package strike

import "github.com/lavendermux/lavendermux/reqfp"

// Record holds the strikes of one request: the incarnations of endpoints that crashed under
// it. Records of the same request are merged by union, in any order and any number of
// times.
type Record struct {
	Fingerprint reqfp.Fingerprint `json:"print"`
	// Ended maps the incarnations that crashed under the request to how long ago that was,
	// in milliseconds. It has at least one.
	Ended map[string]int64 `json:"ended"`
	// Cleared lists the incarnations in Ended that no longer count against the request: it
	// has been answered since, or an operator cleared it.
	Cleared []string `json:"cleared,omitempty"`
}
