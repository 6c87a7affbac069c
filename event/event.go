// Package event defines one event of a history: what a caller, a trainer, an endpoint
// or an operator saw. Package check verifies histories.
package event

import "time"

const (
	// Sent says that a caller sends Request through Instance. Key and Idempotent say
	// whether it may be repeated.
	Sent = "asked"
	// Answered says that the caller received Answer as the complete answer to Request.
	Answered = "answered"
	// NotRun says that the caller is told that Request did not run.
	NotRun = "notRun"
	// UnknownOutcome says that the caller is told that Request may have run, or is
	// disconnected.
	UnknownOutcome = "unknown"

	// Started says that the endpoint Instance starts Request.
	Started = "ran"
	// Finished says that the endpoint Instance completed Request with Answer.
	Finished = "finished"
	// Generated says that the endpoint Instance really generated Tokens tokens of Slot,
	// from token From on, on weights Version, for Request.
	Generated = "made"

	// Leaving says that the endpoint Instance is told to drain.
	Leaving = "leaving"
	// Stopping says that Instance begins a planned stop.
	Stopping = "stopping"
	// Killed says that Instance dies without a planned stop.
	Killed = "killed"
	// Partitioned says that Instance is partitioned from the network.
	Partitioned = "cut"
	// Healed says that the partition of Instance has ended.
	Healed = "healed"

	// BoundSet says that the operator of Subscription sets its staleness bound to
	// Number.
	BoundSet = "bounded"
	// Published says that the trainer of Subscription published weights Version as its
	// version Number.
	Published = "published"
	// Submitted says that the trainer of Subscription is told that its Slot is
	// accepted.
	Submitted = "submitted"
	// Pulled says that the trainer of Subscription sends Pull.
	Pulled = "pulled"
	// Delivered says that the answer to Pull contained Slot under Offer, with the
	// weights in Spans and the text of Answer.
	Delivered = "delivered"

	// Accepted says that the operator is told that Resource is accepted at revision
	// Number.
	Accepted = "accepted"
	// Applied says that Instance applies Resource at revision Number.
	Applied = "inForce"
)

type (
	// Event is one event of a history. Its kind decides which fields are set.
	Event struct {
		// At is when it was observed, by the single clock of the test.
		At time.Time `json:"at"`
		// Kind is one of the constants of this package.
		Kind string `json:"kind"`
		// Instance is an entry or an endpoint.
		Instance string `json:"instance,omitempty"`
		// Request is unique for each submission; a caller that resubmits uses another
		// one with the same Key.
		Request string `json:"request,omitempty"`
		// ResumedFrom is the request whose tokens a resumed run continues; empty for a run
		// from the start, or when the recorder can't tell.
		ResumedFrom string `json:"after,omitempty"`
		// Key is the caller's idempotency key; empty when it has none.
		Key string `json:"key,omitempty"`
		// Idempotent requests may run more than once.
		Idempotent bool `json:"idempotent,omitempty"`
		// Answer is the body or a digest of it; equal for equal bodies.
		Answer string `json:"answer,omitempty"`
		// Subscription is the trainer's subscription.
		Subscription string `json:"subscription,omitempty"`
		// Slot is the group and index of a sample within Subscription.
		Slot string `json:"slot,omitempty"`
		// Pull is unique for each pull of a trainer.
		Pull string `json:"pull,omitempty"`
		// Offer is unique for each offer and kept when the offer is resent.
		Offer string `json:"offer,omitempty"`
		// Version is a weight version as the engine names it.
		Version string `json:"version,omitempty"`
		// From and Tokens are a range of tokens within a sample.
		From   int64 `json:"from,omitempty"`
		Tokens int64 `json:"tokens,omitempty"`
		// Spans are the versions that a delivered sample names: each has Version and
		// Tokens, and they are contiguous from token 0 on.
		Spans []Event `json:"spans,omitempty"`
		// Resource is what an operator changed; empty for all resources.
		Resource string `json:"resource,omitempty"`
		// Number is a revision, a version's number or a staleness bound.
		Number int64 `json:"number,omitempty"`
	}
)
