// Package order holds what a model engine can be ordered to do.
package order

const (
	// Stage loads a version into memory without using it.
	Stage = "stage"
	// Switch puts a staged version in use.
	Switch = "switch"
	// Unload drops a version that is not in use.
	Unload = "unload"
	// Role changes what the engine serves first.
	Role = "role"

	// RoleLive is the role of an engine that takes live work only.
	RoleLive = "live"
	// RoleRollout is the role of one that takes rollouts and, in the slots kept
	// for it, live work.
	RoleRollout = "rollout"
)

// Order is one order to an engine.
type Order struct {
	// Fence is the fencing number of who orders; an engine that checks it
	// refuses a lesser one than it has seen.
	Fence int64 `json:"fence"`
	// Kind is Stage, Switch, Unload or Role.
	Kind string `json:"kind"`
	// Model and Version are what to stage, switch to or unload.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is "live" or "rollout", for an order of kind Role.
	Role string `json:"role,omitempty"`
}
