// Package start holds one decision to begin an attempt.
package start

// Start says to begin an attempt.
type Start struct {
	// Slot is the index of the slot in what the decision was given.
	Slot int
	// Stop names the worker whose attempt is to be stopped first; the new one
	// continues what it has made. Empty when none is. An attempt that cannot be
	// stopped may run on, and the first that finishes wins.
	Stop string
	// Avoid names the worker that the attempt must not go to; empty for none.
	Avoid string
}
