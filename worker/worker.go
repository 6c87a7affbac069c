// Package worker defines the state of a worker during a rollout of weights.
package worker

import "time"

const (
	// Unstaged workers don't hold the version.
	Unstaged = "bare"
	// Staging workers are fetching it.
	Staging = "staging"
	// Staged workers hold it and use another version.
	Staged = "staged"
	// Switching workers have been ordered to use it.
	Switching = "switching"
	// Switched workers use it, as reported by the engine.
	Switched = "switched"
	// Unknown workers were sent an order whose outcome is unknown.
	Unknown = "unknown"
	// Unavailable workers are draining or don't respond.
	Unavailable = "gone"
)

// Worker is one worker of a pool during a rollout.
type Worker struct {
	// Name is the name of the worker's instance.
	Name string
	// State is one of the constants of this package.
	State string
	// Failures counts the orders that the engine failed to execute in the current step: to
	// stage before the worker is staged, to switch after that. It is reset to 0 when the
	// worker is staged. Refusals by the weight store don't count.
	Failures int
	// NoVersion is set if the worker runs no version of the model, for example after a
	// switch that failed halfway.
	NoVersion bool
	// NotBefore is the earliest time of the next order; zero means now.
	NotBefore time.Time
	// LiveLoad is the fraction of the worker's slots used by live requests, 0 to 1.
	LiveLoad float64
}
