// Package deed holds one thing that the system did about a resource by itself.
package deed

import "time"

const (
	// VerbRepair is the mending of something that was found broken.
	VerbRepair = "repair"
	// VerbShift is the move of a worker from one use to another.
	VerbShift = "shift"
	// VerbRefuse sums up refusals of one cause.
	VerbRefuse = "refuse"
	// VerbTakeOver is a job's new holder.
	VerbTakeOver = "takeOver"
	// VerbRollOut is a step of bringing new weights into force.
	VerbRollOut = "rollOut"
	// VerbEject is the setting aside of an endpoint, or its return.
	VerbEject = "eject"
	// VerbDrain is the emptying of an endpoint that leaves.
	VerbDrain = "drain"
)

// Deed is what was done and why. Equal deeds that follow each other are one
// with a count.
type Deed struct {
	// At is when it was done first, in UTC.
	At time.Time `json:"at"`
	// Last is when it was done last; At unless Count is above 1.
	Last time.Time `json:"last"`
	// Count is how often; at least 1.
	Count int64 `json:"count"`
	// Verb is one of the constants.
	Verb string `json:"verb"`
	// What was done, as a short sentence: "weights v12 loaded again on w7".
	What string `json:"what"`
	// Cause is the short word for why, the same as in answers and metrics.
	Cause string `json:"cause"`
	// Why is a sentence for people with the figures that decided it.
	Why string `json:"why"`
	// Instance did it; set by the log that keeps it.
	Instance string `json:"instance"`
}

// Same reports whether two deeds differ in time and count only.
func (d Deed) Same(other Deed) bool {
	return d.Verb == other.Verb && d.What == other.What && d.Cause == other.Cause
}
