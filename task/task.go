// Package task defines what a rollout of weights requests from a worker.
package task

// Ask is the kind of task that queries which version an engine uses; the other
// kinds are those of package order.
const Ask = "ask"

// Task is one order or query for a worker.
type Task struct {
	// Worker is the worker's name.
	Worker string
	// Kind is Ask or a kind of package order.
	Kind string
}
