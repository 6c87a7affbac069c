// Package trial describes an attempt to generate a sample.
package trial

import "github.com/lavendermux/lavendermux/wire"

// Attempt is one attempt to generate the sample of a slot. A slot may have several
// attempts; the first to succeed provides its sample.
type Attempt struct {
	// ID is unique among all subscriptions and their owners.
	ID string
	// SampleID is the ID of the sample.
	SampleID string
	// Prompt, MaxTokens and ExpectedLength, in tokens, are those of the sample's group.
	Prompt         string
	MaxTokens      int64
	ExpectedLength int64
	// Prior is the output of an earlier attempt, which this one continues.
	Prior []*wire.Segment
	// AvoidWorker names a worker that must not run the attempt; empty for none.
	AvoidWorker string
	// Stop is the ID of an attempt that must be stopped first; empty for none.
	Stop string
}
