// Package condit holds what stands against a resource being in force.
package condit

import "time"

// Condition is one thing that an operator should know about a resource.
type Condition struct {
	// Cause is a short word for machines, such as "unreadable".
	Cause string `json:"cause"`
	// Reason is a sentence for people: what is the case and what to do.
	Reason string `json:"reason"`
	// Since is when it began, as far as is known.
	Since time.Time `json:"since,omitzero"`
}
