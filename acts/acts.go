// Package acts defines the record of an automatic action on a resource.
package acts

import "time"

const (
	// VerbRepair is the repair of a detected fault.
	VerbRepair = "repair"
	// VerbReassign is the reassignment of a worker to another role.
	VerbReassign = "shift"
	// VerbReject summarizes rejections with the same cause.
	VerbReject = "refuse"
	// VerbAcquire is the acquisition of a job by a new holder.
	VerbAcquire = "takeOver"
	// VerbRollout is a step of the rollout of new weights.
	VerbRollout = "rollOut"
	// VerbEject is the ejection of an endpoint from load balancing, or its return.
	VerbEject = "eject"
	// VerbDrain is the draining of an endpoint that leaves.
	VerbDrain = "drain"
)

// Action is an action and its reason. Repetitions of an action are merged into one Action
// with a count.
type Action struct {
	// FirstAt is when the action was first taken, in UTC.
	FirstAt time.Time `json:"at"`
	// LastAt is when it was last taken; equal to FirstAt if Count is 1.
	LastAt time.Time `json:"last"`
	// Count is the number of times that it was taken; at least 1.
	Count int64 `json:"count"`
	// Verb is one of the constants above.
	Verb string `json:"verb"`
	// Summary is a short description of the action: "weights v12 loaded again on w7".
	Summary string `json:"what"`
	// Cause is the machine-readable cause, as in responses and metrics.
	Cause string `json:"cause"`
	// Reason is a human-readable reason with the numbers that led to the decision.
	Reason string `json:"why"`
	// Instance is the instance that took the action; set by the log that stores it.
	Instance string `json:"instance"`
}

// Equivalent reports whether d and other are repetitions of one action: their Verb, Summary and
// Cause are equal.
func (d Action) Equivalent(other Action) bool {
	return d.Verb == other.Verb && d.Summary == other.Summary && d.Cause == other.Cause
}
