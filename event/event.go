// Package event holds one line of a history: what a caller, a trainer, an
// endpoint or an operator saw. Histories are checked by package check.
package event

import "time"

const (
	// Asked says that a caller sends Request through Instance. Key and Idempotent say what
	// may be repeated.
	Asked = "asked"
	// Answered says that the caller has Answer as the whole answer to Request.
	Answered = "answered"
	// NotRun says that the caller is told that Request did not run.
	NotRun = "notRun"
	// Unknown says that the caller is told that Request may have run, or is cut off.
	Unknown = "unknown"

	// Ran says that the endpoint Instance begins Request.
	Ran = "ran"
	// Finished says that the endpoint Instance has made Answer for Request.
	Finished = "finished"
	// Made says that the endpoint Instance truly made Tokens tokens of Slot, from
	// token From on, on weights Version, for Request.
	Made = "made"

	// Leaving says that the endpoint Instance learns that it is to leave.
	Leaving = "leaving"
	// Stopping says that Instance begins a planned stop.
	Stopping = "stopping"
	// Killed says that Instance dies without a planned stop.
	Killed = "killed"
	// Cut says that Instance loses its links.
	Cut = "cut"
	// Healed says that Instance has its links again.
	Healed = "healed"

	// Bounded says that the operator of Subscription sets its staleness bound to Number.
	Bounded = "bounded"
	// Published says that the trainer of Subscription has published weights Version; they
	// are its version Number.
	Published = "published"
	// Submitted says that the trainer of Subscription has been told that its Slot is
	// accepted.
	Submitted = "submitted"
	// Pulled says that the trainer of Subscription sends Pull.
	Pulled = "pulled"
	// Delivered says that the answer to Pull brought Slot under Offer, with the
	// weights that Spans name and the text that Answer stands for.
	Delivered = "delivered"

	// Accepted says that the operator is told that Resource is accepted as of Number, a
	// revision.
	Accepted = "accepted"
	// InForce says that Instance goes by Resource as of Number, a revision.
	InForce = "inForce"
)

type (
	// Event is one line of a history. Which fields count depends on its kind.
	Event struct {
		// At is when it was seen, by the one clock of the test.
		At time.Time `json:"at"`
		// Kind is one of the constants of this package.
		Kind string `json:"kind"`
		// Instance is an entry or an endpoint.
		Instance string `json:"instance,omitempty"`
		// Request is unique for each sending of a caller; a caller who asks again
		// uses another one with the same Key.
		Request string `json:"request,omitempty"`
		// After is the request whose tokens a resumed run goes on from; empty for a
		// run from the start, or when whoever made the event can't tell.
		After string `json:"after,omitempty"`
		// Key is the caller's idempotency key; empty when it has none.
		Key string `json:"key,omitempty"`
		// Idempotent requests may run more than once.
		Idempotent bool `json:"idempotent,omitempty"`
		// Answer is the body, or a digest of it; equal for equal bodies.
		Answer string `json:"answer,omitempty"`
		// Subscription is a trainer's.
		Subscription string `json:"subscription,omitempty"`
		// Slot is group and index of a sample within Subscription.
		Slot string `json:"slot,omitempty"`
		// Pull is unique for each pull of a trainer.
		Pull string `json:"pull,omitempty"`
		// Offer is the same when an offer is sent again, and else unique.
		Offer string `json:"offer,omitempty"`
		// Version is a weight version in the engine's word.
		Version string `json:"version,omitempty"`
		// From and Tokens give a run of tokens within a sample.
		From   int64 `json:"from,omitempty"`
		Tokens int64 `json:"tokens,omitempty"`
		// Spans are the versions that a delivered sample names: each holds
		// Version and Tokens, and they follow each other from token 0 on.
		Spans []Event `json:"spans,omitempty"`
		// Resource names what an operator changed; empty for all of them.
		Resource string `json:"resource,omitempty"`
		// Number is a revision, a version's number or a staleness bound.
		Number int64 `json:"number,omitempty"`
	}
)
