// Package start holds one decision to begin an attempt.
package start

// Start says to begin an attempt.
type Start struct {
	// Slot is the index of the slot in what the decision was given.
	Slot int
	// Spare says that another attempt of the slot runs on; the first that
	// finishes wins.
	Spare bool
	// Stop names the worker whose attempt is to be stopped first; the new one
	// continues what it has made. Empty when none is.
	Stop string
	// Avoid names the worker that the attempt must not go to; empty for none.
	Avoid string
}
