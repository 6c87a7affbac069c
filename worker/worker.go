// Package worker holds how far one worker is with a new version of the weights.
package worker

import "time"

const (
	// Bare workers lack the version.
	Bare = "bare"
	// Staging workers fetch it.
	Staging = "staging"
	// Staged workers hold it and use another.
	Staged = "staged"
	// Switching workers were ordered to use it.
	Switching = "switching"
	// Switched workers use it, in the engine's own word.
	Switched = "switched"
	// Unknown workers were given an order whose outcome nobody knows.
	Unknown = "unknown"
	// Gone workers are leaving or do not answer.
	Gone = "gone"
)

// Worker is one worker of the pool during one roll-out.
type Worker struct {
	// Name is the instance's.
	Name string
	// State is one of the constants of this package.
	State string
	// Failures counts the orders that the engine itself failed at the step that
	// the worker is at: to stage while it is Bare, to switch while it is Staged.
	// It begins at 0 anew when the worker is staged. Refusals of the weight store
	// are not among them.
	Failures int
	// Empty says that the worker runs no version of the model, as after a switch
	// that failed halfway.
	Empty bool
	// NotBefore is when the worker may be given the next order; zero for now.
	NotBefore time.Time
	// Live is the share of the worker's slots that live requests take, 0 to 1.
	Live float64
}
