// Package task holds one thing that a roll-out asks of a worker.
package task

// Ask is the kind of task that asks an engine which version it uses; the other
// kinds are those of package order.
const Ask = "ask"

// Task is one order to give, or one question to put.
type Task struct {
	// Worker names whom to ask.
	Worker string
	// Kind is Ask or a kind of package order.
	Kind string
}
