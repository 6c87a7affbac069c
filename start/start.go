// Package start describes a decision to start an attempt.
package start

// Decision is a decision to start an attempt at a sample.
type Decision struct {
	// Slot is the index of the sample slot in the planner's input.
	Slot int
	// Stop names the worker whose attempt must be stopped first; the new attempt
	// continues its output. Empty if there is none. An attempt that cannot be stopped
	// may continue to run; the first to finish wins.
	Stop string
	// AvoidWorker names a worker that must not run the attempt; empty for none.
	AvoidWorker string
}
