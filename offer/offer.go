// Package offer holds the answer to a trainer's pull.
package offer

import "github.com/lavendermux/lavendermux/sample"

// Offer is some samples, and what the trainer needs to go on from them.
type Offer struct {
	// Offer numbers the offers of a subscription; 0 when there are no samples.
	Offer int64 `json:"offer"`
	// Cursor is sent with the next pull, which acknowledges this offer.
	Cursor string `json:"cursor"`
	// Published is the trainer's newest weight version that the system knows.
	Published string `json:"published"`
	// Open is how many samples the system still owes, this offer's included.
	Open int `json:"open"`
	// Samples are fresh, scored and attributed, and none was taken before.
	Samples []sample.Sample `json:"samples"`
	// Missing names groups whose prompts were lost with an instance: the trainer
	// submits them again. What it has of them already is not made anew.
	Missing []string `json:"missing,omitempty"`
}
