// Package trial holds one attempt at a sample.
package trial

import "github.com/lavendermux/lavendermux/wire"

// Trial is one attempt to fill a slot. A slot may have several; the first that
// succeeds fills it.
type Trial struct {
	// ID is unique among all subscriptions and all their holders.
	ID string
	// Slot is the id of the sample that the attempt is for.
	Slot string
	// Prompt, MaxTokens and Expected are its group's.
	Prompt    string
	MaxTokens int64
	Expected  int64
	// Prior is what an earlier attempt has made; this one goes on after it.
	Prior []*wire.Segment
	// Avoid names the worker that it must not go to; empty for none.
	Avoid string
	// Stop is the ID of the attempt that is stopped first; empty for none.
	Stop string
}
