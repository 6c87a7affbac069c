// Package offer holds the response to a trainer's pull.
package offer

import "github.com/lavendermux/lavendermux/sample"

// Offer is a set of samples together with the state that the trainer needs for its
// next pull.
type Offer struct {
	// Offer is the sequence number of the offer in its subscription; 0 if there are no
	// samples.
	Offer int64 `json:"offer"`
	// Cursor must be sent with the next pull, which acknowledges this offer.
	Cursor string `json:"cursor"`
	// Published is the trainer's newest weight version known to the system.
	Published string `json:"published"`
	// Open is the number of undelivered samples, including those of this offer.
	Open int `json:"open"`
	// Samples are within the staleness bound, scored and attributed, and none was
	// acknowledged before.
	Samples []sample.Sample `json:"samples"`
	// LostGroups names groups whose prompts were lost with an instance and that the
	// trainer must resubmit. Samples that it already has are not generated again.
	LostGroups []string `json:"missing,omitempty"`
}
