// Package condit defines the conditions that prevent a resource from being applied.
package condit

import "time"

// Condition is a problem of a resource that operators should know about.
type Condition struct {
	// Cause is a machine-readable identifier, such as "unreadable".
	Cause string `json:"cause"`
	// Reason is a human-readable sentence that states the problem and the remedy.
	Reason string `json:"reason"`
	// Since is when the condition began; zero if unknown.
	Since time.Time `json:"since,omitzero"`
}
