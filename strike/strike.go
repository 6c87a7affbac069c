// Package strike holds what instances tell each other about one request under which
// endpoints ended.
package strike

import "github.com/lavendermux/lavendermux/finger"

// Record is a request with the endpoints that ended under it. Records of one request are
// merged by union, in any order and as often as one likes.
type Record struct {
	Print finger.Print `json:"print"`
	// Ended has the boots of endpoints that ended under the request, each with how long ago,
	// in milliseconds; at least one.
	Ended map[string]int64 `json:"ended"`
	// Cleared has those boots of Ended that no longer count against the request: it was
	// answered since, or an operator said so.
	Cleared []string `json:"cleared,omitempty"`
}
